package replica

import (
	"bytes"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
)

// cachedSnapshotFor is how long a snapshot that is being transferred stays in memory after the
// last piece was read from it.
const snapshotCacheTTL = 30 * time.Second

// snapshotRetry is the pause before a snapshot is tried again for which there was no room.
const snapshotRetryInterval = 10 * time.Second

// snapshots is the owner's view of snapshots being taken and transferred.
type snapshots struct {
	saving         bool
	saved          chan savedSnapshot
	cachedMetadata *protocol.SnapshotMetadata
	cachedData     []byte
	lastUsed       time.Time
	// retryAt is when a snapshot is tried again for which there was no room.
	retryAt time.Time
	// appliedBytes is the size of the entries applied since the last snapshot was taken.
	appliedBytes int
	// stale are the members whose transfer named a snapshot that was not there any more.
	staleTransfers []uint64
}

type savedSnapshot struct {
	metadata *protocol.SnapshotMetadata
	// appliedBytes is the size of the entries since the snapshot before it.
	appliedBytes int
	err          error
}

// wait lets a snapshot that is being written finish, so that the disk can be closed.
func (s *snapshots) wait() {
	if s.saving {
		<-s.saved
	}
}

// maybeSnapshot takes a snapshot once enough entries are applied. The state is written to
// memory here and to the disk beside the owner goroutine.
func (o *owner) maybeSnapshot() {
	o.dropCachedSnapshot()
	status, options := o.node.Status(), o.replica.options
	due := status.Applied-status.SnapshotIndex >= options.SnapshotEntries || o.snapshots.appliedBytes >= options.SnapshotBytes
	if o.snapshots.saving || !due || o.now().Before(o.snapshots.retryAt) {
		return
	}
	if status.Applied < o.replica.machineIndex {
		// The machine's state is that of a later entry than the snapshot would name.
		return
	}
	var state bytes.Buffer
	if err := options.Machine.Snapshot(&state); err != nil {
		o.fail(err)
		return
	}
	metadata := o.node.SnapshotMetadata()
	o.replica.metrics.snapshotBytes.Set(float64(state.Len()))
	store, saved, appliedBytes := o.replica.store, o.snapshots.saved, o.snapshots.appliedBytes
	o.snapshots.saving, o.snapshots.appliedBytes = true, 0
	go func() {
		err := store.SaveSnapshot(metadata, state.Bytes())
		saved <- savedSnapshot{metadata: metadata, appliedBytes: appliedBytes, err: err}
	}()
}

// snapshotSaved shortens the log under a snapshot that has become durable.
func (o *owner) snapshotSaved(saved savedSnapshot) {
	o.snapshots.saving = false
	if storage.IsDiskFull(saved.err) {
		// The log still takes records, and holds all that the snapshot would.
		o.snapshots.retryAt = o.now().Add(snapshotRetryInterval)
		o.snapshots.appliedBytes += saved.appliedBytes
		o.replica.logWarning("no room for a snapshot", "error", saved.err)
		return
	}
	if saved.err != nil {
		o.fail(saved.err)
		return
	}
	o.replica.metrics.snapshots.Inc()
	if saved.metadata.GetIndex() <= o.node.Status().SnapshotIndex {
		return
	}
	// Everything the node holds must be durable before it is copied into the new segment.
	o.processReady()
	if o.failure != nil {
		return
	}
	entries := o.node.Entries(saved.metadata.GetIndex() + 1)
	if err := o.replica.store.Compact(o.clusterID, saved.metadata, entries, o.node.HardState()); err != nil {
		o.fail(err)
		return
	}
	o.node.Compact(saved.metadata)
}

// installSnapshot replaces the whole state by one received from the leader. The state machine
// goes first: a state that it cannot restore must not become durable.
func (o *owner) installSnapshot(ready consensus.Ready) error {
	received := ready.Snapshot
	if err := o.replica.restoreMachine(received.Metadata, received.Data); err != nil {
		return err
	}
	if err := o.replica.store.SaveSnapshot(received.Metadata, received.Data); err != nil {
		return err
	}
	o.replica.metrics.snapshotsInstalled.Inc()
	o.snapshots.appliedBytes = 0
	hardState := ready.HardState
	if hardState == nil {
		hardState = o.node.HardState()
	}
	return o.replica.store.Compact(o.clusterID, received.Metadata, nil, hardState)
}

// fillChunk puts the piece at the message's offset into it. It returns false when the snapshot
// that the message names is no longer there.
func (o *owner) fillChunk(message *protocol.ConsensusMessage) bool {
	cache := &o.snapshots
	if cache.cachedMetadata.GetIndex() != message.GetSnapshot().GetIndex() && !o.loadSnapshot(message.GetSnapshot()) {
		return false
	}
	cache.lastUsed = o.now()
	size := uint64(len(cache.cachedData))
	start := min(message.GetChunkOffset(), size)
	end := min(start+uint64(o.replica.options.SnapshotChunkBytes), size)
	message.Chunk, message.ChunkLast = cache.cachedData[start:end], end == size
	return true
}

func (o *owner) loadSnapshot(wanted *protocol.SnapshotMetadata) bool {
	metadata, data, err := o.replica.store.LoadSnapshot()
	if err != nil {
		o.fail(err)
		return false
	}
	if metadata.GetIndex() != wanted.GetIndex() {
		return false
	}
	o.snapshots.cachedMetadata, o.snapshots.cachedData = metadata, data
	return true
}

func (o *owner) dropCachedSnapshot() {
	if o.snapshots.cachedMetadata != nil && o.now().Sub(o.snapshots.lastUsed) > snapshotCacheTTL {
		o.snapshots.cachedMetadata, o.snapshots.cachedData = nil, nil
	}
}
