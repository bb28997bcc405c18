package storage

import (
	"fmt"
	"syscall"

	"github.com/cockroachdb/errors"
)

// CorruptError reports that data which had been durable is damaged or absent. The directory must not be used further:
// the process rebuilds from its replicas.
type CorruptError struct {
	Path string
	// Offset is where the damage begins, in bytes.
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: %s is corrupt at byte %d: %s", e.Path, e.Offset, e.Reason)
}

// FailedError reports a write or sync that failed. The log that returned it returns it for ever: what was written since
// the last successful Sync may be lost, and a retry could report success without it.
type FailedError struct {
	// Operation is what was done to Path, such as "write" or "sync directory of".
	Operation string
	Path      string
	// Cause is the error of the file system.
	Cause error
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("storage: %s %s failed: %v", e.Operation, e.Path, e.Cause)
}

// Unwrap returns the error of the file system.
func (e *FailedError) Unwrap() error { return e.Cause }

// DiskFull reports whether the disk or its quota was full.
func (e *FailedError) DiskFull() bool { return IsDiskFull(e.Cause) }

// IsDiskFull reports whether an error of this package or of a Filesystem was caused by a full disk or quota.
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

// PositionError reports a position that names no record of the log.
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

// QueueFullError reports that too many bytes wait for a sync. Nothing was written.
type QueueFullError struct {
	// PendingBytes were in the queue before the rejected request.
	PendingBytes int
	Max          int
}

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("storage: %d bytes wait for a sync, limit %d", e.PendingBytes, e.Max)
}

// DirLockedError reports that another process uses the data directory.
type DirLockedError struct {
	Path string
}

// Error implements error.
func (e *DirLockedError) Error() string {
	return fmt.Sprintf("storage: directory %s is used by another process", e.Path)
}
