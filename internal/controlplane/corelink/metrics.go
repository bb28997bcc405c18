package corelink

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/protocol"
)

// metrics are the metrics of the link; their names begin with rosestand_link_.
type metrics struct {
	renewals        *prometheus.CounterVec
	polls           *prometheus.CounterVec
	authorityLosses prometheus.Counter
	leaderSearches  prometheus.Counter
	mismatches      prometheus.Counter
	versions        *prometheus.GaugeVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		renewals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rosestand_link_renewals_total", Help: "Lease renewals by result.",
		}, []string{"result"}),
		polls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rosestand_link_polls_total", Help: "Polls of the core by result.",
		}, []string{"result"}),
		authorityLosses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rosestand_link_authority_lost_total", Help: "Times that authority ended before it was renewed.",
		}),
		leaderSearches: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rosestand_link_locates_total", Help: "Searches for the leader of the core.",
		}),
		mismatches: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rosestand_link_delta_mismatches_total",
			Help: "Answers with a delta that did not fit, or a configuration that was damaged, too large or without its digest.",
		}),
		versions: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "rosestand_link_version", Help: "Version read, by section.",
		}, []string{"section"}),
	}
	registerer.MustRegister(m.renewals, m.polls, m.authorityLosses, m.leaderSearches, m.mismatches, m.versions)
	return m
}

func (m *metrics) observe(versions *protocol.ControlVersions) {
	m.versions.WithLabelValues("configuration").Set(float64(versions.GetConfiguration()))
	m.versions.WithLabelValues("membership").Set(float64(versions.GetMembership()))
	m.versions.WithLabelValues("back_ends").Set(float64(versions.GetBackEnds()))
	m.versions.WithLabelValues("placement").Set(float64(versions.GetPlacement()))
}
