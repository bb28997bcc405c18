package ownership

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
)

// metrics exports the directory's counters and gauges under names that begin with rosestand_directory_. The owner
// goroutine publishes snapshots of them, which the registry reads.
type metrics struct {
	snapshot         atomic.Pointer[snapshot]
	failedCalls      prometheus.Counter
	salvageDuration  prometheus.Histogram
	transferDuration prometheus.Histogram
}

// snapshot is a copy of the directory's counters and gauges, taken by the owner goroutine.
type snapshot struct {
	directory.Stats
	owned, partition, salvage, handOff, transferring, suspects int
	viewVersion                                                uint64
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		failedCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rosestand_directory_failed_calls_total", Help: "Requests to other directories without an answer.",
		}),
		salvageDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "rosestand_directory_reregister_seconds", Help: "Time that sessions spent on the salvage list.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}),
		transferDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "rosestand_directory_settle_seconds", Help: "Time until a range gained was complete.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}),
	}
	m.snapshot.Store(&snapshot{})
	registerer.MustRegister(m.failedCalls, m.salvageDuration, m.transferDuration)
	m.registerCounters(registerer)
	m.registerGauges(registerer)
	return m
}

const (
	lookupsHelp    = "Session lookups by where they were answered."
	rejectionsHelp = "Refusals of other directories by status."
)

// counters are read from the snapshot. The counters of yields, one for each reason, are registered separately.
var counters = []struct {
	name, help string
	labels     prometheus.Labels
	value      func(*snapshot) uint64
}{
	{
		"lookups_total", lookupsHelp,
		prometheus.Labels{"by": "cache"},
		func(s *snapshot) uint64 { return s.CacheHits },
	},
	{
		"lookups_total", lookupsHelp,
		prometheus.Labels{"by": "own_partition"},
		func(s *snapshot) uint64 { return s.LocalLookups },
	},
	{
		"lookups_total", lookupsHelp,
		prometheus.Labels{"by": "holder"},
		func(s *snapshot) uint64 { return s.RemoteLookups },
	},
	{
		"refusals_total", rejectionsHelp,
		prometheus.Labels{"status": "incorrect_partition"},
		func(s *snapshot) uint64 { return s.IncorrectPartition },
	},
	{
		"refusals_total", rejectionsHelp,
		prometheus.Labels{"status": "duplicate_activation"},
		func(s *snapshot) uint64 { return s.Duplicates },
	},
	{
		"refusals_total", rejectionsHelp,
		prometheus.Labels{"status": "settling"},
		func(s *snapshot) uint64 { return s.Transferring },
	},
	{
		"salvaged_total", "Sessions registered again with a new holder.", nil,
		func(s *snapshot) uint64 { return s.Salvaged },
	},
	{
		"handed_off_total", "Registrations passed on to the new holder of a range.", nil,
		func(s *snapshot) uint64 { return s.HandedOff },
	},
	{
		"void_registrations_total", "Registrations void because authority was lost.", nil,
		func(s *snapshot) uint64 { return s.VoidRegistrations },
	},
	{
		"resend_requests_total", "Completions that had to be asked for.", nil,
		func(s *snapshot) uint64 { return s.ReregistrationRequests },
	},
	{
		"suspicions_total", "Front nodes of the view that could not be reached.", nil,
		func(s *snapshot) uint64 { return s.Suspicions },
	},
	{
		"false_suspicions_total", "Suspects that answered after all.", nil,
		func(s *snapshot) uint64 { return s.FalseSuspicions },
	},
	{
		"takeovers_total", "Sessions registered here in place of a lost owner.", nil,
		func(s *snapshot) uint64 { return s.Takeovers },
	},
}

// gauges are read from the snapshot.
var gauges = []struct {
	name, help string
	value      func(*snapshot) float64
}{
	{"owned_sessions", "Sessions owned.", func(s *snapshot) float64 { return float64(s.owned) }},
	{"partition_sessions", "Registrations held.", func(s *snapshot) float64 { return float64(s.partition) }},
	{
		"salvage_list_length", "Own sessions that wait to be registered again.",
		func(s *snapshot) float64 { return float64(s.salvage) },
	},
	{
		"hand_off_length", "Registrations that wait to be passed on.",
		func(s *snapshot) float64 { return float64(s.handOff) },
	},
	{
		"suspects", "Front nodes of the view that cannot be reached at the moment.",
		func(s *snapshot) float64 { return float64(s.suspects) },
	},
	{
		"settling_views", "View changes whose ranges gained are not complete.",
		func(s *snapshot) float64 { return float64(s.transferring) },
	},
	{"view_version", "Membership view in force.", func(s *snapshot) float64 { return float64(s.viewVersion) }},
}

func (m *metrics) registerCounters(registerer prometheus.Registerer) {
	counter := func(name, help string, labels prometheus.Labels, value func(*snapshot) uint64) {
		registerer.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{Name: "rosestand_directory_" + name, Help: help, ConstLabels: labels},
			func() float64 { return float64(value(m.snapshot.Load())) },
		))
	}
	for _, each := range counters {
		counter(each.name, each.help, each.labels, each.value)
	}
	for _, reason := range directory.YieldReasons {
		counter("yields_total", "Sessions given up by reason.", prometheus.Labels{"reason": string(reason)},
			func(s *snapshot) uint64 { return s.Yields[reason] })
	}
}

func (m *metrics) registerGauges(registerer prometheus.Registerer) {
	gauge := func(name, help string, value func(*snapshot) float64) {
		registerer.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: "rosestand_directory_" + name, Help: help},
			func() float64 { return value(m.snapshot.Load()) },
		))
	}
	for _, each := range gauges {
		gauge(each.name, each.help, each.value)
	}
}

// publish stores a new snapshot. Only the owner goroutine may call it.
func (m *metrics) publish(d *directory.Directory) {
	m.snapshot.Store(&snapshot{
		Stats: d.Stats(), owned: d.OwnedCount(), partition: d.PartitionSize(), salvage: d.SalvageLength(),
		handOff: d.HandOffLength(), transferring: d.TransferCount(), viewVersion: d.ViewVersion(),
		suspects: d.SuspectCount(),
	})
}

func (m *metrics) observeReregistrations(waits []time.Duration) {
	for _, wait := range waits {
		m.salvageDuration.Observe(wait.Seconds())
	}
}
