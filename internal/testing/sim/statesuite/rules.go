package statesuite

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/testing/sim"

	"github.com/cockroachdb/errors"
)

// Names of the rules, as reports print them.
const (
	RuleSameLog                   = "core members apply the same log"
	RuleOneVote                   = "a core member votes for one candidate a term"
	RuleOneLease                  = "at most one core member holds the leader lease"
	RuleBundlesLinearizable       = "bundle numbers are linearizable, one winner each"
	RuleOrdersIdempotent          = "an acknowledged order is acknowledged again"
	RuleViewsMonotonic            = "a fresh view is never older than one read before"
	RuleBundlesDurable            = "an acknowledged bundle is never lost"
	RuleBundlesSurviveSecondLoss  = "an acknowledged bundle survives a second loss right after a repair"
	RuleBundlesSurviveRestart     = "the newest bundle comes back after a restart that follows hundreds of changes"
	RuleInForceWithinBound        = "a configuration is in force on every reachable node within 2 s"
	RuleConfigurationMonotonic    = "no node goes back to an older bundle"
	RuleSameContent               = "a node's configuration is that of the control log"
	RuleEmptiedStoreIsEmpty       = "a store is acknowledged as empty only when every shard has its full set elsewhere"
	RuleRemovedMembersStayRemoved = "a core member removed by order stays removed"
	RuleTurnsSurviveSecondLoss    = "a kept turn survives a second loss right after a repair"
	RuleRegistersLinearizable     = "registers are linearizable"
	RuleWithinBudget              = "no program receives more than its budget plus one turn"
	RuleTurnsDurable              = "a kept turn is never missing"
	RuleRejectedNeverRuns         = "a refused request never runs"
	RuleCallsAtMostOnce           = "a call that may not be repeated runs once"
	RuleCrashIsNoCorruption       = "a crash is never taken for damage"
	RuleServiceRecovers           = "service is back within 12 s"

	RuleServedDuringZoneFault = "while a region or zone is cut off or lost the others are served"
	RuleServedAfterZoneFault  = "everyone is served within 12 s of the healing of zones"
	RuleSpreadAfterZoneFault  = "each shard is whole and spread over regions a minute after zones heal"
)

type ruleSet struct {
	sameLog, oneVote, oneLease, bundlesLinearizable, ordersIdempotent, viewsMonotonic       *sim.Rule
	registersLinearizable, withinBudget, turnsDurable, rejectedNeverRuns, callsAtMostOnce   *sim.Rule
	crashIsNoCorruption, serviceRecovers                                                    *sim.Rule
	bundlesDurable, bundlesSurviveSecondLoss, bundlesSurviveRestart, turnsSurviveSecondLoss *sim.Rule
	inForceWithinBound, configurationMonotonic, sameContent, emptiedStoreIsEmpty,
	removedMembersStayRemoved *sim.Rule
	servedDuringZoneFault, servedAfterZoneFault, spreadAfterZoneFault *sim.Rule
}

func newRuleSet(world *sim.World, shape fleetShape) ruleSet {
	rules := ruleSet{
		sameLog: world.NewRule(RuleSameLog), oneVote: world.NewRule(RuleOneVote), oneLease: world.NewRule(RuleOneLease),
		bundlesLinearizable: world.NewRule(RuleBundlesLinearizable), ordersIdempotent: world.NewRule(RuleOrdersIdempotent),
		bundlesDurable:           world.NewRule(RuleBundlesDurable),
		bundlesSurviveSecondLoss: world.NewRule(RuleBundlesSurviveSecondLoss),
		bundlesSurviveRestart:    world.NewRule(RuleBundlesSurviveRestart),
		inForceWithinBound:       world.NewRule(RuleInForceWithinBound),
		configurationMonotonic:   world.NewRule(RuleConfigurationMonotonic), sameContent: world.NewRule(RuleSameContent),
		emptiedStoreIsEmpty:       world.NewRule(RuleEmptiedStoreIsEmpty),
		removedMembersStayRemoved: world.NewRule(RuleRemovedMembersStayRemoved),
		turnsSurviveSecondLoss:    world.NewRule(RuleTurnsSurviveSecondLoss),
		viewsMonotonic:            world.NewRule(RuleViewsMonotonic),
		registersLinearizable:     world.NewRule(RuleRegistersLinearizable),
		withinBudget:              world.NewRule(RuleWithinBudget), turnsDurable: world.NewRule(RuleTurnsDurable),
		rejectedNeverRuns: world.NewRule(RuleRejectedNeverRuns), callsAtMostOnce: world.NewRule(RuleCallsAtMostOnce),
		crashIsNoCorruption: world.NewRule(RuleCrashIsNoCorruption), serviceRecovers: world.NewRule(RuleServiceRecovers),
	}
	if len(shape.regions) > 0 {
		rules.servedDuringZoneFault, rules.servedAfterZoneFault = world.NewRule(RuleServedDuringZoneFault),
			world.NewRule(RuleServedAfterZoneFault)
		rules.spreadAfterZoneFault = world.NewRule(RuleSpreadAfterZoneFault)
	}
	return rules
}

// checkStartFailure distinguishes corruption, which no fault here may cause, from the injected failures of disks.
func (s *suite) checkStartFailure(environment *sim.Environment, err error) error {
	var corrupt *storage.CorruptError
	if errors.As(err, &corrupt) {
		s.rules.crashIsNoCorruption.Violatef("%s: %v", environment.Address(), corrupt)
	}
	return err
}

