package directory

import (
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// peer is the state that this node keeps for another front node. Besides a ping, at most one call to it is in flight.
type peer struct {
	member    ring.Member
	queue     []*pendingUpdate
	displaced []*protocol.Registration
	// pendingCompletion is the view version for which the peer awaits this node's completion; 0 when it awaits none.
	pendingCompletion uint64
	// pendingCompletionGeneration is the viewGeneration at which the completion last became pending.
	pendingCompletionGeneration uint64
	// partialKnowledge is sent with the pending completion: other nodes may have registrations in the ranges that the peer
	// gained.
	partialKnowledge bool
	// transferSuspects are the suspects that the peer last named as former holders of its gained ranges.
	transferSuspects []*protocol.Suspect
	// needsReregistrationRequest is true until the request for reregistration is sent.
	needsReregistrationRequest bool
	// unconfirmed is true while a first sign of the peer's failure awaits the outcome of a ping.
	unconfirmed      bool
	unconfirmedSince time.Time
	// lastContact is when the peer last responded. falseSuspicions counts the suspicions ended by a response.
	lastContact         time.Time
	suspectedAt         time.Time
	indirectSuspicionAt time.Time
	falseSuspicions     int
	// call is the number of the call in flight, pings aside; 0 when there is none.
	call uint64
	// pingCall is the number of the ping in flight; 0 when there is none.
	pingCall uint64
	// failures counts consecutive calls without a response.
	failures int
	// viewMismatches counts consecutive responses that showed a view other than this node's.
	viewMismatches int
	notBefore      time.Time
}

func (d *Directory) peer(member ring.Member) *peer {
	current := d.peers[member.Name]
	if current == nil || current.member != member {
		current = &peer{member: member}
		d.peers[member.Name] = current
	}
	return current
}

// hasWork reports whether anything is to be sent to a peer. A suspect is only sent pings.
func (d *Directory) hasWork(to *peer) bool {
	if d.isSuspect(to.member.Name, to.member.Incarnation) {
		return d.needsPing(to)
	}
	return len(to.queue) > 0 || len(to.displaced) > 0 || to.hasPendingCompletion(d.view.Version) ||
		to.needsReregistrationRequest || d.needsPing(to)
}

// needsPing reports whether a ping is to be sent to a peer.
func (d *Directory) needsPing(to *peer) bool {
	if to.pingCall != 0 {
		return false
	}
	return to.unconfirmed || d.isSuspect(to.member.Name, to.member.Incarnation)
}

// hasPendingCompletion reports whether a completion is pending for a view version up to the given one.
func (p *peer) hasPendingCompletion(viewVersion uint64) bool {
	return p.pendingCompletion > 0 && p.pendingCompletion <= viewVersion
}

// schedule adds a peer to those that the next dispatch considers. A response from an earlier incarnation must not
// replace the entry of the current one.
func (d *Directory) schedule(to *peer) {
	if d.peers[to.member.Name] == to {
		d.peersWithWork[to.member.Name] = to
	}
}

// markCompletionPending records that a peer awaits a completion for the current view.
func (d *Directory) markCompletionPending(to *peer) {
	to.pendingCompletion = max(to.pendingCompletion, d.view.Version)
	to.pendingCompletionGeneration = d.viewGeneration
	d.schedule(to)
}
