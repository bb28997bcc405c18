package directory

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// resolve is one session whose owner is being found out, for any number of tickets.
type resolve struct {
	session  string
	program  string
	key      uint64
	tickets  []uint64
	deadline time.Time
	// notBefore is when to try again; zero while an answer or a confirmation is awaited.
	notBefore time.Time
	attempts  int
	call      uint64
	// sequence is that of the registration last sent.
	sequence uint64
	// ambiguous is true after a first registration whose answer was lost.
	ambiguous bool
	cacheHit  bool
}

func (d *Directory) resolveRequested(event ResolveRequested) {
	if running := d.resolves[event.Session]; running != nil {
		running.tickets = append(running.tickets, event.Ticket)
		if event.Deadline.After(running.deadline) {
			running.deadline = event.Deadline
		}
		d.tickets[event.Ticket] = running
		return
	}
	started := &resolve{
		session: event.Session, program: event.Program, key: ring.Key(event.Session),
		tickets: []uint64{event.Ticket}, deadline: event.Deadline,
	}
	d.resolves[event.Session] = started
	d.tickets[event.Ticket] = started
	d.step(started)
}

func (d *Directory) resolveCancelled(ticket uint64) {
	running := d.tickets[ticket]
	if running == nil {
		return
	}
	delete(d.tickets, ticket)
	running.tickets = slices.DeleteFunc(running.tickets, func(each uint64) bool { return each == ticket })
	if len(running.tickets) == 0 {
		d.abandon(running)
	}
}

// abandon ends a resolve that nobody waits for. A first registration whose
// answer is not known may have been taken, so it is seen through on the salvage list.
func (d *Directory) abandon(running *resolve) {
	delete(d.resolves, running.session)
	registering := d.calls[running.call]
	underWay := running.call != 0 && registering != nil && registering.registers
	if (underWay || running.ambiguous) && d.owned[running.session] == nil {
		d.salvageSession(d.own(running.session, running.program, running.sequence, false))
	}
}

// continueResolves goes on with every resolve whose delay has passed.
func (d *Directory) continueResolves() {
	for _, session := range sortedKeys(d.resolves) {
		running := d.resolves[session]
		if running != nil && running.call == 0 && !d.at.Now.Before(running.notBefore) {
			d.step(running)
		}
	}
}

// restartResolves goes on with every resolve that waits for no answer, since who holds and owns what has changed.
func (d *Directory) restartResolves() {
	for _, session := range sortedKeys(d.resolves) {
		d.continueResolve(session)
	}
}

// continueResolve goes on with the resolve of a session after its state changed here.
func (d *Directory) continueResolve(session string) {
	if running := d.resolves[session]; running != nil && running.call == 0 {
		d.step(running)
	}
}

func (d *Directory) expireResolves() {
	for _, session := range sortedKeys(d.resolves) {
		if running := d.resolves[session]; !d.at.Now.Before(running.deadline) {
			d.fail(running, failure.Unavailable)
		}
	}
}

// step decides what a resolve does next.
func (d *Directory) step(running *resolve) {
	running.notBefore = time.Time{}
	if session := d.owned[running.session]; session != nil {
		// A session that is being given up is looked up once its last turn is settled.
		if session.confirmed && session.leaving == "" {
			d.finish(running, d.ownerHere(running))
		}
		return
	}
	if d.awaitsWithdrawal(running.session) {
		return
	}
	if owner, found := d.cached(running); found {
		d.stats.CacheHits++
		d.finish(running, owner)
		return
	}
	holder, found := d.view.holder(running.key)
	switch {
	case !found:
		d.retry(running)
	case d.isSelf(holder):
		d.lookupHere(running)
	case holder.Name == d.self.Name:
		// The view has an earlier incarnation of this node; the next one decides.
		d.retry(running)
	default:
		d.lookupThere(running, holder)
	}
}

// awaitsWithdrawal reports whether the holder is still to be told that this node does not own a session any more. A holder that
// cannot be reached is not waited for: whoever holds the range meanwhile cannot take the withdrawal, and a registration that
// follows has a higher sequence than the withdrawal, which comes late then.
func (d *Directory) awaitsWithdrawal(session string) bool {
	withdrawal := d.leaving[session]
	return withdrawal != nil && !d.hasSuspectHolder(withdrawal.key)
}

// hasSuspectHolder reports whether the holder of a key in the membership is suspect, so that another node stands in for it.
func (d *Directory) hasSuspectHolder(key uint64) bool {
	holder, found := d.base.holder(key)
	return found && d.isSuspect(holder.Name, holder.Incarnation)
}

// cached returns the owner in the cache while the view still has it.
func (d *Directory) cached(running *resolve) (Owner, bool) {
	registration, found := d.cache.Get(running.session)
	if !found {
		return Owner{}, false
	}
	if !d.ownerInView(registration) || d.isDoubted(registration.GetOwner()) {
		d.cache.Remove(running.session)
		return Owner{}, false
	}
	running.cacheHit = true
	return d.ownerOf(running, registration), true
}

func (d *Directory) lookupHere(running *resolve) {
	if !d.at.Authority {
		d.fail(running, failure.NoAuthority)
		return
	}
	d.stats.LocalLookups++
	status, registration := d.lookup(running.session, running.key, d.view.Version, nil)
	switch status {
	case protocol.DirectoryStatus_DIRECTORY_OK:
		d.found(running, registration)
	case protocol.DirectoryStatus_DIRECTORY_NOT_FOUND:
		d.registerHere(running)
	default:
		d.stats.Transferring++
		d.retry(running)
	}
}

