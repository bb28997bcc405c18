package consensus

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

type progressState int

const (
	// stateProbe: one append is sent at a time until one matches.
	stateProbe progressState = iota
	// stateReplicate: entries are sent without waiting for acknowledgements.
	stateReplicate
	// stateSnapshot: a snapshot is sent, chunk by chunk.
	stateSnapshot
)

// progress tracks the replication to a peer. Invariant: match < next.
type progress struct {
	id    uint64
	voter bool
	state progressState
	// match is the last index that the peer acknowledged as durable; next is the next one to send.
	match, next uint64
	// probeSent is set while a probe awaits its response; a heartbeat sends the probe again.
	probeSent bool
	// lastContact is when the peer last responded, or when its progress was created.
	lastContact time.Time
	// ackedHeartbeat is the newest heartbeat that the peer acknowledged.
	ackedHeartbeat       uint64
	ackedHeartbeatSentAt time.Time
	// pendingSnapshot is the snapshot that is sent in stateSnapshot; its next chunk begins at
	// pendingSnapshotOffset, in bytes.
	pendingSnapshot       *protocol.SnapshotMetadata
	pendingSnapshotOffset uint64
	lastChunkSentAt       time.Time
}

// becomeProbe starts to search for the last matching entry, beginning at next.
func (p *progress) becomeProbe(next uint64) {
	p.state, p.probeSent, p.pendingSnapshot = stateProbe, false, nil
	p.next = max(next, p.match+1)
}

// becomeReplicate starts to send without waiting for acknowledgements, after a probe matched.
func (p *progress) becomeReplicate() { p.state, p.probeSent = stateReplicate, false }

// becomeSnapshot starts to send the snapshot from its first chunk.
func (p *progress) becomeSnapshot(snapshot *protocol.SnapshotMetadata) {
	p.state, p.pendingSnapshot, p.pendingSnapshotOffset = stateSnapshot, snapshot, 0
}

// acknowledge raises match to an index that is durable on the peer and reports whether match advanced.
func (p *progress) acknowledge(index uint64) bool {
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	return advanced
}

// snapshotDone reports whether the peer no longer needs the snapshot that is being sent: its log reaches
// that snapshot, or the entry before the first one in the leader's memory.
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

// syncPeers updates the leader's peers, sorted by id, to the newest configuration.
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
