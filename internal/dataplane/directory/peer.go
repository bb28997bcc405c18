package directory

import (
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// peer is what this node has pending for another one. At most one call beside a ping is in flight to it.
type peer struct {
	member    ring.Member
	queue     []*item
	displaced []*protocol.Registration
	// pendingCompletion is the view version for which the peer awaits this node's completion; 0 when it does not.
	pendingCompletion uint64
	// pendingCompletionGeneration is the viewGeneration at which the completion last became pending.
	pendingCompletionGeneration uint64
	// partialKnowledge is sent with the pending completion: other nodes may have registrations in what the peer gained.
	partialKnowledge bool
	// transferSuspects are the suspects that the peer last named as the former holders of what it gained.
	transferSuspects []*protocol.Suspect
	// needsReregistrationRequest is true while a request for reregistration is to be sent.
	needsReregistrationRequest bool
	// unconfirmed is true while a first sign of the peer's loss awaits the answer of a ping.
	unconfirmed      bool
	unconfirmedSince time.Time
	// lastContact is when the peer last answered; falseSuspicions counts the suspicions that an answer ended.
	lastContact         time.Time
	suspectedAt         time.Time
	indirectSuspicionAt time.Time
	falseSuspicions     int
	call                uint64
	// pingCall is the number of the ping in flight; 0 when there is none.
	pingCall uint64
	// failures counts consecutive calls without an answer.
	failures int
	// viewMismatches counts consecutive answers that showed another view than this node's.
	viewMismatches int
	notBefore      time.Time
}

func (d *Directory) peer(member ring.Member) *peer {
	known := d.peers[member.Name]
	if known == nil || known.member != member {
		known = &peer{member: member}
		d.peers[member.Name] = known
	}
	return known
}

// hasWork reports whether something is to be sent to a peer. A suspect is only pinged.
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

// hasPendingCompletion reports whether a completion is due under a view that this node has.
func (p *peer) hasPendingCompletion(viewVersion uint64) bool {
	return p.pendingCompletion > 0 && p.pendingCompletion <= viewVersion
}

// schedule has the next dispatch look at a peer. An answer of an earlier incarnation
// must not replace the peer that is known now.
func (d *Directory) schedule(to *peer) {
	if d.peers[to.member.Name] == to {
		d.peersWithWork[to.member.Name] = to
	}
}

// markCompletionPending records that a peer awaits a completion under the view in force.
func (d *Directory) markCompletionPending(to *peer) {
	to.pendingCompletion = max(to.pendingCompletion, d.view.Version)
	to.pendingCompletionGeneration = d.viewGeneration
	d.schedule(to)
}
