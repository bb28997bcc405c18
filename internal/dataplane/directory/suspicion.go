package directory

import (
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// CallFailure says why a call to a peer had no answer.
type CallFailure int

// Kinds of failure.
const (
	// CallUnanswered shows nothing about the peer.
	CallInconclusive CallFailure = iota
	// CallRefused: nothing listens at the address, or pings on its connection were unanswered for long.
	CallConnectionRefused
	// CallPowerless: the process answers that it may not act, as just after its start or after it lost its lease.
	CallNoAuthority
	// CallBroken: the connection broke; the process may have ended or not.
	CallBroken
	// CallSilent: no answer came within the time that the call was given.
	CallTimedOut
)

const (
	// DefaultSilenceLimit is how long a peer may be silent before it is suspected:
	// half of it for a first call, the other half for a probe that follows.
	DefaultFailureDetectionTimeout = 350 * time.Millisecond
	// DefaultSuspicionBound is how long a holder may answer that a range taken from a suspect is settling.
	DefaultSuspectTransferTimeout = 75 * time.Millisecond
	// mostFalseSuspicions bounds how often the silence limit of a peer is doubled.
	maxFalseSuspicionDoublings = 2
	// latelyFactor is how many times longer than answers took of late a call may be unanswered.
	recentDurationFactor = 4
	// durationsRemembered is over how many answers the durations are followed.
	durationWindow = 32
	// falseSuspicionMemory is how long a suspicion that was in vain is held against the next one.
	falseSuspicionTTL = 30 * time.Second
	// recentlyHeard is how fresh an answer of a peer must be for hearsay about it to be ignored.
	recentContact = 5 * time.Millisecond
	// hearsayInterval is the shortest time between two questions to a member because of hearsay. A
	// node that is cut off from a healthy member names it in each of its requests.
	minIndirectSuspicionInterval = 250 * time.Millisecond
	// mostNamedSuspects bounds the suspects named in one request.
	maxNamedSuspects = 64
	// mostOtherSuspects bounds those named to a holder that has not gained from them.
	maxOtherSuspects = 8
)

// isSuspect reports whether this node could not reach a member of the view.
func (d *Directory) isSuspect(name string, incarnation uint64) bool {
	suspected, found := d.suspects[name]
	return found && suspected == incarnation
}

// suspect takes a member for lost: by this node's view it holds no range any
// more, and its sessions may be taken over. Its lease is not touched.
func (d *Directory) suspect(lost *peer) {
	member := lost.member
	lost.unconfirmed = false
	if d.isSuspect(member.Name, member.Incarnation) || !d.membership.Has(member.Name, member.Incarnation) {
		return
	}
	if d.at.Now.Sub(lost.suspectedAt) > falseSuspicionTTL {
		lost.falseSuspicions = 0
	}
	lost.suspectedAt = d.at.Now
	// One that comes and goes is asked ever more seldom, since each change of mind moves ranges.
	lost.failures = max(lost.failures, 1+2*lost.falseSuspicions)
	lost.notBefore = d.at.Now.Add(d.backoff(lost.failures, maxBackoff))
	d.suspects[member.Name] = member.Incarnation
	d.stats.Suspicions++
	d.schedule(lost)
	d.applyView()
}

// trust takes in that a member answered. Only an answer to a probe ends a
// suspicion: one to an earlier call may have been on its way when the member was lost.
func (d *Directory) trust(found *peer, probe bool) {
	if d.peers[found.member.Name] != found {
		return
	}
	suspected := d.isSuspect(found.member.Name, found.member.Incarnation)
	if suspected && !probe {
		return
	}
	doubted := found.unconfirmed
	found.failures = 0
	found.unconfirmed = false
	found.lastContact = d.at.Now
	if !suspected {
		if doubted {
			d.restartResolves()
		}
		return
	}
	delete(d.suspects, found.member.Name)
	d.stats.FalseSuspicions++
	found.falseSuspicions++
	d.applyView()
}

// doubt asks a member at once whether it is there.
func (d *Directory) markUnconfirmed(member ring.Member) {
	doubted := d.peer(member)
	if d.isSuspect(member.Name, member.Incarnation) {
		return
	}
	if !doubted.unconfirmed {
		doubted.unconfirmed = true
		doubted.unconfirmedSince = d.at.Now
	}
	doubted.notBefore = d.at.Now
	d.schedule(doubted)
}

// isDoubted reports whether a node is being asked whether it is there.
func (d *Directory) isUnconfirmed(name string) bool {
	peer := d.peers[name]
	return peer != nil && peer.unconfirmed
}

// notePeer takes in what a call that failed shows about the peer. Calls that
// fail together, as when their connection breaks, count as one.
func (d *Directory) observeFailure(peer *peer, failure CallFailure, probe bool) {
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
	case failure == CallConnectionRefused || probe:
		d.suspect(peer)
	default:
		d.markUnconfirmed(peer.member)
	}
}

