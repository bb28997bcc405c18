package consensus

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

type progressState int

const (
	// stateProbe sends one append at a time until one matches.
	stateProbe progressState = iota
	// stateReplicate sends ahead of acknowledgements.
	stateReplicate
	// stateSnapshot sends a snapshot, chunk by chunk.
	stateSnapshot
)

// progress is what a leader knows of a peer. It always holds that match < next.
type progress struct {
	id    uint64
	voter bool
	state progressState
	// match is the last index known to be durable there; next is the first to send.
	match, next uint64
	// probeSent is set while a probe is unanswered; a heartbeat sends it again.
	probeSent bool
	// lastContact is when the member last answered, or when it was first sent to.
	lastContact time.Time
	// ackedHeartbeat is the newest heartbeat that the member acknowledged.
	ackedHeartbeat       uint64
	ackedHeartbeatSentAt time.Time
	// pendingSnapshot is the one that is sent in stateSnapshot; the next chunk begins at
	// pendingSnapshotOffset, in bytes.
	pendingSnapshot       *protocol.SnapshotMetadata
	pendingSnapshotOffset uint64
	lastChunkSentAt       time.Time
}

// becomeProbe falls back to searching the last match, beginning at next.
func (p *progress) becomeProbe(next uint64) {
	p.state, p.probeSent, p.pendingSnapshot = stateProbe, false, nil
	p.next = max(next, p.match+1)
}

// becomeReplicate starts to send ahead, after a probe that matched.
func (p *progress) becomeReplicate() { p.state, p.probeSent = stateReplicate, false }

// becomeSnapshot starts to send the snapshot from its first chunk on.
func (p *progress) becomeSnapshot(snapshot *protocol.SnapshotMetadata) {
	p.state, p.pendingSnapshot, p.pendingSnapshotOffset = stateSnapshot, snapshot, 0
}

// acknowledge raises the match to a durable index and reports whether it advanced.
func (p *progress) acknowledge(index uint64) bool {
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	return advanced
}

// snapshotDone reports whether the member needs no more of the snapshot that is sent to it: its
// log reaches that snapshot, or the first entry of the leader's log.
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

// syncPeers updates the leader's peers to the newest configuration, sorted by id.
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
	slices.SortFunc(peers, func(a, b *progress) int { return cmp.Compare(a.id, b.id) })
	n.peers = peers
}
