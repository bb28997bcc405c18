package front_test

import (
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
)

func TestExpiredDeadlineIsNotCountedAsServerOutcome(t *testing.T) {
	if got := front.OutcomeOfExpired(&manualClock{now: time.Unix(1_000_000, 0)}); got != schedule.OutcomeNotExecuted {
		t.Fatalf("the server is charged with outcome %d", got)
	}
}
