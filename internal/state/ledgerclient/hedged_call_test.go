package ledgerclient_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledgerclient"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// partlyUnresponsiveCaller never answers at the unresponsive addresses and calls answer for the others.
type partlyUnresponsiveCaller struct {
	unresponsive map[string]bool
	answer       func(*protocol.LedgerOperation) *protocol.LedgerResult

	mutex sync.Mutex
	sent  []*protocol.LedgerOperation
	calls map[string]int
}

func (p *partlyUnresponsiveCaller) Call(
	ctx context.Context, address string, request *protocol.Request,
) (*protocol.Response, error) {
	p.mutex.Lock()
	if p.calls == nil {
		p.calls = map[string]int{}
	}
	p.calls[address]++
	p.sent = append(p.sent, request.GetLedger())
	p.mutex.Unlock()
	if p.unresponsive[address] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &protocol.Response{Body: &protocol.Response_Ledger{Ledger: p.answer(request.GetLedger())}}, nil
}

func (p *partlyUnresponsiveCaller) Open(context.Context, string, *protocol.Request) (wire.Stream, error) {
	return nil, context.Canceled
}

func (p *partlyUnresponsiveCaller) callCount(address string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls[address]
}

func answerOK(*protocol.LedgerOperation) *protocol.LedgerResult {
	return &protocol.LedgerResult{Status: statusOK}
}

func newClient(caller wire.Caller, hedgeAfter time.Duration) *ledgerclient.Client {
	view := newView(7, "a", "b", "c")
	return ledgerclient.New(caller, func() *corelink.View { return view }, ledgerclient.Options{HedgeAfter: hedgeAfter})
}

func TestAnUnresponsiveReplicaIsHedged(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		caller := &partlyUnresponsiveCaller{unresponsive: map[string]bool{"at-a": true}, answer: answerOK}
		const hedgeAfter = time.Millisecond
		client := newClient(caller, hedgeAfter)
		startedAt := time.Now()
		result, err := client.Do(t.Context(), reserve)
		if err != nil || result.GetStatus() != statusOK {
			t.Fatalf("Do() = %v, %v; want LEDGER_OK", result, err)
		}
		if elapsed := time.Since(startedAt); elapsed != hedgeAfter {
			t.Fatalf("Do() took %v, want %v", elapsed, hedgeAfter)
		}
	})
}

func TestAnUnresponsiveReplicaIsSuspected(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		caller := &partlyUnresponsiveCaller{unresponsive: map[string]bool{"at-a": true}, answer: answerOK}
		client := newClient(caller, time.Millisecond)
		for deadline := time.Now().Add(20 * time.Second); ; {
			before := caller.callCount("at-a")
			if result, err := client.Do(t.Context(), reserve); err != nil || result.GetStatus() != statusOK {
				t.Fatalf("Do() = %v, %v; want LEDGER_OK", result, err)
			}
			if caller.callCount("at-a") == before {
				return
			}
			if time.Now().After(deadline) {
				t.Fatal("the unresponsive replica is still attempted first after 20 s")
			}
		}
	})
}

func TestARejectionBesideAnUnresponsiveReplicaIsConfirmed(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		caller := &partlyUnresponsiveCaller{
			unresponsive: map[string]bool{"at-a": true},
			answer: func(operation *protocol.LedgerOperation) *protocol.LedgerResult {
				if operation.GetReserveTurn() != nil {
					return &protocol.LedgerResult{Status: statusBudgetHeld, Epoch: 4}
				}
				return &protocol.LedgerResult{Status: statusOK}
			},
		}
		result, err := newClient(caller, time.Millisecond).Do(t.Context(), reserve)
		if err != nil || result.GetStatus() != statusBudgetHeld {
			t.Fatalf("Do() = %v, %v; want LEDGER_BUDGET_HELD", result, err)
		}
		caller.mutex.Lock()
		defer caller.mutex.Unlock()
		if release := caller.sent[len(caller.sent)-1].GetReleaseTurn(); release.GetRequestId() != "r" ||
			release.GetEpoch() != 3 {
			t.Fatalf("the last operation was %v, want a release of request r under epoch 3", caller.sent[len(caller.sent)-1])
		}
	})
}

var claimingReserve = &protocol.LedgerOperation{
	Program: "p",
	Body: &protocol.LedgerOperation_ReserveTurn{ReserveTurn: &protocol.ReserveTurn{
		RequestId: "r", Session: "s", Ceiling: 10, Fork: true,
		Claim: &protocol.ClaimSession{Session: "s", Owner: "front", Tenant: "t"},
	}},
}

