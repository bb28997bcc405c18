package issue

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
)

// AttemptError is a failed attempt at a back end.
type AttemptError struct {
	Fault      turn.BackEndFault
	retryAfter time.Duration
	Detail     string
	// blameless faults show nothing of the server's health, as when the deadline had passed before.
	serverNotAtFault bool
}

// SurelyDidNotRun reports whether a failed attempt did not run: nothing was sent, or the server rejected it.
func SurelyDidNotRun(err error) bool {
	var failed *AttemptError
	return errors.As(err, &failed) && failed.Fault.SurelyDidNotRun()
}

// Outcome is what the attempt shows of the server's health.
func (e *AttemptError) Outcome() schedule.Outcome {
	if e.serverNotAtFault {
		return schedule.OutcomeNotExecuted
	}
	return backends.HealthOutcome(e.Fault)
}

// Error implements error.
func (e *AttemptError) Error() string { return fmt.Sprintf("%s: %s", e.Fault, e.Detail) }

// Event is the failure as the turn's state machine takes it.
func (e *AttemptError) Event() turn.Event {
	return turn.BackEndFailed{Fault: e.Fault, RetryAfter: e.retryAfter, Detail: e.Detail}
}
