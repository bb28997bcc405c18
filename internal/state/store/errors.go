package store

import "fmt"

// StorageReplacedError says that the folder was found damaged when it was opened again, and begins anew under another storage
// id; the process must stop, since it is known under the former one.
type StorageReplacedError struct {
	Cause error
}

func (e *StorageReplacedError) Error() string {
	return fmt.Sprintf("the folder has another storage id now: %v", e.Cause)
}

// Unwrap returns what was found damaged.
func (e *StorageReplacedError) Unwrap() error { return e.Cause }

// CopyError says that a shard could not be copied now; it is tried again.
type CopyError struct {
	Shard  uint32
	Source string
	Reason string
}

func (e *CopyError) Error() string {
	return fmt.Sprintf("copy of shard %d from %s: %s", e.Shard, e.Source, e.Reason)
}

// UnreadProgramError says that no replica of a program's shard could read its record from a majority.
type UnreadProgramError struct {
	Program string
}

func (e *UnreadProgramError) Error() string {
	return "record not read from a majority: program " + e.Program
}

// StoppedError says that the store was stopped while something waited for it.
type StoppedError struct{}

func (e *StoppedError) Error() string { return "the store stops" }
