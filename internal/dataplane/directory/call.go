package directory

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

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

// call is one request in flight.
type call struct {
	number uint64
	kind   callKind
	peer   *peer
	// viewVersion is the version sent in the request; viewGeneration is the generation at which it was sent.
	viewVersion    uint64
	viewGeneration uint64
	updates        []*pendingUpdate
	displaced      []*protocol.Registration
	complete       bool
	resolution     *resolution
	// registers is true when the call may register this node as the owner.
	registers bool
	sentAt    time.Time
	// incarnation is this node's incarnation when the call was sent.
	incarnation uint64
}

// dispatch sends the next call to each peer with work that has no call in flight and is not backing off.
func (d *Directory) dispatch() {
	if len(d.peersWithWork) == 0 || !d.moment.Authority {
		return
	}
	for _, name := range sortedKeys(d.peersWithWork) {
		to := d.peersWithWork[name]
		if d.peers[name] != to {
			delete(d.peersWithWork, name)
			continue
		}
		ready := !d.moment.Now.Before(to.notBefore)
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

// sendNext sends withdrawals first, then registrations, displacements and requests for reregistration.
func (d *Directory) sendNext(to *peer) {
	to.queue = slices.DeleteFunc(to.queue, func(pending *pendingUpdate) bool {
		return pending.call != 0 || !d.isCurrent(pending, to)
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

// dequeue removes up to one batch of updates of the given list from the peer's queue.
func (d *Directory) dequeue(to *peer, list map[string]*pendingUpdate) []*pendingUpdate {
	var batch []*pendingUpdate
	to.queue = slices.DeleteFunc(to.queue, func(pending *pendingUpdate) bool {
		if len(batch) == d.policy.BatchSize || list[pending.session] != pending {
			return false
		}
		batch = append(batch, pending)
		return true
	})
	return batch
}

func registrationsOf(batch []*pendingUpdate) []*protocol.Registration {
	registrations := make([]*protocol.Registration, len(batch))
	for i, pending := range batch {
		registrations[i] = pending.registration
	}
	return registrations
}

func (d *Directory) sendRegister(to *peer, batch []*pendingUpdate, cause protocol.RegistrationCause) {
	complete := to.hasPendingCompletion(d.view.Version) && len(to.queue) == 0
	request := &protocol.RegisterSessionsRequest{
		ViewVersion: d.view.Version, Cause: cause, Registrations: registrationsOf(batch),
		From: d.self.Name, Complete: complete, PartialKnowledge: complete && to.partialKnowledge,
		Suspects: d.suspectsFor(to),
	}
	d.send(&call{kind: callRegister, peer: to, updates: batch, complete: complete}, &protocol.Request{
		Body: &protocol.Request_RegisterSessions{RegisterSessions: request},
	})
}

func (d *Directory) sendUnregister(to *peer, batch []*pendingUpdate) {
	request := &protocol.UnregisterSessionsRequest{Registrations: registrationsOf(batch), ViewVersion: d.view.Version}
	d.send(&call{kind: callUnregister, peer: to, updates: batch}, &protocol.Request{
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
	request := &protocol.RegisterSessionsRequest{
		ViewVersion: d.view.Version, From: d.self.Name, Resend: true, Suspects: d.transferSuspects(),
	}
	d.send(&call{kind: callReregistrationRequest, peer: to}, &protocol.Request{
		Body: &protocol.Request_RegisterSessions{RegisterSessions: request},
	})
}

// ping sends a peer an empty request, whose response shows that the peer is reachable.
func (d *Directory) ping(to *peer) {
	request := &protocol.RegisterSessionsRequest{ViewVersion: d.view.Version, From: d.self.Name}
	to.pingCall = d.emitCall(&call{kind: callPing, peer: to}, &protocol.Request{
		Body: &protocol.Request_RegisterSessions{RegisterSessions: request},
	})
}

// send emits a call that is, apart from pings, the only one in flight to its peer.
func (d *Directory) send(sent *call, request *protocol.Request) {
	number := d.emitCall(sent, request)
	sent.peer.call = number
	for _, pending := range sent.updates {
		pending.call = number
	}
}

func (d *Directory) emitCall(sent *call, request *protocol.Request) uint64 {
	d.lastCall++
	sent.viewVersion = d.view.Version
	sent.viewGeneration = d.viewGeneration
	sent.incarnation = d.self.Incarnation
	sent.number = d.lastCall
	sent.sentAt = d.moment.Now
	d.calls[d.lastCall] = sent
	timeout := d.lookupTimeout(sent.peer)
	if len(sent.updates) > 0 || len(sent.displaced) > 0 {
		timeout *= 2
	}
	d.emit(
		Send{
			Timeout: timeout, Call: d.lastCall, Name: sent.peer.member.Name, Address: sent.peer.member.Address, Request: request,
		},
	)
	return d.lastCall
}
