package datafolder

import "fmt"

// LogError reports that a log of the store failed, for instance because the disk is full. The store must stop.
type LogError struct {
	// Log is RegisterLog or TurnLog.
	Log   string
	Cause error
}

// Error implements error.
func (e *LogError) Error() string { return fmt.Sprintf("log of %s failed: %v", e.Log, e.Cause) }

// Unwrap returns the cause.
func (e *LogError) Unwrap() error { return e.Cause }
