package statesuite_test

import (
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/testing/sim"
	"github.com/rosestand/rosestand/internal/testing/sim/statesuite"
)

// Seeds of CI; `rosestand-lab sim --suite state` runs many more.
const (
	firstSeed = 1
	seedCount = 10
	workers   = 4
)

func run(seed int64, faults []sim.Fault) sim.Report {
	return statesuite.Run(seed, statesuite.Options{Faults: faults})
}

func TestNoRuleIsViolated(t *testing.T) {
	summary := sim.Search(sim.SearchOptions{First: firstSeed, Count: seedCount, Workers: workers}, run)
	var text strings.Builder
	if err := summary.Write(&text, statesuite.ReplayCommand); err != nil {
		t.Fatal(err)
	}
	t.Log(text.String())
	if len(summary.Failed) > 0 {
		t.Fail()
	}
	for _, rule := range summary.Rules {
		if rule.Provoked == 0 {
			t.Errorf("no run provoked the rule %q", rule.Name)
		}
	}
}

func TestRunIsDeterministic(t *testing.T) {
	first, second := run(firstSeed, nil), run(firstSeed, nil)
	if first.Fingerprint != second.Fingerprint || first.Steps != second.Steps {
		t.Fatalf("two runs of one seed differ: %d and %d events", first.Steps, second.Steps)
	}
	if other := run(firstSeed+1, nil); other.Fingerprint == first.Fingerprint {
		t.Fatal("two seeds produce the same run")
	}
}
