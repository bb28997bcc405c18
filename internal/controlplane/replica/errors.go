package replica

import "fmt"

// NotLeaderError reports that this process is not the leader; the request was not run.
type NotLeaderError struct {
	// LeaderAddress is the internal address of the leader, or empty when none is known.
	LeaderAddress string
	// LeaderHTTPAddress is the HTTP address of the leader, or empty when none is known.
	LeaderHTTPAddress string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.LeaderAddress == "" {
		return "not the leader; no leader is known"
	}
	return "not the leader; the leader is at " + e.LeaderAddress
}

// UnknownOutcomeError reports that a proposal may or may not be committed. Cause is the reason why the wait for
// its result ended.
type UnknownOutcomeError struct{ Cause error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the proposal is unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// LeadershipLostError is the cause of an unknown outcome when the leader stepped down.
type LeadershipLostError struct{ Term uint64 }

// Error implements error.
func (e *LeadershipLostError) Error() string {
	return fmt.Sprintf("leadership of term %d was lost", e.Term)
}

// OverloadedError reports that a queue of the replica is full; the request was not run.
type OverloadedError struct{ Queue string }

// Error implements error.
func (e *OverloadedError) Error() string { return "queue " + e.Queue + " is full" }

// StoppedError reports that the replica is not running; the request was not run.
type StoppedError struct{}

// Error implements error.
func (e *StoppedError) Error() string { return "the replica is stopped" }

// DiskUnavailableError reports that the replica waits until its disk can be used again; the request was not run.
type DiskUnavailableError struct{ Cause error }

// Error implements error.
func (e *DiskUnavailableError) Error() string {
	return fmt.Sprintf("the replica waits for its disk: %v", e.Cause)
}

// Unwrap returns the failure of the disk.
func (e *DiskUnavailableError) Unwrap() error { return e.Cause }

// MemberUnreachableError reports that no core process answered at the address of a member to add; nothing was
// changed.
type MemberUnreachableError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *MemberUnreachableError) Error() string {
	return fmt.Sprintf("no core process answers at %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *MemberUnreachableError) Unwrap() error { return e.Cause }

// ClusterMismatchError rejects a message or a member of another cluster.
type ClusterMismatchError struct{ Own, Other string }

// Error implements error.
func (e *ClusterMismatchError) Error() string {
	return fmt.Sprintf("cluster %s is not this cluster %s", e.Other, e.Own)
}
