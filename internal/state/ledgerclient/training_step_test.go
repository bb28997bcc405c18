package ledgerclient_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/ledgerclient"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

const mismatch = protocol.LedgerStatus_LEDGER_STEP_MISMATCH

var traceOfStep = &protocol.LedgerOperation{
	Program: ledger.TrainingStepProgram("17"),
	Body:    &protocol.LedgerOperation_TraceTrainingStep{TraceTrainingStep: &protocol.TraceTrainingStep{Step: "17"}},
}

func TestAMismatchAfterAnAttemptWithAnUnknownOutcomeIsConfirmedByATombstone(t *testing.T) {
	for name, story := range map[string]struct {
		tombstone, want protocol.LedgerStatus
	}{
		"the request is marked": {tombstone: ok, want: mismatch},
		"the request ended before": {
			tombstone: protocol.LedgerStatus_LEDGER_ALREADY_FINISHED,
			want:      mismatch,
		},
		"the earlier attempt took effect after all": {
			tombstone: protocol.LedgerStatus_LEDGER_ALREADY_RESERVED,
			want:      protocol.LedgerStatus_LEDGER_ALREADY_RESERVED,
		},
		"nothing may be claimed without an answer": {tombstone: unavailable, want: unavailable},
	} {
		t.Run(name, func(t *testing.T) {
			caller := &scripted{answers: []answer{
				fails(&wire.BrokenError{Cause: errors.New("reset")}), answers(mismatch), answers(story.tombstone),
			}}
			view := viewOf(7, "a", "b", "c")
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			client := ledgerclient.New(caller, func() *corelink.View { return view }, ledgerclient.Options{
				Wait: func(context.Context, time.Duration) {},
			})
			result, err := client.Do(ctx, claimingReserve)
			if err != nil || result.GetStatus() != story.want {
				t.Fatalf("got %v, %v", result, err)
			}
			if tombstone := caller.sent[2].GetRefuseRequest(); tombstone.GetRequestId() != "r" || tombstone.GetSession() != "s" {
				t.Errorf("sent %v", caller.sent[2])
			}
		})
	}
}

func TestATraceIsSentToTheShardOfItsStep(t *testing.T) {
	caller := &scripted{answers: []answer{answers(unavailable), answers(ok)}}
	view := viewOf(7, "a", "b", "c")
	client := ledgerclient.New(caller, func() *corelink.View { return view },
		ledgerclient.Options{Wait: func(context.Context, time.Duration) {}})
	result, err := client.Do(t.Context(), traceOfStep)
	if err != nil || result.GetStatus() != ok || len(caller.sent) != 2 || caller.sent[1].GetPlacementEpoch() != 7 {
		t.Fatalf("got %v, %v after %v", result, err, caller.sent)
	}
}

func TestALongTraceIsNotHedgedAndMakesNoSuspect(t *testing.T) {
	const hedgeAfter = time.Millisecond
	release := make(chan struct{})
	caller := &partlyFrozen{answer: func(operation *protocol.LedgerOperation) *protocol.LedgerResult {
		if operation.GetTraceTrainingStep() != nil {
			<-release
		}
		return &protocol.LedgerResult{Status: ok}
	}}
	client := clientOf(caller, hedgeAfter)
	done := make(chan error, 1)
	go func() {
		_, err := client.Do(t.Context(), traceOfStep)
		done <- err
	}()
	// Far longer than a replica may take for an ordinary operation.
	timer := time.NewTimer(20 * hedgeAfter)
	defer timer.Stop()
	<-timer.C
	close(release)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if _, err := client.Do(t.Context(), reserve); err != nil {
		t.Fatal(err)
	}
	if caller.count("at-a") != 2 || caller.count("at-b") != 0 {
		t.Fatalf("called %v", caller.calls)
	}
}
