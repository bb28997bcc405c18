package operators

import "github.com/prometheus/client_golang/prometheus"

const metricsNamespace = "rosestand_core"

type metrics struct {
	orders   *prometheus.CounterVec
	requests *prometheus.CounterVec
}

// newMetrics creates the metrics and registers them unless registerer is nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "orders_total", Help: "Orders of operators by kind and result code.",
		}, []string{"kind", "result"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "http_requests_total", Help: "Requests of operators by result code.",
		}, []string{"result"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.orders, m.requests)
	}
	return m
}
