package ownershipsuite

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// contactTimeout is how long after its last contact with the core a front node may still act as owner.
const contactTimeout = 20 * time.Second

// Names of the rules.
const (
	RuleSingleOwner            = "a session has at most one owner in the end"
	RuleRegistered             = "no owned session stays unregistered"
	RuleCorrectPartition       = "every registration gets to its right partition"
	RuleNoActionWithoutContact = "a front node silent for 20 s has stopped issuing as owner"
	RuleNoActionAfterLease     = "nothing is issued or passed on as owner after the lease ended at the core"
	RuleLedgerFences           = "the ledger takes no change of an older epoch"
	RuleBackEndFences          = "a back end takes no issue of an epoch older than one it saw"
	RuleAtMostOnce             = "a call that may not be repeated is issued at most once"
	RuleUnreachableLosesLease  = "a front node that cannot act loses its lease within 12 s"
	RuleResolveBound           = "an owner is found within the bound"
	RuleServiceRecovers        = "service is back within 12 s of the machines' return"
)

// rules are the checkers of one run with their state.
type rules struct {
	suite *suite

	singleOwner, registered, correctPartition                *eventualInvariant
	noActionWithoutContact, noActionAfterLease, ledgerFences *sim.Rule
	backEndFences, atMostOnce, serviceRecovers               *sim.Rule

	unreachableLosesLease, resolveBound *sim.Rule

	issuedCalls map[string]int
	// isolatedSince is since when a front node has been unable to act.
	isolatedSince map[sim.Address]time.Duration
}

func newRules(s *suite) *rules {
	created := &rules{
		suite:                  s,
		singleOwner:            newEventualInvariant(s, RuleSingleOwner),
		registered:             newEventualInvariant(s, RuleRegistered),
		correctPartition:       newEventualInvariant(s, RuleCorrectPartition),
		noActionWithoutContact: s.world.NewRule(RuleNoActionWithoutContact),
		noActionAfterLease:     s.world.NewRule(RuleNoActionAfterLease),
		ledgerFences:           s.world.NewRule(RuleLedgerFences),
		backEndFences:          s.world.NewRule(RuleBackEndFences),
		atMostOnce:             s.world.NewRule(RuleAtMostOnce),
		serviceRecovers:        s.world.NewRule(RuleServiceRecovers),
		unreachableLosesLease:  s.world.NewRule(RuleUnreachableLosesLease),
		issuedCalls:            make(map[string]int),
		isolatedSince:          make(map[sim.Address]time.Duration),
	}
	if s.options.ResolveBound > 0 {
		created.resolveBound = s.world.NewRule(RuleResolveBound)
	}
	return created
}

// eventualInvariant may be violated for convergenceBound after a disturbance.
type eventualInvariant struct {
	suite          *suite
	rule           *sim.Rule
	violatedSince  map[string]time.Duration
	maxConvergence time.Duration
}

func newEventualInvariant(s *suite, name string) *eventualInvariant {
	return &eventualInvariant{suite: s, rule: s.world.NewRule(name), violatedSince: make(map[string]time.Duration)}
}

// observe receives the items that violate the invariant now. Each must satisfy it within the bound after the last
// disturbance.
func (e *eventualInvariant) observe(broken []string) {
	now := e.suite.world.Elapsed()
	for _, item := range broken {
		since, known := e.violatedSince[item]
		if !known {
			e.rule.Provoke()
			e.violatedSince[item] = now
			continue
		}
		if now-max(since, e.suite.lastDisturbance) > convergenceBound {
			e.rule.Violatef("%s for %s", item, now-since)
		}
	}
	for what, since := range e.violatedSince {
		if !slices.Contains(broken, what) {
			e.maxConvergence = max(e.maxConvergence, now-max(since, e.suite.lastDisturbance))
			delete(e.violatedSince, what)
		}
	}
}

// checkInvariants compares the state of the whole fleet with the eventual invariants.
func (s *suite) checkInvariants() {
	view := s.viewOf(s.core.version)
	s.rules.singleOwner.observe(s.multiplyOwned())
	s.rules.registered.observe(s.unregistered(view))
	s.rules.correctPartition.observe(s.inWrongPartition(view))
	s.rules.checkUnreachable()
	s.world.After(sampleInterval, s.checkInvariants)
}

// checkUnreachable checks that a front node that is down, frozen or partitioned loses its lease.
func (r *rules) checkUnreachable() {
	if r.suite.options.Mutation == MutationNeverExpireLease {
		// It violates this rule too, which would end the run before its own rule is violated.
		return
	}
	now := r.suite.world.Elapsed()
	for _, address := range r.suite.fronts {
		if r.suite.hasContact(address) {
			delete(r.isolatedSince, address)
			continue
		}
		since, known := r.isolatedSince[address]
		if !known {
			r.isolatedSince[address] = now
			continue
		}
		if now-since > convergenceBound {
			hasLease := r.suite.core.leases[string(address)] != nil
			r.unreachableLosesLease.Check(!hasLease, "%s was isolated for %s and has a lease", address, now-since)
		}
	}
}

// observeContact records that a front node received a message of the core, also between two samples.
func (r *rules) observeContact(address sim.Address) { delete(r.isolatedSince, address) }

// hasContact reports whether a front node runs and is connected to the core, or the core itself is frozen.
func (s *suite) hasContact(address sim.Address) bool {
	machine := s.world.Machine(address)
	if s.world.Machine(coreAddress).Frozen() {
		return true
	}
	return machine.Process() != nil && !machine.Frozen() && s.world.Connected(address, coreAddress)
}

