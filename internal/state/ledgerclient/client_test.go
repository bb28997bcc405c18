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

// answer is what a scripted call returns.
type answer func() (*protocol.LedgerResult, error)

// scripted answers each call with the next of its answers and records the calls.
type scripted struct {
	answers   []answer
	addresses []string
	sent      []*protocol.LedgerOperation
}

func (s *scripted) Call(_ context.Context, address string, request *protocol.Request) (*protocol.Response, error) {
	s.addresses = append(s.addresses, address)
	s.sent = append(s.sent, request.GetLedger())
	answer := s.answers[min(len(s.sent), len(s.answers))-1]
	result, err := answer()
	return &protocol.Response{Body: &protocol.Response_Ledger{Ledger: result}}, err
}

func (s *scripted) Open(context.Context, string, *protocol.Request) (wire.Stream, error) {
	return nil, errors.New("not streamed")
}

func answers(status protocol.LedgerStatus) answer {
	return func() (*protocol.LedgerResult, error) { return &protocol.LedgerResult{Status: status}, nil }
}

func fails(err error) answer {
	return func() (*protocol.LedgerResult, error) { return nil, err }
}

func viewOf(epoch uint64, live ...string) *corelink.View {
	placed := &protocol.ShardPlacement{}
	for _, name := range []string{"a", "b", "c"} {
		placed.Current = append(placed.Current, &protocol.Replica{Store: name, State: protocol.ReplicaState_REPLICA_ACTIVE})
	}
	view := &corelink.View{
		Placement:  &protocol.Placement{Epoch: epoch, Shards: []*protocol.ShardPlacement{placed}},
		Membership: &protocol.MembershipView{},
	}
	for _, name := range live {
		view.Membership.Nodes = append(view.Membership.Nodes,
			&protocol.Node{Name: name, Kind: protocol.NodeKind_STORE, Address: "at-" + name})
	}
	return view
}

const (
	ok             = protocol.LedgerStatus_LEDGER_OK
	budgetReserved = protocol.LedgerStatus_LEDGER_BUDGET_HELD
	unavailable    = protocol.LedgerStatus_LEDGER_UNAVAILABLE
)

var reserve = &protocol.LedgerOperation{
	Program: "p",
	Body: &protocol.LedgerOperation_ReserveTurn{ReserveTurn: &protocol.ReserveTurn{
		RequestId: "r", Session: "s", Epoch: 3, Ceiling: 10,
	}},
}

// inVirtualTime runs a test in a bubble of virtual time, so that the speed of the machine decides neither whether
// a hedge is sent nor whether an attempt ends.
func inVirtualTime(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		// Attempts outlive their operations; the attempt timeout ends them.
		defer pass(ledgerclient.DefaultAttemptTimeout)
		test(t)
	})
}

