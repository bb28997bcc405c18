package statesuite_test

import (
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim/statesuite"
)

func TestIdleFleetStaysHealthy(t *testing.T) {
	fleet := statesuite.NewIdleFleet(1)
	if events := fleet.Advance(time.Minute); events == 0 || !fleet.Healthy() {
		t.Fatalf("%d events, healthy %v", events, fleet.Healthy())
	}
}

// BenchmarkIdleFleet simulates one second of the idle fleet in each iteration.
func BenchmarkIdleFleet(b *testing.B) {
	fleet := statesuite.NewIdleFleet(1)
	b.ResetTimer()
	events := 0
	for range b.N {
		events += fleet.Advance(time.Second)
	}
	b.ReportMetric(float64(events)/float64(b.N), "events/simulated-s")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "simulated-s/s")
}
