package operator

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/operator/apiclient"
	"github.com/rosestand/rosestand/internal/process/settings"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Exit codes of the client.
const (
	// ExitDone means that everything that was requested was done.
	ExitDone = 0
	// ExitFailure means that something else failed, such as reading a file.
	ExitFailure = 1
	// ExitUsage means that the command line or a document is invalid; nothing was sent.
	ExitUsage = 2
	// ExitRejected means that the core rejected the order; it was not run and never will be.
	ExitRejected = 3
	// ExitUnauthorized means that the token is missing, wrong or not sufficient.
	ExitUnauthorized = 4
	// ExitUnreachable means that no core process accepted the request in time; it was not run.
	ExitUnreachable = 5
	// ExitUnknown means that an order was sent but its response was lost; resending it under the same id is safe.
	ExitUnknown = 6
	// ExitNotFound means that the named object does not exist.
	ExitNotFound = 7
	// ExitNotTraced means that a training step does not trace to a single version of the weights.
	ExitNotTraced = 8
)

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var usage *UsageError
	var malformed *DocumentError
	var rejection *apiclient.RejectedError
	var unreachable *apiclient.UnreachableError
	var unknown *apiclient.UnknownOutcomeError
	var missing *NotFoundError
	var untraced *NotTracedError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &usage), errors.As(err, &malformed):
		return ExitUsage
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &rejection):
		return rejectionExitCode(rejection)
	case errors.As(err, &missing):
		return ExitNotFound
	case errors.As(err, &untraced):
		return ExitNotTraced
	default:
		return ExitFailure
	}
}

// UsageError reports an invalid command line.
type UsageError struct {
	Reason string
}

// Error returns the reason.
func (e *UsageError) Error() string { return e.Reason }

// DocumentError lists the faults of a document, which was not sent.
type DocumentError struct {
	Path   string
	Faults []*protocol.Fault
}

// Error returns the path of the document and a line for each fault, with the fault's path.
func (e *DocumentError) Error() string {
	text := strings.Builder{}
	fmt.Fprintf(&text, "%s cannot be sent", e.Path)
	for _, fault := range e.Faults {
		text.WriteString("\n  " + settings.FormatFault(fault))
	}
	return text.String()
}

// FileError reports that a file could not be read or written.
type FileError struct {
	Path  string
	Cause error
}

// Error names the path and the cause.
func (e *FileError) Error() string { return e.Path + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// rejectionExitCode returns the exit code for a rejected request.
func rejectionExitCode(rejection *apiclient.RejectedError) int {
	switch rejection.Status {
	case http.StatusUnauthorized, http.StatusForbidden:
		// An invalid signature is a fault of the order's content, not of the operator's token.
		if rejection.Detail.Code == "bad_signature" {
			return ExitRejected
		}
		return ExitUnauthorized
	case http.StatusNotFound:
		return ExitNotFound
	default:
		if rejection.Status >= http.StatusInternalServerError {
			return ExitFailure
		}
		return ExitRejected
	}
}

// DigestError reports that the bundle to sign does not have the expected digest.
type DigestError struct {
	Version  uint64
	Expected string
	Actual   string
}

// Error names the version and both digests.
func (e *DigestError) Error() string {
	return fmt.Sprintf("bundle %d has the digest %s, not %s; it was not signed", e.Version, e.Actual, e.Expected)
}

// NotFoundError reports that no process has the named object.
type NotFoundError struct {
	Subject string
}

// Error names what was not found.
func (e *NotFoundError) Error() string { return e.Subject + " was not found" }

// NotTracedError reports that a training step does not trace to a single version of the weights.
type NotTracedError struct {
	Step   string
	Reason string
}

// Error names the step and the reason.
func (e *NotTracedError) Error() string {
	return fmt.Sprintf("training step %s does not trace to a single version: %s", e.Step, e.Reason)
}

// WaitError reports that a change did not complete in time; the cluster continues it without the client.
type WaitError struct {
	Subject string
	State   string
}

// Error names the object that changes and its state.
func (e *WaitError) Error() string {
	return fmt.Sprintf("%s did not end in time (%s); it goes on", e.Subject, e.State)
}
