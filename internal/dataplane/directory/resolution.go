package directory

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// resolution is a session whose owner is being determined, for any number of tickets.
type resolution struct {
	session  string
	program  string
	key      uint64
	tickets  []uint64
	deadline time.Time
	// notBefore is when to retry; zero while an answer or a confirmation is pending.
	notBefore time.Time
	attempts  int
	call      uint64
	// sequence is that of the last registration sent.
	sequence uint64
	// ambiguous is true after a first registration whose answer was lost.
	ambiguous bool
	cacheHit  bool
}

func (d *Directory) resolveRequested(event ResolveRequested) {
	if resolution := d.resolutions[event.Session]; resolution != nil {
		resolution.tickets = append(resolution.tickets, event.Ticket)
		if event.Deadline.After(resolution.deadline) {
			resolution.deadline = event.Deadline
		}
		d.resolutionsByTicket[event.Ticket] = resolution
		return
	}
	resolution := &resolution{
		session: event.Session, program: event.Program, key: ring.Key(event.Session),
		tickets: []uint64{event.Ticket}, deadline: event.Deadline,
	}
	d.resolutions[event.Session] = resolution
	d.resolutionsByTicket[event.Ticket] = resolution
	d.advance(resolution)
}

func (d *Directory) resolveCancelled(ticket uint64) {
	resolution := d.resolutionsByTicket[ticket]
	if resolution == nil {
		return
	}
	delete(d.resolutionsByTicket, ticket)
	resolution.tickets = slices.DeleteFunc(resolution.tickets, func(each uint64) bool { return each == ticket })
	if len(resolution.tickets) == 0 {
		d.abandon(resolution)
	}
}

// abandon ends a resolution that nobody waits for. A first registration whose
// answer is not known may have been accepted, so it is completed by way of the salvage list.
func (d *Directory) abandon(resolution *resolution) {
	delete(d.resolutions, resolution.session)
	registering := d.calls[resolution.call]
	underWay := resolution.call != 0 && registering != nil && registering.registers
	if (underWay || resolution.ambiguous) && d.owned[resolution.session] == nil {
		d.salvageSession(d.own(resolution.session, resolution.program, resolution.sequence, false))
	}
}

// continueResolves continues every resolution whose delay has passed.
func (d *Directory) continueResolves() {
	for _, session := range sortedKeys(d.resolutions) {
		resolution := d.resolutions[session]
		if resolution != nil && resolution.call == 0 && !d.at.Now.Before(resolution.notBefore) {
			d.advance(resolution)
		}
	}
}

// restartResolves continues every resolution without a call in flight, since holders or owners have changed.
func (d *Directory) restartResolves() {
	for _, session := range sortedKeys(d.resolutions) {
		d.continueResolve(session)
	}
}

// continueResolve continues the resolution of a session after its state changed on this node.
func (d *Directory) continueResolve(session string) {
	if resolution := d.resolutions[session]; resolution != nil && resolution.call == 0 {
		d.advance(resolution)
	}
}

func (d *Directory) expireResolves() {
	for _, session := range sortedKeys(d.resolutions) {
		if resolution := d.resolutions[session]; !d.at.Now.Before(resolution.deadline) {
			d.failResolution(resolution, failure.Unavailable)
		}
	}
}

// advance decides the next step of a resolution.
func (d *Directory) advance(resolution *resolution) {
	resolution.notBefore = time.Time{}
	if session := d.owned[resolution.session]; session != nil {
		// A session that is being yielded is looked up once its last turn is committed.
		if session.confirmed && session.yieldReason == "" {
			d.finish(resolution, d.localOwner(resolution))
		}
		return
	}
	if d.awaitsWithdrawal(resolution.session) {
		return
	}
	if owner, found := d.cachedOwner(resolution); found {
		d.stats.CacheHits++
		d.finish(resolution, owner)
		return
	}
	holder, found := d.view.holder(resolution.key)
	switch {
	case !found:
		d.retry(resolution)
	case d.isSelf(holder):
		d.lookupLocally(resolution)
	case holder.Name == d.self.Name:
		// The view has an earlier incarnation of this node; the next one decides.
		d.retry(resolution)
	default:
		d.lookupRemotely(resolution, holder)
	}
}

