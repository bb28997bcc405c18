package store

import "fmt"

// StorageReplacedError reports that the folder was found damaged when it was opened again, and
// begins anew under another storage id; the process must stop, since it is known under the
// former one.
type StorageReplacedError struct {
	Cause error
}

// Error implements error.
func (e *StorageReplacedError) Error() string {
	return fmt.Sprintf("the folder has another storage id now: %v", e.Cause)
}

// Unwrap returns what was damaged.
func (e *StorageReplacedError) Unwrap() error { return e.Cause }
