package ledgerclient_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledgerclient"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// response returns the result of a scripted call.
type response func() (*protocol.LedgerResult, error)

// scriptedCaller answers each call with the next response, repeats the last one, and records the calls.
type scriptedCaller struct {
	responses []response
	addresses []string
	sent      []*protocol.LedgerOperation
}

func (s *scriptedCaller) Call(
	_ context.Context, address string, request *protocol.Request,
) (*protocol.Response, error) {
	s.addresses = append(s.addresses, address)
	s.sent = append(s.sent, request.GetLedger())
	respond := s.responses[min(len(s.sent), len(s.responses))-1]
	result, err := respond()
	return &protocol.Response{Body: &protocol.Response_Ledger{Ledger: result}}, err
}

func (s *scriptedCaller) Open(context.Context, string, *protocol.Request) (wire.Stream, error) {
	return nil, errors.New("streams are not supported")
}

func respondWith(status protocol.LedgerStatus) response {
	return func() (*protocol.LedgerResult, error) { return &protocol.LedgerResult{Status: status}, nil }
}

func failWith(err error) response {
	return func() (*protocol.LedgerResult, error) { return nil, err }
}

func newView(epoch uint64, live ...string) *corelink.View {
	shard := &protocol.ShardPlacement{}
	for _, name := range []string{"a", "b", "c"} {
		shard.Current = append(shard.Current, &protocol.Replica{Store: name, State: protocol.ReplicaState_REPLICA_ACTIVE})
	}
	view := &corelink.View{
		Placement:  &protocol.Placement{Epoch: epoch, Shards: []*protocol.ShardPlacement{shard}},
		Membership: &protocol.MembershipView{},
	}
	for _, name := range live {
		view.Membership.Nodes = append(view.Membership.Nodes,
			&protocol.Node{Name: name, Kind: protocol.NodeKind_STORE, Address: "at-" + name})
	}
	return view
}

const (
	statusOK          = protocol.LedgerStatus_LEDGER_OK
	statusBudgetHeld  = protocol.LedgerStatus_LEDGER_BUDGET_HELD
	statusUnavailable = protocol.LedgerStatus_LEDGER_UNAVAILABLE
)

var reserve = &protocol.LedgerOperation{
	Program: "p",
	Body: &protocol.LedgerOperation_ReserveTurn{ReserveTurn: &protocol.ReserveTurn{
		RequestId: "r", Session: "s", Epoch: 3, Ceiling: 10,
	}},
}

// inVirtualTime runs a test in a synctest bubble, so that the speed of the machine affects neither whether a hedge is
// sent nor whether an attempt times out.
func inVirtualTime(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		// Attempts outlive their operations; the attempt timeout ends them.
		defer sleep(ledgerclient.DefaultAttemptTimeout)
		test(t)
	})
}

