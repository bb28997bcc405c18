package directory

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// item is one registration or withdrawal on its way to a holder. It stays on
// its list until the present holder accepts or refuses it.
type item struct {
	session      string
	key          uint64
	registration *protocol.Registration
	since        time.Time
	target       *peer
	// call is the call that carries the item; zero while it is queued.
	call uint64
}

// peer is what this node has to tell another one. One call is under way at a time.
type peer struct {
	member    ring.Member
	queue     []*item
	displaced []*protocol.Registration
	// due is the view version for which completion is owed; zero when it is not.
	pendingCompletion uint64
	// dueSince counts the views put in force when completion was last owed.
	pendingCompletionGeneration uint64
	// partialKnowledge goes with the completion owed: other nodes may have registrations in what the peer gained.
	partialKnowledge bool
	// gainedFrom are the suspects that the peer named last as the former holders of what it gained.
	transferSuspects []*protocol.Suspect
	// ask is true while the peer is to be asked to register again.
	needsReregistrationRequest bool
	// doubted is true while the peer is asked whether it is there.
	unconfirmed   bool
	unconfirmedSince time.Time
	// heardAt is when the peer last answered; falseSuspicions counts those that an answer ended.
	lastContact         time.Time
	suspectedAt     time.Time
	indirectSuspicionAt       time.Time
	falseSuspicions int
	call            uint64
	// probe is the call under way that only asks whether the peer is there.
	pingCall uint64
	// failures counts calls without an answer in a row; while it is not zero the peer is suspect.
	failures int
	// refusals counts answers in a row that showed another view than this node's.
	viewMismatches  int
	notBefore time.Time
}

// hasWork reports whether a peer is to be told something. A suspect is only asked whether it is there.
func (d *Directory) hasWork(to *peer) bool {
	if d.isSuspect(to.member.Name, to.member.Incarnation) {
		return d.needsPing(to)
	}
	return len(to.queue) > 0 || len(to.displaced) > 0 || to.hasPendingCompletion(d.view.Version) || to.needsReregistrationRequest || d.needsPing(to)
}

// isToBeProbed reports whether a probe is to be sent to a peer.
func (d *Directory) needsPing(to *peer) bool {
	if to.pingCall != 0 {
		return false
	}
	return to.unconfirmed || d.isSuspect(to.member.Name, to.member.Incarnation)
}

// owes reports whether completion is owed under a view that this node has.
func (p *peer) hasPendingCompletion(viewVersion uint64) bool {
	return p.pendingCompletion > 0 && p.pendingCompletion <= viewVersion
}

type callKind int

const (
	callLookup callKind = iota
	callFirstRegistration
	callRegister
	callUnregister
	callDisplaced
	callReregistrationRequest
	callPing
)

// call is one request under way.
type call struct {
	number uint64
	kind   callKind
	peer   *peer
	// view is the version named in the request, inForce how many views were put in force before it.
	view      uint64
	viewGeneration   uint64
	items     []*item
	displaced []*protocol.Registration
	complete  bool
	resolution   *resolution
	// registers is true when the call may have registered this node as the owner.
	registers bool
	sentAt    time.Time
	// incarnation is this node's at the time of the call.
	incarnation uint64
}

func (d *Directory) peer(member ring.Member) *peer {
	found := d.peers[member.Name]
	if found == nil || found.member != member {
		found = &peer{member: member}
		d.peers[member.Name] = found
	}
	return found
}

// salvageMoved puts own sessions whose holder changed on the salvage list. Under
// the end-sessions policy those whose holder was lost are given up instead.
func (d *Directory) salvageReassigned(former View) {
	for _, name := range sortedKeys(d.owned) {
		session := d.owned[name]
		before, had := former.holder(session.key)
		after, _ := d.view.holder(session.key)
		if session.yieldReason != "" || before == after {
			continue
		}
		lost := had && !d.view.Has(before.Name, before.Incarnation)
		if d.policy.EndSessions && lost {
			d.yield(session, YieldEnded, false)
			continue
		}
		d.salvageSession(session)
	}
}

func (d *Directory) salvageSession(session *ownedSession) {
	if d.salvage[session.name] == nil {
		d.salvage[session.name] = &item{session: session.name, key: session.key, since: d.at.Now}
	}
	waiting := d.salvage[session.name]
	waiting.registration = d.registrationOf(session)
	d.target(waiting)
}

