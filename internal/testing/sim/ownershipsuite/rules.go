package ownershipsuite

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// silenceBound is how long a front node may be silent and still be taken for an owner.
const silenceBound = 20 * time.Second

// Names of the rules.
const (
	RuleOneOwner    = "a session has at most one owner in the end"
	RuleRegistered  = "no owned session stays unregistered"
	RulePartition   = "every registration gets to its right partition"
	RuleSilence     = "a front node silent for 20 s has stopped issuing as owner"
	RuleLease       = "nothing is issued or passed on as owner after the lease ended at the core"
	RuleLedgerEpoch = "the ledger takes no change of an older epoch"
	RuleFence       = "a back end takes no issue of an epoch older than one it saw"
	RuleOnce        = "a call that may not be repeated is issued at most once"
	RuleGone        = "a front node that cannot act loses its lease within 12 s"
	RuleResolve     = "an owner is found within the bound"
	RuleBack        = "service is back within 12 s of the machines' return"
)

// rules watch a run.
type rules struct {
	suite *suite

	oneOwner, registered, partition *eventual
	silence, lease, ledgerEpoch     *sim.Rule
	fence, once, back               *sim.Rule

	gone, resolve *sim.Rule

	issuedCalls map[string]int
	// idle is since when a front node has not been able to act.
	idle map[sim.Address]time.Duration
}

func newRules(s *suite) *rules {
	made := &rules{
		suite:       s,
		oneOwner:    newEventual(s, RuleOneOwner),
		registered:  newEventual(s, RuleRegistered),
		partition:   newEventual(s, RulePartition),
		silence:     s.world.NewRule(RuleSilence),
		lease:       s.world.NewRule(RuleLease),
		ledgerEpoch: s.world.NewRule(RuleLedgerEpoch),
		fence:       s.world.NewRule(RuleFence),
		once:        s.world.NewRule(RuleOnce),
		back:        s.world.NewRule(RuleBack),
		gone:        s.world.NewRule(RuleGone),
		issuedCalls: make(map[string]int),
		idle:        make(map[sim.Address]time.Duration),
	}
	if s.options.ResolveBound > 0 {
		made.resolve = s.world.NewRule(RuleResolve)
	}
	return made
}

// eventual is an invariant that may be broken for a while after a disturbance.
type eventual struct {
	suite   *suite
	rule    *sim.Rule
	broken  map[string]time.Duration
	longest time.Duration
}

func newEventual(s *suite, name string) *eventual {
	return &eventual{suite: s, rule: s.world.NewRule(name), broken: make(map[string]time.Duration)}
}

// sampled takes what is broken now. Each thing must be whole again within the bound after the last disturbance.
func (e *eventual) sampled(broken []string) {
	now := e.suite.world.Elapsed()
	for _, what := range broken {
		since, known := e.broken[what]
		if !known {
			e.rule.Provoke()
			e.broken[what] = now
			continue
		}
		if now-max(since, e.suite.disturbed) > convergenceBound {
			e.rule.Violatef("%s for %s", what, now-since)
		}
	}
	for what, since := range e.broken {
		if !slices.Contains(broken, what) {
			e.longest = max(e.longest, now-max(since, e.suite.disturbed))
			delete(e.broken, what)
		}
	}
}

// sample looks at the whole fleet from outside.
func (s *suite) sample() {
	view := s.viewOf(s.core.version)
	s.rules.oneOwner.sampled(s.manyOwners())
	s.rules.registered.sampled(s.unregistered(view))
	s.rules.partition.sampled(s.misplaced(view))
	s.rules.checkGone()
	s.world.After(sampleInterval, s.sample)
}

// checkGone checks that others do not wait for a front node that is dead, frozen or cut off.
func (r *rules) checkGone() {
	if r.suite.options.Mutation == MutationSilentAuthority {
		// It breaks this rule too, and would end the run before its own is broken.
		return
	}
	now := r.suite.world.Elapsed()
	for _, address := range r.suite.fronts {
		if r.suite.canAct(address) {
			delete(r.idle, address)
			continue
		}
		since, known := r.idle[address]
		if !known {
			r.idle[address] = now
			continue
		}
		if now-since > convergenceBound {
			held := r.suite.core.leases[string(address)] != nil
			r.gone.Check(!held, "%s could not act for %s and holds a lease", address, now-since)
		}
	}
}

// acted notes that a front node heard the core, between two samples too.
func (r *rules) acted(address sim.Address) { delete(r.idle, address) }

// canAct reports whether a front node runs and hears the core. While the core itself is frozen nothing can be asked of it.
func (s *suite) canAct(address sim.Address) bool {
	machine := s.world.Machine(address)
	if s.world.Machine(coreAddress).Frozen() {
		return true
	}
	return machine.Process() != nil && !machine.Frozen() && s.connected(address, coreAddress)
}

// manyOwners lists sessions that several live front nodes take themselves to own.
func (s *suite) manyOwners() []string {
	owners := make(map[string][]sim.Address)
	for _, f := range s.liveFronts() {
		for _, session := range f.directory.OwnedSessions() {
			owners[session] = append(owners[session], f.environment.Address())
		}
	}
	var many []string
	for session, list := range owners {
		if len(list) > 1 && s.canRegister(session, list) {
			many = append(many, session)
		}
	}
	slices.Sort(many)
	return many
}

// canRegister reports whether the owners can all reach the holder of a session
// and be answered. While a cut stands between them nothing can be asked of them.
func (s *suite) canRegister(session string, owners []sim.Address) bool {
	holder, found := s.viewOf(s.core.version).Ring().Holder(ring.Key(session))
	if !found {
		return false
	}
	for _, owner := range owners {
		if !s.connected(owner, sim.Address(holder.Name)) {
			return false
		}
	}
	return true
}

