package directory

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// resolution is the lookup of a session's owner, on which any number of tickets may wait.
type resolution struct {
	session  string
	program  string
	key      uint64
	tickets  []uint64
	deadline time.Time
	// notBefore is when to retry; zero while a response or a confirmation is pending.
	notBefore time.Time
	attempts  int
	call      uint64
	// sequence is the sequence number of the last registration sent.
	sequence uint64
	// ambiguous is true after a first registration whose response was lost.
	ambiguous bool
	cacheHit  bool
}

func (d *Directory) handleResolveRequested(event ResolveRequested) {
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

func (d *Directory) handleResolveCancelled(ticket uint64) {
	resolution := d.resolutionsByTicket[ticket]
	if resolution == nil {
		return
	}
	delete(d.resolutionsByTicket, ticket)
	resolution.tickets = slices.DeleteFunc(resolution.tickets, func(other uint64) bool { return other == ticket })
	if len(resolution.tickets) == 0 {
		d.abandon(resolution)
	}
}

// abandon ends a resolution without an owner. A first registration whose outcome is unknown may have been accepted, so
// it is completed through the salvage list.
func (d *Directory) abandon(resolution *resolution) {
	delete(d.resolutions, resolution.session)
	inFlight := d.calls[resolution.call]
	registering := resolution.call != 0 && inFlight != nil && inFlight.registers
	if (registering || resolution.ambiguous) && d.owned[resolution.session] == nil {
		d.salvageSession(d.addOwnedSession(resolution.session, resolution.program, resolution.sequence, false))
	}
}

// continueResolves continues the resolutions without a call in flight whose delay has passed.
func (d *Directory) continueResolves() {
	for _, session := range sortedKeys(d.resolutions) {
		resolution := d.resolutions[session]
		if resolution != nil && resolution.call == 0 && !d.moment.Now.Before(resolution.notBefore) {
			d.advance(resolution)
		}
	}
}

// restartResolves continues the resolutions without a call in flight at once, after a change of holders or owners.
func (d *Directory) restartResolves() {
	for _, session := range sortedKeys(d.resolutions) {
		d.continueResolve(session)
	}
}

// continueResolve continues the resolution of a session after a change of its state on this node.
func (d *Directory) continueResolve(session string) {
	if resolution := d.resolutions[session]; resolution != nil && resolution.call == 0 {
		d.advance(resolution)
	}
}

func (d *Directory) expireResolves() {
	for _, session := range sortedKeys(d.resolutions) {
		if resolution := d.resolutions[session]; !d.moment.Now.Before(resolution.deadline) {
			d.failResolution(resolution, failure.Unavailable)
		}
	}
}

// advance takes the next step of a resolution.
func (d *Directory) advance(resolution *resolution) {
	resolution.notBefore = time.Time{}
	if session := d.owned[resolution.session]; session != nil {
		// A session that is being yielded is looked up once its last turn is committed.
		if session.confirmed && session.yieldReason == "" {
			d.succeedResolution(resolution, d.localOwner(resolution))
		}
		return
	}
	if d.awaitsWithdrawal(resolution.session) {
		return
	}
	if owner, found := d.cachedOwner(resolution); found {
		d.stats.CacheHits++
		d.succeedResolution(resolution, owner)
		return
	}
	holder, found := d.view.holder(resolution.key)
	switch {
	case !found:
		d.retry(resolution)
	case d.isSelf(holder):
		d.lookupLocally(resolution)
	case holder.Name == d.self.Name:
		// The view has an earlier incarnation of this node; retry under the next view.
		d.retry(resolution)
	default:
		d.lookupRemotely(resolution, holder)
	}
}

// awaitsWithdrawal reports whether a resolution must wait for the pending withdrawal of this node's registration. It
// does not wait while the holder is unreachable: the node that holds the range instead cannot apply the withdrawal, and
// a later registration has a higher sequence number than the withdrawal.
func (d *Directory) awaitsWithdrawal(session string) bool {
	withdrawal := d.withdrawals[session]
	return withdrawal != nil && !d.hasSuspectHolder(withdrawal.key)
}

// hasSuspectHolder reports whether the holder of a key in the membership is suspected, so that another node holds the
// key in its place.
func (d *Directory) hasSuspectHolder(key uint64) bool {
	holder, found := d.membership.holder(key)
	return found && d.isSuspect(holder.Name, holder.Incarnation)
}

// cachedOwner returns the cached owner. An owner that is unconfirmed or missing from the view is dropped from the
// cache.
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
	if !d.moment.Authority {
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

// lookupRemotely queries the holder, which registers this node when it has no owner registered. The resolution waits
// while the holder is unconfirmed.
func (d *Directory) lookupRemotely(resolution *resolution, holder ring.Member) {
	to := d.peer(holder)
	switch {
	case to.unconfirmed:
		// The outcome of the ping continues the resolution.
		resolution.notBefore = d.moment.Now.Add(d.lookupTimeout(to))
		return
	case to.failures > 0 && d.moment.Now.Before(to.notBefore):
		resolution.notBefore = to.notBefore
		return
	}
	d.stats.RemoteLookups++
	request := &protocol.LookupSessionRequest{
		Session: resolution.session, ViewVersion: d.view.Version, Suspects: d.namedSuspects(),
	}
	registers := !d.draining && d.moment.Authority
	switch {
	case registers:
		request.Registration = d.firstRegistration(resolution)
	case d.draining && d.moment.Authority:
		request.Registration = d.registrationFor(resolution, holder)
	}
	lookup := &call{kind: callLookup, peer: to, resolution: resolution, registers: registers}
	resolution.call = d.emitCall(lookup, &protocol.Request{
		Body: &protocol.Request_LookupSession{LookupSession: request},
	})
}

func (d *Directory) handleLookupResponse(ended *call, answer *protocol.LookupSessionResponse) {
	resolution := ended.resolution
	if d.resolutions[resolution.session] != resolution || resolution.call != ended.number {
		return
	}
	resolution.call = 0
	if answer == nil {
		resolution.ambiguous = resolution.ambiguous || ended.registers
	}
	switch answer.GetStatus() {
	case protocol.DirectoryStatus_DIRECTORY_OK:
		if d.isFirstRegistration(resolution, ended, answer.GetRegistration()) {
			d.handleFirstRegistrationAccepted(resolution, ended.peer, answer.GetRegistration().GetClaim())
			return
		}
		d.applyRegistration(resolution, answer.GetRegistration())
	case protocol.DirectoryStatus_DIRECTORY_NOT_FOUND:
		d.registerRemotely(resolution, ended.peer)
	default:
		d.countRejection(answer.GetStatus())
		d.retry(resolution)
	}
}

// applyRegistration ends a resolution with the registration returned by a holder, unless its owner is unconfirmed or
// missing from the view.
func (d *Directory) applyRegistration(resolution *resolution, registration *protocol.Registration) {
	if registration.GetOwner() == d.self.Name && registration.GetOwnerIncarnation() == d.self.Incarnation {
		d.adopt(resolution)
		return
	}
	if !d.ownerInView(registration) || d.isUnconfirmed(registration.GetOwner()) {
		// Either one of the two views is outdated, which a later view resolves, or the owner may be unreachable, in which
		// case the next attempt names it as a suspect.
		d.retry(resolution)
		return
	}
	d.cacheOwner(registration)
	d.succeedResolution(resolution, d.toOwner(resolution, registration))
}

// adopt makes this node the owner of a session that a holder has already registered for it, as after a lost response.
func (d *Directory) adopt(resolution *resolution) {
	if d.draining {
		d.withdrawOwn(resolution.session, resolution.program)
		return
	}
	d.salvageSession(d.addOwnedSession(resolution.session, resolution.program, d.nextSequence(), false))
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
	resolution.notBefore = d.moment.Now.Add(d.jitter(wait))
}

// cacheOwner caches the owner of a registration, unless it is this node.
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

func (d *Directory) succeedResolution(resolution *resolution, owner Owner) {
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

// failResolution ends a resolution with an error code. Nothing was run, and callers are given a time after which to
// retry.
func (d *Directory) failResolution(resolution *resolution, code failure.Code) {
	d.abandon(resolution)
	for _, ticket := range resolution.tickets {
		delete(d.resolutionsByTicket, ticket)
		d.emit(Resolved{Ticket: ticket, Code: code, RetryAfter: failRetryAfter})
	}
}

// failRetryAfter is the retry delay returned to callers when no owner was found: about the time that a change of view
// takes.
const failRetryAfter = time.Second
