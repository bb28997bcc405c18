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
	RuleSameLog        = "core members apply the same log"
	RuleOneVote        = "a core member votes for one candidate a term"
	RuleOneLease       = "at most one core member holds the leader lease"
	RuleOneWinner      = "bundle numbers are linearizable, one winner each"
	RuleOrdersKept     = "an acknowledged order is acknowledged again"
	RuleViewsAdvance   = "a fresh view is never older than one read before"
	RuleBundlesKept    = "an acknowledged bundle is never lost"
	RuleSecondLoss     = "an acknowledged bundle survives a second loss right after a repair"
	RuleRestart        = "the newest bundle comes back after a restart that follows hundreds of changes"
	RuleInForce        = "a configuration is in force on every reachable node within 2 s"
	RuleNoStepBack     = "no node goes back to an older bundle"
	RuleSameContent    = "a node's configuration is that of the control log"
	RuleEmptied        = "a store is acknowledged as empty only when every shard has its full set elsewhere"
	RuleMembers        = "a core member removed by order stays removed"
	RuleStoreLoss      = "a kept turn survives a second loss right after a repair"
	RuleRegisters      = "registers are linearizable"
	RuleBudget         = "no program receives more than its budget plus one turn"
	RuleTurnsKept      = "a kept turn is never missing"
	RuleRefusals       = "a refused request never runs"
	RuleCallsOnce      = "a call that may not be repeated runs once"
	RuleNoFalseDamage  = "a crash is never taken for damage"
	RuleServiceReturns = "service is back within 12 s"

	RuleServedElsewhere    = "while a region or zone is cut off or lost the others are served"
	RuleServedAfterHealing = "everyone is served within 12 s of the healing of zones"
	RuleSpreadAgain        = "each shard is whole and spread over regions a minute after zones heal"
)

type ruleSet struct {
	sameLog, oneVote, oneLease, oneWinner, ordersKept, viewsAdvance *sim.Rule
	registers, budget, turnsKept, refusals, callsOnce               *sim.Rule
	noFalseDamage, serviceReturns                                   *sim.Rule
	bundlesKept, secondLoss, restart, storeLoss                     *sim.Rule
	inForce, noStepBack, sameContent, emptied, members              *sim.Rule
	servedElsewhere, servedAfterHealing, spreadAgain                *sim.Rule
}

func newRuleSet(world *sim.World, shape fleetShape) ruleSet {
	rules := ruleSet{
		sameLog: world.NewRule(RuleSameLog), oneVote: world.NewRule(RuleOneVote), oneLease: world.NewRule(RuleOneLease),
		oneWinner: world.NewRule(RuleOneWinner), ordersKept: world.NewRule(RuleOrdersKept),
		bundlesKept: world.NewRule(RuleBundlesKept), secondLoss: world.NewRule(RuleSecondLoss), restart: world.NewRule(RuleRestart),
		inForce: world.NewRule(RuleInForce), noStepBack: world.NewRule(RuleNoStepBack), sameContent: world.NewRule(RuleSameContent),
		emptied: world.NewRule(RuleEmptied), members: world.NewRule(RuleMembers), storeLoss: world.NewRule(RuleStoreLoss),
		viewsAdvance: world.NewRule(RuleViewsAdvance), registers: world.NewRule(RuleRegisters),
		budget: world.NewRule(RuleBudget), turnsKept: world.NewRule(RuleTurnsKept),
		refusals: world.NewRule(RuleRefusals), callsOnce: world.NewRule(RuleCallsOnce),
		noFalseDamage: world.NewRule(RuleNoFalseDamage), serviceReturns: world.NewRule(RuleServiceReturns),
	}
	if len(shape.regions) > 0 {
		rules.servedElsewhere, rules.servedAfterHealing = world.NewRule(RuleServedElsewhere), world.NewRule(RuleServedAfterHealing)
		rules.spreadAgain = world.NewRule(RuleSpreadAgain)
	}
	return rules
}

// noteStartFailure tells damage, which no fault here may cause, from failures of the disk that do happen.
func (s *suite) noteStartFailure(environment *sim.Environment, err error) error {
	var corrupt *storage.CorruptError
	if errors.As(err, &corrupt) {
		s.rules.noFalseDamage.Violatef("%s: %v", environment.Address(), corrupt)
	}
	return err
}

// noteStart counts a start on a disk that was used before.
func (s *suite) noteStart(environment *sim.Environment) {
	if environment.Incarnation() > 1 {
		s.rules.noFalseDamage.Provoke()
	}
}

type appliedEntry struct {
	term uint64
	hash uint64
}

