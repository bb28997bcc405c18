package statesuite_test

import (
	"slices"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
	"github.com/rosestand/rosestand/internal/testing/sim/statesuite"
)

// seedsToDetect bounds the search for a run that detects a mutation, from a seed that did so before.
const seedsToDetect = 60

type mutationCase struct {
	mutation statesuite.Mutation
	// rules are the rules of which one must be violated.
	rules   []string
	seed    int64
	options statesuite.Options
}

// Faults that expose some mutations with fewer seeds than the default mixture.
var (
	electionStorm = statesuite.Options{
		Kinds: []sim.FaultKind{sim.FaultCrash, sim.FaultCrash, sim.FaultMessageLoss},
		Roles: []statesuite.Role{statesuite.RoleCore}, FaultCount: 100, MaxFaultDuration: 800 * time.Millisecond, Plain: true,
	}
	partitionedStores = statesuite.Options{
		Kinds: []sim.FaultKind{sim.FaultOutboundPartition, sim.FaultInboundPartition},
		Roles: []statesuite.Role{statesuite.RoleStore}, FaultCount: 40, MaxFaultDuration: 2500 * time.Millisecond,
		Plain: true,
	}
	lostStores = statesuite.Options{
		Kinds: []sim.FaultKind{sim.FaultDiskLoss, sim.FaultOutboundPartition, sim.FaultInboundPartition, sim.FaultCrash},
		Roles: []statesuite.Role{statesuite.RoleStore}, FaultCount: 60, MaxFaultDuration: 1500 * time.Millisecond,
		Plain: true,
	}
	regions = statesuite.Options{Shape: statesuite.ShapeRegions}
	// onlyZoneFaults partitions regions and zones and cuts their power, in a fleet that had no other fault than the full
	// restart. Its operators may lose the spread of replicas, as they did when its seeds were found.
	onlyZoneFaults = statesuite.Options{
		Shape: statesuite.ShapeRegions, Kinds: []sim.FaultKind{sim.FaultMessageLoss}, FaultCount: 1,
		MaxFaultDuration: 300 * time.Millisecond, AllowLostSpread: true,
	}
	// onlyRestart has the full restart beside one harmless fault.
	onlyRestart = statesuite.Options{
		Kinds: []sim.FaultKind{sim.FaultMessageLoss}, FaultCount: 1,
		MaxFaultDuration: 300 * time.Millisecond,
	}
	// secondCoreLosses lets the log survive only on a member that lags.
	secondCoreLosses = statesuite.Options{
		Kinds: []sim.FaultKind{sim.FaultDiskLoss, sim.FaultDiskLoss, sim.FaultFreeze, sim.FaultInboundPartition},
		Roles: []statesuite.Role{statesuite.RoleCore}, FaultCount: 40, MaxFaultDuration: 1500 * time.Millisecond,
	}
	// staleStore partitions a store and a front node from the core until the store's shards have moved, then keeps another
	// store from the ones that took them: two majorities, of the former and of the new placement, that share no store.
	staleStore = statesuite.Options{Faults: []sim.Fault{
		{
			At: 6 * time.Second, Kind: sim.FaultPartition, Duration: 20 * time.Second,
			Targets: []sim.Address{"store-1", "front-1"}, Peers: []sim.Address{sim.AllWithPrefix("core-")},
		},
		{
			At: 14 * time.Second, Kind: sim.FaultPartition, Duration: 9 * time.Second,
			Targets: []sim.Address{"store-2"}, Peers: []sim.Address{
				"store-3", "store-4", "store-5", "store-6", "store-7",
				"store-8",
			},
		},
	}}
	lostCoreDisks = statesuite.Options{
		Kinds: []sim.FaultKind{sim.FaultDiskLoss}, Roles: []statesuite.Role{statesuite.RoleCore}, FaultCount: 12,
		MaxFaultDuration: 800 * time.Millisecond,
	}
	lostStoreDisks = statesuite.Options{
		Kinds: []sim.FaultKind{sim.FaultDiskLoss}, Roles: []statesuite.Role{statesuite.RoleStore}, FaultCount: 12,
		MaxFaultDuration: 800 * time.Millisecond,
	}
)

