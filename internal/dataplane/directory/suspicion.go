package directory

import (
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// CallFailure is why a call to a peer had no answer, as far as that shows something about the peer.
type CallFailure int

// Kinds of failure.
const (
	// CallInconclusive shows nothing about the peer.
	CallInconclusive CallFailure = iota
	// CallConnectionRefused: no process listens at the address, or its connection was unresponsive for longer than a ping.
	CallConnectionRefused
	// CallNoAuthority: the process answers that it has no authority, as just after its start or after it lost its lease.
	CallNoAuthority
	// CallBroken: the connection broke; the process may have ended or may still run.
	CallBroken
	// CallTimedOut: no answer came within the timeout of the call.
	CallTimedOut
)

const (
	// DefaultFailureDetectionTimeout is how long a peer may leave calls unanswered before it is suspected:
	// half of it for a first call, the other half for the ping that follows.
	DefaultFailureDetectionTimeout = 350 * time.Millisecond
	// DefaultSuspectTransferTimeout is how long a range gained from a suspect may be transferring: shorter than the
	// default of other transfers, since callers wait for it.
	DefaultSuspectTransferTimeout = 75 * time.Millisecond
	// maxFalseSuspicionDoublings bounds how often the timeout of calls to a peer is doubled.
	maxFalseSuspicionDoublings = 2
	// recentDurationFactor is how many times longer than recent answers took a call may be in flight.
	recentDurationFactor = 4
	// durationWindow is over how many answers recentCallDuration falls.
	durationWindow = 32
	// falseSuspicionTTL is how long after a false suspicion the next one counts as a further one.
	falseSuspicionTTL = 30 * time.Second
	// recentContact is how fresh an answer of a peer must be for indirect suspicions of it to be ignored.
	recentContact = 5 * time.Millisecond
	// minIndirectSuspicionInterval is the minimum time between two pings of a member because of indirect suspicions. A
	// node that is partitioned from a healthy member names it in each of its requests.
	minIndirectSuspicionInterval = 250 * time.Millisecond
	// maxNamedSuspects bounds the suspects named in one request.
	maxNamedSuspects = 64
	// maxOtherSuspects bounds those named to a holder that has not gained ranges from them.
	maxOtherSuspects = 8
)

// isSuspect reports whether this node could not reach a member of the view.
func (d *Directory) isSuspect(name string, incarnation uint64) bool {
	suspected, found := d.suspects[name]
	return found && suspected == incarnation
}

// suspect treats a member as lost: in this node's view it no longer holds any range,
// and its sessions may be taken over. Its lease is not touched.
func (d *Directory) suspect(suspected *peer) {
	member := suspected.member
	suspected.unconfirmed = false
	if d.isSuspect(member.Name, member.Incarnation) || !d.membership.Has(member.Name, member.Incarnation) {
		return
	}
	if d.at.Now.Sub(suspected.suspectedAt) > falseSuspicionTTL {
		suspected.falseSuspicions = 0
	}
	suspected.suspectedAt = d.at.Now
	// A flapping member is pinged ever less often, since each change of its state moves ranges.
	suspected.failures = max(suspected.failures, 1+2*suspected.falseSuspicions)
	suspected.notBefore = d.at.Now.Add(d.backoff(suspected.failures, maxBackoff))
	d.suspects[member.Name] = member.Incarnation
	d.stats.Suspicions++
	d.schedule(suspected)
	d.applyView()
}

// trust records that a member answered. Only an answer to a ping ends a
// suspicion: one to an earlier call may have been in flight when the member was lost.
func (d *Directory) trust(answering *peer, pinged bool) {
	if d.peers[answering.member.Name] != answering {
		return
	}
	suspected := d.isSuspect(answering.member.Name, answering.member.Incarnation)
	if suspected && !pinged {
		return
	}
	wasUnconfirmed := answering.unconfirmed
	answering.failures = 0
	answering.unconfirmed = false
	answering.lastContact = d.at.Now
	if !suspected {
		if wasUnconfirmed {
			d.restartResolves()
		}
		return
	}
	delete(d.suspects, answering.member.Name)
	d.stats.FalseSuspicions++
	answering.falseSuspicions++
	d.applyView()
}

// markUnconfirmed records a first sign that a member is lost, which a ping has to confirm.
func (d *Directory) markUnconfirmed(member ring.Member) {
	marked := d.peer(member)
	if d.isSuspect(member.Name, member.Incarnation) {
		return
	}
	if !marked.unconfirmed {
		marked.unconfirmed = true
		marked.unconfirmedSince = d.at.Now
	}
	marked.notBefore = d.at.Now
	d.schedule(marked)
}

// isUnconfirmed reports whether a first sign of the loss of a node awaits the answer of a ping.
func (d *Directory) isUnconfirmed(name string) bool {
	peer := d.peers[name]
	return peer != nil && peer.unconfirmed
}

// observeFailure applies what a failed call shows about the peer; pinged says that the call was a ping. Calls that
// fail together, as when their connection breaks, count as one.
func (d *Directory) observeFailure(peer *peer, failure CallFailure, pinged bool) {
	if peer.failures == 0 || !d.at.Now.Before(peer.notBefore) {
		peer.failures++
		peer.notBefore = d.at.Now.Add(d.backoff(peer.failures, maxBackoff))
	}
	if d.peers[peer.member.Name] != peer {
		return
	}
	switch {
	case failure == CallInconclusive:
	case failure == CallNoAuthority:
		d.observeNoAuthority(peer)
	case failure == CallConnectionRefused || pinged:
		d.suspect(peer)
	default:
		d.markUnconfirmed(peer.member)
	}
}

// observeNoAuthority suspects a member that keeps answering that it has no authority. One
// that has just joined may be in the view before it knows that itself.
func (d *Directory) observeNoAuthority(peer *peer) {
	switch {
	case !peer.unconfirmed:
		again := peer.notBefore
		d.markUnconfirmed(peer.member)
		peer.notBefore = again
	case d.at.Now.Sub(peer.unconfirmedSince) >= d.options.FailureDetectionTimeout:
		d.suspect(peer)
	}
}

// peerFailed applies the failure of a call that was not the directory's.
func (d *Directory) peerFailed(address string, failure CallFailure) {
	for _, front := range d.membership.fronts {
		if front.Address != address || front.Name == d.self.Name {
			continue
		}
		if failure == CallInconclusive {
			d.markUnconfirmed(front.Member)
			continue
		}
		d.observeFailure(d.peer(front.Member), failure, false)
	}
}

// applyIndirectSuspicions pings each member that another node suspects.
// Only the outcome of this node's own ping makes it suspect a member.
func (d *Directory) applyIndirectSuspicions(suspects []*protocol.Suspect) {
	for _, each := range suspects {
		front, found := d.membership.byName[each.GetName()]
		if !found || front.Incarnation != each.GetIncarnation() || front.Name == d.self.Name {
			continue
		}
		named := d.peer(front.Member)
		if d.at.Now.Sub(named.lastContact) < recentContact {
			continue
		}
		if d.at.Now.Sub(named.indirectSuspicionAt) < minIndirectSuspicionInterval {
			continue
		}
		named.indirectSuspicionAt = d.at.Now
		d.markUnconfirmed(front.Member)
	}
}

// contactReceived pings a suspect that sent a request, since it may be reachable again.
func (d *Directory) contactReceived(from string) {
	if sender := d.peers[from]; sender != nil && d.isSuspect(from, sender.member.Incarnation) {
		sender.notBefore = d.at.Now
		d.schedule(sender)
	}
}

// namedSuspects lists this node's suspects for a request.
func (d *Directory) namedSuspects() []*protocol.Suspect {
	if len(d.suspects) == 0 {
		return nil
	}
	named := make([]*protocol.Suspect, 0, min(len(d.suspects), maxNamedSuspects))
	for _, name := range sortedKeys(d.suspects) {
		if len(named) == maxNamedSuspects {
			break
		}
		named = append(named, &protocol.Suspect{Name: name, Incarnation: d.suspects[name]})
	}
	return named
}

// transferSuspects lists the suspects from which this node has gained ranges in which others may have registrations.
// Other suspects are not named in a request for reregistration: a node that reaches one of them would not send its
// completion.
func (d *Directory) transferSuspects() []*protocol.Suspect {
	gained := make(map[string]uint64)
	for _, each := range d.transfers {
		for name, incarnation := range each.suspects {
			if d.isSuspect(name, incarnation) {
				gained[name] = incarnation
			}
		}
	}
	named := make([]*protocol.Suspect, 0, min(len(gained), maxNamedSuspects))
	for _, name := range sortedKeys(gained) {
		if len(named) < maxNamedSuspects {
			named = append(named, &protocol.Suspect{Name: name, Incarnation: gained[name]})
		}
	}
	return named
}

// suspectsFor lists this node's suspects for a holder: those that it has gained ranges from, and a few others. A lost
// zone has many, and naming all of them to every node would cost their number squared.
func (d *Directory) suspectsFor(holder *peer) []*protocol.Suspect {
	var named []*protocol.Suspect
	others := 0
	for _, name := range sortedKeys(d.suspects) {
		if !containsSuspect(holder.transferSuspects, name, d.suspects[name]) {
			others++
			if others > maxOtherSuspects {
				continue
			}
		}
		named = append(named, &protocol.Suspect{Name: name, Incarnation: d.suspects[name]})
	}
	return named
}

// containsSuspect reports whether a member is among the suspects of a request.
func containsSuspect(suspects []*protocol.Suspect, name string, incarnation uint64) bool {
	for _, each := range suspects {
		if each.GetName() == name && each.GetIncarnation() == incarnation {
			return true
		}
	}
	return false
}

// suspectsAll reports whether this node suspects all of the named members that the membership has.
func (d *Directory) suspectsAll(named []*protocol.Suspect) bool {
	for _, each := range named {
		if d.membership.Has(each.GetName(), each.GetIncarnation()) && !d.isSuspect(each.GetName(), each.GetIncarnation()) {
			return false
		}
	}
	return true
}

// recordDuration updates recentCallDuration: it rises at once and falls slowly.
func (d *Directory) recordDuration(took time.Duration) {
	if took >= d.recentCallDuration {
		d.recentCallDuration = took
		return
	}
	d.recentCallDuration -= (d.recentCallDuration - took) / durationWindow
}

// lookupTimeout is how long a lookup or ping may take. It grows with the duration of
// recent answers, since on busy machines a late answer shows no loss, and for
// a peer that was falsely suspected.
func (d *Directory) lookupTimeout(to *peer) time.Duration {
	usual := d.options.FailureDetectionTimeout / 2
	adapted := min(max(usual, recentDurationFactor*d.recentCallDuration), usual<<maxFalseSuspicionDoublings)
	return max(adapted, usual<<min(to.falseSuspicions, maxFalseSuspicionDoublings))
}
