package directory

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// answered takes the answer to a call in, or its failure.
func (d *Directory) answered(event Answered) {
	done := d.calls[event.Call]
	if done == nil {
		return
	}
	delete(d.calls, event.Call)
	if done.peer.call == event.Call {
		done.peer.call = 0
		d.schedule(done.peer)
	}
	if done.peer.pingCall == event.Call {
		done.peer.pingCall = 0
		d.schedule(done.peer)
	}
	if event.Response != nil {
		d.recordDuration(d.at.Now.Sub(done.sentAt))
	}
	incarnation := incarnationOf(event.Response)
	switch {
	case event.Response == nil:
		defer d.observeFailure(done.peer, event.Failure, done.kind == callPing)
	case incarnation > done.peer.member.Incarnation:
		// The one that the view has is gone, and a view with the next one is on its way.
		defer d.observeFailure(done.peer, CallConnectionRefused, done.kind == callPing)
	case incarnation == 0 || incarnation == done.peer.member.Incarnation:
		d.trust(done.peer, done.kind == callPing)
	default:
		d.observeFailure(done.peer, CallInconclusive, false)
	}
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
		// To a question the peer answers with a registration of its own; the gain asks again until it comes.
	}
}

// incarnationOf is the incarnation that answered; zero when the answer does not name it.
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
func (d *Directory) backoff(failures int, longest time.Duration) time.Duration {
	wait := d.policy.RetryDelay
	for range min(failures-1, 10) {
		wait *= 2
	}
	return d.jitter(min(wait, longest))
}

// jitter returns between half and the whole of a duration.
func (d *Directory) jitter(wait time.Duration) time.Duration {
	half := wait / 2
	return half + time.Duration(d.options.Random.Int64N(int64(half)+1))
}

func (d *Directory) registerAnswered(done *call, event Answered) {
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
	for _, waiting := range done.items {
		if waiting.call != event.Call || !d.isCurrent(waiting, done.peer) {
			continue
		}
		if wait, settled := d.completeItem(waiting, results[waiting.session]); settled {
			waits = append(waits, wait)
		}
	}
	d.backOffWhileViewDiffers(done.peer, anyIncorrectPartition(answer.GetResults()))
	if len(waits) > 0 {
		d.emit(Reregistered{Waits: waits})
	}
	d.completionAcknowledged(done, answer.GetViewVersion())
}

// settleItem applies the result of one item. It returns how long a session of the salvage list waited when it was accepted.
func (d *Directory) completeItem(waiting *item, result *protocol.RegistrationResult) (time.Duration, bool) {
	status := result.GetStatus()
	if status != protocol.DirectoryStatus_DIRECTORY_OK && status != protocol.DirectoryStatus_DUPLICATE_ACTIVATION {
		d.stats.IncorrectPartition++
		d.target(waiting)
		return 0, false
	}
	if d.handOff[waiting.session] == waiting {
		d.stats.HandedOff++
		delete(d.handOff, waiting.session)
		return 0, false
	}
	accepted := d.completeSalvage(waiting, result)
	return d.at.Now.Sub(waiting.since), accepted
}

// settleSalvage takes a session off the salvage list on success or refusal.
func (d *Directory) completeSalvage(waiting *item, result *protocol.RegistrationResult) bool {
	delete(d.salvage, waiting.session)
	session := d.owned[waiting.session]
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
	d.continueResolve(waiting.session)
	return true
}

// refusedAny reports whether an answer shows that the peer does not take itself for the holder.
func anyIncorrectPartition(results []*protocol.RegistrationResult) bool {
	return slices.ContainsFunc(results, func(result *protocol.RegistrationResult) bool {
		return result.GetStatus() == protocol.DirectoryStatus_INCORRECT_PARTITION
	})
}

// noteView keeps a peer whose view differs from being asked again at once.
func (d *Directory) backOffWhileViewDiffers(peer *peer, differs bool) {
	if !differs {
		peer.viewMismatches = 0
		return
	}
	peer.viewMismatches++
	peer.notBefore = d.at.Now.Add(d.backoff(peer.viewMismatches, maxViewBackoff))
}

// noteCompletion ends the debt of a completion once the peer's view is the one that it was said for.
// A peer that is behind does not know yet what it gained and is told again; one that is ahead
// may have gained more, for which completion is owed under its view.
func (d *Directory) completionAcknowledged(done *call, peerVersion uint64) {
	if !done.complete || done.peer.pendingCompletion == 0 || done.peer.pendingCompletion > done.view || done.peer.pendingCompletionGeneration > done.viewGeneration {
		return
	}
	switch {
	case peerVersion < done.peer.pendingCompletion:
		d.backOffWhileViewDiffers(done.peer, true)
		if len(done.items) == 0 {
			// No session waits for it; a holder that is behind is not to be asked by all nodes in quick turns.
			done.peer.notBefore = d.at.Now.Add(d.jitter(maxViewBackoff))
		}
	case peerVersion > d.view.Version:
		done.peer.pendingCompletion = peerVersion
	default:
		done.peer.pendingCompletion = 0
		done.peer.partialKnowledge = false
	}
}

// requeue puts the items of a call back that got no answer.
func (d *Directory) requeue(done *call) {
	for _, waiting := range done.items {
		if d.isCurrent(waiting, done.peer) {
			d.target(waiting)
		}
	}
}

func (d *Directory) unregisterAnswered(done *call, event Answered) {
	answer := event.Response.GetUnregisterSessions()
	if answer == nil {
		d.requeue(done)
		return
	}
	refused := make(map[string]bool)
	for _, result := range answer.GetResults() {
		refused[result.GetSession()] = result.GetStatus() == protocol.DirectoryStatus_INCORRECT_PARTITION
	}
	for _, waiting := range done.items {
		if waiting.call != event.Call || !d.isCurrent(waiting, done.peer) {
			continue
		}
		if refused[waiting.session] {
			d.stats.IncorrectPartition++
			d.target(waiting)
			continue
		}
		d.completeWithdrawal(waiting)
	}
	d.backOffWhileViewDiffers(done.peer, anyIncorrectPartition(answer.GetResults()))
}

func (d *Directory) completeWithdrawal(waiting *item) {
	delete(d.withdrawals, waiting.session)
	d.continueResolve(waiting.session)
}

func (d *Directory) displacedAnswered(done *call, event Answered) {
	if event.Response == nil && d.peers[done.peer.member.Name] == done.peer {
		done.peer.displaced = append(done.displaced, done.peer.displaced...)
	}
}