// retarget sends items on whose holder changed.
func (d *Directory) retarget() {
	for _, list := range []map[string]*item{d.salvage, d.handOff, d.withdrawals} {
		for _, name := range sortedKeys(list) {
			waiting := list[name]
			if waiting == nil {
				continue
			}
			holder, found := d.view.holder(waiting.key)
			if !found || waiting.target == nil || waiting.target.member != holder || d.peers[holder.Name] != waiting.target {
				d.target(waiting)
			}
		}
	}
}

// target queues an item for the present holder of its key, or settles it here when that is this node.
func (d *Directory) target(waiting *item) {
	waiting.call = 0
	waiting.target = nil
	holder, found := d.view.holder(waiting.key)
	if !found {
		return
	}
	if d.isSelf(holder) {
		d.completeLocally(waiting)
		return
	}
	if holder.Name == d.self.Name {
		// The view has an earlier incarnation of this node; the next one decides.
		return
	}
	waiting.target = d.peer(holder)
	waiting.target.queue = append(waiting.target.queue, waiting)
	d.schedule(waiting.target)
}

// settleHere takes an item as holder.
func (d *Directory) completeLocally(waiting *item) {
	switch {
	case d.withdrawals[waiting.session] == waiting:
		d.withdraw(waiting.registration)
		d.completeWithdrawal(waiting)
	case d.salvage[waiting.session] == waiting:
		result := d.register(waiting.registration, protocol.RegistrationCause_CAUSE_SALVAGE, d.view.Version)
		if result.GetStatus() == protocol.DirectoryStatus_INCORRECT_PARTITION {
			// The view does not have this node's incarnation yet; a later one will.
			return
		}
		d.completeSalvage(waiting, result)
	case d.handOff[waiting.session] == waiting:
		d.register(waiting.registration, protocol.RegistrationCause_CAUSE_HAND_OFF, d.view.Version)
		delete(d.handOff, waiting.session)
	}
}

// live reports whether the item is still on its list and meant for the peer.
func (d *Directory) isCurrent(waiting *item, to *peer) bool {
	if waiting.target != to {
		return false
	}
	session := waiting.session
	return d.salvage[session] == waiting || d.handOff[session] == waiting || d.withdrawals[session] == waiting
}

// pump begins the next call to each peer that has work, no call under way and no delay to keep.
func (d *Directory) dispatch() {
	if len(d.peersWithWork) == 0 || !d.at.Authority {
		return
	}
	for _, name := range sortedKeys(d.peersWithWork) {
		to := d.peersWithWork[name]
		if d.peers[name] != to {
			delete(d.peersWithWork, name)
			continue
		}
		ready := !d.at.Now.Before(to.notBefore)
		if ready && d.needsPing(to) {
			d.ping(to)
		}
		if to.call != 0 || !d.hasWork(to) {
			delete(d.peersWithWork, name)
			continue
		}
		if ready && !d.isSuspect(to.member.Name, to.member.Incarnation) {
			d.sendNext(to)
		}
	}
}

// wake has the next pump look at a peer. An answer to an earlier incarnation
// must not take the place of the one that is known now.
func (d *Directory) schedule(to *peer) {
	if d.peers[to.member.Name] == to {
		d.peersWithWork[to.member.Name] = to
	}
}

// sendNext sends withdrawals first, then registrations, notices and questions.
func (d *Directory) sendNext(to *peer) {
	to.queue = slices.DeleteFunc(to.queue, func(waiting *item) bool {
		return waiting.call != 0 || !d.isCurrent(waiting, to)
	})
	if batch := d.dequeue(to, d.withdrawals); len(batch) > 0 {
		d.sendUnregister(to, batch)
		return
	}
	if batch := d.dequeue(to, d.handOff); len(batch) > 0 {
		d.sendRegister(to, batch, protocol.RegistrationCause_CAUSE_HAND_OFF)
		return
	}
	if batch := d.dequeue(to, d.salvage); len(batch) > 0 || to.hasPendingCompletion(d.view.Version) {
		d.sendRegister(to, batch, protocol.RegistrationCause_CAUSE_SALVAGE)
		return
	}
	if len(to.displaced) > 0 {
		d.sendDisplaced(to)
		return
	}
	if to.needsReregistrationRequest {
		d.requestReregistration(to)
	}
}

// take removes up to a batch of one list's items from the queue.
func (d *Directory) dequeue(to *peer, list map[string]*item) []*item {
	var batch []*item
	to.queue = slices.DeleteFunc(to.queue, func(waiting *item) bool {
		if len(batch) == d.policy.BatchSize || list[waiting.session] != waiting {
			return false
		}
		batch = append(batch, waiting)
		return true
	})
	return batch
}

