package failure_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

func TestFromReturnsWrappedFailuresUnchanged(t *testing.T) {
	typed := failure.New(failure.BudgetReserved, protocol.Outcome_NOT_RUN, "reservations are open",
		failure.WithPath("program"), failure.WithRetryAfter(1500*time.Microsecond))
	got := failure.From(errors.Wrap(typed, "reserve"))
	if got.GetCode() != "budget_held" || got.GetOutcome() != protocol.Outcome_NOT_RUN {
		t.Fatalf("From of a wrapped failure: got %v, want code budget_held and outcome NOT_RUN", got)
	}
	if got.GetRetryAfterMillis() != 2 || got.GetStatus() != 429 || got.GetPath() != "program" {
		t.Fatalf("From of a wrapped failure: got %v, want a retry after 2 ms, status 429 and path program", got)
	}
}

func TestFromClaimsNoOutcomeForOtherErrors(t *testing.T) {
	for _, err := range []error{errors.New("disk"), context.Canceled, context.DeadlineExceeded} {
		if got := failure.From(err); got.GetOutcome() != protocol.Outcome_UNKNOWN {
			t.Fatalf("From(%v): got %v, want outcome UNKNOWN", err, got)
		}
	}
}
