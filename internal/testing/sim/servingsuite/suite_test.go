package servingsuite_test

import (
	"testing"

	"github.com/rosestand/rosestand/internal/testing/sim"
	"github.com/rosestand/rosestand/internal/testing/sim/servingsuite"
)

// Seeds of the tests: few, so that they take under 20 s of one core.
const (
	seedsAlone    = 3
	seedsTogether = 8
)

// totals adds up the counts of several runs.
type totals struct {
	counts   map[servingsuite.Count]int
	provoked map[string]int
}

func newTotals() *totals {
	return &totals{counts: make(map[servingsuite.Count]int), provoked: make(map[string]int)}
}

func (g *totals) run(t *testing.T, seed int64, options servingsuite.Options) {
	t.Helper()
	report := servingsuite.Run(seed, options)
	for _, rule := range report.Rules {
		g.provoked[rule.Name] += rule.Provoked
		for _, violation := range rule.Violations {
			t.Errorf("seed %d: %s: %s", seed, rule.Name, violation)
		}
	}
	if report.Exhausted || report.Counts[servingsuite.Completed] == 0 {
		t.Errorf("seed %d: %d completed, exhausted %v", seed, report.Counts[servingsuite.Completed], report.Exhausted)
	}
	for name, count := range report.Counts {
		g.counts[name] += count
	}
}

// checkEffects fails when a scenario had not all of its effects.
func (g *totals) checkEffects(t *testing.T, scenario servingsuite.Scenario) {
	t.Helper()
	for _, name := range scenario.Counts() {
		if g.counts[name] == 0 {
			t.Errorf("no run had the effect: %s", name)
		}
	}
}

func TestEachScenarioAloneBreaksNoRule(t *testing.T) {
	for _, scenario := range servingsuite.Scenarios() {
		t.Run(string(scenario), func(t *testing.T) {
			all := newTotals()
			for seed := int64(1); seed <= seedsAlone; seed++ {
				all.run(t, seed, servingsuite.Options{Scenarios: []servingsuite.Scenario{scenario}})
			}
			all.checkEffects(t, scenario)
			t.Logf("%v", all.counts)
		})
	}
}

func TestAllScenariosTogetherBreakNoRule(t *testing.T) {
	all := newTotals()
	for seed := int64(1); seed <= seedsTogether; seed++ {
		all.run(t, seed, servingsuite.Options{})
	}
	for _, scenario := range servingsuite.Scenarios() {
		all.checkEffects(t, scenario)
	}
	for name, count := range all.provoked {
		if count == 0 {
			t.Errorf("no run provoked: %s", name)
		}
	}
	t.Logf("%v\n%v", all.counts, all.provoked)
}

// TestFormerlyFailingSeedsBreakNoRule runs seeds that violated a rule before its cause was fixed.
func TestFormerlyFailingSeedsBreakNoRule(t *testing.T) {
	for _, seed := range []int64{
		160, // probes got surplus slots while urgent turns that could not run were queued
	} {
		newTotals().run(t, seed, servingsuite.Options{})
	}
}

func TestRunIsDeterministic(t *testing.T) {
	one := servingsuite.Run(3, servingsuite.Options{})
	other := servingsuite.Run(3, servingsuite.Options{})
	if one.Fingerprint != other.Fingerprint || one.MessagesSent != other.MessagesSent {
		t.Fatalf("%x and %x", one.Fingerprint, other.Fingerprint)
	}
}

// TestEachMutationBreaksItsRule checks that each mutation is detected by the rule that it is made to violate.
func TestEachMutationBreaksItsRule(t *testing.T) {
	const maxSeeds = 40
	rules := map[servingsuite.Mutation]string{
		servingsuite.MutationReissueCalls:         servingsuite.RuleAtMostOnce,
		servingsuite.MutationReissueTurns:         servingsuite.RuleAtMostOnce,
		servingsuite.MutationSkipTombstone:        servingsuite.RuleRejectedNeverRuns,
		servingsuite.MutationIgnoreNonces:         servingsuite.RuleAnswerMatchesRequest,
		servingsuite.MutationSpliceStreams:        servingsuite.RuleStreamContiguous,
		servingsuite.MutationIgnoreDrains:         servingsuite.RuleNothingAfterDrain,
		servingsuite.MutationEarlyAcknowledgement: servingsuite.RuleRouteInForce,
		servingsuite.MutationSkipReservation:      servingsuite.RuleWithinBudget,
		servingsuite.MutationNoDeadline:           servingsuite.RuleAnsweredByDeadline,
		servingsuite.MutationUnboundedWait:        servingsuite.RuleEarlyRejection,
		servingsuite.MutationNoRetryAfter:         servingsuite.RuleRetryAfterGiven,
		servingsuite.MutationSwapClasses:          servingsuite.RulePriorityOrder,
		servingsuite.MutationEjectAll:             servingsuite.RuleEjectionBound,
		servingsuite.MutationNeverRenew:           servingsuite.RuleServiceRecovers,
	}
	if len(rules) != len(servingsuite.Mutations()) {
		t.Fatalf("%d of %d mutations have a rule", len(rules), len(servingsuite.Mutations()))
	}
	for _, mutation := range servingsuite.Mutations() {
		t.Run(string(mutation), func(t *testing.T) {
			for seed := int64(1); seed <= maxSeeds; seed++ {
				report := servingsuite.Run(seed, servingsuite.Options{Mutation: mutation})
				if violates(report.Report, rules[mutation]) {
					t.Logf("seed %d shows it", seed)
					return
				}
			}
			t.Fatalf("no seed breaks: %s", rules[mutation])
		})
	}
}

func violates(report sim.Report, name string) bool {
	for _, rule := range report.Rules {
		if rule.Name == name && len(rule.Violations) > 0 {
			return true
		}
	}
	return false
}