// lookupThere asks the holder, which registers this node when it knows no owner;
// while the holder is suspect the resolve waits.
func (d *Directory) lookupThere(running *resolve, holder ring.Member) {
	to := d.peer(holder)
	switch {
	case to.doubted:
		// What the probe shows lets it go on.
		running.notBefore = d.at.Now.Add(d.lookupTimeout(to))
		return
	case to.failures > 0 && d.at.Now.Before(to.notBefore):
		running.notBefore = to.notBefore
		return
	}
	d.stats.RemoteLookups++
	request := &protocol.LookupSessionRequest{
		Session: running.session, ViewVersion: d.view.Version, Suspects: d.namedSuspects(),
	}
	registers := !d.draining && d.at.Authority
	switch {
	case registers:
		request.Registration = d.firstRegistration(running)
	case d.draining && d.at.Authority:
		request.Registration = d.registrationFor(running, holder)
	}
	running.call = d.emitCall(&call{kind: callLookup, peer: to, resolve: running, registers: registers}, &protocol.Request{
		Body: &protocol.Request_LookupSession{LookupSession: request},
	})
}

func (d *Directory) lookupAnswered(done *call, answer *protocol.LookupSessionResponse) {
	running := done.resolve
	if d.resolves[running.session] != running || running.call != done.number {
		return
	}
	running.call = 0
	if answer == nil {
		running.ambiguous = running.ambiguous || done.registers
	}
	switch answer.GetStatus() {
	case protocol.DirectoryStatus_DIRECTORY_OK:
		if d.isFirstRegistration(running, done, answer.GetRegistration()) {
			d.registered(running, done.peer, answer.GetRegistration().GetClaim())
			return
		}
		d.found(running, answer.GetRegistration())
	case protocol.DirectoryStatus_DIRECTORY_NOT_FOUND:
		d.registerThere(running, done.peer)
	default:
		d.countRefusal(answer.GetStatus())
		d.retry(running)
	}
}

// found takes a registration in that a holder knows.
func (d *Directory) found(running *resolve, registration *protocol.Registration) {
	if registration.GetOwner() == d.self.Name && registration.GetOwnerIncarnation() == d.self.Incarnation {
		d.adopt(running)
		return
	}
	if !d.ownerInView(registration) || d.isDoubted(registration.GetOwner()) {
		// Either view is behind, and the next one decides, or the owner cannot be reached, which the next try says.
		d.retry(running)
		return
	}
	d.remember(registration)
	d.finish(running, d.ownerOf(running, registration))
}

// adopt owns a session that a holder has registered for this node, as after a lost answer.
func (d *Directory) adopt(running *resolve) {
	if d.draining {
		d.withdrawOwn(running.session, running.program)
		return
	}
	d.salvageSession(d.own(running.session, running.program, d.nextSequence(), false))
	d.continueResolve(running.session)
}

func (d *Directory) countRefusal(status protocol.DirectoryStatus) {
	switch status {
	case protocol.DirectoryStatus_INCORRECT_PARTITION:
		d.stats.IncorrectPartition++
	case protocol.DirectoryStatus_DIRECTORY_SETTLING:
		d.stats.Transferring++
	}
}

// retry tries again after a delay with jitter.
func (d *Directory) retry(running *resolve) {
	running.attempts++
	wait := settleRetryDelay
	for range min(running.attempts-1, mostSettleDoublings) {
		wait *= 2
	}
	running.notBefore = d.at.Now.Add(d.jitter(wait))
}

// remember caches an owner.
func (d *Directory) remember(registration *protocol.Registration) {
	if registration.GetOwner() != "" && registration.GetOwner() != d.self.Name {
		d.cache.Add(registration.GetSession(), registration)
	}
}

func (d *Directory) ownerHere(running *resolve) Owner {
	return d.ownerOf(running, &protocol.Registration{Owner: d.self.Name, OwnerIncarnation: d.self.Incarnation})
}

func (d *Directory) ownerOf(running *resolve, registration *protocol.Registration) Owner {
	owner := Owner{
		Name: registration.GetOwner(), Incarnation: registration.GetOwnerIncarnation(),
		Address: d.view.byName[registration.GetOwner()].Address,
		Local:   registration.GetOwner() == d.self.Name, ViewVersion: d.view.Version, CacheHit: running.cacheHit,
	}
	if owner.Local {
		owner.Address = d.self.Address
	}
	if holder, found := d.view.holder(running.key); found {
		owner.PartitionHolder = holder.Name
	}
	return owner
}

func (d *Directory) finish(running *resolve, owner Owner) {
	delete(d.resolves, running.session)
	for _, ticket := range running.tickets {
		delete(d.tickets, ticket)
		d.emit(Resolved{Ticket: ticket, Owner: owner})
	}
}

func (d *Directory) failDraining(running *resolve) {
	if d.draining {
		d.fail(running, failure.Draining)
		return
	}
	d.retry(running)
}

// fail gives a resolve up. Nothing was run; the caller is told when to come back.
func (d *Directory) fail(running *resolve, code failure.Code) {
	d.abandon(running)
	for _, ticket := range running.tickets {
		delete(d.tickets, ticket)
		d.emit(Resolved{Ticket: ticket, Code: code, RetryAfter: failRetryAfter})
	}
}

// failRetryAfter is what callers are told when an owner could not be found: about the time a view takes to change.
const failRetryAfter = time.Second
