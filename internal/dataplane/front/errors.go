package front

import (
	"github.com/rosestand/rosestand/internal/dataplane/turn"
)

// stopError is the cause with which a turn's context is cancelled.
type stopError struct {
	reason turn.StopReason
}

func (e *stopError) Error() string {
	switch e.reason {
	case turn.StopDeadline:
		return "the deadline passed"
	case turn.StopAuthority:
		return "authority was lost"
	default:
		return "the caller went away"
	}
}

var (
	errCallerDisconnected = &stopError{reason: turn.StopCallerDisconnected}
	errDeadline           = &stopError{reason: turn.StopDeadline}
	errAuthority          = &stopError{reason: turn.StopAuthority}
)
