package operator

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/process/settings"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Exit codes of the client.
const (
	// ExitDone says that everything asked for was done.
	ExitDone = 0
	// ExitFailure says that something else went wrong, such as a file that cannot be read.
	ExitFailure = 1
	// ExitUsage says that the command line or a document given is wrong; nothing was sent.
	ExitUsage = 2
	// ExitRefused says that the core refused the order; it was not run and never will be.
	ExitRejected = 3
	// ExitUnauthorized says that the token is missing, wrong or not enough.
	ExitUnauthorized = 4
	// ExitUnreachable says that no core process took the request in time; it was not run.
	ExitUnreachable = 5
	// ExitUnknown says that an order was sent and its answer lost; sending it again under the same id is safe.
	ExitUnknown = 6
	// ExitNotFound says that what was named does not exist.
	ExitNotFound = 7
	// ExitNotTraced says that a training step does not trace to a single version of the weights.
	ExitNotTraced = 8
)

// ExitCode gives the exit code for the error of a command.
func ExitCode(err error) int {
	var usage *UsageError
	var malformed *DocumentError
	var refused *RejectedError
	var unreachable *UnreachableError
	var unknown *UnknownOutcomeError
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
	case errors.As(err, &refused):
		return refused.exitCode()
	case errors.As(err, &missing):
		return ExitNotFound
	case errors.As(err, &untraced):
		return ExitNotTraced
	default:
		return ExitFailure
	}
}

// UsageError says what is wrong with the command line.
type UsageError struct {
	Reason string
}

func (e *UsageError) Error() string { return e.Reason }

// DocumentError lists everything that is wrong with a document before it is sent.
type DocumentError struct {
	Path   string
	Faults []*protocol.Fault
}

// Error gives one line a fault, each with its path.
func (e *DocumentError) Error() string {
	text := strings.Builder{}
	fmt.Fprintf(&text, "%s cannot be sent", e.Path)
	for _, fault := range e.Faults {
		text.WriteString("\n  " + settings.FormatFault(fault))
	}
	return text.String()
}

// FileError says that a file could not be read or written.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return e.Path + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// RefusedError is the answer of a process that did not do what it was asked.
type RejectedError struct {
	Status int
	Detail ErrorDetail
}

// Error gives the code, the message, every fault with its path and the winner of a taken version.
func (e *RejectedError) Error() string {
	text := strings.Builder{}
	fmt.Fprintf(&text, "%s: %s", e.Detail.Code, e.Detail.Message)
	if e.Detail.Path != "" && len(e.Detail.Faults) == 0 {
		fmt.Fprintf(&text, " (%s)", e.Detail.Path)
	}
	for _, fault := range e.Detail.Faults {
		text.WriteString("\n  " + settings.FormatFault(&protocol.Fault{Path: fault.Path, Message: fault.Message}))
	}
	if len(e.Detail.Winner) > 0 {
		text.WriteString("\n  the version is held by " + string(e.Detail.Winner))
	}
	return text.String()
}

func (e *RejectedError) exitCode() int {
	switch e.Status {
	case 401, 403:
		// A signature that does not fit is an order refused for its content.
		if e.Detail.Code == "bad_signature" {
			return ExitRejected
		}
		return ExitUnauthorized
	case 404:
		return ExitNotFound
	default:
		if e.Status >= 500 {
			return ExitFailure
		}
		return ExitRejected
	}
}

// UnreachableError says that no process took the request before the time ran out.
type UnreachableError struct {
	Addresses []string
	Last      error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", strings.Join(e.Addresses, ", "), e.Last)
}

// Unwrap returns the last failure.
func (e *UnreachableError) Unwrap() error { return e.Last }

// UnknownOutcomeError says that an order was sent and that no answer to it arrived in time.
type UnknownOutcomeError struct {
	OrderID string
	Last    error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome of the order is unknown (%v); run the same command with --order %s to learn it", e.Last, e.OrderID)
}

// Unwrap returns the last failure.
func (e *UnknownOutcomeError) Unwrap() error { return e.Last }

// RedirectError says that a core process sent the client on to an address that is not of the cluster.
type RedirectError struct {
	From string
	To   string
}

func (e *RedirectError) Error() string {
	return fmt.Sprintf("%s sent the request on to %s, which is no core process of the cluster; nothing was sent there", e.From, e.To)
}

// DigestError says that what is to be signed is not what it is said to be.
type DigestError struct {
	Version  uint64
	Expected string
	Found    string
}

func (e *DigestError) Error() string {
	return fmt.Sprintf("bundle %d has the digest %s, not %s; it was not signed", e.Version, e.Found, e.Expected)
}

// NotFoundError says that no process knows what was named.
type NotFoundError struct {
	What string
}

func (e *NotFoundError) Error() string { return e.What + " was not found" }

// NotTracedError says that a training step does not trace to a single version of the weights.
type NotTracedError struct {
	Step   string
	Reason string
}

func (e *NotTracedError) Error() string {
	return fmt.Sprintf("training step %s does not trace to a single version: %s", e.Step, e.Reason)
}

// WaitError says that a change did not come to its end in time; it goes on without the client.
type WaitError struct {
	What  string
	State string
}

func (e *WaitError) Error() string {
	return fmt.Sprintf("%s did not end in time (%s); it goes on", e.What, e.State)
}