// connected reports whether messages pass between two machines in both directions.
func (s *suite) connected(one, other sim.Address) bool {
	return one == other || s.world.Reachable(one, other) && s.world.Reachable(other, one)
}

// unregistered lists owned sessions that the present holder does not have registered for their owner.
func (s *suite) unregistered(view directory.View) []string {
	holders := make(map[string]*front)
	registered := make(map[string]map[string]*protocol.Registration)
	for _, f := range s.liveFronts() {
		name := string(f.environment.Address())
		holders[name] = f
		registered[name] = make(map[string]*protocol.Registration)
		for _, registration := range f.directory.Registrations() {
			registered[name][registration.GetSession()] = registration
		}
	}
	var missing []string
	for _, address := range s.fronts {
		f := holders[string(address)]
		if f == nil {
			continue
		}
		for _, session := range f.directory.OwnedSessions() {
			holder, found := view.Ring().Holder(ring.Key(session))
			registration := registered[holder.Name][session]
			if !s.connected(address, sim.Address(holder.Name)) {
				continue
			}
			if !found || registration.GetOwner() != string(address) || registration.GetOwnerIncarnation() != f.directory.Self().Incarnation {
				missing = append(missing, session+" at "+string(address))
			}
		}
	}
	return missing
}

// misplaced lists registrations whose partition is another front node's.
func (s *suite) misplaced(view directory.View) []string {
	var wrong []string
	for _, f := range s.liveFronts() {
		name := string(f.environment.Address())
		for _, registration := range f.directory.Registrations() {
			holder, found := view.Ring().Holder(ring.Key(registration.GetSession()))
			if found && holder.Name != name && s.connected(sim.Address(name), sim.Address(holder.Name)) {
				wrong = append(wrong, registration.GetSession()+" at "+name)
			}
		}
	}
	return wrong
}

// resolved checks how long it took to find an owner.
func (r *rules) resolved(session string, took time.Duration, found bool) {
	report := &r.suite.report
	if !found {
		report.Unresolved++
	}
	report.Resolves = append(report.Resolves, took)
	if r.resolve != nil {
		r.resolve.Check(found && took <= r.suite.options.ResolveBound, "%s took %s, found %v", session, took, found)
	}
}

// issued checks a turn or call at the moment it leaves the owner.
func (r *rules) issued(sent issue) {
	r.checkAuthority(sent, "issued")
	if sent.call {
		r.issuedCalls[sent.requestID]++
		r.once.Check(r.issuedCalls[sent.requestID] == 1, "%s issued again by %s", sent.requestID, sent.front)
	}
}

// passedOn checks an event at the moment the owner passes it on.
func (r *rules) passedOn(sent issue) { r.checkAuthority(sent, "passed on") }

func (r *rules) checkAuthority(sent issue, what string) {
	now := r.suite.world.Elapsed()
	_, ended := r.suite.core.expired[sent.stretch]
	r.lease.Check(!ended, "%s by %s (%d) after its lease ended", what, sent.front, sent.stretch.incarnation)
	silent := now - r.suite.core.heard[sent.front]
	if silent > time.Second {
		r.silence.Check(silent < silenceBound, "%s by %s, silent for %s", what, sent.front, silent)
	}
}

// ledgerAnswered checks that a change under an older epoch was refused.
func (r *rules) ledgerAnswered(operation *protocol.LedgerOperation, inForce uint64, result *protocol.LedgerResult) {
	var epoch uint64
	switch body := operation.GetBody().(type) {
	case *protocol.LedgerOperation_ReserveTurn:
		epoch = body.ReserveTurn.GetEpoch()
	case *protocol.LedgerOperation_SettleTurn:
		epoch = body.SettleTurn.GetEpoch()
	default:
		return
	}
	if epoch < inForce {
		// A settle that was taken before and is sent again is answered as before.
		repeated := result.GetFinished() != nil
		r.ledgerEpoch.Check(result.GetStatus() != protocol.LedgerStatus_LEDGER_OK || repeated,
			"epoch %d was taken while %d is in force", epoch, inForce)
	}
}

// backEndDecided checks the fence.
func (r *rules) backEndDecided(sent issue, seen uint64, accepted bool) {
	if sent.epoch < seen {
		r.fence.Check(!accepted, "%s of epoch %d ran after %d", sent.requestID, sent.epoch, seen)
	}
}

// serviceIsBack checks that every front node and every session was served after the machines' return.
func (r *rules) serviceIsBack() {
	for _, address := range r.suite.fronts {
		r.back.Check(r.suite.callers.served[string(address)], "%s did not serve a turn", address)
	}
	for _, session := range r.suite.callers.sessions {
		r.back.Check(r.suite.callers.served[session.name], "%s was not served", session.name)
	}
}

// atTheEnd checks that nothing is broken after the quiet time.
func (r *rules) atTheEnd() {
	for _, invariant := range []*eventual{r.oneOwner, r.registered, r.partition} {
		for what, since := range invariant.broken {
			if r.suite.world.Elapsed()-max(since, r.suite.disturbed) > convergenceBound {
				invariant.rule.Violatef("%s at the end", what)
			}
		}
	}
}

func (r *rules) convergence() map[string]time.Duration {
	return map[string]time.Duration{
		RuleOneOwner: r.oneOwner.longest, RuleRegistered: r.registered.longest, RulePartition: r.partition.longest,
	}
}
