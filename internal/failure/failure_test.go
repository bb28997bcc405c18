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
		t.Fatalf("lost the type: %v", got)
	}
	if got.GetRetryAfterMillis() != 2 || got.GetStatus() != 429 || got.GetPath() != "program" {
		t.Fatalf("lost details: %v", got)
	}
}

func TestFromClaimsNoOutcomeForOtherErrors(t *testing.T) {
	for _, err := range []error{errors.New("disk"), context.Canceled, context.DeadlineExceeded} {
		if got := failure.From(err); got.GetOutcome() != protocol.Outcome_UNKNOWN {
			t.Fatalf("%v became %v", err, got)
		}
	}
}
