package consensus

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

type progressState int

const (
	// probing sends one append at a time until one matches.
	stateProbe progressState = iota
	// replicating sends ahead of acknowledgements.
	stateReplicate
	// installing sends a snapshot, piece by piece.
	stateSnapshot
)

// progress is what a leader knows of another member.
type progress struct {
	id    uint64
	voter bool
	state progressState
	// match is the last index known to be durable there; next is the first to send.
	match, next uint64
	// waiting is set while a probe is unanswered; a heartbeat sends it again.
	probeSent bool
	// heard is when the member last answered; ackSent when the newest round it answered was sent.
	lastContact, ackedHeartbeatSentAt time.Time
	ackedHeartbeat       uint64
	pendingSnapshot       *protocol.SnapshotMetadata
	pendingSnapshotOffset uint64
	lastChunkSentAt      time.Time
}

// probe falls back to finding the last match, beginning at next.
func (p *progress) becomeProbe(next uint64) {
	p.state, p.probeSent, p.pendingSnapshot = stateProbe, false, nil
	p.next = max(next, p.match+1)
}

// acknowledge takes a durable match and reports whether it is news.
func (p *progress) acknowledge(index uint64) bool {
	news := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	return news
}

// installed reports whether the member needs no more of the snapshot that is sent to it: it holds
// that snapshot, or all that the log does not.
func (p *progress) snapshotDone(baseIndex uint64) bool {
	return p.state == stateSnapshot && (p.match >= baseIndex || p.match >= p.pendingSnapshot.GetIndex())
}

func (n *Node) peer(id uint64) *progress {
	for _, peer := range n.peers {
		if peer.id == id {
			return peer
		}
	}
	return nil
}

// syncPeers fits the leader's progress list to the newest configuration, sorted by id.
func (n *Node) syncPeers(now time.Time) {
	var peers []*progress
	for _, member := range n.configuration().GetMembers() {
		if member.GetId() == n.config.ID {
			continue
		}
		peer := n.peer(member.GetId())
		if peer == nil {
			peer = &progress{id: member.GetId(), next: n.log.lastIndex() + 1, lastContact: now}
		}
		peer.voter = member.GetVoter()
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(a, b *progress) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	n.peers = peers
}

// heardQuorum reports whether a majority, this node among it, answered within the election timeout.
func (n *Node) quorumActive(now time.Time) bool {
	voters, heard := 0, 0
	if n.isVoter() {
		voters, heard = 1, 1
	}
	for _, peer := range n.peers {
		if !peer.voter {
			continue
		}
		voters++
		if now.Sub(peer.lastContact) < n.config.ElectionTimeout {
			heard++
		}
	}
	return heard >= Quorum(voters)
}

// quorumMatch is the highest index that a majority of the voters holds durably.
func (n *Node) quorumMatch() uint64 {
	var matches []uint64
	if n.isVoter() {
		matches = append(matches, n.log.stable)
	}
	for _, peer := range n.peers {
		if peer.voter {
			matches = append(matches, peer.match)
		}
	}
	if len(matches) == 0 {
		return 0
	}
	slices.Sort(matches)
	return matches[len(matches)-Quorum(len(matches))]
}
