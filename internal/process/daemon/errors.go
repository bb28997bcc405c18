package daemon

import "fmt"

// ListenError reports that a listener could not be opened on an address.
type ListenError struct {
	// Purpose is the path of the settings field that has the address.
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

// stoppedBeforeStartError reports that the process received a stop signal while it waited for disk space.
type stoppedBeforeStartError struct{}

// Error implements error.
func (e *stoppedBeforeStartError) Error() string { return "stopped while waiting for disk space" }

// StageError reports the stage of a start or stop that failed.
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

// ShutdownError reports that a plane shut the process down through fx.Shutdowner.
type ShutdownError struct{}

// Error implements error.
func (e *ShutdownError) Error() string { return "the plane shut the process down" }