// recordStart counts a start on a disk that was used before.
func (s *suite) recordStart(environment *sim.Environment) {
	if environment.Incarnation() > 1 {
		s.rules.crashIsNoCorruption.Provoke()
	}
}

type appliedEntry struct {
	term uint64
	hash uint64
}

// checkApplied compares an entry that a member applies with what others applied at the index.
func (s *suite) checkApplied(address sim.Address, entry *protocol.Entry) {
	own := appliedEntry{term: entry.GetTerm(), hash: hashOf(string(entry.GetData()))}
	first, found := s.appliedEntries[entry.GetIndex()]
	if !found {
		s.appliedEntries[entry.GetIndex()] = own
		s.applyToOracle(entry)
		return
	}
	s.rules.sameLog.Check(first == own, "%s applies another entry at index %d", address, entry.GetIndex())
	if first != own && entry.GetIndex() <= s.acknowledgedState.index {
		s.checkBundles(false, "%s lost entry %d; operators were told of what came of entry %d", address, entry.GetIndex(),
			s.acknowledgedState.index)
	}
}

// checkVote records for whom a member votes in a term, and compares.
func (s *suite) checkVote(message *protocol.ConsensusMessage) {
	granted := message.GetKind() == protocol.ConsensusMessageKind_VOTE_RESPONSE && !message.GetReject()
	requested := message.GetKind() == protocol.ConsensusMessageKind_VOTE
	if !granted && !requested {
		return
	}
	candidate := message.GetTo()
	if requested {
		// A candidate votes for itself.
		candidate = message.GetFrom()
	}
	vote := memberTerm{member: message.GetFrom(), term: message.GetTerm()}
	first, voted := s.votes[vote]
	if !voted {
		s.votes[vote] = candidate
		first = candidate
	}
	s.rules.oneVote.Check(first == candidate, "member %d voted for %d and %d in term %d", vote.member, first, candidate,
		vote.term)
}

type memberTerm struct{ member, term uint64 }

func (p *coreProcess) holdsLease() bool {
	now := p.environment.Now()
	ends := p.node.LeaseEnds(now)
	if p.suite.options.Mutation == CoreIgnoresLeaseDrift && !ends.IsZero() {
		ends = ends.Add(3 * consensus.DefaultElectionTimeout)
	}
	return p.node.Role() == consensus.Leader && now.Before(ends)
}

// checkLease checks that no other running member holds the leader lease.
func (s *suite) checkLease(p *coreProcess) {
	if !p.holdsLease() {
		return
	}
	s.rules.oneLease.Provoke()
	for _, other := range s.coreProcesses() {
		if other != p && other.holdsLease() {
			s.rules.oneLease.Violatef("%s and %s", p.environment.Address(), other.environment.Address())
		}
	}
}

// coreProcesses returns the core processes that run and are not frozen.
func (s *suite) coreProcesses() []*coreProcess {
	var running []*coreProcess
	for _, machine := range s.world.Machines() {
		if process, isCore := machine.Process().(*coreProcess); isCore && !machine.Frozen() && process.node != nil {
			running = append(running, process)
		}
	}
	return running
}

func (s *suite) recordExecution(id string) {
	s.executedRequests[id] = true
	s.rules.rejectedNeverRuns.Check(!s.rejectedRequests[id], "request %s runs after it was refused", id)
}

func (s *suite) recordRejection(request string) {
	s.rejectedRequests[request] = true
	s.rules.rejectedNeverRuns.Check(!s.executedRequests[request], "request %s was refused although it ran", request)
}

func (s *suite) recordIssue(call string) {
	s.issueCounts[call]++
	s.rules.callsAtMostOnce.Check(s.issueCounts[call] == 1, "call %s was issued %d times", call, s.issueCounts[call])
	s.rules.rejectedNeverRuns.Check(!s.rejectedRequests[call], "call %s is issued after it was refused", call)
}

func (s *suite) recordCallRejection(call string) {
	s.rejectedRequests[call] = true
	s.rules.rejectedNeverRuns.Check(s.issueCounts[call] == 0, "call %s was refused although it was issued", call)
}

// countDelivered counts tokens that a caller received.
func (s *suite) countDelivered(program string, tokens uint64) {
	s.deliveredTokens[program] += tokens
	s.rules.withinBudget.Check(s.deliveredTokens[program] <= programBudget+turnReservationLimit,
		"program %s received %d tokens of a budget of %d", program, s.deliveredTokens[program], programBudget)
}

// checkHistories checks the recorded histories for linearizability.
func (s *suite) checkHistories() {
	winners := map[string]bool{}
	for _, operations := range s.bundles.objects {
		for _, operation := range operations {
			if answer, answered := operation.output.(putAnswer); answered {
				winners[answer.winner] = true
			}
		}
	}
	s.bundles.check(s.rules.bundlesLinearizable, bundleModel, func(_ uint64, input any) bool {
		put, isPut := input.(putBundle)
		return isPut && winners[put.digest]
	})
	s.registers.check(s.rules.registersLinearizable, listModel, func(_ string, input any) bool {
		appended, isAppend := input.(appendID)
		return isAppend && s.observedIDs[appended.id]
	})
}

// checkSameState compares the states of core members that applied the same index.
func (s *suite) checkSameState() {
	states := map[uint64]uint64{}
	for _, process := range s.coreProcesses() {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(process.state.Snapshot())
		if err != nil {
			continue
		}
		index, hash := process.node.Applied(), hashOf(string(data))
		first, found := states[index]
		if !found {
			states[index] = hash
			continue
		}
		s.rules.sameLog.Check(first == hash, "%s has another state at index %d", process.environment.Address(), index)
	}
}