// awaitsWithdrawal reports whether the withdrawal of this node's registration of a session is still pending. A holder
// that cannot be reached is not waited for: the node that holds the range instead cannot apply the withdrawal, and a
// later registration has a higher sequence than the withdrawal.
func (d *Directory) awaitsWithdrawal(session string) bool {
	withdrawal := d.withdrawals[session]
	return withdrawal != nil && !d.hasSuspectHolder(withdrawal.key)
}

// hasSuspectHolder reports whether the holder of a key in the membership is suspected, so that another node holds the
// key for it.
func (d *Directory) hasSuspectHolder(key uint64) bool {
	holder, found := d.membership.holder(key)
	return found && d.isSuspect(holder.Name, holder.Incarnation)
}

// cachedOwner returns the owner in the cache while the view has it; one that the view lacks is dropped.
func (d *Directory) cachedOwner(resolution *resolution) (Owner, bool) {
	registration, found := d.cache.Get(resolution.session)
	if !found {
		return Owner{}, false
	}
	if !d.ownerInView(registration) || d.isUnconfirmed(registration.GetOwner()) {
		d.cache.Remove(resolution.session)
		return Owner{}, false
	}
	resolution.cacheHit = true
	return d.toOwner(resolution, registration), true
}

func (d *Directory) lookupLocally(resolution *resolution) {
	if !d.at.Authority {
		d.failResolution(resolution, failure.NoAuthority)
		return
	}
	d.stats.LocalLookups++
	status, registration := d.lookup(resolution.session, resolution.key, d.view.Version, nil)
	switch status {
	case protocol.DirectoryStatus_DIRECTORY_OK:
		d.applyRegistration(resolution, registration)
	case protocol.DirectoryStatus_DIRECTORY_NOT_FOUND:
		d.registerLocally(resolution)
	default:
		d.stats.Transferring++
		d.retry(resolution)
	}
}

// lookupRemotely queries the holder, which registers this node when it knows no owner;
// while the holder is unconfirmed the resolution waits.
func (d *Directory) lookupRemotely(resolution *resolution, holder ring.Member) {
	to := d.peer(holder)
	switch {
	case to.unconfirmed:
		// The outcome of the ping continues the resolution.
		resolution.notBefore = d.at.Now.Add(d.lookupTimeout(to))
		return
	case to.failures > 0 && d.at.Now.Before(to.notBefore):
		resolution.notBefore = to.notBefore
		return
	}
	d.stats.RemoteLookups++
	request := &protocol.LookupSessionRequest{
		Session: resolution.session, ViewVersion: d.view.Version, Suspects: d.namedSuspects(),
	}
	registers := !d.draining && d.at.Authority
	switch {
	case registers:
		request.Registration = d.firstRegistration(resolution)
	case d.draining && d.at.Authority:
		request.Registration = d.registrationFor(resolution, holder)
	}
	lookup := &call{kind: callLookup, peer: to, resolution: resolution, registers: registers}
	resolution.call = d.emitCall(lookup, &protocol.Request{
		Body: &protocol.Request_LookupSession{LookupSession: request},
	})
}

func (d *Directory) lookupAnswered(done *call, answer *protocol.LookupSessionResponse) {
	resolution := done.resolution
	if d.resolutions[resolution.session] != resolution || resolution.call != done.number {
		return
	}
	resolution.call = 0
	if answer == nil {
		resolution.ambiguous = resolution.ambiguous || done.registers
	}
	switch answer.GetStatus() {
	case protocol.DirectoryStatus_DIRECTORY_OK:
		if d.isFirstRegistration(resolution, done, answer.GetRegistration()) {
			d.registered(resolution, done.peer, answer.GetRegistration().GetClaim())
			return
		}
		d.applyRegistration(resolution, answer.GetRegistration())
	case protocol.DirectoryStatus_DIRECTORY_NOT_FOUND:
		d.registerRemotely(resolution, done.peer)
	default:
		d.countRejection(answer.GetStatus())
		d.retry(resolution)
	}
}

