package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/rosestand/rosestand/internal/process/version"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// newRegistry returns a registry with the metrics of the process; planes register their own.
func newRegistry(process *Process) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		newBuildInfoMetric(process.Self),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "rosestand_ready",
			Help: "1 while the process answers /readyz with 200.",
		}, func() float64 { return boolToFloat(process.Readiness.Ready()) }),
	)
	return registry
}

func newBuildInfoMetric(self *protocol.Node) prometheus.Collector {
	info := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "rosestand_build_info",
		Help: "Always 1; the labels say what runs here.",
	}, []string{"version", "kind", "zone", "region"})
	info.WithLabelValues(version.Number, self.GetKind().String(), self.GetZone(), self.GetRegion()).Set(1)
	return info
}

// registerWireCounters registers traffic metrics for one side (client or server) of the internal protocol.
func registerWireCounters(registry prometheus.Registerer, side string, counters *wire.Counters) error {
	labels := prometheus.Labels{"side": side}
	exported := []prometheus.Collector{
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "rosestand_wire_sent_bytes_total", ConstLabels: labels,
			Help: "Bytes sent over the internal protocol.",
		}, func() float64 { return float64(counters.SentBytes.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "rosestand_wire_received_bytes_total", ConstLabels: labels,
			Help: "Bytes received over the internal protocol.",
		}, func() float64 { return float64(counters.ReceivedBytes.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "rosestand_wire_sent_frames_total", ConstLabels: labels,
			Help: "Frames sent over the internal protocol.",
		}, func() float64 { return float64(counters.SentFrames.Load()) }),
	}
	for _, purpose := range wire.Purposes {
		exported = append(exported,
			purposeCounter(
				"rosestand_wire_sent_purpose_bytes_total", "Bytes of frames sent, by what they are for.", side, purpose,
				&counters.SentFor,
			),
			purposeCounter(
				"rosestand_wire_received_purpose_bytes_total", "Bytes of frames received, by what they are for.", side, purpose,
				&counters.ReceivedFor,
			),
		)
	}
	for _, collector := range exported {
		if err := registry.Register(collector); err != nil {
			return err
		}
	}
	return nil
}

// bytesByPurpose counts the bytes of the frames of each purpose.
type bytesByPurpose interface {
	Of(purpose wire.Purpose) uint64
}

func purposeCounter(name, help, side string, purpose wire.Purpose, bytes bytesByPurpose) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: name, Help: help, ConstLabels: prometheus.Labels{"side": side, "purpose": purpose.String()},
	}, func() float64 { return float64(bytes.Of(purpose)) })
}

func boolToFloat(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