// noteApplied compares what a member applies with what others applied at the index.
func (s *suite) noteApplied(address sim.Address, entry *protocol.Entry) {
	own := appliedEntry{term: entry.GetTerm(), hash: hashOf(string(entry.GetData()))}
	first, found := s.applied[entry.GetIndex()]
	if !found {
		s.applied[entry.GetIndex()] = own
		s.follow(entry)
		return
	}
	s.rules.sameLog.Check(first == own, "%s applies another entry at index %d", address, entry.GetIndex())
	if first != own && entry.GetIndex() <= s.told.index {
		s.checkBundles(false, "%s lost entry %d; operators were told of what came of entry %d", address, entry.GetIndex(), s.told.index)
	}
}

// noteVote remembers whom a member, known by its id, votes for.
func (s *suite) noteVote(message *protocol.ConsensusMessage) {
	granted := message.GetKind() == protocol.ConsensusMessageKind_VOTE_RESPONSE && !message.GetReject()
	asked := message.GetKind() == protocol.ConsensusMessageKind_VOTE
	if !granted && !asked {
		return
	}
	candidate := message.GetTo()
	if asked {
		// A candidate votes for itself.
		candidate = message.GetFrom()
	}
	vote := memberTerm{member: message.GetFrom(), term: message.GetTerm()}
	first, voted := s.votes[vote]
	if !voted {
		s.votes[vote] = candidate
		first = candidate
	}
	s.rules.oneVote.Check(first == candidate, "member %d voted for %d and %d in term %d", vote.member, first, candidate, vote.term)
}

type memberTerm struct{ member, term uint64 }

func (p *coreProcess) leaseRuns() bool {
	now := p.environment.Now()
	ends := p.node.LeaseEnds(now)
	if p.suite.options.Mutation == CoreIgnoresLeaseDrift && !ends.IsZero() {
		ends = ends.Add(3 * consensus.DefaultElectionTimeout)
	}
	return p.node.Role() == consensus.Leader && now.Before(ends)
}

// checkLease compares a leader with all others that run at this moment.
func (s *suite) checkLease(p *coreProcess) {
	if !p.leaseRuns() {
		return
	}
	s.rules.oneLease.Provoke()
	for _, other := range s.coreProcesses() {
		if other != p && other.leaseRuns() {
			s.rules.oneLease.Violatef("%s and %s", p.environment.Address(), other.environment.Address())
		}
	}
}

// coreProcesses are those that run and are not frozen.
func (s *suite) coreProcesses() []*coreProcess {
	var running []*coreProcess
	for _, machine := range s.world.Machines() {
		if process, isCore := machine.Process().(*coreProcess); isCore && !machine.Frozen() && process.node != nil {
			running = append(running, process)
		}
	}
	return running
}

func (s *suite) noteRun(request string) {
	s.ran[request] = true
	s.rules.refusals.Check(!s.refused[request], "request %s runs after it was refused", request)
}

func (s *suite) noteRefused(request string) {
	s.refused[request] = true
	s.rules.refusals.Check(!s.ran[request], "request %s was refused although it ran", request)
}

func (s *suite) noteIssued(call string) {
	s.issued[call]++
	s.rules.callsOnce.Check(s.issued[call] == 1, "call %s was issued %d times", call, s.issued[call])
	s.rules.refusals.Check(!s.refused[call], "call %s is issued after it was refused", call)
}

func (s *suite) noteCallRefused(call string) {
	s.refused[call] = true
	s.rules.refusals.Check(s.issued[call] == 0, "call %s was refused although it was issued", call)
}

// deliver counts tokens that a caller received.
func (s *suite) deliver(program string, tokens uint64) {
	s.delivered[program] += tokens
	s.rules.budget.Check(s.delivered[program] <= programBudget+turnCeiling,
		"program %s received %d tokens of a budget of %d", program, s.delivered[program], programBudget)
}

// checkHistories looks for linear orders once the run is over.
func (s *suite) checkHistories() {
	winners := map[string]bool{}
	for _, operations := range s.bundles.objects {
		for _, operation := range operations {
			if answer, answered := operation.output.(putAnswer); answered {
				winners[answer.winner] = true
			}
		}
	}
	s.bundles.check(s.rules.oneWinner, bundleModel, func(_ uint64, input any) bool {
		put, isPut := input.(putBundle)
		return isPut && winners[put.digest]
	})
	s.lists.check(s.rules.registers, listModel, func(_ string, input any) bool {
		appended, isAppend := input.(appendID)
		return isAppend && s.seenIDs[appended.id]
	})
}

// checkSameState compares the states of core members that applied equally much.
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