func TestDo(t *testing.T) {
	notSent := &wire.NotSentError{Cause: errors.New("refused")}
	broken := &wire.BrokenError{Cause: errors.New("reset")}
	for name, story := range map[string]struct {
		live      []string
		script    []answer
		want      protocol.LedgerStatus
		wantError failure.Code
		addresses []string
		released  bool
	}{
		"the first live replica answers": {
			live: []string{"a", "b", "c"}, script: []answer{answers(ok)}, want: ok,
			addresses: []string{"at-a"},
		},
		"a replica without a lease is skipped": {
			live: []string{"b", "c"}, script: []answer{answers(ok)}, want: ok,
			addresses: []string{"at-b"},
		},
		"the next replica is attempted when one is not reached": {
			live: []string{"a", "b", "c"}, script: []answer{fails(notSent), answers(ok)}, want: ok,
			addresses: []string{"at-a", "at-b"},
		},
		"a rejection after attempts that certainly did not arrive is returned as it is": {
			live:      []string{"a", "b", "c"},
			script:    []answer{fails(notSent), answers(budgetReserved)},
			want:      budgetReserved,
			addresses: []string{"at-a", "at-b"},
		},
		"a rejection after an attempt with an unknown outcome is confirmed by a tombstone": {
			live:      []string{"a", "b", "c"},
			script:    []answer{fails(broken), answers(budgetReserved), answers(ok)},
			want:      budgetReserved,
			addresses: []string{"at-a", "at-b", "at-b"}, released: true,
		},
		"an unavailable majority is retried at another replica": {
			live: []string{"a", "b", "c"}, script: []answer{answers(unavailable), answers(ok)}, want: ok,
			addresses: []string{"at-a", "at-b"},
		},
		"an operation that no store applies is not retried": {
			live: []string{"a", "b", "c"}, wantError: failure.InvalidField,
			script:    []answer{fails(failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "bad"))},
			addresses: []string{"at-a"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				caller := &scripted{answers: story.script}
				view := viewOf(7, story.live...)
				client := ledgerclient.New(caller, func() *corelink.View { return view }, ledgerclient.Options{
					Wait: func(context.Context, time.Duration) {},
				})
				result, err := client.Do(t.Context(), reserve)
				if story.wantError != "" {
					if !failure.Is(err, story.wantError) {
						t.Fatalf("got %v", err)
					}
				} else if err != nil || result.GetStatus() != story.want {
					t.Fatalf("got %v, %v", result, err)
				}
				if !slices.Equal(caller.addresses, story.addresses) {
					t.Errorf("called %v", caller.addresses)
				}
				last := caller.sent[len(caller.sent)-1]
				if last.GetPlacementEpoch() != 7 {
					t.Errorf("named placement epoch %d", last.GetPlacementEpoch())
				}
				released := last.GetReleaseTurn()
				if (released != nil) != story.released || story.released && released.GetRequestId() != "r" {
					t.Errorf("sent %v last", last)
				}
				if reserve.GetPlacementEpoch() != 0 {
					t.Error("the caller's operation was written to")
				}
			})
		})
	}
}

func TestDoAttemptsASuspectedReplicaLast(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		caller := &scripted{answers: []answer{
			fails(&wire.BrokenError{Cause: errors.New("reset")}), answers(ok),
		}}
		view := viewOf(7, "a", "b", "c")
		client := ledgerclient.New(caller, func() *corelink.View { return view }, ledgerclient.Options{
			Wait: func(context.Context, time.Duration) {},
		})
		for range 2 {
			if result, err := client.Do(t.Context(), reserve); err != nil || result.GetStatus() != ok {
				t.Fatalf("got %v, %v", result, err)
			}
		}
		if want := []string{"at-a", "at-b", "at-b"}; !slices.Equal(caller.addresses, want) {
			t.Fatalf("called %v, wanted %v", caller.addresses, want)
		}
	})
}

func TestDoWaitsForANewerPlacement(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		view := viewOf(7, "a", "b", "c")
		caller := &scripted{answers: []answer{
			answers(protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT), answers(ok),
		}}
		client := ledgerclient.New(caller, func() *corelink.View { return view }, ledgerclient.Options{
			Wait: func(context.Context, time.Duration) { view = viewOf(8, "a", "b", "c") },
		})
		if result, err := client.Do(t.Context(), reserve); err != nil || result.GetStatus() != ok {
			t.Fatalf("got %v, %v", result, err)
		}
		if epoch := caller.sent[1].GetPlacementEpoch(); epoch != 8 {
			t.Fatalf("retried under epoch %d", epoch)
		}
	})
}

func TestDoEndsWithItsContext(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		view := viewOf(7)
		ctx, cancel := context.WithCancel(t.Context())
		client := ledgerclient.New(&scripted{}, func() *corelink.View { return view }, ledgerclient.Options{
			Wait: func(context.Context, time.Duration) { cancel() },
		})
		if result, err := client.Do(ctx, reserve); err != nil || result.GetStatus() != unavailable {
			t.Fatalf("got %v, %v", result, err)
		}
	})
}
