package consensus

import "fmt"

// StateError says that recovered or received state breaks the rules of the log.
type StateError struct {
	Reason string
	Index  uint64
}

// Error implements error.
func (e *StateError) Error() string {
	return fmt.Sprintf("consensus state at index %d: %s", e.Index, e.Reason)
}

// NotLeaderError says that this node does not lead; Leader is the id of the leader, or zero.
type NotLeaderError struct{ Leader uint64 }

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; the leader is %d", e.Leader)
}

// OverloadedError rejects a proposal since too many entries, or bytes of them, are uncommitted.
type OverloadedError struct{ Uncommitted uint64 }

// Error implements error.
func (e *OverloadedError) Error() string {
	return fmt.Sprintf("%d entries are not committed yet", e.Uncommitted)
}

// CommandSizeError rejects a command that is too large for one message. Both numbers are bytes.
type CommandSizeError struct{ Size, Limit int }

// Error implements error.
func (e *CommandSizeError) Error() string {
	return fmt.Sprintf("a command of %d bytes exceeds the limit of %d", e.Size, e.Limit)
}

// TransferringError rejects a proposal while leadership is transferred to another member.
type TransferringError struct{ Target uint64 }

// Error implements error.
func (e *TransferringError) Error() string {
	return fmt.Sprintf("leadership is being transferred to %d", e.Target)
}

// ChangePendingError says that a membership change must wait for an earlier entry to commit.
type ChangePendingError struct{ Index uint64 }

// Error implements error.
func (e *ChangePendingError) Error() string {
	return fmt.Sprintf("a membership change must wait until entry %d is committed", e.Index)
}

// InvalidChangeError says that a membership change is more than one step, or leaves no voter.
type InvalidChangeError struct{ Reason string }

// Error implements error.
func (e *InvalidChangeError) Error() string { return "invalid membership change: " + e.Reason }