func mutationCases() []mutationCase {
	coreRules := []string{
		statesuite.RuleSameLog, statesuite.RuleOneVote, statesuite.RuleBundlesLinearizable, statesuite.RuleOrdersIdempotent,
		statesuite.RuleViewsMonotonic,
	}
	registerRules := []string{
		statesuite.RuleRegistersLinearizable, statesuite.RuleWithinBudget, statesuite.RuleTurnsDurable,
		statesuite.RuleRejectedNeverRuns, statesuite.RuleCallsAtMostOnce,
	}
	return []mutationCase{
		{mutation: statesuite.CoreAcknowledgesBeforeSync, rules: coreRules, seed: 2},
		{mutation: statesuite.CoreVotesAfterLostDisk, rules: coreRules, seed: 2},
		{
			mutation: statesuite.CoreForgetsVotes, rules: []string{statesuite.RuleOneVote, statesuite.RuleSameLog}, seed: 182,
			options: electionStorm,
		},
		{
			mutation: statesuite.CoreReadsWithoutLease,
			rules:    []string{statesuite.RuleViewsMonotonic, statesuite.RuleBundlesLinearizable}, seed: 28,
		},
		{mutation: statesuite.CoreIgnoresOrderIDs, rules: []string{statesuite.RuleOrdersIdempotent}, seed: 1},
		{mutation: statesuite.CoreAcceptsConflictingBundles, rules: []string{statesuite.RuleBundlesLinearizable}, seed: 1},
		{mutation: statesuite.CoreIgnoresLeaseDrift, rules: []string{statesuite.RuleOneLease}, seed: 26},
		{mutation: statesuite.StoreAcknowledgesBeforeSync, rules: registerRules, seed: 3},
		{mutation: statesuite.StoreVotesAfterLostDisk, rules: registerRules, seed: 44, options: lostStores},
		{mutation: statesuite.StoreReadsOneReplica, rules: []string{statesuite.RuleRegistersLinearizable}, seed: 1},
		{mutation: statesuite.StoreReportsMissingFromOneReplica, rules: []string{statesuite.RuleTurnsDurable}, seed: 1},
		{mutation: statesuite.StoreCommitsBeforeRetaining, rules: []string{statesuite.RuleTurnsDurable}, seed: 1},
		{mutation: statesuite.StoreReusesFailedHead, rules: registerRules, seed: 34, options: partitionedStores},
		{
			mutation: statesuite.CoreVotesAfterLostDisk, rules: []string{statesuite.RuleBundlesSurviveSecondLoss}, seed: 1,
			options: secondCoreLosses,
		},
		{
			mutation: statesuite.CoreSnapshotsOldState, rules: []string{statesuite.RuleBundlesSurviveRestart}, seed: 1,
			options: onlyRestart,
		},
		{mutation: statesuite.CoreSnapshotsOldState, rules: []string{statesuite.RuleBundlesDurable}, seed: 1},
		{mutation: statesuite.CoreReportsEmptiedEarly, rules: []string{statesuite.RuleEmptiedStoreIsEmpty}, seed: 1},
		{mutation: statesuite.CoreRepeatsMemberOrders, rules: []string{statesuite.RuleRemovedMembersStayRemoved}, seed: 1},
		{mutation: statesuite.CoreForgetsRemovedMembers, rules: []string{statesuite.RuleRemovedMembersStayRemoved}, seed: 1},
		{
			mutation: statesuite.CoreRemovesBeforeReplacing, rules: []string{statesuite.RuleServiceRecovers}, seed: 1,
			options: lostCoreDisks,
		},
		{
			mutation: statesuite.CoreIgnoresRegions, rules: []string{statesuite.RuleServedDuringZoneFault}, seed: 1,
			options: onlyZoneFaults,
		},
		{
			mutation: statesuite.CoreIgnoresRegions, rules: []string{statesuite.RuleSpreadAfterZoneFault}, seed: 1,
			options: regions,
		},
		{mutation: statesuite.StoreAcceptsOldEpochs, rules: registerRules, seed: 1, options: staleStore},
		{
			mutation: statesuite.StoreReportsCopiedEarly, rules: []string{statesuite.RuleTurnsSurviveSecondLoss}, seed: 1,
			options: lostStoreDisks,
		},
		{mutation: statesuite.FrontPollsInfrequently, rules: []string{statesuite.RuleInForceWithinBound}, seed: 1},
		{mutation: statesuite.FrontReadsAnyMember, rules: []string{statesuite.RuleConfigurationMonotonic}, seed: 1},
		{mutation: statesuite.FrontSkipsDeltaSteps, rules: []string{statesuite.RuleSameContent}, seed: 1},
		{mutation: statesuite.StoresNeverRestart, rules: []string{statesuite.RuleServiceRecovers}, seed: 1},
		{mutation: statesuite.StoreLogsCorrupted, rules: []string{statesuite.RuleCrashIsNoCorruption}, seed: 1},
		{mutation: statesuite.FrontSkipsTombstone, rules: []string{statesuite.RuleRejectedNeverRuns}, seed: 1},
		{mutation: statesuite.FrontSkipsReservation, rules: []string{statesuite.RuleWithinBudget}, seed: 1},
		{mutation: statesuite.FrontSkipsIntent, rules: []string{statesuite.RuleCallsAtMostOnce}, seed: 1},
	}
}

func TestCheckersDetectMutations(t *testing.T) {
	tested := map[statesuite.Mutation]bool{}
	for _, mutated := range mutationCases() {
		tested[mutated.mutation] = true
		t.Run(string(mutated.mutation)+"/"+mutated.rules[0], func(t *testing.T) {
			t.Parallel()
			mutated.mustBeDetected(t)
		})
	}
	for _, mutation := range statesuite.Mutations() {
		if !tested[mutation] {
			t.Errorf("no test shows that %s is detected", mutation)
		}
	}
}

func (c mutationCase) mustBeDetected(t *testing.T) {
	options := c.options
	options.Mutation = c.mutation
	for seed := c.seed; seed < c.seed+seedsToDetect; seed++ {
		for _, rule := range statesuite.Run(seed, options).Rules {
			if len(rule.Violations) > 0 && slices.Contains(c.rules, rule.Name) {
				t.Logf("seed %d: %s: %s", seed, rule.Name, rule.Violations[0])
				return
			}
		}
	}
	t.Errorf("no checker detected it in %d runs", seedsToDetect)
}

// TestFaultsOfMutationsAloneViolateNothing shows that the checkers detect the mutations and not their faults.
func TestFaultsOfMutationsAloneViolateNothing(t *testing.T) {
	for name, options := range map[string]statesuite.Options{
		"election storm": electionStorm, "partitioned stores": partitionedStores, "lost stores": lostStores,
		"only a restart": onlyRestart, "only zone faults": onlyZoneFaults, "second core losses": secondCoreLosses,
		"stale store":     staleStore,
		"lost core disks": lostCoreDisks, "lost store disks": lostStoreDisks,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= 3; seed++ {
				if report := statesuite.Run(seed, options); report.Violated() || report.Exhausted {
					t.Errorf("seed %d: %+v", seed, report.Rules)
				}
			}
		})
	}
}
