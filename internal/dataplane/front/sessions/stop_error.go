package sessions

import (
	"github.com/rosestand/rosestand/internal/dataplane/turn"
)

// StopError is the cause with which a turn's context is cancelled.
type StopError struct {
	Reason turn.StopReason
}

// Error implements error.
func (e *StopError) Error() string {
	switch e.Reason {
	case turn.StopDeadline:
		return "the deadline passed"
	case turn.StopAuthority:
		return "authority was lost"
	default:
		return "the caller went away"
	}
}

// Causes of a cancelled context.
var (
	ErrCallerDisconnected = &StopError{Reason: turn.StopCallerDisconnected}
	ErrDeadline           = &StopError{Reason: turn.StopDeadline}
	ErrAuthority          = &StopError{Reason: turn.StopAuthority}
)
