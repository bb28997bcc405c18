// Package failure holds the typed errors that cross process boundaries. Every
// failure has a stable code, says what became of the request (its outcome) and,
// when another try makes sense, how long to wait before it.
package failure

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Error carries a failure as a Go error.
type Error struct {
	Failure *protocol.Failure
}

// Error gives the code, the field at fault and the message.
func (e *Error) Error() string {
	if e.Failure.GetPath() != "" {
		return fmt.Sprintf("%s: %s: %s", e.Failure.GetCode(), e.Failure.GetPath(), e.Failure.GetMessage())
	}
	return fmt.Sprintf("%s: %s", e.Failure.GetCode(), e.Failure.GetMessage())
}

// Code returns the stable code of the failure.
func (e *Error) Code() Code {
	return Code(e.Failure.GetCode())
}

// Option completes a failure made by New.
type Option func(*protocol.Failure)

// WithPath names the field at fault.
func WithPath(path string) Option {
	return func(f *protocol.Failure) { f.Path = path }
}

// WithRetryAfter says how long to wait before another try; it is rounded up to whole milliseconds.
func WithRetryAfter(wait time.Duration) Option {
	return func(f *protocol.Failure) {
		f.RetryAfterMillis = uint32((wait + time.Millisecond - 1) / time.Millisecond)
	}
}

// New makes a failure whose HTTP status follows from its code.
func New(code Code, outcome protocol.Outcome, message string, options ...Option) *Error {
	f := &protocol.Failure{
		Code:    string(code),
		Message: message,
		Outcome: outcome,
		Status:  uint32(code.Status()),
	}
	for _, option := range options {
		option(f)
	}
	return &Error{Failure: f}
}

// From turns any error into a failure. An error without a type is an internal
// error whose outcome is unknown: nothing is claimed that was not proved.
func From(err error) *protocol.Failure {
	var typed *Error
	switch {
	case errors.As(err, &typed):
		return typed.Failure
	case errors.Is(err, context.DeadlineExceeded):
		return New(DeadlineExceeded, protocol.Outcome_UNKNOWN, "the deadline passed").Failure
	case errors.Is(err, context.Canceled):
		return New(Cancelled, protocol.Outcome_UNKNOWN, "the caller went away").Failure
	default:
		return New(InternalError, protocol.Outcome_UNKNOWN, err.Error()).Failure
	}
}

// Is reports whether err carries a failure with the code.
func Is(err error, code Code) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Code() == code
}
