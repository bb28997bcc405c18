package delivery

import "github.com/prometheus/client_golang/prometheus"

const metricsNamespace = "rosestand_core"

type metrics struct {
	polls     *prometheus.CounterVec
	sections  *prometheus.CounterVec
	bytes     *prometheus.CounterVec
	coalesced prometheus.Counter
}

// newMetrics creates the metrics and registers them unless registerer is nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	counters := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help},
			[]string{label})
	}
	m := &metrics{
		polls:    counters("polls_total", "Polls of nodes by how they ended.", "result"),
		sections: counters("poll_sections_total", "Sections sent to nodes by kind.", "section"),
		bytes:    counters("poll_bytes_total", "Bytes of the sections sent to nodes by kind, before framing.", "section"),
		coalesced: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "polls_coalesced_total", Help: "Answers held back for the coalescing interval.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.polls, m.sections, m.bytes, m.coalesced)
	}
	return m
}
