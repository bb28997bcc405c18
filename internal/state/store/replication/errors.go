package replication

import "fmt"

// CopyError reports that the copy of a shard failed; it is retried.
type CopyError struct {
	Shard uint32
	// Source is the replica that rejected the copy; empty when the copy failed on this store.
	Source string
	Reason string
}

// Error implements error.
func (e *CopyError) Error() string {
	if e.Source == "" {
		return fmt.Sprintf("shard %d: copy failed: %s", e.Shard, e.Reason)
	}
	return fmt.Sprintf("shard %d: copy from %s failed: %s", e.Shard, e.Source, e.Reason)
}
