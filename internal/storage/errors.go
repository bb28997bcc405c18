package storage

import (
	"fmt"
	"syscall"

	"github.com/cockroachdb/errors"
)

// CorruptError reports that data that had been durable is corrupt or missing. The directory must not be used any more:
// the process has to be rebuilt from the other replicas.
type CorruptError struct {
	Path string
	// Offset is the byte offset at which the corruption begins.
	Offset int64
	Reason string
	// NoDataLeft is true when an identity is all that a directory has: nothing in it can be read any more, and MoveAside
	// makes it a new one.
	NoDataLeft bool
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: %s is corrupt at byte %d: %s", e.Path, e.Offset, e.Reason)
}

// FailedError reports a write or sync that failed. The failure is permanent: all later writes and syncs of the log
// return the same error, because data written since the last successful Sync may be lost, and a retried sync could
// report success without having persisted it.
type FailedError struct {
	// Operation is the operation on Path that failed, such as "write" or "sync directory of".
	Operation string
	Path      string
	// Cause is the error returned by the file system.
	Cause error
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("storage: %s %s failed: %v", e.Operation, e.Path, e.Cause)
}

// Unwrap returns the error returned by the file system.
func (e *FailedError) Unwrap() error { return e.Cause }

// DiskFull reports whether the operation failed because the disk was full or its quota exhausted.
func (e *FailedError) DiskFull() bool { return IsDiskFull(e.Cause) }

// IsDiskFull reports whether an error returned by this package or by a Filesystem was caused by a full disk or an
// exhausted quota.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// RecordSizeError reports a record that is empty or larger than LogOptions.MaxRecordBytes. Nothing was written.
type RecordSizeError struct {
	Size int
	Max  int
}

// Error implements error.
func (e *RecordSizeError) Error() string {
	return fmt.Sprintf("storage: record of %d bytes, 1 to %d allowed", e.Size, e.Max)
}

// PositionError reports a position at which the log has no record.
type PositionError struct {
	Position Position
}

// Error implements error.
func (e *PositionError) Error() string {
	return fmt.Sprintf("storage: no record at segment %d byte %d", e.Position.Segment, e.Position.Offset)
}

// ClosedError reports the use of a closed log or group committer.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "storage: closed" }

// QueueFullError reports that a request was rejected because too many bytes are waiting for a sync. Nothing was
// written.
type QueueFullError struct {
	// PendingBytes is the size of the queue without the rejected request.
	PendingBytes int
	Max          int
}

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("storage: %d bytes wait for a sync, limit %d", e.PendingBytes, e.Max)
}

// DirLockedError reports that another process holds the lock of the data directory.
type DirLockedError struct {
	Path string
}

// Error implements error.
func (e *DirLockedError) Error() string {
	return fmt.Sprintf("storage: directory %s is used by another process", e.Path)
}
