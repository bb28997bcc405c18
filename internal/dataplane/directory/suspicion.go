package directory

import (
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// CallFailure classifies a call without a response by what it shows about the peer.
type CallFailure int

// Kinds of failure.
const (
	// CallInconclusive shows nothing about the peer.
	CallInconclusive CallFailure = iota
	// CallConnectionRefused: no process listens at the address, or its connection was unresponsive for longer than a ping.
	CallConnectionRefused
	// CallNoAuthority: the process responds that it has no authority, as just after its start or after the loss of its
	// lease.
	CallNoAuthority
	// CallBroken: the connection broke; the process may have ended or may still run.
	CallBroken
	// CallTimedOut: there was no response within the timeout of the call.
	CallTimedOut
)

const (
	// DefaultFailureDetectionTimeout is how long a peer may leave calls unanswered before it is suspected: half of it for
	// a first call, the other half for the ping that follows.
	DefaultFailureDetectionTimeout = 350 * time.Millisecond
	// DefaultSuspectTransferTimeout is shorter than the default timeout of other transfers, since callers wait for ranges
	// gained from a suspect.
	DefaultSuspectTransferTimeout = 75 * time.Millisecond
	// maxFalseSuspicionDoublings is the maximum number of times that the timeout of calls to a peer is doubled.
	maxFalseSuspicionDoublings = 2
	// recentDurationFactor is the ratio of the timeout of a call to the duration of recent calls.
	recentDurationFactor = 4
	// durationWindow is the number of calls over which recentCallDuration decays.
	durationWindow = 32
	// falseSuspicionTTL is the time after a suspicion of a peer from which a new one resets the count of its false
	// suspicions.
	falseSuspicionTTL = 30 * time.Second
	// recentContact is the time after a response of a peer during which indirect suspicions of it are ignored.
	recentContact = 5 * time.Millisecond
	// minIndirectSuspicionInterval is the minimum time between two pings of a member caused by indirect suspicions. A node
	// that is partitioned from a healthy member names it as a suspect in each of its requests.
	minIndirectSuspicionInterval = 250 * time.Millisecond
	// maxNamedSuspects is the maximum number of suspects named in one request.
	maxNamedSuspects = 64
	// maxOtherSuspects is the maximum number of suspects named to a holder that has not gained ranges from them.
	maxOtherSuspects = 8
)

// isSuspect reports whether this node suspects a member under this incarnation.
func (d *Directory) isSuspect(name string, incarnation uint64) bool {
	suspected, found := d.suspects[name]
	return found && suspected == incarnation
}

// suspect treats a member as lost: in this node's view it no longer holds any range, and its sessions may be taken
// over. Its lease is not affected.
func (d *Directory) suspect(suspected *peer) {
	member := suspected.member
	suspected.unconfirmed = false
	if d.isSuspect(member.Name, member.Incarnation) || !d.membership.Has(member.Name, member.Incarnation) {
		return
	}
	if d.moment.Now.Sub(suspected.suspectedAt) > falseSuspicionTTL {
		suspected.falseSuspicions = 0
	}
	suspected.suspectedAt = d.moment.Now
	// A flapping member is pinged less often with each false suspicion, since each change of its state moves ranges.
	suspected.failures = max(suspected.failures, 1+2*suspected.falseSuspicions)
	suspected.notBefore = d.moment.Now.Add(d.backoff(suspected.failures, maxBackoff))
	d.suspects[member.Name] = member.Incarnation
	d.stats.Suspicions++
	d.schedule(suspected)
	d.applyView()
}

// trust records a response of a member. Only the response to a ping ends a suspicion: a response to an earlier call may
// have been in flight when the member was lost.
func (d *Directory) trust(answering *peer, isPing bool) {
	if d.peers[answering.member.Name] != answering {
		return
	}
	suspected := d.isSuspect(answering.member.Name, answering.member.Incarnation)
	if suspected && !isPing {
		return
	}
	wasUnconfirmed := answering.unconfirmed
	answering.failures = 0
	answering.unconfirmed = false
	answering.lastContact = d.moment.Now
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

// markUnconfirmed records a first sign of a member's failure, which a ping has to confirm.
func (d *Directory) markUnconfirmed(member ring.Member) {
	peer := d.peer(member)
	if d.isSuspect(member.Name, member.Incarnation) {
		return
	}
	if !peer.unconfirmed {
		peer.unconfirmed = true
		peer.unconfirmedSince = d.moment.Now
	}
	peer.notBefore = d.moment.Now
	d.schedule(peer)
}

// isUnconfirmed reports whether a first sign of a node's failure awaits the outcome of a ping.
func (d *Directory) isUnconfirmed(name string) bool {
	peer := d.peers[name]
	return peer != nil && peer.unconfirmed
}

// observeFailure applies what a failed call, which may have been a ping, shows about the peer. Calls that fail
// together, as when their connection breaks, count as one failure.
func (d *Directory) observeFailure(peer *peer, failure CallFailure, isPing bool) {
	if peer.failures == 0 || !d.moment.Now.Before(peer.notBefore) {
		peer.failures++
		peer.notBefore = d.moment.Now.Add(d.backoff(peer.failures, maxBackoff))
	}
	if d.peers[peer.member.Name] != peer {
		return
	}
	switch {
	case failure == CallInconclusive:
	case failure == CallNoAuthority:
		d.observeNoAuthority(peer)
	case failure == CallConnectionRefused || isPing:
		d.suspect(peer)
	default:
		d.markUnconfirmed(peer.member)
	}
}

// observeNoAuthority suspects a member that has responded for FailureDetectionTimeout that it has no authority. A
// member that has just joined may be in the view before it has learned of its own admission.
func (d *Directory) observeNoAuthority(peer *peer) {
	switch {
	case !peer.unconfirmed:
		notBefore := peer.notBefore
		d.markUnconfirmed(peer.member)
		peer.notBefore = notBefore
	case d.moment.Now.Sub(peer.unconfirmedSince) >= d.options.FailureDetectionTimeout:
		d.suspect(peer)
	}
}

// handlePeerFailed applies the failure of a call that the directory did not make itself.
func (d *Directory) handlePeerFailed(address string, failure CallFailure) {
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

// applyIndirectSuspicions pings the members that another node suspects. Only the outcome of this node's own ping makes
// it suspect one of them.
func (d *Directory) applyIndirectSuspicions(suspects []*protocol.Suspect) {
	for _, suspect := range suspects {
		front, found := d.membership.byName[suspect.GetName()]
		if !found || front.Incarnation != suspect.GetIncarnation() || front.Name == d.self.Name {
			continue
		}
		named := d.peer(front.Member)
		if d.moment.Now.Sub(named.lastContact) < recentContact {
			continue
		}
		if d.moment.Now.Sub(named.indirectSuspicionAt) < minIndirectSuspicionInterval {
			continue
		}
		named.indirectSuspicionAt = d.moment.Now
		d.markUnconfirmed(front.Member)
	}
}

// handleContact pings a suspect that has sent a request, since it may be reachable again.
func (d *Directory) handleContact(from string) {
	if sender := d.peers[from]; sender != nil && d.isSuspect(from, sender.member.Incarnation) {
		sender.notBefore = d.moment.Now
		d.schedule(sender)
	}
}

// namedSuspects returns this node's suspects, for a request.
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

// transferSuspects returns the suspects from which this node has gained ranges that are still transferring. Other
// suspects are not named in a request for reregistration: a node that can reach one of them would not send its
// completion.
func (d *Directory) transferSuspects() []*protocol.Suspect {
	gained := make(map[string]uint64)
	for _, transfer := range d.transfers {
		for name, incarnation := range transfer.suspects {
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

// suspectsFor returns this node's suspects to be named to a holder: those from which the holder has gained ranges, and
// a few others. After the loss of a zone there are many, and naming all of them to every node would have a cost
// quadratic in their number.
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

// containsSuspect reports whether an incarnation of a member is among the suspects of a request.
func containsSuspect(suspects []*protocol.Suspect, name string, incarnation uint64) bool {
	for _, suspect := range suspects {
		if suspect.GetName() == name && suspect.GetIncarnation() == incarnation {
			return true
		}
	}
	return false
}

// suspectsAll reports whether this node suspects all of the named members that are in the membership.
func (d *Directory) suspectsAll(named []*protocol.Suspect) bool {
	for _, suspect := range named {
		if d.membership.Has(suspect.GetName(), suspect.GetIncarnation()) &&
			!d.isSuspect(suspect.GetName(), suspect.GetIncarnation()) {
			return false
		}
	}
	return true
}

// recordDuration updates recentCallDuration, which rises at once and decays slowly.
func (d *Directory) recordDuration(took time.Duration) {
	if took >= d.recentCallDuration {
		d.recentCallDuration = took
		return
	}
	d.recentCallDuration -= (d.recentCallDuration - took) / durationWindow
}

// lookupTimeout returns the timeout of a lookup or ping. It grows with the duration of recent calls, since on a busy
// machine a late response is no sign of a failure, and for a peer that was falsely suspected.
func (d *Directory) lookupTimeout(to *peer) time.Duration {
	baseTimeout := d.options.FailureDetectionTimeout / 2
	adapted := min(max(baseTimeout, recentDurationFactor*d.recentCallDuration), baseTimeout<<maxFalseSuspicionDoublings)
	return max(adapted, baseTimeout<<min(to.falseSuspicions, maxFalseSuspicionDoublings))
}
