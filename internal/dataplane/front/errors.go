package front

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
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

// backEndError is a failed attempt at a back end.
type backEndError struct {
	fault      turn.BackEndFault
	retryAfter time.Duration
	detail     string
	// blameless faults tell nothing of the server, as when the caller's time was over before.
	blameless bool
}

// surelyDidNotRun reports whether a failed attempt did not run: nothing was sent, or the server refused it.
func surelyDidNotRun(err error) bool {
	var failed *backEndError
	return errors.As(err, &failed) && failed.fault.SurelyDidNotRun()
}

// outcome says what the attempt tells of the server's health.
func (e *backEndError) outcome() schedule.Outcome {
	if e.blameless {
		return schedule.OutcomeNotExecuted
	}
	return backends.HealthOutcome(e.fault)
}

func (e *backEndError) Error() string { return fmt.Sprintf("%s: %s", e.fault, e.detail) }

func (e *backEndError) event() turn.Event {
	return turn.BackEndFailed{Fault: e.fault, RetryAfter: e.retryAfter, Detail: e.detail}
}
