package front_test

import (
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/protocol"
)

func TestMaxExpectedWaitIsAQuarterOfTheLatencyObjective(t *testing.T) {
	for kind, want := range map[protocol.HttpRouteKind]time.Duration{
		protocol.HttpRouteKind_HTTP_REPEATABLE:     200 * time.Millisecond,
		protocol.HttpRouteKind_HTTP_NON_REPEATABLE: 200 * time.Millisecond,
		protocol.HttpRouteKind_HTTP_STREAMING:      0,
	} {
		if got := front.MaxExpectedWait(&protocol.HttpRequest{Kind: kind, LatencyObjectiveMillis: 800}); got != want {
			t.Errorf("%v: got %v, wanted %v", kind, got, want)
		}
	}
	if got := front.MaxExpectedWait(&protocol.HttpRequest{Kind: protocol.HttpRouteKind_HTTP_REPEATABLE}); got != 0 {
		t.Errorf("without an objective the bound is %v", got)
	}
	ofProgram := &protocol.HttpRequest{
		Kind: protocol.HttpRouteKind_HTTP_REPEATABLE, LatencyObjectiveMillis: 800, ProgramTimeLeftMillis: 5000,
	}
	if got := front.MaxExpectedWait(ofProgram); got != 0 {
		t.Errorf("a call with a time left of its program is bound to %v", got)
	}
}
