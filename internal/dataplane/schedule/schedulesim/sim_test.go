package schedulesim_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/schedule/schedulesim"
	"github.com/rosestand/rosestand/internal/protocol"
)

// scenarioByName returns the scenario with a name.
func scenarioByName(t *testing.T, name string) scenario {
	t.Helper()
	for _, scenario := range scenarios {
		if scenario.name == name {
			return scenario
		}
	}
	t.Fatalf("scenario %q does not exist", name)
	return scenario{}
}

func TestSimulationIsDeterminedByItsSeed(t *testing.T) {
	short := scenario{"short", func(o *schedulesim.Options) { o.Length = 4 * time.Second }}
	first, second := simulate(short, variants[0], 3), simulate(short, variants[0], 3)
	if !reflect.DeepEqual(first, second) {
		t.Fatalf("two simulations with the same seed differ:\n%+v\n%+v", first, second)
	}
	if other := simulate(short, variants[0], 4); other.Programs == first.Programs &&
		other.PrefilledTokens == first.PrefilledTokens {
		t.Fatal("simulations with different seeds have the same numbers of programs and prefilled tokens")
	}
}

func TestExpectedFirstTokenKeepsMostProgramsInTime(t *testing.T) {
	minShares := map[string]float64{"slow": 0.96, "stall": 0.95, "release": 0.98, "high_load_burst": 0.96}
	for name, want := range minShares {
		scenario := scenarioByName(t, name)
		got := simulate(scenario, variants[0], 1)
		if got.Share() < want {
			t.Errorf("%s: %.3f of programs in time, want at least %.2f", name, got.Share(), want)
		}
		for _, variant := range variants[2:] {
			if other := simulate(scenario, variant, 1); other.Share() > got.Share()+0.005 {
				t.Errorf("%s: %.3f of programs in time, but with %s %.3f", name, got.Share(), variant.name, other.Share())
			}
		}
	}
}

func TestDigestsSaveRepeatedPrefill(t *testing.T) {
	with, without := simulate(scenarioByName(t, "quiet"), variants[0], 1),
		simulate(scenarioByName(t, "quiet"), variants[1], 1)
	if with.RepeatedTokens*4 > without.RepeatedTokens*3 {
		t.Fatalf("%d tokens prefilled again with digests and %d without, want at most three quarters",
			with.RepeatedTokens, without.RepeatedTokens)
	}
}

// toolFleet returns seven servers of six slots each, one of which is slow.
func toolFleet(algorithm protocol.SchedulingAlgorithm, perSecond float64) schedulesim.ToolOptions {
	return schedulesim.ToolOptions{
		Seed: 1, Algorithm: algorithm, Fronts: 10, Speeds: []float64{1, 0.7, 6, 1, 0.8, 1.2, 1}, Slots: 6, Queue: 24,
		PerSecond: perSecond, Concurrent: 3, Work: 60 * time.Millisecond, Length: 20 * time.Second,
	}
}

func TestCallsOfTenFrontNodesAvoidTheSlowServerWithoutOverloadingOthers(t *testing.T) {
	expected := schedulesim.SimulateTools(toolFleet(protocol.SchedulingAlgorithm_EXPECTED_FIRST_TOKEN, 160))
	if expected.Rejected > 0 || expected.Failed > 0 {
		t.Fatalf("%d rejections and %d failures at 70 percent load, want none", expected.Rejected, expected.Failed)
	}
	for _, variant := range variants[2:] {
		other := schedulesim.SimulateTools(toolFleet(variant.algorithm, 160))
		if other.Quantile(0.99)*2 < expected.Quantile(0.99)*3 {
			t.Errorf(
				"99 in 100 calls take up to %v with EXPECTED_FIRST_TOKEN, which is more than two thirds of %v with %s",
				expected.Quantile(0.99), other.Quantile(0.99), variant.name,
			)
		}
	}
}

// BenchmarkTools measures the figures for tools in docs/POLICIES.md.
func BenchmarkTools(b *testing.B) {
	for _, variant := range append(variants[:1:1], variants[2:]...) {
		b.Run(variant.name, func(b *testing.B) {
			var result *schedulesim.ToolResult
			for range b.N {
				result = schedulesim.SimulateTools(toolFleet(variant.algorithm, 160))
			}
			b.ReportMetric(result.Quantile(0.5).Seconds()*1000, "p50_ms")
			b.ReportMetric(result.Quantile(0.99).Seconds()*1000, "p99_ms")
			b.ReportMetric(float64(result.Rejected), "refusals")
			b.ReportMetric(0, "ns/op")
		})
	}
}
