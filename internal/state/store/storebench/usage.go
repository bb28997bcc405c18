package storebench

import (
	"syscall"
	"time"

	"github.com/rosestand/rosestand/internal/state/store/datafolder"
)

// usage contains the resources that a fleet has used so far.
type usage struct {
	// processor is the processor time of the process.
	processor time.Duration
	// changes and registerBytes are sums over all stores.
	changes       float64
	registerBytes float64
}

func (u usage) since(before usage) usage {
	return usage{
		processor:     u.processor - before.processor,
		changes:       u.changes - before.changes,
		registerBytes: u.registerBytes - before.registerBytes,
	}
}

// usage returns the processor time of the process and the sums of its stores' counters.
func (f *fleet) usage() usage {
	return usage{
		processor:     processorTime(),
		changes:       f.sumCounters("rosestand_store_register_changes_total", ""),
		registerBytes: f.sumCounters("rosestand_store_written_bytes_total", datafolder.RegisterLog),
	}
}

// sumCounters returns the sum of a counter over all stores: of the series whose first label has
// the value labelValue, or of all series when labelValue is empty.
func (f *fleet) sumCounters(name, labelValue string) float64 {
	var total float64
	for _, started := range f.stores {
		families, _ := started.registry.Gather()
		for _, family := range families {
			if family.GetName() != name {
				continue
			}
			for _, metric := range family.GetMetric() {
				if labelValue == "" || metric.GetLabel()[0].GetValue() == labelValue {
					total += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return total
}

func processorTime() time.Duration {
	var spent syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &spent)
	return time.Duration(spent.Utime.Nano() + spent.Stime.Nano())
}
