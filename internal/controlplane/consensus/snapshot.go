package consensus

import (
	"fmt"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// ReceivedSnapshot is a complete snapshot received from the leader, which the owner must make durable
// and restore.
type ReceivedSnapshot struct {
	Metadata *protocol.SnapshotMetadata
	Data     []byte
}

// incomingSnapshot collects the chunks of a snapshot that one leader sends in one term.
type incomingSnapshot struct {
	from, term uint64
	metadata   *protocol.SnapshotMetadata
	data       []byte
}

// Compact records that the snapshot with this metadata, as returned by SnapshotMetadata, is durable.
// It drops the entries that the snapshot covers, except the Config.RetainedEntries newest ones.
func (n *Node) Compact(metadata *protocol.SnapshotMetadata) {
	if metadata.GetIndex() <= n.log.snapshot.GetIndex() || metadata.GetIndex() > n.log.applied {
		return
	}
	n.log.compact(metadata, n.config.RetainedEntries, n.config.RetainedBytes)
	n.configurations.compact(metadata.GetIndex())
}

// SnapshotMetadata returns the metadata of a snapshot of the currently applied state.
func (n *Node) SnapshotMetadata() *protocol.SnapshotMetadata {
	term, _ := n.log.term(n.log.applied)
	return &protocol.SnapshotMetadata{
		Index: n.log.applied, Term: term, Configuration: n.configurations.at(n.log.applied),
	}
}

// startSnapshot starts to send the newest snapshot. The owner fills in the chunks.
func (n *Node) startSnapshot(peer *progress, now time.Time) {
	peer.becomeSnapshot(n.log.snapshot)
	n.sendChunk(peer, now)
}

func (n *Node) sendChunk(peer *progress, now time.Time) {
	peer.lastChunkSentAt = now
	n.send(&protocol.ConsensusMessage{
		Kind: protocol.ConsensusMessageKind_SNAPSHOT_CHUNK, To: peer.id, Round: n.heartbeatSequence,
		Snapshot: peer.pendingSnapshot, ChunkOffset: peer.pendingSnapshotOffset,
	})
}

// resendChunk sends a chunk again that had no response within an election timeout.
func (n *Node) resendChunk(peer *progress, now time.Time) {
	if now.Sub(peer.lastChunkSentAt) >= n.config.ElectionTimeout {
		n.sendChunk(peer, now)
	}
}

// RestartSnapshot sends the newest snapshot to a member instead of the one in progress. The owner calls
// it when it can no longer read the latter.
func (n *Node) RestartSnapshot(member uint64, now time.Time) {
	if peer := n.peer(member); n.role == Leader && peer != nil && peer.state == stateSnapshot {
		n.startSnapshot(peer, now)
	}
}

// stepSnapshotChunk collects the chunks of a snapshot, unless this member has all entries that it covers.
func (n *Node) stepSnapshotChunk(message *protocol.ConsensusMessage, now time.Time) error {
	metadata := message.GetSnapshot()
	if err := n.followLeader(message.GetFrom(), metadata.GetIndex(), now); err != nil {
		return err
	}
	if metadata.GetIndex() <= n.log.commit || n.log.matches(metadata.GetIndex(), metadata.GetTerm()) {
		n.log.commit = max(n.log.commit, metadata.GetIndex())
		n.acknowledgeSnapshot(message)
		return nil
	}
	if message.GetChunkOffset()+uint64(len(message.GetChunk())) > uint64(n.config.MaxSnapshotBytes) {
		return &StateError{
			Reason: fmt.Sprintf("the snapshot exceeds the size limit of %d bytes", n.config.MaxSnapshotBytes),
			Index:  metadata.GetIndex(),
		}
	}
	n.appendChunk(message)
	return nil
}

// appendChunk stores a chunk and responds with the offset of the next one. A chunk of another snapshot,
// leader or term discards the chunks collected so far.
func (n *Node) appendChunk(message *protocol.ConsensusMessage) {
	metadata, incoming := message.GetSnapshot(), &n.incomingSnapshot
	sameSnapshot := incoming.from == message.GetFrom() && incoming.term == n.term &&
		incoming.metadata.GetIndex() == metadata.GetIndex() && incoming.metadata.GetTerm() == metadata.GetTerm()
	if !sameSnapshot {
		*incoming = incomingSnapshot{from: message.GetFrom(), term: n.term, metadata: metadata}
	}
	isNextChunk := message.GetChunkOffset() == uint64(len(incoming.data))
	if isNextChunk {
		incoming.data = append(incoming.data, message.GetChunk()...)
	}
	if isNextChunk && message.GetChunkLast() {
		n.installSnapshot(message)
		return
	}
	n.send(&protocol.ConsensusMessage{
		Kind: protocol.ConsensusMessageKind_SNAPSHOT_CHUNK_RESPONSE, To: message.GetFrom(),
		Round: message.GetRound(), LogIndex: metadata.GetIndex(), ChunkOffset: uint64(len(incoming.data)),
	})
}

// installSnapshot replaces the log with the complete snapshot, which the next Ready returns.
func (n *Node) installSnapshot(message *protocol.ConsensusMessage) {
	n.receivedSnapshot = &ReceivedSnapshot{Metadata: n.incomingSnapshot.metadata, Data: n.incomingSnapshot.data}
	n.log.restore(n.incomingSnapshot.metadata)
	n.configurations.restore(n.incomingSnapshot.metadata)
	n.incomingSnapshot = incomingSnapshot{}
	n.acknowledgeSnapshot(message)
}

// acknowledgeSnapshot responds as to an append: by the time the response is sent, this member has all
// entries up to the commit index durably.
func (n *Node) acknowledgeSnapshot(message *protocol.ConsensusMessage) {
	n.send(&protocol.ConsensusMessage{
		Kind: protocol.ConsensusMessageKind_APPEND_RESPONSE, To: message.GetFrom(),
		Round: message.GetRound(), LogIndex: n.log.commit,
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
		// A duplicate response; heartbeats resend a chunk that was lost or rejected.
		return
	}
	peer.pendingSnapshotOffset = message.GetChunkOffset()
	n.sendChunk(peer, now)
}
