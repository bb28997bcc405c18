package replica

import (
	"bytes"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
)

const (
	// snapshotCacheTTL is how long a snapshot that is transferred stays in memory after the last
	// chunk was read from it.
	snapshotCacheTTL = 30 * time.Second
	// snapshotRetryInterval is the time between attempts to save a snapshot while the disk is full.
	snapshotRetryInterval = 10 * time.Second
)

// snapshots tracks the snapshots that are being saved and transferred. It belongs to the owner goroutine; the
// goroutine that saves a snapshot sends its result on the channel saved.
type snapshots struct {
	saving         bool
	saved          chan savedSnapshot
	cachedMetadata *protocol.SnapshotMetadata
	cachedData     []byte
	lastUsed       time.Time
	// retryAt is the earliest time of the next attempt after the disk was full.
	retryAt time.Time
	// appliedBytes is the size of the entries applied since the last snapshot was taken.
	appliedBytes int
	// staleTransfers are the members to which a snapshot is transferred that has been removed.
	staleTransfers []uint64
}

type savedSnapshot struct {
	metadata *protocol.SnapshotMetadata
	// appliedBytes is the size of the entries since the snapshot before it.
	appliedBytes int
	err          error
}

// wait waits for the snapshot that is being saved, so that the store can be closed.
func (s *snapshots) wait() {
	if s.saving {
		<-s.saved
	}
}

// maybeSnapshot takes a snapshot once enough entries are applied. The owner goroutine serializes the state in
// memory; another goroutine writes it to the disk.
func (o *ownerLoop) maybeSnapshot() {
	o.dropCachedSnapshot()
	status, options := o.node.Status(), o.replica.options
	isDue := status.Applied-status.SnapshotIndex >= options.SnapshotEntries ||
		o.snapshots.appliedBytes >= options.SnapshotBytes
	if o.snapshots.saving || !isDue || o.now().Before(o.snapshots.retryAt) {
		return
	}
	if status.Applied < o.replica.stateMachineIndex {
		// The log was reopened, and the state machine is ahead of the entry that the snapshot would name.
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

// snapshotSaved removes the entries from the log that a snapshot covers once it is durable.
func (o *ownerLoop) snapshotSaved(saved savedSnapshot) {
	o.snapshots.saving = false
	if storage.IsDiskFull(saved.err) {
		// Nothing is lost: the log still has all entries that the snapshot would cover.
		o.snapshots.retryAt = o.now().Add(snapshotRetryInterval)
		o.snapshots.appliedBytes += saved.appliedBytes
		o.replica.logWarning("snapshot not saved: disk full", "error", saved.err)
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
	// All entries of the node must be durable before they are copied into the new segment.
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

// installSnapshot replaces the state with a snapshot of the leader. The state machine restores it first: a state
// that it cannot restore must not become durable.
func (o *ownerLoop) installSnapshot(ready consensus.Ready) error {
	received := ready.Snapshot
	if err := o.replica.restoreStateMachine(received.Metadata, received.Data); err != nil {
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

// fillChunk adds the chunk at the message's offset to the message. It returns false when the snapshot that the
// message names has been removed.
func (o *ownerLoop) fillChunk(message *protocol.ConsensusMessage) bool {
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

// loadSnapshot caches the newest snapshot, if it is the wanted one.
func (o *ownerLoop) loadSnapshot(wanted *protocol.SnapshotMetadata) bool {
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

func (o *ownerLoop) dropCachedSnapshot() {
	if o.snapshots.cachedMetadata != nil && o.now().Sub(o.snapshots.lastUsed) > snapshotCacheTTL {
		o.snapshots.cachedMetadata, o.snapshots.cachedData = nil, nil
	}
}
