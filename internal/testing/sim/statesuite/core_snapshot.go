package statesuite

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
)

func (p *coreProcess) maybeSnapshot() {
	status := p.node.Status()
	if !p.environment.Alive() || status.Applied-status.SnapshotIndex < snapshotEntries {
		return
	}
	state, err := proto.MarshalOptions{Deterministic: true}.Marshal(p.state.Snapshot())
	if err != nil {
		p.fatal(err)
		return
	}
	if p.suite.options.Mutation == CoreSnapshotsOldState {
		if p.firstSnapshot == nil {
			p.firstSnapshot = state
		}
		state = p.firstSnapshot
	}
	metadata := p.node.SnapshotMetadata()
	if err := p.disk.saveSnapshot(metadata, state); err != nil {
		p.fatal(err)
		return
	}
	entries := p.node.Entries(metadata.GetIndex() + 1)
	if err := p.disk.compact(metadata, entries, p.node.HardState()); err != nil {
		p.fatal(err)
		return
	}
	p.node.Compact(metadata)
	p.suite.counts.snapshots++
}

// install replaces the state by a received snapshot.
func (p *coreProcess) install(ready consensus.Ready) error {
	received := ready.Snapshot
	state := &protocol.ControlState{}
	if err := proto.Unmarshal(received.Data, state); err != nil {
		return err
	}
	if err := p.restoreState(state); err != nil {
		return err
	}
	if err := p.disk.saveSnapshot(received.Metadata, received.Data); err != nil {
		return err
	}
	hardState := ready.HardState
	if hardState == nil {
		hardState = p.node.HardState()
	}
	p.suite.counts.installed++
	return p.disk.compact(received.Metadata, nil, hardState)
}

// fillChunk fills in the chunk at the message's offset, or returns false when the snapshot no longer exists.
func (p *coreProcess) fillChunk(message *protocol.ConsensusMessage) bool {
	index := message.GetSnapshot().GetIndex()
	if p.chunkMetadata.GetIndex() != index {
		metadata, data, err := p.disk.readSnapshot()
		if err != nil || metadata.GetIndex() != index {
			return false
		}
		p.chunkMetadata, p.chunkData = metadata, data
	}
	size := uint64(len(p.chunkData))
	start := min(message.GetChunkOffset(), size)
	end := min(start+uint64(p.suite.shape.snapshotChunkBytes), size)
	message.Chunk, message.ChunkLast = p.chunkData[start:end], end == size
	return true
}