func TestDo(t *testing.T) {
	notSent := &wire.NotSentError{Cause: errors.New("connection refused")}
	broken := &wire.BrokenError{Cause: errors.New("connection reset")}
	for name, test := range map[string]struct {
		live      []string
		script    []response
		want      protocol.LedgerStatus
		wantError failure.Code
		addresses []string
		released  bool
	}{
		"the first live replica answers": {
			live: []string{"a", "b", "c"}, script: []response{respondWith(statusOK)}, want: statusOK,
			addresses: []string{"at-a"},
		},
		"a replica without a lease is skipped": {
			live: []string{"b", "c"}, script: []response{respondWith(statusOK)}, want: statusOK,
			addresses: []string{"at-b"},
		},
		"the next replica is attempted when one is unreachable": {
			live: []string{"a", "b", "c"}, script: []response{failWith(notSent), respondWith(statusOK)}, want: statusOK,
			addresses: []string{"at-a", "at-b"},
		},
		"a rejection after attempts that were certainly not sent is returned unchanged": {
			live:      []string{"a", "b", "c"},
			script:    []response{failWith(notSent), respondWith(statusBudgetHeld)},
			want:      statusBudgetHeld,
			addresses: []string{"at-a", "at-b"},
		},
		"a rejection after an attempt with an unknown outcome is confirmed by a tombstone": {
			live:      []string{"a", "b", "c"},
			script:    []response{failWith(broken), respondWith(statusBudgetHeld), respondWith(statusOK)},
			want:      statusBudgetHeld,
			addresses: []string{"at-a", "at-b", "at-b"}, released: true,
		},
		"an unavailable majority is retried at another replica": {
			live:      []string{"a", "b", "c"},
			script:    []response{respondWith(statusUnavailable), respondWith(statusOK)},
			want:      statusOK,
			addresses: []string{"at-a", "at-b"},
		},
		"an operation that no store applies is not retried": {
			live: []string{"a", "b", "c"}, wantError: failure.InvalidField,
			script:    []response{failWith(failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "bad"))},
			addresses: []string{"at-a"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				caller := &scriptedCaller{responses: test.script}
				view := newView(7, test.live...)
				client := ledgerclient.New(caller, func() *corelink.View { return view }, ledgerclient.Options{
					Wait: func(context.Context, time.Duration) {},
				})
				result, err := client.Do(t.Context(), reserve)
				if test.wantError != "" {
					if !failure.Is(err, test.wantError) {
						t.Fatalf("Do() failed with %v, want %s", err, test.wantError)
					}
				} else if err != nil || result.GetStatus() != test.want {
					t.Fatalf("Do() = %v, %v; want status %v", result, err, test.want)
				}
				if !slices.Equal(caller.addresses, test.addresses) {
					t.Errorf("called %v, want %v", caller.addresses, test.addresses)
				}
				last := caller.sent[len(caller.sent)-1]
				if last.GetPlacementEpoch() != 7 {
					t.Errorf("sent placement epoch %d, want 7", last.GetPlacementEpoch())
				}
				released := last.GetReleaseTurn()
				if (released != nil) != test.released || test.released && released.GetRequestId() != "r" {
					t.Errorf("the last operation was %v, want a release of request r: %t", last, test.released)
				}
				if reserve.GetPlacementEpoch() != 0 {
					t.Error("Do() modified the caller's operation")
				}
			})
		})
	}
}

func TestDoAttemptsASuspectedReplicaLast(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		caller := &scriptedCaller{responses: []response{
			failWith(&wire.BrokenError{Cause: errors.New("connection reset")}), respondWith(statusOK),
		}}
		view := newView(7, "a", "b", "c")
		client := ledgerclient.New(caller, func() *corelink.View { return view }, ledgerclient.Options{
			Wait: func(context.Context, time.Duration) {},
		})
		for range 2 {
			if result, err := client.Do(t.Context(), reserve); err != nil || result.GetStatus() != statusOK {
				t.Fatalf("Do() = %v, %v; want LEDGER_OK", result, err)
			}
		}
		if want := []string{"at-a", "at-b", "at-b"}; !slices.Equal(caller.addresses, want) {
			t.Fatalf("called %v, want %v", caller.addresses, want)
		}
	})
}

func TestDoWaitsForANewerPlacement(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		view := newView(7, "a", "b", "c")
		caller := &scriptedCaller{responses: []response{
			respondWith(protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT), respondWith(statusOK),
		}}
		client := ledgerclient.New(caller, func() *corelink.View { return view }, ledgerclient.Options{
			Wait: func(context.Context, time.Duration) { view = newView(8, "a", "b", "c") },
		})
		if result, err := client.Do(t.Context(), reserve); err != nil || result.GetStatus() != statusOK {
			t.Fatalf("Do() = %v, %v; want LEDGER_OK", result, err)
		}
		if epoch := caller.sent[1].GetPlacementEpoch(); epoch != 8 {
			t.Fatalf("retried under placement epoch %d, want 8", epoch)
		}
	})
}

func TestDoEndsWithItsContext(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		view := newView(7)
		ctx, cancel := context.WithCancel(t.Context())
		client := ledgerclient.New(&scriptedCaller{}, func() *corelink.View { return view }, ledgerclient.Options{
			Wait: func(context.Context, time.Duration) { cancel() },
		})
		if result, err := client.Do(ctx, reserve); err != nil || result.GetStatus() != statusUnavailable {
			t.Fatalf("Do() = %v, %v; want LEDGER_UNAVAILABLE", result, err)
		}
	})
}