func registrationsOf(batch []*item) []*protocol.Registration {
	registrations := make([]*protocol.Registration, len(batch))
	for i, waiting := range batch {
		registrations[i] = waiting.registration
	}
	return registrations
}

func (d *Directory) sendRegister(to *peer, batch []*item, cause protocol.RegistrationCause) {
	complete := to.hasPendingCompletion(d.view.Version) && len(to.queue) == 0
	request := &protocol.RegisterSessionsRequest{
		ViewVersion: d.view.Version, Cause: cause, Registrations: registrationsOf(batch),
		From: d.self.Name, Complete: complete, PartialKnowledge: complete && to.partialKnowledge,
		Suspects: d.suspectsFor(to),
	}
	d.send(&call{kind: callRegister, peer: to, items: batch, complete: complete}, &protocol.Request{
		Body: &protocol.Request_RegisterSessions{RegisterSessions: request},
	})
}

func (d *Directory) sendUnregister(to *peer, batch []*item) {
	request := &protocol.UnregisterSessionsRequest{Registrations: registrationsOf(batch), ViewVersion: d.view.Version}
	d.send(&call{kind: callUnregister, peer: to, items: batch}, &protocol.Request{
		Body: &protocol.Request_UnregisterSessions{UnregisterSessions: request},
	})
}

func (d *Directory) sendDisplaced(to *peer) {
	request := &protocol.UnregisterSessionsRequest{Registrations: to.displaced, ViewVersion: d.view.Version}
	d.send(&call{kind: callDisplaced, peer: to, displaced: to.displaced}, &protocol.Request{
		Body: &protocol.Request_UnregisterSessions{UnregisterSessions: request},
	})
	to.displaced = nil
}

func (d *Directory) requestReregistration(to *peer) {
	to.needsReregistrationRequest = false
	d.stats.ReregistrationRequests++
	request := &protocol.RegisterSessionsRequest{ViewVersion: d.view.Version, From: d.self.Name, Resend: true, Suspects: d.transferSuspects()}
	d.send(&call{kind: callReregistrationRequest, peer: to}, &protocol.Request{
		Body: &protocol.Request_RegisterSessions{RegisterSessions: request},
	})
}

// sendProbe asks a peer only whether it is there.
func (d *Directory) ping(to *peer) {
	request := &protocol.RegisterSessionsRequest{ViewVersion: d.view.Version, From: d.self.Name}
	to.pingCall = d.emitCall(&call{kind: callPing, peer: to}, &protocol.Request{
		Body: &protocol.Request_RegisterSessions{RegisterSessions: request},
	})
}

// send emits a background call; it is the only one to its peer.
func (d *Directory) send(sent *call, request *protocol.Request) {
	number := d.emitCall(sent, request)
	sent.peer.call = number
	for _, waiting := range sent.items {
		waiting.call = number
	}
}

func (d *Directory) emitCall(sent *call, request *protocol.Request) uint64 {
	d.lastCall++
	sent.view = d.view.Version
	sent.viewGeneration = d.viewGeneration
	sent.incarnation = d.self.Incarnation
	sent.number = d.lastCall
	sent.sentAt = d.at.Now
	d.calls[d.lastCall] = sent
	timeout := d.lookupTimeout(sent.peer)
	if len(sent.items) > 0 || len(sent.displaced) > 0 {
		timeout *= 2
	}
	d.emit(Send{Timeout: timeout, Call: d.lastCall, Name: sent.peer.member.Name, Address: sent.peer.member.Address, Request: request})
	return d.lastCall
}

// resend answers a holder that waits for this node: everything owned there is registered again. The suspects are those that
// the holder has gained ranges from.
func (d *Directory) reregister(from string, version uint64, suspects []*protocol.Suspect) {
	front, found := d.view.byName[from]
	if !found || d.view.Version < version {
		return
	}
	for _, name := range sortedKeys(d.owned) {
		session := d.owned[name]
		holder, _ := d.view.holder(session.key)
		if holder == front.Member && session.yieldReason == "" && d.salvage[name] == nil {
			d.salvageSession(session)
		}
	}
	holder := d.peer(front.Member)
	holder.transferSuspects = suspects
	if !d.suspectsAll(suspects) {
		// The holder waits for a word that says that they cannot be reached; it comes once this node has found so.
		return
	}
	d.markCompletionPending(holder)
}

// owe notes that completion is owed to a peer under the view in force.
func (d *Directory) markCompletionPending(to *peer) {
	to.pendingCompletion = max(to.pendingCompletion, d.view.Version)
	to.pendingCompletionGeneration = d.viewGeneration
	d.schedule(to)
}
