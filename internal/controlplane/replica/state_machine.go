package replica

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
)

// applyToMachine applies a committed entry to the state machine, unless its state includes the entry
// already, and returns its result.
func (r *Replica) applyToMachine(entry *protocol.Entry) []byte {
	if entry.GetIndex() <= r.machineIndex {
		return nil
	}
	r.machineIndex = entry.GetIndex()
	if entry.GetKind() != protocol.EntryKind_ENTRY_COMMAND {
		return nil
	}
	return r.options.Machine.Apply(entry.GetIndex(), entry.GetData())
}

// restoreMachine replaces the state of the state machine by that of a snapshot.
func (r *Replica) restoreMachine(metadata *protocol.SnapshotMetadata, state []byte) error {
	if err := r.options.Machine.Restore(bytes.NewReader(state)); err != nil {
		return errors.Wrap(err, "restore the state machine")
	}
	r.machineIndex = metadata.GetIndex()
	return nil
}
