package storebench

import (
	"syscall"
	"time"
)

// usage is what a fleet took so far.
type usage struct {
	processor     time.Duration
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

// usage sums up the processor time of the process and the counters of its stores.
func (f *fleet) usage() usage {
	var spent syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &spent)
	total := usage{processor: time.Duration(spent.Utime.Nano() + spent.Stime.Nano())}
	for _, started := range f.stores {
		families, _ := started.registry.Gather()
		for _, family := range families {
			for _, metric := range family.GetMetric() {
				value := metric.GetCounter().GetValue()
				switch family.GetName() {
				case "rosestand_store_register_changes_total":
					total.changes += value
				case "rosestand_store_written_bytes_total":
					if metric.GetLabel()[0].GetValue() == "registers" {
						total.registerBytes += value
					}
				}
			}
		}
	}
	return total
}
