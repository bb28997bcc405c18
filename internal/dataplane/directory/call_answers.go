package directory

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// answered applies the answer to a call, or its failure.
func (d *Directory) answered(event CallEnded) {
	done := d.calls[event.Call]
	if done == nil {
		return
	}
	d.endCall(done)
	if event.Response != nil {
		d.recordDuration(d.at.Now.Sub(done.sentAt))
	}
	incarnation := incarnationOf(event.Response)
	loss, isLost := done.lossShownBy(event, incarnation)
	if !isLost {
		d.observeContact(done, incarnation)
	}
	d.applyAnswer(done, event)
	if isLost {
		// Last, since a suspicion puts a view in force, which moves what the answer has just changed.
		d.observeFailure(done.peer, loss, done.kind == callPing)
	}
}

// endCall removes a call, so that the next one to its peer may begin.
func (d *Directory) endCall(done *call) {
	delete(d.calls, done.number)
	if done.peer.call == done.number {
		done.peer.call = 0
		d.schedule(done.peer)
	}
	if done.peer.pingCall == done.number {
		done.peer.pingCall = 0
		d.schedule(done.peer)
	}
}

// lossShownBy is the failure that the end of a call shows of the incarnation that was called; false when that one
// answered.
func (c *call) lossShownBy(event CallEnded, incarnation uint64) (CallFailure, bool) {
	if event.Response == nil {
		return event.Failure, true
	}
	// A later incarnation answers: the one that was called has ended, and a view with the next one will follow.
	return CallConnectionRefused, incarnation > c.peer.member.Incarnation
}

// observeContact trusts the peer if the incarnation that was called answered, or one that the answer does not name.
func (d *Directory) observeContact(done *call, incarnation uint64) {
	if incarnation == 0 || incarnation == done.peer.member.Incarnation {
		d.trust(done.peer, done.kind == callPing)
		return
	}
	d.observeFailure(done.peer, CallInconclusive, false)
}

func (d *Directory) applyAnswer(done *call, event CallEnded) {
	switch done.kind {
	case callLookup:
		d.lookupAnswered(done, event.Response.GetLookupSession())
	case callFirstRegistration:
		d.firstRegistrationAnswered(done, event.Response.GetRegisterSessions())
	case callRegister:
		d.registerAnswered(done, event)
	case callUnregister:
		d.unregisterAnswered(done, event)
	case callDisplaced:
		d.displacedAnswered(done, event)
	case callReregistrationRequest, callPing:
		// A peer answers a request for reregistration with a request of its own; the transfer repeats it until that comes.
	}
}

// incarnationOf is the incarnation that answered; 0 when the answer does not name it.
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

// backoff doubles the policy's retry delay with each failure up to a limit, with jitter.
func (d *Directory) backoff(failures int, limit time.Duration) time.Duration {
	wait := d.policy.RetryDelay
	for range min(failures-1, 10) {
		wait *= 2
	}
	return d.jitter(min(wait, limit))
}

// jitter returns between half and all of a duration.
func (d *Directory) jitter(wait time.Duration) time.Duration {
	half := wait / 2
	return half + time.Duration(d.options.Random.Int64N(int64(half)+1))
}

func (d *Directory) registerAnswered(done *call, event CallEnded) {
	answer := event.Response.GetRegisterSessions()
	if answer == nil {
		d.requeue(done)
		return
	}
	results := make(map[string]*protocol.RegistrationResult, len(answer.GetResults()))
	for _, result := range answer.GetResults() {
		results[result.GetSession()] = result
	}
	var waits []time.Duration
	for _, pending := range done.items {
		if pending.call != event.Call || !d.isCurrent(pending, done.peer) {
			continue
		}
		if wait, accepted := d.completeItem(pending, results[pending.session]); accepted {
			waits = append(waits, wait)
		}
	}
	d.backOffWhileViewDiffers(done.peer, anyIncorrectPartition(answer.GetResults()))
	if len(waits) > 0 {
		d.emit(Reregistered{Waits: waits})
	}
	d.completionAcknowledged(done, answer.GetViewVersion())
}

