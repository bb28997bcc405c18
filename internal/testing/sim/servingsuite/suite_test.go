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

// gather adds up what several runs brought about.
type gather struct {
	counts   map[servingsuite.Count]int
	provoked map[string]int
}

func newGather() *gather {
	return &gather{counts: make(map[servingsuite.Count]int), provoked: make(map[string]int)}
}

func (g *gather) run(t *testing.T, seed int64, options servingsuite.Options) {
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

// checkBrought fails when a kind of bad days did not come.
func (g *gather) checkBrought(t *testing.T, kind servingsuite.Kind) {
	t.Helper()
	for _, name := range servingsuite.CountsOf(kind) {
		if g.counts[name] == 0 {
			t.Errorf("no run brought about: %s", name)
		}
	}
}

func TestEachKindOfBadDaysAloneBreaksNoRule(t *testing.T) {
	for _, kind := range servingsuite.Kinds() {
		t.Run(string(kind), func(t *testing.T) {
			all := newGather()
			for seed := int64(1); seed <= seedsAlone; seed++ {
				all.run(t, seed, servingsuite.Options{Kinds: []servingsuite.Kind{kind}})
			}
			all.checkBrought(t, kind)
			t.Logf("%v", all.counts)
		})
	}
}

func TestAllKindsOfBadDaysTogetherBreakNoRule(t *testing.T) {
	all := newGather()
	for seed := int64(1); seed <= seedsTogether; seed++ {
		all.run(t, seed, servingsuite.Options{})
	}
	for _, kind := range servingsuite.Kinds() {
		all.checkBrought(t, kind)
	}
	for name, count := range all.provoked {
		if count == 0 {
			t.Errorf("no run gave a chance to fail to: %s", name)
		}
	}
	t.Logf("%v\n%v", all.counts, all.provoked)
}

// TestSeedsThatBrokeARuleHold runs seeds that violated a rule before what caused it was mended.
func TestSeedsThatBrokeARuleHold(t *testing.T) {
	for _, seed := range []int64{
		160, // probes got spare places while urgent turns waited that could not run
	} {
		newGather().run(t, seed, servingsuite.Options{})
	}
}

func TestARunIsRepeatable(t *testing.T) {
	one := servingsuite.Run(3, servingsuite.Options{})
	other := servingsuite.Run(3, servingsuite.Options{})
	if one.Fingerprint != other.Fingerprint || one.MessagesSent != other.MessagesSent {
		t.Fatalf("%x and %x", one.Fingerprint, other.Fingerprint)
	}
}

// TestEachMutationBreaksItsRule shows that each checker notices the fault that it is there for.
func TestEachMutationBreaksItsRule(t *testing.T) {
	const mostSeeds = 40
	rules := map[servingsuite.Mutation]string{
		servingsuite.MutationReissueCalls:         servingsuite.RuleOnce,
		servingsuite.MutationReissueTurns:         servingsuite.RuleOnce,
		servingsuite.MutationSkipTombstone:        servingsuite.RuleRefused,
		servingsuite.MutationIgnoreNonces:         servingsuite.RuleOwnAnswer,
		servingsuite.MutationSpliceStreams:        servingsuite.RuleStream,
		servingsuite.MutationIgnoreDrains:         servingsuite.RuleDrain,
		servingsuite.MutationEarlyAcknowledgement: servingsuite.RuleRoute,
		servingsuite.MutationSkipReservation:      servingsuite.RuleBudget,
		servingsuite.MutationNoDeadline:           servingsuite.RuleDeadline,
		servingsuite.MutationLongWait:             servingsuite.RuleEarly,
		servingsuite.MutationNoRetryAfter:         servingsuite.RuleRetry,
		servingsuite.MutationSwapClasses:          servingsuite.RuleUrgency,
		servingsuite.MutationEjectAll:             servingsuite.RuleHalf,
		servingsuite.MutationStayOut:              servingsuite.RuleBack,
	}
	if len(rules) != len(servingsuite.Mutations()) {
		t.Fatalf("%d of %d mutations are tried", len(rules), len(servingsuite.Mutations()))
	}
	for _, mutation := range servingsuite.Mutations() {
		t.Run(string(mutation), func(t *testing.T) {
			for seed := int64(1); seed <= mostSeeds; seed++ {
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
