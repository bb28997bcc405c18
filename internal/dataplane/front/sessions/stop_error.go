package sessions

import (
	"github.com/rosestand/rosestand/internal/dataplane/turn"
)

// StopError is the cancellation cause of a turn's context.
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

// Cancellation causes of a turn's context.
var (
	ErrCallerDisconnected = &StopError{Reason: turn.StopCallerDisconnected}
	ErrDeadline           = &StopError{Reason: turn.StopDeadline}
	ErrAuthority          = &StopError{Reason: turn.StopAuthority}
)