// applyRegistration ends a resolution with the registration that a holder reported, if this node can rely on it.
func (d *Directory) applyRegistration(resolution *resolution, registration *protocol.Registration) {
	if registration.GetOwner() == d.self.Name && registration.GetOwnerIncarnation() == d.self.Incarnation {
		d.adopt(resolution)
		return
	}
	if !d.ownerInView(registration) || d.isUnconfirmed(registration.GetOwner()) {
		// Either view is behind, and the next one decides; or the owner cannot be reached, which the next attempt reports.
		d.retry(resolution)
		return
	}
	d.cacheOwner(registration)
	d.finish(resolution, d.toOwner(resolution, registration))
}

// adopt owns a session that a holder has already registered for this node, as after a lost answer.
func (d *Directory) adopt(resolution *resolution) {
	if d.draining {
		d.withdrawOwn(resolution.session, resolution.program)
		return
	}
	d.salvageSession(d.own(resolution.session, resolution.program, d.nextSequence(), false))
	d.continueResolve(resolution.session)
}

func (d *Directory) countRejection(status protocol.DirectoryStatus) {
	switch status {
	case protocol.DirectoryStatus_INCORRECT_PARTITION:
		d.stats.IncorrectPartition++
	case protocol.DirectoryStatus_DIRECTORY_SETTLING:
		d.stats.Transferring++
	}
}

// retry schedules the next attempt after a backoff with jitter.
func (d *Directory) retry(resolution *resolution) {
	resolution.attempts++
	wait := resolveRetryDelay
	for range min(resolution.attempts-1, maxResolveRetryDoublings) {
		wait *= 2
	}
	resolution.notBefore = d.at.Now.Add(d.jitter(wait))
}

// cacheOwner caches the owner that a registration names, unless that is this node.
func (d *Directory) cacheOwner(registration *protocol.Registration) {
	if registration.GetOwner() != "" && registration.GetOwner() != d.self.Name {
		d.cache.Add(registration.GetSession(), registration)
	}
}

func (d *Directory) localOwner(resolution *resolution) Owner {
	return d.toOwner(resolution, &protocol.Registration{Owner: d.self.Name, OwnerIncarnation: d.self.Incarnation})
}

func (d *Directory) toOwner(resolution *resolution, registration *protocol.Registration) Owner {
	owner := Owner{
		Name: registration.GetOwner(), Incarnation: registration.GetOwnerIncarnation(),
		Address: d.view.byName[registration.GetOwner()].Address,
		Local:   registration.GetOwner() == d.self.Name, ViewVersion: d.view.Version, CacheHit: resolution.cacheHit,
	}
	if owner.Local {
		owner.Address = d.self.Address
	}
	if holder, found := d.view.holder(resolution.key); found {
		owner.PartitionHolder = holder.Name
	}
	return owner
}

func (d *Directory) finish(resolution *resolution, owner Owner) {
	delete(d.resolutions, resolution.session)
	for _, ticket := range resolution.tickets {
		delete(d.resolutionsByTicket, ticket)
		d.emit(Resolved{Ticket: ticket, Owner: owner})
	}
}

func (d *Directory) failDraining(resolution *resolution) {
	if d.draining {
		d.failResolution(resolution, failure.Draining)
		return
	}
	d.retry(resolution)
}

// failResolution ends a resolution without an owner. Nothing was run; callers get a time after which to retry.
func (d *Directory) failResolution(resolution *resolution, code failure.Code) {
	d.abandon(resolution)
	for _, ticket := range resolution.tickets {
		delete(d.resolutionsByTicket, ticket)
		d.emit(Resolved{Ticket: ticket, Code: code, RetryAfter: failRetryAfter})
	}
}

// failRetryAfter is after how long callers may retry when no owner was found: about the time that a change of view
// takes.
const failRetryAfter = time.Second
