package daemon

import (
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/memorybudget"
)

const (
	// residentOverheadBytes is what a process has resident beside the memory of the Go runtime: its text and libraries.
	residentOverheadBytes = 24 << 20
	// minSoftLimitBytes is the smallest soft limit, for very small memory limits.
	minSoftLimitBytes = 24 << 20
	// budgetPercent is the part of the memory limit that requests may hold.
	budgetPercent = 40

	// trafficFilesDivisor and httpFilesDivisor give the parts of the descriptors that callers of HTTP routes and clients
	// of the process's own HTTP interface may use. The rest is for peers, servers and files.
	trafficFilesDivisor = 2
	httpFilesDivisor    = 4
)

// limitMemory makes the Go runtime collect garbage more often near the memory limit, and returns the budget of the
// requests.
func limitMemory(node *protocol.NodeSettings) (*memorybudget.Budget, error) {
	limit := int64(node.GetMemoryLimitBytes())
	if limit > 0 {
		debug.SetMemoryLimit(max(limit-residentOverheadBytes, minSoftLimitBytes))
		return memorybudget.New(limit / 100 * budgetPercent), nil
	}
	var machine syscall.Sysinfo_t
	if err := syscall.Sysinfo(&machine); err != nil {
		return nil, errors.Wrap(err, "read the size of the memory")
	}
	return memorybudget.New(int64(machine.Totalram) * int64(machine.Unit) / 100 * budgetPercent), nil
}

// maxOpenFiles returns how many descriptors the process may open.
func maxOpenFiles(node *protocol.NodeSettings) (int, error) {
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil {
		return 0, errors.Wrap(err, "read the limit of open files")
	}
	const largest = 1 << 30
	allowed := int(min(system.Cur, largest))
	if wanted := int(node.GetMaxOpenFiles()); wanted > 0 {
		allowed = min(allowed, wanted)
	}
	return allowed, nil
}

// MaxTrafficConnections is how many callers of HTTP routes may be connected; zero sets no limit.
func (p *Process) MaxTrafficConnections() int { return p.MaxOpenFiles / trafficFilesDivisor }

// registerMemoryMetrics registers what the budget of a process is used for.
func registerMemoryMetrics(registerer prometheus.Registerer, budget *memorybudget.Budget) error {
	gauge := func(name, help string, value func(memorybudget.Usage) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help},
			func() float64 { return value(budget.Usage()) })
	}
	counter := func(name, help string, value func(memorybudget.Usage) float64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
			func() float64 { return value(budget.Usage()) })
	}
	for _, collector := range []prometheus.Collector{
		gauge("rosestand_memory_budget_bytes", "Memory that requests may hold together.",
			func(usage memorybudget.Usage) float64 { return float64(usage.LimitBytes) }),
		gauge("rosestand_memory_used_bytes", "Memory that requests hold of the budget.",
			func(usage memorybudget.Usage) float64 { return float64(usage.UsedBytes) }),
		counter("rosestand_memory_evictions_total", "Requests that gave their memory to others while they made no progress.",
			func(usage memorybudget.Usage) float64 { return float64(usage.Evicted) }),
		counter("rosestand_memory_refusals_total", "Requests that found no memory.",
			func(usage memorybudget.Usage) float64 { return float64(usage.Refused) }),
	} {
		if err := registerer.Register(collector); err != nil {
			return err
		}
	}
	return nil
}
