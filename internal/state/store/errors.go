package store

import "fmt"

// StorageReplacedError reports that the data folder was damaged when it was reopened and was
// replaced by an empty one with a new storage id. The process must stop, since it is registered
// under the previous id.
type StorageReplacedError struct {
	Cause error
}

// Error implements error.
func (e *StorageReplacedError) Error() string {
	return fmt.Sprintf("data folder was damaged and has a new storage id: %v", e.Cause)
}

// Unwrap returns the error that describes the damage.
func (e *StorageReplacedError) Unwrap() error { return e.Cause }
