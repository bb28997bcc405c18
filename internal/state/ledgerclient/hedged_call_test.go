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

// partlyFrozen never answers at some addresses and answers by a function at the others.
type partlyFrozen struct {
	frozen map[string]bool
	answer func(*protocol.LedgerOperation) *protocol.LedgerResult

	mutex sync.Mutex
	sent  []*protocol.LedgerOperation
	calls map[string]int
}

func (p *partlyFrozen) Call(
	ctx context.Context, address string, request *protocol.Request,
) (*protocol.Response, error) {
	p.mutex.Lock()
	if p.calls == nil {
		p.calls = map[string]int{}
	}
	p.calls[address]++
	p.sent = append(p.sent, request.GetLedger())
	p.mutex.Unlock()
	if p.frozen[address] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &protocol.Response{Body: &protocol.Response_Ledger{Ledger: p.answer(request.GetLedger())}}, nil
}

func (p *partlyFrozen) Open(context.Context, string, *protocol.Request) (wire.Stream, error) {
	return nil, context.Canceled
}

func (p *partlyFrozen) count(address string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls[address]
}

func answerOK(*protocol.LedgerOperation) *protocol.LedgerResult {
	return &protocol.LedgerResult{Status: ok}
}

func clientOf(caller wire.Caller, hedgeAfter time.Duration) *ledgerclient.Client {
	view := viewOf(7, "a", "b", "c")
	return ledgerclient.New(caller, func() *corelink.View { return view }, ledgerclient.Options{HedgeAfter: hedgeAfter})
}

func TestAFrozenReplicaIsHedged(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		caller := &partlyFrozen{frozen: map[string]bool{"at-a": true}, answer: answerOK}
		const hedgeAfter = time.Millisecond
		client := clientOf(caller, hedgeAfter)
		began := time.Now()
		result, err := client.Do(t.Context(), reserve)
		if err != nil || result.GetStatus() != ok {
			t.Fatalf("got %v, %v", result, err)
		}
		if took := time.Since(began); took != hedgeAfter {
			t.Fatalf("took %v", took)
		}
	})
}

func TestAFrozenReplicaIsSuspected(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		caller := &partlyFrozen{frozen: map[string]bool{"at-a": true}, answer: answerOK}
		client := clientOf(caller, time.Millisecond)
		for ends := time.Now().Add(20 * time.Second); ; {
			before := caller.count("at-a")
			if result, err := client.Do(t.Context(), reserve); err != nil || result.GetStatus() != ok {
				t.Fatalf("got %v, %v", result, err)
			}
			if caller.count("at-a") == before {
				return
			}
			if time.Now().After(ends) {
				t.Fatal("the frozen replica is still attempted first")
			}
		}
	})
}

func TestARejectionBesideAFrozenReplicaIsConfirmed(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		caller := &partlyFrozen{
			frozen: map[string]bool{"at-a": true},
			answer: func(operation *protocol.LedgerOperation) *protocol.LedgerResult {
				if operation.GetReserveTurn() != nil {
					return &protocol.LedgerResult{Status: budgetReserved, Epoch: 4}
				}
				return &protocol.LedgerResult{Status: ok}
			},
		}
		result, err := clientOf(caller, time.Millisecond).Do(t.Context(), reserve)
		if err != nil || result.GetStatus() != budgetReserved {
			t.Fatalf("got %v, %v", result, err)
		}
		caller.mutex.Lock()
		defer caller.mutex.Unlock()
		if release := caller.sent[len(caller.sent)-1].GetReleaseTurn(); release.GetRequestId() != "r" ||
			release.GetEpoch() != 3 {
			t.Fatalf("sent %v last", caller.sent[len(caller.sent)-1])
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

func TestARejectedReservationWithAClaimGetsATombstoneThatNoClaimPasses(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		caller := &partlyFrozen{
			frozen: map[string]bool{"at-a": true},
			answer: func(operation *protocol.LedgerOperation) *protocol.LedgerResult {
				switch operation.GetBody().(type) {
				case *protocol.LedgerOperation_ReserveTurn:
					return &protocol.LedgerResult{Status: budgetReserved, Epoch: 4}
				case *protocol.LedgerOperation_ReleaseTurn:
					return &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_FENCED, Epoch: 5}
				default:
					return &protocol.LedgerResult{Status: ok}
				}
			},
		}
		result, err := clientOf(caller, time.Millisecond).Do(t.Context(), claimingReserve)
		if err != nil || result.GetStatus() != budgetReserved {
			t.Fatalf("got %v, %v", result, err)
		}
		caller.mutex.Lock()
		defer caller.mutex.Unlock()
		released, tombstone := false, false
		for _, operation := range caller.sent {
			released = released || operation.GetReleaseTurn().GetEpoch() == 4
			tombstone = tombstone || operation.GetRefuseRequest().GetRequestId() == "r"
		}
		if !released || !tombstone {
			t.Fatalf("sent %v", caller.sent)
		}
	})
}

