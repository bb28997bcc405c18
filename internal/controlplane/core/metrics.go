package core

import "github.com/prometheus/client_golang/prometheus"

const metricsNamespace = "rosestand_core"

// Values of the label event, for the leases of nodes and of back ends. Operators' dashboards match them, so they must
// not change.
const (
	eventRenewed           = "renewed"
	eventRejected          = "refused"
	eventReleased          = "released"
	eventExpired           = "expired"
	eventChanged           = "changed"
	eventOutdated          = "late"
	eventLeft              = "departed"
	eventRelayed           = "relayed"
	eventForwarded         = "forwarded"
	eventForwardFailed     = "forward_failed"
	eventLeaderUnreachable = "cut_off"
)

// Values of the label result of heartbeat batches.
const (
	batchReceived  = "received"
	batchRejected  = "refused"
	batchConfirmed = "confirmed"
	batchFailed    = "failed"
)

type metrics struct {
	leases        *prometheus.CounterVec
	backEndLeases *prometheus.CounterVec
	// heartbeatBatches counts batches at the sender and at the receiver.
	heartbeatBatches *prometheus.CounterVec
	drains           *prometheus.CounterVec
	reconciled       *prometheus.CounterVec
	guardWithdrawals prometheus.Counter
	versions         *prometheus.GaugeVec
	ordersRetained   prometheus.Gauge
	nodes            prometheus.Gauge
	backEnds         prometheus.Gauge
	leading          prometheus.Gauge
}

// newMetrics creates the metrics and registers them if registerer is not nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		leases:        counters("leases_total", "Leases of nodes by event.", "event"),
		backEndLeases: counters("back_end_leases_total", "Heartbeats and expiries of back ends by event.", "event"),
		heartbeatBatches: counters("heartbeat_batches_total",
			"Batches of heartbeats between core members by what became of them.", "result"),
		drains:     counters("drains_total", "Drains of back ends by how they ended.", "result"),
		reconciled: counters("reconciled_total", "Commands of the reconciler by result.", "result"),
		guardWithdrawals: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "guard_withdrawals_total",
			Help: "Candidates withdrawn by the guard of their roll-out.",
		}),
		versions: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metricsNamespace, Name: "section_version", Help: "Version of each section at the leader.",
		}, []string{"section"}),
		ordersRetained: gauge("orders_remembered", "Orders whose first result is remembered."),
		nodes:          gauge("nodes", "Nodes in the membership view."),
		backEnds:       gauge("back_ends", "Back ends in the view."),
		leading:        gauge("leading", "1 while this process leads."),
	}
	if registerer != nil {
		registerer.MustRegister(m.leases, m.backEndLeases, m.heartbeatBatches, m.drains,
			m.reconciled, m.guardWithdrawals, m.versions, m.ordersRetained, m.nodes, m.backEnds, m.leading)
	}
	return m
}

func counters(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help},
		[]string{label})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help})
}
