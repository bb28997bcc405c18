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

const statusStepMismatch = protocol.LedgerStatus_LEDGER_STEP_MISMATCH

var traceStep = &protocol.LedgerOperation{
	Program: ledger.TrainingStepProgram("17"),
	Body:    &protocol.LedgerOperation_TraceTrainingStep{TraceTrainingStep: &protocol.TraceTrainingStep{Step: "17"}},
}

func TestAMismatchAfterAnAttemptWithAnUnknownOutcomeIsConfirmedByATombstone(t *testing.T) {
	for name, test := range map[string]struct {
		tombstone, want protocol.LedgerStatus
	}{
		"the request is marked as not run": {tombstone: statusOK, want: statusStepMismatch},
		"the request has already finished": {
			tombstone: protocol.LedgerStatus_LEDGER_ALREADY_FINISHED,
			want:      statusStepMismatch,
		},
		"the earlier attempt took effect after all": {
			tombstone: protocol.LedgerStatus_LEDGER_ALREADY_RESERVED,
			want:      protocol.LedgerStatus_LEDGER_ALREADY_RESERVED,
		},
		"without an answer the outcome is unknown": {tombstone: statusUnavailable, want: statusUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			caller := &scriptedCaller{responses: []response{
				failWith(&wire.BrokenError{Cause: errors.New("connection reset")}),
				respondWith(statusStepMismatch), respondWith(test.tombstone),
			}}
			view := newView(7, "a", "b", "c")
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			client := ledgerclient.New(caller, func() *corelink.View { return view }, ledgerclient.Options{
				Wait: func(context.Context, time.Duration) {},
			})
			result, err := client.Do(ctx, claimingReserve)
			if err != nil || result.GetStatus() != test.want {
				t.Fatalf("Do() = %v, %v; want status %v", result, err, test.want)
			}
			if tombstone := caller.sent[2].GetRefuseRequest(); tombstone.GetRequestId() != "r" || tombstone.GetSession() != "s" {
				t.Errorf("the third operation was %v, want a tombstone of request r in session s", caller.sent[2])
			}
		})
	}
}

func TestATraceIsSentToTheShardOfItsStep(t *testing.T) {
	caller := &scriptedCaller{responses: []response{respondWith(statusUnavailable), respondWith(statusOK)}}
	view := newView(7, "a", "b", "c")
	client := ledgerclient.New(caller, func() *corelink.View { return view },
		ledgerclient.Options{Wait: func(context.Context, time.Duration) {}})
	result, err := client.Do(t.Context(), traceStep)
	if err != nil || result.GetStatus() != statusOK || len(caller.sent) != 2 || caller.sent[1].GetPlacementEpoch() != 7 {
		t.Fatalf("Do() = %v, %v after sending %v; want LEDGER_OK after 2 operations under placement epoch 7", result, err,
			caller.sent)
	}
}

func TestALongTraceIsNotHedgedAndItsReplicaNotSuspected(t *testing.T) {
	const hedgeAfter = time.Millisecond
	release := make(chan struct{})
	caller := &partlyUnresponsiveCaller{answer: func(operation *protocol.LedgerOperation) *protocol.LedgerResult {
		if operation.GetTraceTrainingStep() != nil {
			<-release
		}
		return &protocol.LedgerResult{Status: statusOK}
	}}
	client := newClient(caller, hedgeAfter)
	done := make(chan error, 1)
	go func() {
		_, err := client.Do(t.Context(), traceStep)
		done <- err
	}()
	// Much longer than a replica may take for another operation before it is suspected.
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
	if caller.callCount("at-a") != 2 || caller.callCount("at-b") != 0 {
		t.Fatalf("called %v, want 2 calls of at-a and none of at-b", caller.calls)
	}
}
