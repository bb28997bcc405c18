package daemon

import "fmt"

// ListenError reports that an address could not be listened on.
type ListenError struct {
	// Purpose is the field of the settings that names the address.
	Purpose string
	Address string
	Cause   error
}

// Error names the field, the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("%s: cannot listen on %s: %v", e.Purpose, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// DataFolderError reports that the data folder cannot be used.
type DataFolderError struct {
	Path  string
	Cause error
}

// Error names the path and the cause.
func (e *DataFolderError) Error() string {
	return fmt.Sprintf("data folder %s: %v", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *DataFolderError) Unwrap() error { return e.Cause }

// stoppedBeforeStartError reports that the process was asked to stop while it waited for disk space.
type stoppedBeforeStartError struct{}

// Error implements error.
func (e *stoppedBeforeStartError) Error() string { return "stopped before the start" }

// StageError reports in which stage of a start or stop something failed.
type StageError struct {
	Stage string
	Cause error
}

// Error names the stage and the cause.
func (e *StageError) Error() string { return e.Stage + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StageError) Unwrap() error { return e.Cause }

// InterruptedStopError reports that a shutdown ended before it was complete.
type InterruptedStopError struct {
	Reason string
}

// Error names the reason.
func (e *InterruptedStopError) Error() string { return "shutdown interrupted: " + e.Reason }

// ShutdownError reports that a plane ended the process through fx.
type ShutdownError struct{}

// Error has a fixed text.
func (e *ShutdownError) Error() string { return "the plane ended the process" }
