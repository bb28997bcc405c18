package statesuite_test

import (
	"slices"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
	"github.com/rosestand/rosestand/internal/testing/sim/statesuite"
)

// seedsToNotice bounds the search for a run that shows a mutation, from the seed that is known to.
const seedsToNotice = 60

type mutationCase struct {
	mutation statesuite.Mutation
	// rules name the checkers of which one must notice.
	rules   []string
	seed    int64
	options statesuite.Options
}

// Faults that bring some mutations about sooner than the usual mixture.
var (
	electionStorm = statesuite.Options{
		Kinds: []sim.FaultKind{sim.FaultCrash, sim.FaultCrash, sim.FaultMessageLoss},
		Roles: []statesuite.Role{statesuite.RoleCore}, FaultCount: 100, LongestFault: 800 * time.Millisecond, Plain: true,
	}
	cutStores = statesuite.Options{
		Kinds: []sim.FaultKind{sim.FaultOutboundPartition, sim.FaultInboundPartition},
		Roles: []statesuite.Role{statesuite.RoleStore}, FaultCount: 40, LongestFault: 2500 * time.Millisecond, Plain: true,
	}
	lostStores = statesuite.Options{
		Kinds: []sim.FaultKind{sim.FaultDiskLoss, sim.FaultOutboundPartition, sim.FaultInboundPartition, sim.FaultCrash},
		Roles: []statesuite.Role{statesuite.RoleStore}, FaultCount: 60, LongestFault: 1500 * time.Millisecond, Plain: true,
	}
	regions = statesuite.Options{Shape: statesuite.ShapeRegions}
	// onlyZoneFaults cuts and takes away regions and zones of a fleet that has met no more than the restart of everything.
	// Its operators give the spread of replicas up, as they did when its seeds were found.
	onlyZoneFaults = statesuite.Options{
		Shape: statesuite.ShapeRegions, Kinds: []sim.FaultKind{sim.FaultMessageLoss}, FaultCount: 1, LongestFault: 300 * time.Millisecond, GiveUpSpread: true,
	}
	// onlyRestart has nothing but the restart of everything beside one harmless fault.
	onlyRestart = statesuite.Options{Kinds: []sim.FaultKind{sim.FaultMessageLoss}, FaultCount: 1, LongestFault: 300 * time.Millisecond}
	// secondCoreLosses lets a member that lags be all that is left of the log.
	secondCoreLosses = statesuite.Options{
		Kinds: []sim.FaultKind{sim.FaultDiskLoss, sim.FaultDiskLoss, sim.FaultFreeze, sim.FaultInboundPartition},
		Roles: []statesuite.Role{statesuite.RoleCore}, FaultCount: 40, LongestFault: 1500 * time.Millisecond,
	}
	// staleStore keeps a store and a front node from the core until the store's shards have moved, then keeps another
	// store from the ones that took them: two majorities, of the former and of the new placement, that share no store.
	staleStore = statesuite.Options{Faults: []sim.Fault{
		{
			At: 6 * time.Second, Kind: sim.FaultPartition, Duration: 20 * time.Second,
			Targets: []sim.Address{"store-1", "front-1"}, Peers: []sim.Address{sim.AllWithPrefix("core-")},
		},
		{
			At: 14 * time.Second, Kind: sim.FaultPartition, Duration: 9 * time.Second,
			Targets: []sim.Address{"store-2"}, Peers: []sim.Address{"store-3", "store-4", "store-5", "store-6", "store-7", "store-8"},
		},
	}}
	lostCoreDisks = statesuite.Options{
		Kinds: []sim.FaultKind{sim.FaultDiskLoss}, Roles: []statesuite.Role{statesuite.RoleCore}, FaultCount: 12, LongestFault: 800 * time.Millisecond,
	}
	lostStoreDisks = statesuite.Options{
		Kinds: []sim.FaultKind{sim.FaultDiskLoss}, Roles: []statesuite.Role{statesuite.RoleStore}, FaultCount: 12, LongestFault: 800 * time.Millisecond,
	}
)

