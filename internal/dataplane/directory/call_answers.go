package directory

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// handleCallEnded applies the response to a call, or its failure.
func (d *Directory) handleCallEnded(event CallEnded) {
	ended := d.calls[event.Call]
	if ended == nil {
		return
	}
	d.endCall(ended)
	if event.Response != nil {
		d.recordDuration(d.moment.Now.Sub(ended.sentAt))
	}
	incarnation := incarnationOf(event.Response)
	failure, failed := ended.failureShownBy(event, incarnation)
	if !failed {
		d.observeContact(ended, incarnation)
	}
	d.applyResponse(ended, event)
	if failed {
		// This comes last: a suspicion changes the view, and with it the holders of what the response has just changed.
		d.observeFailure(ended.peer, failure, ended.kind == callPing)
	}
}

// endCall removes a call, so that the next one to its peer may be sent.
func (d *Directory) endCall(ended *call) {
	delete(d.calls, ended.number)
	if ended.peer.call == ended.number {
		ended.peer.call = 0
		d.schedule(ended.peer)
	}
	if ended.peer.pingCall == ended.number {
		ended.peer.pingCall = 0
		d.schedule(ended.peer)
	}
}

// failureShownBy returns what the end of a call shows about the incarnation that was called; false when that
// incarnation responded.
func (c *call) failureShownBy(event CallEnded, incarnation uint64) (CallFailure, bool) {
	if event.Response == nil {
		return event.Failure, true
	}
	// If a later incarnation responded, the one that was called has ended; a view with the later one will follow.
	return CallConnectionRefused, incarnation > c.peer.member.Incarnation
}

// observeContact trusts the peer if the response came from the incarnation that was called or names no incarnation.
func (d *Directory) observeContact(ended *call, incarnation uint64) {
	if incarnation == 0 || incarnation == ended.peer.member.Incarnation {
		d.trust(ended.peer, ended.kind == callPing)
		return
	}
	d.observeFailure(ended.peer, CallInconclusive, false)
}

func (d *Directory) applyResponse(ended *call, event CallEnded) {
	switch ended.kind {
	case callLookup:
		d.handleLookupResponse(ended, event.Response.GetLookupSession())
	case callFirstRegistration:
		d.handleFirstRegistrationResponse(ended, event.Response.GetRegisterSessions())
	case callRegister:
		d.handleRegisterResponse(ended, event)
	case callUnregister:
		d.handleUnregisterResponse(ended, event)
	case callDisplaced:
		d.handleDisplacementResponse(ended, event)
	case callReregistrationRequest, callPing:
		// A peer responds to a request for reregistration with registrations of its own; the transfer repeats the request
		// until those arrive.
	}
}

// incarnationOf returns the incarnation of the responding node; 0 when the response does not name it.
func incarnationOf(response *protocol.Response) uint64 {
	switch body := response.GetBody().(type) {
	case *protocol.Response_LookupSession:
		return body.LookupSession.GetIncarnation()
	case *protocol.Response_RegisterSessions:
		return body.RegisterSessions.GetIncarnation()
	case *protocol.Response_UnregisterSessions:
		return body.UnregisterSessions.GetIncarnation()
	default:
		return 0
	}
}

// backoff returns the policy's retry delay, doubled with each further failure up to a limit, with jitter.
func (d *Directory) backoff(failures int, limit time.Duration) time.Duration {
	wait := d.policy.RetryDelay
	for range min(failures-1, 10) {
		wait *= 2
	}
	return d.jitter(min(wait, limit))
}

// jitter returns a random duration between half of the given one and all of it.
func (d *Directory) jitter(wait time.Duration) time.Duration {
	half := wait / 2
	return half + time.Duration(d.options.Random.Int64N(int64(half)+1))
}

func (d *Directory) handleRegisterResponse(ended *call, event CallEnded) {
	answer := event.Response.GetRegisterSessions()
	if answer == nil {
		d.requeue(ended)
		return
	}
	results := make(map[string]*protocol.RegistrationResult, len(answer.GetResults()))
	for _, result := range answer.GetResults() {
		results[result.GetSession()] = result
	}
	var waits []time.Duration
	for _, pending := range ended.updates {
		if pending.call != event.Call || !d.isCurrent(pending, ended.peer) {
			continue
		}
		if wait, accepted := d.completeUpdate(pending, results[pending.session]); accepted {
			waits = append(waits, wait)
		}
	}
	d.backOffWhileViewDiffers(ended.peer, anyIncorrectPartition(answer.GetResults()))
	if len(waits) > 0 {
		d.emit(Reregistered{Waits: waits})
	}
	d.handleCompletionResponse(ended, answer.GetViewVersion())
}