// completeItem applies the result of one item. For a session of the salvage list that was accepted it returns how long
// it waited, and true.
func (d *Directory) completeItem(pending *item, result *protocol.RegistrationResult) (time.Duration, bool) {
	status := result.GetStatus()
	if status != protocol.DirectoryStatus_DIRECTORY_OK && status != protocol.DirectoryStatus_DUPLICATE_ACTIVATION {
		d.stats.IncorrectPartition++
		d.target(pending)
		return 0, false
	}
	if d.handOff[pending.session] == pending {
		d.stats.HandedOff++
		delete(d.handOff, pending.session)
		return 0, false
	}
	accepted := d.completeSalvage(pending, result)
	return d.at.Now.Sub(pending.since), accepted
}

// completeSalvage removes a session from the salvage list and reports whether the registration was accepted.
func (d *Directory) completeSalvage(pending *item, result *protocol.RegistrationResult) bool {
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

// anyIncorrectPartition reports whether an answer shows that the peer does not consider itself the holder.
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
	peer.notBefore = d.at.Now.Add(d.backoff(peer.viewMismatches, maxViewBackoff))
}

// completionAcknowledged ends a pending completion once the peer's view is the one that it was sent for.
// A peer that is behind does not know yet what it gained, and gets it again; one that is ahead
// may have gained more, for which a completion is pending under its view.
func (d *Directory) completionAcknowledged(done *call, peerVersion uint64) {
	if !done.complete || !done.peer.pendingCompletionCoveredBy(done) {
		return
	}
	switch {
	case peerVersion < done.peer.pendingCompletion:
		d.backOffWhileViewDiffers(done.peer, true)
		if len(done.items) == 0 {
			// No session waits for it, and all nodes would call a holder that is behind in rapid succession.
			done.peer.notBefore = d.at.Now.Add(d.jitter(maxViewBackoff))
		}
	case peerVersion > d.view.Version:
		done.peer.pendingCompletion = peerVersion
	default:
		done.peer.pendingCompletion = 0
		done.peer.partialKnowledge = false
	}
}

// pendingCompletionCoveredBy reports whether a completion is pending and became so before the call was sent.
func (p *peer) pendingCompletionCoveredBy(done *call) bool {
	return p.pendingCompletion > 0 && p.pendingCompletion <= done.view &&
		p.pendingCompletionGeneration <= done.viewGeneration
}

// requeue queues the items of a call without an answer again.
func (d *Directory) requeue(done *call) {
	for _, pending := range done.items {
		if d.isCurrent(pending, done.peer) {
			d.target(pending)
		}
	}
}

func (d *Directory) unregisterAnswered(done *call, event CallEnded) {
	answer := event.Response.GetUnregisterSessions()
	if answer == nil {
		d.requeue(done)
		return
	}
	incorrectPartition := make(map[string]bool)
	for _, result := range answer.GetResults() {
		incorrectPartition[result.GetSession()] = result.GetStatus() == protocol.DirectoryStatus_INCORRECT_PARTITION
	}
	for _, pending := range done.items {
		if pending.call != event.Call || !d.isCurrent(pending, done.peer) {
			continue
		}
		if incorrectPartition[pending.session] {
			d.stats.IncorrectPartition++
			d.target(pending)
			continue
		}
		d.completeWithdrawal(pending)
	}
	d.backOffWhileViewDiffers(done.peer, anyIncorrectPartition(answer.GetResults()))
}

func (d *Directory) completeWithdrawal(pending *item) {
	delete(d.withdrawals, pending.session)
	d.continueResolve(pending.session)
}

func (d *Directory) displacedAnswered(done *call, event CallEnded) {
	if event.Response == nil && d.peers[done.peer.member.Name] == done.peer {
		done.peer.displaced = append(done.displaced, done.peer.displaced...)
	}
}