func TestTurnsOfOtherProgramsAreRetainedAsLongAsOneThatContinuesThem(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		caller := &partlyFrozen{answer: func(operation *protocol.LedgerOperation) *protocol.LedgerResult {
			if operation.GetProlongTurns() != nil && operation.GetProgram() == "older" {
				return &protocol.LedgerResult{
					Status: ok,
					Turns:  []*protocol.Turn{{Program: "older", PreviousProgram: "oldest", PreviousTurn: "t0"}},
				}
			}
			if operation.GetProlongTurns() != nil {
				return &protocol.LedgerResult{Status: ok, Turns: []*protocol.Turn{{Program: operation.GetProgram()}}}
			}
			return &protocol.LedgerResult{Status: ok}
		}}
		settle := &protocol.LedgerOperation{
			Program: "p",
			Body: &protocol.LedgerOperation_SettleTurn{SettleTurn: &protocol.SettleTurn{
				Turn: &protocol.Turn{Program: "p", PreviousProgram: "older", PreviousTurn: "t1", KeepUntilMillis: 99},
			}},
		}
		if result, err := clientOf(caller, time.Minute).Do(t.Context(), settle); err != nil || result.GetStatus() != ok {
			t.Fatalf("got %v, %v", result, err)
		}
		var programs []string
		for _, operation := range caller.sent {
			programs = append(programs, operation.GetProgram())
			if prolong := operation.GetProlongTurns(); prolong != nil && prolong.GetKeepUntilMillis() != 99 {
				t.Errorf("prolonged until %d", prolong.GetKeepUntilMillis())
			}
		}
		if len(programs) != 3 || programs[0] != "older" || programs[1] != "oldest" || programs[2] != "p" {
			t.Fatalf("sent operations of %v", programs)
		}
	})
}

func TestACallerWithAShortDeadlineSuspectsNobody(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		caller := &partlyFrozen{frozen: map[string]bool{"at-a": true}, answer: answerOK}
		client := clientOf(caller, time.Minute)
		for range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			result, err := client.Do(ctx, reserve)
			cancel()
			if err != nil || result.GetStatus() != unavailable {
				t.Fatalf("got %v, %v", result, err)
			}
		}
		if calls := caller.count("at-a"); calls != 2 {
			t.Fatalf("attempted the first replica %d times of 2", calls)
		}
	})
}

// deadlineExceeded reports at one address that the deadline is over, a moment before the caller's own timer does.
type deadlineExceeded struct{ partlyFrozen }

func (o *deadlineExceeded) Call(
	ctx context.Context, address string, request *protocol.Request,
) (*protocol.Response, error) {
	response, err := o.partlyFrozen.Call(ctx, address, request)
	if address == "at-a" {
		return nil, context.DeadlineExceeded
	}
	return response, err
}

func TestAnAttemptThatEndsWithItsCallersDeadlineIsTheLastOne(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		caller := &deadlineExceeded{partlyFrozen{answer: answerOK}}
		client := clientOf(caller, time.Minute)
		for range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), ledgerclient.DefaultAttemptTimeout/2)
			result, err := client.Do(ctx, reserve)
			cancel()
			if err != nil || result.GetStatus() != unavailable {
				t.Fatalf("got %v, %v", result, err)
			}
		}
		if calls := caller.count("at-a"); calls != 2 {
			t.Fatalf("attempted the first replica %d times of 2", calls)
		}
	})
}
