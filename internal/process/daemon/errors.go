package daemon

import "fmt"

// ListenError says that an address could not be listened on.
type ListenError struct {
	// Purpose is the field of the settings that names the address.
	Purpose string
	Address string
	Cause   error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("%s: cannot listen on %s: %v", e.Purpose, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// DataFolderError says that the data folder cannot be used.
type DataFolderError struct {
	Path  string
	Cause error
}

func (e *DataFolderError) Error() string {
	return fmt.Sprintf("data folder %s: %v", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *DataFolderError) Unwrap() error { return e.Cause }

// stoppedBeforeStartError says that the process was asked to stop while it waited for room on its disk.
type stoppedBeforeStartError struct{}

func (e *stoppedBeforeStartError) Error() string { return "stopped before the start" }

// StageError says in which stage of a start or stop something failed.
type StageError struct {
	Stage string
	Cause error
}

func (e *StageError) Error() string { return e.Stage + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StageError) Unwrap() error { return e.Cause }

// CutShortError says that a stop ended before the drain was over.
type CutShortError struct {
	Reason string
}

func (e *CutShortError) Error() string { return "stop cut short: " + e.Reason }

// ShutdownError says that a plane ended the process through fx.
type ShutdownError struct{}

func (e *ShutdownError) Error() string { return "the plane ended the process" }
