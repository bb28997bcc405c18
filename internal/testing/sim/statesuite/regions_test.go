package statesuite_test

import (
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/testing/sim"
	"github.com/rosestand/rosestand/internal/testing/sim/statesuite"
)

// regionSeeds of CI; `rosestand-lab sim --suite state --shape regions` runs many more.
const regionSeeds = 10

func runRegions(seed int64, faults []sim.Fault) sim.Report {
	return statesuite.Run(seed, statesuite.Options{Faults: faults, Shape: statesuite.ShapeRegions})
}

func TestNoRuleIsViolatedInRegions(t *testing.T) {
	summary := sim.Search(sim.SearchOptions{First: firstSeed, Count: regionSeeds, Workers: workers, SkipShrinking: true},
		runRegions)
	var text strings.Builder
	replay := func(seed int64) string { return statesuite.ReplayCommand(seed) + " --shape regions" }
	if err := summary.Write(&text, replay); err != nil {
		t.Fatal(err)
	}
	t.Log(text.String())
	if len(summary.Failed) > 0 {
		t.Fail()
	}
	for _, rule := range summary.Rules {
		// With the delays between regions few runs make hundreds of changes before the restart; the other fleet's test sees
		// to that.
		if rule.Provoked == 0 && rule.Name != statesuite.RuleBundlesSurviveRestart {
			t.Errorf("no run provoked the rule %q", rule.Name)
		}
	}
}

// TestFormerlyFailingRegionSeedsBreakNoRule runs seeds that violated a rule before its cause was fixed, and looks
// that they still provoke it.
func TestFormerlyFailingRegionSeedsBreakNoRule(t *testing.T) {
	for _, seed := range []int64{
		135, // a region was partitioned with two replicas of two shards in it, while the stores of another were emptied
	} {
		report := statesuite.Run(seed, onlyZoneFaults)
		for _, rule := range report.Rules {
			for _, violation := range rule.Violations {
				t.Errorf("seed %d: %s: %s", seed, rule.Name, violation)
			}
			if rule.Name == statesuite.RuleServedDuringZoneFault && rule.Provoked == 0 {
				t.Errorf("seed %d does not provoke %q", seed, rule.Name)
			}
		}
	}
}