func TestARejectedReservationWithAClaimGetsATombstoneWhenItsReleaseIsFenced(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		caller := &partlyUnresponsiveCaller{
			unresponsive: map[string]bool{"at-a": true},
			answer: func(operation *protocol.LedgerOperation) *protocol.LedgerResult {
				switch operation.GetBody().(type) {
				case *protocol.LedgerOperation_ReserveTurn:
					return &protocol.LedgerResult{Status: statusBudgetHeld, Epoch: 4}
				case *protocol.LedgerOperation_ReleaseTurn:
					return &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_FENCED, Epoch: 5}
				default:
					return &protocol.LedgerResult{Status: statusOK}
				}
			},
		}
		result, err := newClient(caller, time.Millisecond).Do(t.Context(), claimingReserve)
		if err != nil || result.GetStatus() != statusBudgetHeld {
			t.Fatalf("Do() = %v, %v; want LEDGER_BUDGET_HELD", result, err)
		}
		caller.mutex.Lock()
		defer caller.mutex.Unlock()
		released, tombstone := false, false
		for _, operation := range caller.sent {
			released = released || operation.GetReleaseTurn().GetEpoch() == 4
			tombstone = tombstone || operation.GetRefuseRequest().GetRequestId() == "r"
		}
		if !released || !tombstone {
			t.Fatalf("sent %v, want a release under epoch 4 and a tombstone of request r", caller.sent)
		}
	})
}

func TestTurnsOfOtherProgramsAreRetainedAsLongAsOneThatContinuesThem(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		caller := &partlyUnresponsiveCaller{answer: func(operation *protocol.LedgerOperation) *protocol.LedgerResult {
			if operation.GetProlongTurns() != nil && operation.GetProgram() == "older" {
				return &protocol.LedgerResult{
					Status: statusOK,
					Turns:  []*protocol.Turn{{Program: "older", PreviousProgram: "oldest", PreviousTurn: "t0"}},
				}
			}
			if operation.GetProlongTurns() != nil {
				return &protocol.LedgerResult{Status: statusOK, Turns: []*protocol.Turn{{Program: operation.GetProgram()}}}
			}
			return &protocol.LedgerResult{Status: statusOK}
		}}
		settle := &protocol.LedgerOperation{
			Program: "p",
			Body: &protocol.LedgerOperation_SettleTurn{SettleTurn: &protocol.SettleTurn{
				Turn: &protocol.Turn{Program: "p", PreviousProgram: "older", PreviousTurn: "t1", KeepUntilMillis: 99},
			}},
		}
		if result, err := newClient(caller, time.Minute).Do(t.Context(), settle); err != nil ||
			result.GetStatus() != statusOK {
			t.Fatalf("Do() = %v, %v; want LEDGER_OK", result, err)
		}
		var programs []string
		for _, operation := range caller.sent {
			programs = append(programs, operation.GetProgram())
			if prolong := operation.GetProlongTurns(); prolong != nil && prolong.GetKeepUntilMillis() != 99 {
				t.Errorf("prolonged until %d ms, want 99 ms", prolong.GetKeepUntilMillis())
			}
		}
		if len(programs) != 3 || programs[0] != "older" || programs[1] != "oldest" || programs[2] != "p" {
			t.Fatalf("sent operations of the programs %v, want [older oldest p]", programs)
		}
	})
}

func TestACallerWithAShortDeadlineSuspectsNoReplica(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		caller := &partlyUnresponsiveCaller{unresponsive: map[string]bool{"at-a": true}, answer: answerOK}
		client := newClient(caller, time.Minute)
		for range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			result, err := client.Do(ctx, reserve)
			cancel()
			if err != nil || result.GetStatus() != statusUnavailable {
				t.Fatalf("Do() = %v, %v; want LEDGER_UNAVAILABLE", result, err)
			}
		}
		if calls := caller.callCount("at-a"); calls != 2 {
			t.Fatalf("attempted the first replica %d times in 2 operations, want 2", calls)
		}
	})
}

// earlyDeadlineCaller returns context.DeadlineExceeded for one address immediately, before the timer of the operation's
// own context fires.
type earlyDeadlineCaller struct{ partlyUnresponsiveCaller }

func (e *earlyDeadlineCaller) Call(
	ctx context.Context, address string, request *protocol.Request,
) (*protocol.Response, error) {
	response, err := e.partlyUnresponsiveCaller.Call(ctx, address, request)
	if address == "at-a" {
		return nil, context.DeadlineExceeded
	}
	return response, err
}

func TestAnAttemptThatEndsWithItsCallersDeadlineIsTheLastOne(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		caller := &earlyDeadlineCaller{partlyUnresponsiveCaller{answer: answerOK}}
		client := newClient(caller, time.Minute)
		for range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), ledgerclient.DefaultAttemptTimeout/2)
			result, err := client.Do(ctx, reserve)
			cancel()
			if err != nil || result.GetStatus() != statusUnavailable {
				t.Fatalf("Do() = %v, %v; want LEDGER_UNAVAILABLE", result, err)
			}
		}
		if calls := caller.callCount("at-a"); calls != 2 {
			t.Fatalf("attempted the first replica %d times in 2 operations, want 2", calls)
		}
	})
}
