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
	// serverNotAtFault is set when the attempt does not count for the server's health, for example because the
	// deadline had passed before anything was sent.
	serverNotAtFault bool
}

// SurelyDidNotRun reports whether a failed attempt provably did not run: nothing was sent, or the server rejected it.
func SurelyDidNotRun(err error) bool {
	var failed *AttemptError
	return errors.As(err, &failed) && failed.Fault.SurelyDidNotRun()
}

// Outcome returns the outcome that the attempt counts as for the server's health.
func (e *AttemptError) Outcome() schedule.Outcome {
	if e.serverNotAtFault {
		return schedule.OutcomeNotExecuted
	}
	return backends.HealthOutcome(e.Fault)
}

// Error implements error.
func (e *AttemptError) Error() string { return fmt.Sprintf("%s: %s", e.Fault, e.Detail) }

// Event returns the failure as an event of the turn's state machine.
func (e *AttemptError) Event() turn.Event {
	return turn.BackEndFailed{Fault: e.Fault, RetryAfter: e.retryAfter, Detail: e.Detail}
}
