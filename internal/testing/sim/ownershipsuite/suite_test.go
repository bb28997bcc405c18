package ownershipsuite_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/testing/sim"
	"github.com/rosestand/rosestand/internal/testing/sim/ownershipsuite"
)

const fixedSeeds = 10

func checkRun(t testing.TB, report ownershipsuite.Report) {
	t.Helper()
	for _, rule := range report.Rules {
		for _, violation := range rule.Violations {
			t.Errorf("seed %d: %s: %s", report.Seed, rule.Name, violation)
		}
	}
	if report.Exhausted || report.Turns == 0 || report.Calls == 0 {
		t.Errorf("seed %d: %d turns, %d calls, exhausted %v", report.Seed, report.Turns, report.Calls, report.Exhausted)
	}
}

// Every rule holds for ten fixed seeds under all policies, and together the runs provoke every rule.
func TestRulesHoldForFixedSeeds(t *testing.T) {
	for _, example := range []struct {
		name   string
		first  int64
		policy directory.Policy
	}{
		{"salvage, settle then yield", 1, directory.Policy{}},
		{"salvage, higher view version", 101, directory.Policy{HigherViewVersion: true}},
		{"end sessions", 201, directory.Policy{EndSessions: true}},
	} {
		t.Run(example.name, func(t *testing.T) {
			provoked := make(map[string]int)
			maxConvergence := make(map[string]time.Duration)
			for seed := example.first; seed < example.first+fixedSeeds; seed++ {
				report := ownershipsuite.Run(seed, ownershipsuite.Options{Policy: example.policy})
				checkRun(t, report)
				for _, rule := range report.Rules {
					provoked[rule.Name] += rule.Provoked
				}
				for name, took := range report.Convergence {
					maxConvergence[name] = max(maxConvergence[name], took)
				}
			}
			for name, took := range maxConvergence {
				t.Logf("%s: at most %s after the last disturbance", name, took.Round(10*time.Millisecond))
			}
			for name, count := range provoked {
				if count == 0 {
					t.Errorf("no run provoked: %s", name)
				}
			}
		})
	}
}

// BenchmarkSeeds runs as many seeds as it has iterations under every policy and prints a line a rule:
//
//	go test ./internal/testing/sim/ownershipsuite -run XXX -bench Seeds -benchtime 200x -v
func BenchmarkSeeds(b *testing.B) {
	for _, policy := range []directory.Policy{{}, {HigherViewVersion: true}, {EndSessions: true}} {
		search := sim.SearchOptions{First: 1, Count: b.N, Workers: 3}
		summary := sim.Search(search, ownershipsuite.Runner(ownershipsuite.Options{Policy: policy}))
		var text strings.Builder
		if err := summary.Write(&text, func(seed int64) string {
			return fmt.Sprintf("seed %d, policy %+v", seed,
				policy)
		}); err != nil {
			b.Fatal(err)
		}
		b.Logf("policy %+v\n%s", policy, text.String())
		if len(summary.Failed) > 0 {
			b.Fail()
		}
	}
}

func TestRunIsDeterministic(t *testing.T) {
	one := ownershipsuite.Run(3, ownershipsuite.Options{})
	other := ownershipsuite.Run(3, ownershipsuite.Options{})
	if one.Fingerprint != other.Fingerprint || one.Turns != other.Turns || one.MessagesSent != other.MessagesSent {
		t.Fatalf("%x and %x", one.Fingerprint, other.Fingerprint)
	}
}

// Without faults no lease is lost and no session changes its owner.
func TestIdleFleetChangesNoOwner(t *testing.T) {
	report := ownershipsuite.Run(1, ownershipsuite.Options{FaultCount: -1})
	checkRun(t, report)
	if report.LostLeases != 0 || len(report.Yields) != 0 {
		t.Fatalf("%d leases lost, yields %v", report.LostLeases, report.Yields)
	}
}

// Each rule detects a defect: a mutation of the code violates it for some fixed seed.
func TestEachMutationBreaksItsRule(t *testing.T) {
	for mutation, rule := range map[ownershipsuite.Mutation]string{
		ownershipsuite.MutationAcceptDuplicates:     ownershipsuite.RuleSingleOwner,
		ownershipsuite.MutationDropRegistrations:    ownershipsuite.RuleRegistered,
		ownershipsuite.MutationIgnoreViews:          ownershipsuite.RuleCorrectPartition,
		ownershipsuite.MutationNeverExpireAuthority: ownershipsuite.RuleNoActionAfterLease,
		ownershipsuite.MutationNeverExpireLease:     ownershipsuite.RuleNoActionWithoutContact,
		ownershipsuite.MutationLedgerIgnoresEpoch:   ownershipsuite.RuleLedgerFences,
		ownershipsuite.MutationBackEndIgnoresEpoch:  ownershipsuite.RuleBackEndFences,
		ownershipsuite.MutationReissueCalls:         ownershipsuite.RuleAtMostOnce,
		ownershipsuite.MutationRenewWithoutContact:  ownershipsuite.RuleUnreachableLosesLease,
		ownershipsuite.MutationNeverRenew:           ownershipsuite.RuleServiceRecovers,
		ownershipsuite.MutationIgnoreDisplacement:   ownershipsuite.RuleSingleOwner,
	} {
		t.Run(string(mutation), func(t *testing.T) {
			for seed := int64(1); seed <= 200; seed++ {
				if violates(ownershipsuite.Run(seed, ownershipsuite.Options{Mutation: mutation}), rule) {
					t.Logf("seed %d shows it", seed)
					return
				}
			}
			t.Fatalf("no seed breaks: %s", rule)
		})
	}
}

func violates(report ownershipsuite.Report, name string) bool {
	for _, rule := range report.Rules {
		if rule.Name == name && len(rule.Violations) > 0 {
			return true
		}
	}
	return false
}
