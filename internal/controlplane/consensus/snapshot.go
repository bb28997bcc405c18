package consensus

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// ReceivedSnapshot is a whole snapshot of the leader, to be made durable and restored.
type ReceivedSnapshot struct {
	Metadata *protocol.SnapshotMetadata
	Data     []byte
}

// incomingSnapshot gathers the pieces of one leader's snapshot.
type incomingSnapshot struct {
	from, term uint64
	metadata   *protocol.SnapshotMetadata
	data       []byte
}

// Compact notes that a snapshot of everything up to index, which must be applied, is durable,
// and returns its metadata as given to SnapshotMetadata. The entries below it are dropped, but
// for a few that members who lag a little may still need.
func (n *Node) Compact(metadata *protocol.SnapshotMetadata) {
	if metadata.GetIndex() <= n.log.snapshot.GetIndex() || metadata.GetIndex() > n.log.applied {
		return
	}
	n.log.compact(metadata, n.config.RetainedEntries, n.config.RetainedBytes)
	n.configurations.compact(metadata.GetIndex())
}

// SnapshotMetadata describes a snapshot taken now, of all entries that are applied.
func (n *Node) SnapshotMetadata() *protocol.SnapshotMetadata {
	term, _ := n.log.term(n.log.applied)
	return &protocol.SnapshotMetadata{
		Index: n.log.applied, Term: term, Configuration: n.configurations.at(n.log.applied),
	}
}

// startSnapshot begins to send the newest snapshot. The driver fills in the pieces.
func (n *Node) startSnapshot(peer *progress, now time.Time) {
	peer.state, peer.pendingSnapshot, peer.pendingSnapshotOffset = stateSnapshot, n.log.snapshot, 0
	n.sendChunk(peer, now)
}

func (n *Node) sendChunk(peer *progress, now time.Time) {
	peer.lastChunkSentAt = now
	n.send(&protocol.ConsensusMessage{
		Kind: protocol.ConsensusMessageKind_SNAPSHOT_CHUNK, To: peer.id, Round: n.heartbeatSequence,
		Snapshot: peer.pendingSnapshot, ChunkOffset: peer.pendingSnapshotOffset,
	})
}

func (n *Node) resendChunk(peer *progress, now time.Time) {
	if now.Sub(peer.lastChunkSentAt) >= n.config.ElectionTimeout {
		n.sendChunk(peer, now)
	}
}

// RestartSnapshot begins anew, with the newest snapshot, what is sent to a member. The driver
// calls it when it can no longer read the snapshot that was begun.
func (n *Node) RestartSnapshot(member uint64, now time.Time) {
	if peer := n.peer(member); n.role == Leader && peer != nil && peer.state == stateSnapshot {
		n.startSnapshot(peer, now)
	}
}

func (n *Node) stepSnapshotChunk(message *protocol.ConsensusMessage, now time.Time) error {
	if n.role == Leader {
		return &StateError{Reason: "another leader in the same term", Index: message.GetSnapshot().GetIndex()}
	}
	if n.role != Follower {
		n.becomeFollower(n.term, message.GetFrom(), now)
	}
	n.observeLeader(message.GetFrom(), now)
	metadata := message.GetSnapshot()
	if metadata.GetIndex() <= n.log.commit || n.log.matches(metadata.GetIndex(), metadata.GetTerm()) {
		n.log.commit = max(n.log.commit, metadata.GetIndex())
		n.acknowledgeSnapshot(message, n.log.commit)
		return nil
	}
	if message.GetChunkOffset()+uint64(len(message.GetChunk())) > uint64(n.config.MaxSnapshotBytes) {
		return &StateError{Reason: "a snapshot is larger than this member takes", Index: metadata.GetIndex()}
	}
	n.appendChunk(message)
	return nil
}

// gather adds a piece and answers with the offset of the piece that is wanted next.
func (n *Node) appendChunk(message *protocol.ConsensusMessage) {
	metadata, incoming := message.GetSnapshot(), &n.incomingSnapshot
	same := incoming.from == message.GetFrom() && incoming.term == n.term &&
		incoming.metadata.GetIndex() == metadata.GetIndex() && incoming.metadata.GetTerm() == metadata.GetTerm()
	if !same {
		*incoming = incomingSnapshot{from: message.GetFrom(), term: n.term, metadata: metadata}
	}
	fits := message.GetChunkOffset() == uint64(len(incoming.data))
	if fits {
		incoming.data = append(incoming.data, message.GetChunk()...)
	}
	if fits && message.GetChunkLast() {
		n.installSnapshot(message)
		return
	}
	n.send(&protocol.ConsensusMessage{
		Kind: protocol.ConsensusMessageKind_SNAPSHOT_CHUNK_RESPONSE, To: message.GetFrom(),
		Round: message.GetRound(), LogIndex: metadata.GetIndex(), ChunkOffset: uint64(len(incoming.data)),
	})
}

func (n *Node) installSnapshot(message *protocol.ConsensusMessage) {
	n.receivedSnapshot = &ReceivedSnapshot{Metadata: n.incomingSnapshot.metadata, Data: n.incomingSnapshot.data}
	n.log.restore(n.incomingSnapshot.metadata)
	n.configurations.restore(n.incomingSnapshot.metadata)
	n.incomingSnapshot = incomingSnapshot{}
	n.acknowledgeSnapshot(message, n.log.commit)
}

func (n *Node) acknowledgeSnapshot(message *protocol.ConsensusMessage, index uint64) {
	n.send(&protocol.ConsensusMessage{
		Kind: protocol.ConsensusMessageKind_APPEND_RESPONSE, To: message.GetFrom(),
		Round: message.GetRound(), LogIndex: index,
	})
}

func (n *Node) stepSnapshotChunkResponse(message *protocol.ConsensusMessage, now time.Time) {
	peer := n.peer(message.GetFrom())
	if n.role != Leader || peer == nil {
		return
	}
	n.recordContact(peer, message.GetRound(), now)
	if peer.state != stateSnapshot || message.GetLogIndex() != peer.pendingSnapshot.GetIndex() {
		return
	}
	if message.GetChunkOffset() == peer.pendingSnapshotOffset {
		// An answer that came twice; the resend on heartbeats covers a refused piece.
		return
	}
	peer.pendingSnapshotOffset = message.GetChunkOffset()
	n.sendChunk(peer, now)
}