// powerless suspects a member that goes on to answer that it may not act. One
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

// peerFailed takes in a failure that a call outside the directory had.
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

// hearsay has each member that another node could not reach asked whether it is
// there. Only what this node finds itself makes it suspect a member.
func (d *Directory) applyIndirectSuspicions(suspects []*protocol.Suspect) {
	for _, each := range suspects {
		front, found := d.membership.byName[each.GetName()]
		if !found || front.Incarnation != each.GetIncarnation() || front.Name == d.self.Name {
			continue
		}
		named := d.peer(front.Member)
		if d.at.Now.Sub(named.lastContact) < recentContact || d.at.Now.Sub(named.indirectSuspicionAt) < minIndirectSuspicionInterval {
			continue
		}
		named.indirectSuspicionAt = d.at.Now
		d.markUnconfirmed(front.Member)
	}
}

// heard asks a suspect that sent something whether it can be reached again.
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

// gainedFrom lists the suspects from which this node has gained ranges that others may have registrations in. Others are not
// named when those are asked for: a node that reaches one of them would not say complete.
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

// suspectsFor lists this node's suspects for a holder: those that it has gained from, and a few others. A lost zone has many,
// and naming all to everyone costs its square.
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

// names reports whether a member is among the suspects of a request.
func containsSuspect(suspects []*protocol.Suspect, name string, incarnation uint64) bool {
	for _, each := range suspects {
		if each.GetName() == name && each.GetIncarnation() == incarnation {
			return true
		}
	}
	return false
}

// suspectsAll reports whether this node cannot reach any of the members named that its view has.
func (d *Directory) suspectsAll(named []*protocol.Suspect) bool {
	for _, each := range named {
		if d.membership.Has(each.GetName(), each.GetIncarnation()) && !d.isSuspect(each.GetName(), each.GetIncarnation()) {
			return false
		}
	}
	return true
}

// isClaimable reports whether the owner of a registration is lost by this node's
// word or by that of the node that asks.
func (d *Directory) isClaimable(registration *protocol.Registration, suspects []*protocol.Suspect) bool {
	owner, incarnation := registration.GetOwner(), registration.GetOwnerIncarnation()
	return d.isSuspect(owner, incarnation) || containsSuspect(suspects, owner, incarnation)
}

// claimFor is the claim of a registration that takes the place of another one or
// of one that may stand at a suspect holder; zero when neither is so.
func (d *Directory) claimFor(key uint64, held *protocol.Registration) uint64 {
	if held == nil && !d.holdsForSuspect(key) {
		return 0
	}
	return max(held.GetClaim()+1, uint64(max(d.at.Now.UnixMilli(), 0)))
}

// holdsForSuspect reports whether this node holds the key only because the holder of the view is suspect.
func (d *Directory) holdsForSuspect(key uint64) bool {
	if len(d.suspects) == 0 {
		return false
	}
	holder, found := d.membership.holder(key)
	return found && !d.isSelf(holder)
}

// relayTo finds the holder that a request is to be passed on to, because the
// asking node cannot reach it and takes this node for the next holder.
func (d *Directory) relayTo(key uint64, suspects []*protocol.Suspect) (ring.Member, bool) {
	holder, found := d.view.holder(key)
	if !found || d.isSelf(holder) || !containsSuspect(suspects, holder.Name, holder.Incarnation) {
		return ring.Member{}, false
	}
	next, found := d.view.ring.HolderExcept(key, func(member ring.Member) bool {
		return containsSuspect(suspects, member.Name, member.Incarnation)
	})
	return holder, found && d.isSelf(next)
}

// noteDuration follows how long answers take of late: up at once, down slowly.
func (d *Directory) recordDuration(took time.Duration) {
	if took >= d.recentCallDuration {
		d.recentCallDuration = took
		return
	}
	d.recentCallDuration -= (d.recentCallDuration - took) / durationWindow
}

// lookupTimeout is how long a lookup or probe may take. It grows with what
// answers take of late, since on busy machines a late answer shows no loss, and for
// a peer that was suspected in vain.
func (d *Directory) lookupTimeout(to *peer) time.Duration {
	usual := d.options.FailureDetectionTimeout / 2
	adapted := min(max(usual, recentDurationFactor*d.recentCallDuration), usual<<maxFalseSuspicionDoublings)
	return max(adapted, usual<<min(to.falseSuspicions, maxFalseSuspicionDoublings))
}

// relayTimeout is shorter than what the node that asked waits.
func (d *Directory) relayTimeout() time.Duration { return d.options.FailureDetectionTimeout / 4 }
