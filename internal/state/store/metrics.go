package store

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the counters of one store.
type metrics struct {
	changes     prometheus.Counter
	batched     prometheus.Counter
	preempted   prometheus.Counter
	unavailable prometheus.Counter
	results     *prometheus.CounterVec
	syncs       *prometheus.CounterVec
	synced      *prometheus.CounterVec
	written     *prometheus.CounterVec
	repaired    *prometheus.CounterVec
	snapshots   prometheus.Counter
	scrubs      prometheus.Counter
	copiedBytes prometheus.Counter
	copied      prometheus.Counter
	registers   prometheus.Gauge
	turns       prometheus.Gauge
	active      prometheus.Gauge
	copying     prometheus.Gauge
	proposals   prometheus.Gauge

	// The same counts for the status that operators read.
	repairedCount atomic.Uint64
	scrubCount    atomic.Uint64
}

func (m *metrics) countRepaired(registers, turns int) {
	m.repaired.WithLabelValues("register").Add(float64(registers))
	m.repaired.WithLabelValues("turn").Add(float64(turns))
	m.repairedCount.Add(uint64(registers + turns))
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		made := prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "rosestand", Subsystem: "store", Name: name, Help: help,
		})
		registerer.MustRegister(made)
		return made
	}
	labelled := func(name, help, label string) *prometheus.CounterVec {
		made := prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "rosestand", Subsystem: "store", Name: name, Help: help,
		}, []string{label})
		registerer.MustRegister(made)
		return made
	}
	gauge := func(name, help string) prometheus.Gauge {
		made := prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "rosestand", Subsystem: "store", Name: name, Help: help,
		})
		registerer.MustRegister(made)
		return made
	}
	return &metrics{
		changes:     counter("register_changes_total", "Register changes begun as proposer."),
		batched:     counter("batched_operations_total", "Ledger operations that went into register changes."),
		preempted:   counter("register_preempted_total", "Rounds lost against another proposer."),
		unavailable: counter("register_unavailable_total", "Rounds without a majority."),
		results:     labelled("ledger_results_total", "Ledger operations answered.", "status"),
		syncs:       labelled("syncs_total", "Syncs of a log.", "log"),
		synced:      labelled("synced_requests_total", "Requests made durable by syncs.", "log"),
		written:     labelled("written_bytes_total", "Bytes of records written to a log, without what snapshots write.", "log"),
		repaired:    labelled("repaired_total", "What was taken over from another replica by reads and scrubs.", "kind"),
		snapshots:   counter("snapshots_total", "Snapshots of the registers written."),
		scrubs:      counter("scrub_rounds_total", "Scrubs of all shards completed."),
		copiedBytes: counter("copied_bytes_total", "Bytes copied for rebuilds and moves."),
		copied:      counter("copied_shards_total", "Shards copied in full."),
		registers:   gauge("registers", "Registers held."),
		turns:       gauge("turns", "Turns kept."),
		active:      gauge("shards_active", "Shards served."),
		copying:     gauge("shards_copying", "Shards being copied."),
		proposals:   gauge("proposals_under_way", "Registers with a change under way."),
	}
}

func (m *metrics) observe(held counts) {
	m.registers.Set(float64(held.registers))
	m.turns.Set(float64(held.turns))
	m.active.Set(float64(held.active))
	m.copying.Set(float64(held.copying))
	m.proposals.Set(float64(held.proposals))
}
