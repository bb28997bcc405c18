package store

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the counters and gauges of a store, shared by the stores that replace it after a
// failure. Any goroutine may use them.
type metrics struct {
	registerChanges   prometheus.Counter
	batchedOperations prometheus.Counter
	preempted         prometheus.Counter
	unavailable       prometheus.Counter
	results           *prometheus.CounterVec
	syncs             *prometheus.CounterVec
	syncedRequests    *prometheus.CounterVec
	writtenBytes      *prometheus.CounterVec
	repaired          *prometheus.CounterVec
	snapshots         prometheus.Counter
	scrubs            prometheus.Counter
	copiedBytes       prometheus.Counter
	copiedShards      prometheus.Counter
	registers         prometheus.Gauge
	turns             prometheus.Gauge
	active            prometheus.Gauge
	copying           prometheus.Gauge
	proposals         prometheus.Gauge

	// The status of the store reports these counts, too.
	repairedCount atomic.Uint64
	scrubCount    atomic.Uint64
}

// countWritten counts bytes of records written to a log.
func (m *metrics) countWritten(log string, bytes int) {
	m.writtenBytes.WithLabelValues(log).Add(float64(bytes))
}

// ProposalStarted implements proposer.Observer.
func (m *metrics) ProposalStarted(operations int) {
	m.registerChanges.Inc()
	m.batchedOperations.Add(float64(operations))
}

// ProposalPreempted implements proposer.Observer.
func (m *metrics) ProposalPreempted() { m.preempted.Inc() }

// ProposalUnavailable implements proposer.Observer.
func (m *metrics) ProposalUnavailable() { m.unavailable.Inc() }

// ShardCopied implements replication.Observer.
func (m *metrics) ShardCopied() { m.copiedShards.Inc() }

// BytesCopied implements replication.Observer.
func (m *metrics) BytesCopied(size uint64) { m.copiedBytes.Add(float64(size)) }

// ScrubFinished implements replication.Observer.
func (m *metrics) ScrubFinished() {
	m.scrubs.Inc()
	m.scrubCount.Add(1)
}

// Repaired implements replication.Observer.
func (m *metrics) Repaired(registers, turns int) {
	m.repaired.WithLabelValues("register").Add(float64(registers))
	m.repaired.WithLabelValues("turn").Add(float64(turns))
	m.repairedCount.Add(uint64(registers + turns))
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		collector := prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "rosestand", Subsystem: "store", Name: name, Help: help,
		})
		registerer.MustRegister(collector)
		return collector
	}
	labelled := func(name, help, label string) *prometheus.CounterVec {
		collector := prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "rosestand", Subsystem: "store", Name: name, Help: help,
		}, []string{label})
		registerer.MustRegister(collector)
		return collector
	}
	gauge := func(name, help string) prometheus.Gauge {
		collector := prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "rosestand", Subsystem: "store", Name: name, Help: help,
		})
		registerer.MustRegister(collector)
		return collector
	}
	return &metrics{
		registerChanges:   counter("register_changes_total", "Register changes begun as proposer."),
		batchedOperations: counter("batched_operations_total", "Ledger operations that went into register changes."),
		preempted:         counter("register_preempted_total", "Rounds lost against another proposer."),
		unavailable:       counter("register_unavailable_total", "Rounds without a majority."),
		results:           labelled("ledger_results_total", "Ledger operations answered.", "status"),
		syncs:             labelled("syncs_total", "Syncs of a log.", "log"),
		syncedRequests:    labelled("synced_requests_total", "Requests made durable by syncs.", "log"),
		writtenBytes: labelled("written_bytes_total", "Bytes of records written to a log, without what snapshots write.",
			"log"),
		repaired:     labelled("repaired_total", "What was taken over from another replica by reads and scrubs.", "kind"),
		snapshots:    counter("snapshots_total", "Snapshots of the registers written."),
		scrubs:       counter("scrub_rounds_total", "Scrubs of all shards completed."),
		copiedBytes:  counter("copied_bytes_total", "Bytes copied for rebuilds and moves."),
		copiedShards: counter("copied_shards_total", "Shards copied in full."),
		registers:    gauge("registers", "Registers total."),
		turns:        gauge("turns", "Turns kept."),
		active:       gauge("shards_active", "Shards served."),
		copying:      gauge("shards_copying", "Shards being copied."),
		proposals:    gauge("proposals_under_way", "Registers with a change under way."),
	}
}

// observe sets the gauges to the counts of a store.
func (m *metrics) observe(total counts) {
	m.registers.Set(float64(total.registers))
	m.turns.Set(float64(total.turns))
	m.active.Set(float64(total.active))
	m.copying.Set(float64(total.copying))
	m.proposals.Set(float64(total.proposals))
}