// multiplyOwned lists sessions that several live front nodes own.
func (s *suite) multiplyOwned() []string {
	owners := make(map[string][]sim.Address)
	for _, f := range s.liveFronts() {
		for _, session := range f.directory.OwnedSessions() {
			owners[session] = append(owners[session], f.environment.Address())
		}
	}
	var multiple []string
	for session, list := range owners {
		if len(list) > 1 && s.canRegister(session, list) {
			multiple = append(multiple, session)
		}
	}
	slices.Sort(multiple)
	return multiple
}

// canRegister reports whether all owners are connected to the holder of a session. During a partition between them
// nothing is required of them.
func (s *suite) canRegister(session string, owners []sim.Address) bool {
	holder, found := s.viewOf(s.core.version).Ring().Holder(ring.Key(session))
	if !found {
		return false
	}
	for _, owner := range owners {
		if !s.world.Connected(owner, sim.Address(holder.Name)) {
			return false
		}
	}
	return true
}

// unregistered lists owned sessions that the current holder does not have registered for their owner.
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
			if !s.world.Connected(address, sim.Address(holder.Name)) {
				continue
			}
			if !found || registration.GetOwner() != string(address) ||
				registration.GetOwnerIncarnation() != f.directory.Self().Incarnation {
				missing = append(missing, session+" at "+string(address))
			}
		}
	}
	return missing
}

// inWrongPartition lists registrations whose partition another front node holds.
func (s *suite) inWrongPartition(view directory.View) []string {
	var wrong []string
	for _, f := range s.liveFronts() {
		name := string(f.environment.Address())
		for _, registration := range f.directory.Registrations() {
			holder, found := view.Ring().Holder(ring.Key(registration.GetSession()))
			if found && holder.Name != name && s.world.Connected(sim.Address(name), sim.Address(holder.Name)) {
				wrong = append(wrong, registration.GetSession()+" at "+name)
			}
		}
	}
	return wrong
}

// observeResolution checks how long it took to find an owner.
func (r *rules) observeResolution(session string, took time.Duration, found bool) {
	report := &r.suite.report
	if !found {
		report.Unresolved++
	}
	report.Resolves = append(report.Resolves, took)
	if r.resolveBound != nil {
		r.resolveBound.Check(found && took <= r.suite.options.ResolveBound, "%s took %s, found %v", session, took, found)
	}
}

// observeIssue checks a turn or call when the owner issues it.
func (r *rules) observeIssue(sent issue) {
	r.checkAuthority(sent, "issued")
	if sent.call {
		r.issuedCalls[sent.requestID]++
		r.atMostOnce.Check(r.issuedCalls[sent.requestID] == 1, "%s issued again by %s", sent.requestID, sent.front)
	}
}

// observeDelivery checks an answer when the owner passes it on.
func (r *rules) observeDelivery(sent issue) { r.checkAuthority(sent, "passed on") }

func (r *rules) checkAuthority(sent issue, what string) {
	now := r.suite.world.Elapsed()
	_, ended := r.suite.core.leaseEndedAt[sent.incarnation]
	r.noActionAfterLease.Check(!ended, "%s by %s (%d) after its lease ended", what, sent.front,
		sent.incarnation.incarnation)
	elapsed := now - r.suite.core.lastContact[sent.front]
	if elapsed > time.Second {
		r.noActionWithoutContact.Check(elapsed < contactTimeout, "%s by %s, %s after its last contact", what, sent.front,
			elapsed)
	}
}

// observeLedgerResult checks that a change under an older epoch was rejected.
func (r *rules) observeLedgerResult(operation *protocol.LedgerOperation, inForce uint64,
	result *protocol.LedgerResult,
) {
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
		// A commit that was accepted before and is sent again is answered as before.
		repeated := result.GetFinished() != nil
		r.ledgerFences.Check(result.GetStatus() != protocol.LedgerStatus_LEDGER_OK || repeated,
			"epoch %d was accepted while %d is in force", epoch, inForce)
	}
}

// observeBackEnd checks that a back end rejects an older epoch.
func (r *rules) observeBackEnd(sent issue, seen uint64, accepted bool) {
	if sent.epoch < seen {
		r.backEndFences.Check(!accepted, "%s of epoch %d ran after %d", sent.requestID, sent.epoch, seen)
	}
}

// checkRecovery checks that every front node and every session was served after the last fault.
func (r *rules) checkRecovery() {
	for _, address := range r.suite.fronts {
		r.serviceRecovers.Check(r.suite.callers.served[string(address)], "%s did not serve a turn", address)
	}
	for _, session := range r.suite.callers.sessions {
		r.serviceRecovers.Check(r.suite.callers.served[session.name], "%s was not served", session.name)
	}
}

// checkAtEnd checks the eventual invariants after the recovery time.
func (r *rules) checkAtEnd() {
	for _, invariant := range []*eventualInvariant{r.singleOwner, r.registered, r.correctPartition} {
		for item, since := range invariant.violatedSince {
			if r.suite.world.Elapsed()-max(since, r.suite.lastDisturbance) > convergenceBound {
				invariant.rule.Violatef("%s at the end", item)
			}
		}
	}
}

func (r *rules) convergence() map[string]time.Duration {
	return map[string]time.Duration{
		RuleSingleOwner: r.singleOwner.maxConvergence, RuleRegistered: r.registered.maxConvergence,
		RuleCorrectPartition: r.correctPartition.maxConvergence,
	}
}
