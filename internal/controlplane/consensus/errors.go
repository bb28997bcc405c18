package consensus

import "fmt"

// StateError reports that recovered or received state violates the invariants of the log.
type StateError struct {
	Reason string
	Index  uint64
}

// Error implements error.
func (e *StateError) Error() string {
	return fmt.Sprintf("invalid consensus state at index %d: %s", e.Index, e.Reason)
}

// NotLeaderError reports that this node does not lead. Leader is the id of the leader, or zero if unknown.
type NotLeaderError struct{ Leader uint64 }

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; the leader is member %d", e.Leader)
}

// OverloadedError rejects a proposal that would exceed the limit of uncommitted entries or bytes.
// Uncommitted is the number of entries.
type OverloadedError struct{ Uncommitted uint64 }

// Error implements error.
func (e *OverloadedError) Error() string {
	return fmt.Sprintf("too many uncommitted entries or bytes: %d entries are uncommitted", e.Uncommitted)
}

// CommandSizeError rejects a command that is too large for one message. Size and Limit are in bytes.
type CommandSizeError struct{ Size, Limit int }

// Error implements error.
func (e *CommandSizeError) Error() string {
	return fmt.Sprintf("a command of %d bytes exceeds the limit of %d", e.Size, e.Limit)
}

// TransferringError rejects a proposal during a leadership transfer to the member Target.
type TransferringError struct{ Target uint64 }

// Error implements error.
func (e *TransferringError) Error() string {
	return fmt.Sprintf("leadership is being transferred to member %d", e.Target)
}

// ChangePendingError rejects a membership change until the entry at Index is committed.
type ChangePendingError struct{ Index uint64 }

// Error implements error.
func (e *ChangePendingError) Error() string {
	return fmt.Sprintf("a membership change must wait until entry %d is committed", e.Index)
}

// InvalidChangeError rejects a membership change that is not a change of one member, leaves no voter or is
// otherwise invalid, or a leadership transfer to a member that is not another voter.
type InvalidChangeError struct{ Reason string }

// Error implements error.
func (e *InvalidChangeError) Error() string { return "invalid membership change: " + e.Reason }
