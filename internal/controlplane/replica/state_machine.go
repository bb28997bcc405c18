package replica

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
)

// applyToStateMachine applies a committed entry to the state machine, unless its state already includes the
// entry, and returns the result.
func (r *Replica) applyToStateMachine(entry *protocol.Entry) []byte {
	if entry.GetIndex() <= r.stateMachineIndex {
		return nil
	}
	r.stateMachineIndex = entry.GetIndex()
	if entry.GetKind() != protocol.EntryKind_ENTRY_COMMAND {
		return nil
	}
	return r.options.Machine.Apply(entry.GetIndex(), entry.GetData())
}

// restoreStateMachine replaces the state of the state machine with that of a snapshot.
func (r *Replica) restoreStateMachine(metadata *protocol.SnapshotMetadata, state []byte) error {
	if err := r.options.Machine.Restore(bytes.NewReader(state)); err != nil {
		return errors.Wrap(err, "restore the state machine")
	}
	r.stateMachineIndex = metadata.GetIndex()
	return nil
}
