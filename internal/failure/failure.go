// Package failure defines the typed errors that cross process boundaries. Every failure has a stable code, the outcome
// of the request (not run, ran, or unknown) and, if a retry makes sense, the minimum delay before it.
//
// The outcome "not run" is a guarantee, because callers retry such requests. It must be set only where it is certain
// that the request did not run. Failures are immutable after New, and therefore safe for concurrent use. The wire
// format is Failure in the .proto files, the JSON format is Detail; docs/API.md documents both.
package failure

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Error wraps a failure as a Go error.
type Error struct {
	Failure *protocol.Failure
}

// Error returns the code, the path of the invalid field, if any, and the message.
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

// Option sets an optional field of a failure in New.
type Option func(*protocol.Failure)

// WithPath sets the path of the invalid field.
func WithPath(path string) Option {
	return func(f *protocol.Failure) { f.Path = path }
}

// WithRetryAfter sets the minimum delay before a retry, rounded up to full milliseconds.
func WithRetryAfter(wait time.Duration) Option {
	return func(f *protocol.Failure) {
		f.RetryAfterMillis = uint32((wait + time.Millisecond - 1) / time.Millisecond)
	}
}

// New returns a failure with the HTTP status of its code.
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

// From converts any error to a failure. An error that does not wrap an Error becomes DeadlineExceeded or Cancelled if
// it is the error of an ended context, and InternalError otherwise. Its outcome is unknown, because it is not certain
// whether the request ran.
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

// Is reports whether err wraps an Error with the code.
func Is(err error, code Code) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Code() == code
}

// StatusOf returns the HTTP status of the Error that err wraps, and the other status if it wraps none.
func StatusOf(err error, other int) int {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Code().Status()
	}
	return other
}
