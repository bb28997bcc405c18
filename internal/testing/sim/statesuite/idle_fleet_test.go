package statesuite_test

import (
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim/statesuite"
)

func TestAFleetAtRestStaysWhole(t *testing.T) {
	rest := statesuite.NewRest(1)
	if events := rest.Advance(time.Minute); events == 0 || !rest.Healthy() {
		t.Fatalf("%d events, healthy %v", events, rest.Healthy())
	}
}

// BenchmarkRest simulates one second of the fleet at rest an iteration.
func BenchmarkRest(b *testing.B) {
	rest := statesuite.NewRest(1)
	b.ResetTimer()
	events := 0
	for range b.N {
		events += rest.Advance(time.Second)
	}
	b.ReportMetric(float64(events)/float64(b.N), "events/simulated-s")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "simulated-s/s")
}