// completeUpdate applies the result of one update. For an accepted session of the salvage list it returns how long that
// session waited, and true.
func (d *Directory) completeUpdate(pending *pendingUpdate, result *protocol.RegistrationResult) (time.Duration, bool) {
	status := result.GetStatus()
	if status != protocol.DirectoryStatus_DIRECTORY_OK && status != protocol.DirectoryStatus_DUPLICATE_ACTIVATION {
		d.stats.IncorrectPartition++
		d.enqueue(pending)
		return 0, false
	}
	if d.handOff[pending.session] == pending {
		d.stats.HandedOff++
		delete(d.handOff, pending.session)
		return 0, false
	}
	accepted := d.completeSalvage(pending, result)
	return d.moment.Now.Sub(pending.since), accepted
}

// completeSalvage removes a session from the salvage list and reports whether its registration was accepted.
func (d *Directory) completeSalvage(pending *pendingUpdate, result *protocol.RegistrationResult) bool {
	delete(d.salvage, pending.session)
	session := d.owned[pending.session]
	if session == nil {
		return false
	}
	if result.GetStatus() == protocol.DirectoryStatus_DUPLICATE_ACTIVATION {
		d.stats.Duplicates++
		d.cacheOwner(result.GetCurrent())
		d.yield(session, YieldDuplicate, false)
		return false
	}
	d.stats.Salvaged++
	session.confirmed = true
	d.continueResolve(pending.session)
	return true
}

// anyIncorrectPartition reports whether the peer rejected a registration because it does not consider itself the
// holder.
func anyIncorrectPartition(results []*protocol.RegistrationResult) bool {
	return slices.ContainsFunc(results, func(result *protocol.RegistrationResult) bool {
		return result.GetStatus() == protocol.DirectoryStatus_INCORRECT_PARTITION
	})
}

// backOffWhileViewDiffers delays the next call to a peer whose view differs from this node's.
func (d *Directory) backOffWhileViewDiffers(peer *peer, differs bool) {
	if !differs {
		peer.viewMismatches = 0
		return
	}
	peer.viewMismatches++
	peer.notBefore = d.moment.Now.Add(d.backoff(peer.viewMismatches, maxViewBackoff))
}

// handleCompletionResponse ends a pending completion once the peer has the view for which the completion was sent. A
// peer with an older view does not know its gained ranges yet and is sent the completion again; one with a newer view
// may have gained more ranges, so a completion is pending under that view.
func (d *Directory) handleCompletionResponse(ended *call, peerVersion uint64) {
	if !ended.complete || !ended.peer.pendingCompletionCoveredBy(ended) {
		return
	}
	switch {
	case peerVersion < ended.peer.pendingCompletion:
		d.backOffWhileViewDiffers(ended.peer, true)
		if len(ended.updates) == 0 {
			// No session waits for this call, and without the delay all nodes would call a holder with an older view in rapid
			// succession.
			ended.peer.notBefore = d.moment.Now.Add(d.jitter(maxViewBackoff))
		}
	case peerVersion > d.view.Version:
		ended.peer.pendingCompletion = peerVersion
	default:
		ended.peer.pendingCompletion = 0
		ended.peer.partialKnowledge = false
	}
}

// pendingCompletionCoveredBy reports whether a completion is pending and was already pending when the call was sent.
func (p *peer) pendingCompletionCoveredBy(ended *call) bool {
	return p.pendingCompletion > 0 && p.pendingCompletion <= ended.viewVersion &&
		p.pendingCompletionGeneration <= ended.viewGeneration
}

// requeue queues the updates of a call without a response again.
func (d *Directory) requeue(ended *call) {
	for _, pending := range ended.updates {
		if d.isCurrent(pending, ended.peer) {
			d.enqueue(pending)
		}
	}
}

func (d *Directory) handleUnregisterResponse(ended *call, event CallEnded) {
	answer := event.Response.GetUnregisterSessions()
	if answer == nil {
		d.requeue(ended)
		return
	}
	incorrectPartition := make(map[string]bool)
	for _, result := range answer.GetResults() {
		incorrectPartition[result.GetSession()] = result.GetStatus() == protocol.DirectoryStatus_INCORRECT_PARTITION
	}
	for _, pending := range ended.updates {
		if pending.call != event.Call || !d.isCurrent(pending, ended.peer) {
			continue
		}
		if incorrectPartition[pending.session] {
			d.stats.IncorrectPartition++
			d.enqueue(pending)
			continue
		}
		d.completeWithdrawal(pending)
	}
	d.backOffWhileViewDiffers(ended.peer, anyIncorrectPartition(answer.GetResults()))
}

func (d *Directory) completeWithdrawal(pending *pendingUpdate) {
	delete(d.withdrawals, pending.session)
	d.continueResolve(pending.session)
}

func (d *Directory) handleDisplacementResponse(ended *call, event CallEnded) {
	if event.Response == nil && d.peers[ended.peer.member.Name] == ended.peer {
		ended.peer.displaced = append(ended.displaced, ended.peer.displaced...)
	}
}