func mutationCases() []mutationCase {
	coreRules := []string{
		statesuite.RuleSameLog, statesuite.RuleOneVote, statesuite.RuleOneWinner, statesuite.RuleOrdersKept, statesuite.RuleViewsAdvance,
	}
	registerRules := []string{
		statesuite.RuleRegisters, statesuite.RuleBudget, statesuite.RuleTurnsKept, statesuite.RuleRefusals, statesuite.RuleCallsOnce,
	}
	return []mutationCase{
		{mutation: statesuite.CoreAcknowledgesBeforeSync, rules: coreRules, seed: 2},
		{mutation: statesuite.CoreVotesAfterLostDisk, rules: coreRules, seed: 2},
		{mutation: statesuite.CoreForgetsVotes, rules: []string{statesuite.RuleOneVote, statesuite.RuleSameLog}, seed: 182, options: electionStorm},
		{mutation: statesuite.CoreReadsWithoutLease, rules: []string{statesuite.RuleViewsAdvance, statesuite.RuleOneWinner}, seed: 28},
		{mutation: statesuite.CoreForgetsOrders, rules: []string{statesuite.RuleOrdersKept}, seed: 1},
		{mutation: statesuite.CoreAcknowledgesLosers, rules: []string{statesuite.RuleOneWinner}, seed: 1},
		{mutation: statesuite.CoreIgnoresLeaseDrift, rules: []string{statesuite.RuleOneLease}, seed: 26},
		{mutation: statesuite.StoreAcknowledgesBeforeSync, rules: registerRules, seed: 3},
		{mutation: statesuite.StoreVotesAfterLostDisk, rules: registerRules, seed: 44, options: lostStores},
		{mutation: statesuite.StoreReadsOneReplica, rules: []string{statesuite.RuleRegisters}, seed: 1},
		{mutation: statesuite.StoreTrustsOneMissing, rules: []string{statesuite.RuleTurnsKept}, seed: 1},
		{mutation: statesuite.StoreSettlesBeforeKeeping, rules: []string{statesuite.RuleTurnsKept}, seed: 1},
		{mutation: statesuite.StoreReusesFailedHead, rules: registerRules, seed: 34, options: cutStores},
		{mutation: statesuite.CoreVotesAfterLostDisk, rules: []string{statesuite.RuleSecondLoss}, seed: 1, options: secondCoreLosses},
		{mutation: statesuite.CoreSnapshotsOldState, rules: []string{statesuite.RuleRestart}, seed: 1, options: onlyRestart},
		{mutation: statesuite.CoreSnapshotsOldState, rules: []string{statesuite.RuleBundlesKept}, seed: 1},
		{mutation: statesuite.CoreEmptiesEarly, rules: []string{statesuite.RuleEmptied}, seed: 1},
		{mutation: statesuite.CoreRepeatsMemberOrders, rules: []string{statesuite.RuleMembers}, seed: 1},
		{mutation: statesuite.CoreForgetsRemovedMembers, rules: []string{statesuite.RuleMembers}, seed: 1},
		{mutation: statesuite.CoreRemovesBeforeReplacing, rules: []string{statesuite.RuleServiceReturns}, seed: 1, options: lostCoreDisks},
		{mutation: statesuite.CoreIgnoresRegions, rules: []string{statesuite.RuleServedElsewhere}, seed: 1, options: onlyZoneFaults},
		{mutation: statesuite.CoreIgnoresRegions, rules: []string{statesuite.RuleSpreadAgain}, seed: 1, options: regions},
		{mutation: statesuite.StoreAcceptsOldEpochs, rules: registerRules, seed: 1, options: staleStore},
		{mutation: statesuite.StoreReportsCopiedEarly, rules: []string{statesuite.RuleStoreLoss}, seed: 1, options: lostStoreDisks},
		{mutation: statesuite.FrontPollsRarely, rules: []string{statesuite.RuleInForce}, seed: 1},
		{mutation: statesuite.FrontTakesAnyView, rules: []string{statesuite.RuleNoStepBack}, seed: 1},
		{mutation: statesuite.FrontSkipsDeltaSteps, rules: []string{statesuite.RuleSameContent}, seed: 1},
		{mutation: statesuite.StoresStayDown, rules: []string{statesuite.RuleServiceReturns}, seed: 1},
		{mutation: statesuite.DisksRot, rules: []string{statesuite.RuleNoFalseDamage}, seed: 1},
		{mutation: statesuite.FrontSkipsTombstone, rules: []string{statesuite.RuleRefusals}, seed: 1},
		{mutation: statesuite.FrontSkipsReservation, rules: []string{statesuite.RuleBudget}, seed: 1},
		{mutation: statesuite.FrontSkipsIntent, rules: []string{statesuite.RuleCallsOnce}, seed: 1},
	}
}

func TestCheckersNoticeMutations(t *testing.T) {
	tested := map[statesuite.Mutation]bool{}
	for _, mutated := range mutationCases() {
		tested[mutated.mutation] = true
		t.Run(string(mutated.mutation)+"/"+mutated.rules[0], func(t *testing.T) {
			t.Parallel()
			mutated.mustBeNoticed(t)
		})
	}
	for _, mutation := range statesuite.Mutations() {
		if !tested[mutation] {
			t.Errorf("no test shows that %s is noticed", mutation)
		}
	}
}

func (c mutationCase) mustBeNoticed(t *testing.T) {
	options := c.options
	options.Mutation = c.mutation
	for seed := c.seed; seed < c.seed+seedsToNotice; seed++ {
		for _, rule := range statesuite.Run(seed, options).Rules {
			if len(rule.Violations) > 0 && slices.Contains(c.rules, rule.Name) {
				t.Logf("seed %d: %s: %s", seed, rule.Name, rule.Violations[0])
				return
			}
		}
	}
	t.Errorf("no checker noticed in %d runs", seedsToNotice)
}

// TestFaultsOfMutationsAloneViolateNothing shows that it is the mutation that the checkers notice.
func TestFaultsOfMutationsAloneViolateNothing(t *testing.T) {
	for name, options := range map[string]statesuite.Options{
		"election storm": electionStorm, "cut stores": cutStores, "lost stores": lostStores,
		"only a restart": onlyRestart, "only faults of zones": onlyZoneFaults, "second core losses": secondCoreLosses, "stale store": staleStore,
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
