package trainingstep_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/dataplane/trainingstep"
)

var start = time.Unix(1000, 0)

// ticketIDs lists the tickets with a verdict, in order.
func ticketIDs(decisions []trainingstep.Decision, verdict trainingstep.Verdict) []uint64 {
	var ids []uint64
	for _, decision := range decisions {
		if decision.Verdict == verdict {
			ids = append(ids, decision.ID)
		}
	}
	return ids
}

func TestGateAdmitsInOrderUpToTheCapacity(t *testing.T) {
	gate, capacity := &trainingstep.AdmissionGate{}, trainingstep.Capacity{Slots: 2}
	var ran []uint64
	for id := range uint64(4) {
		ran = append(ran, ticketIDs(gate.Enter(trainingstep.Ticket{ID: id}, capacity, start), trainingstep.Run)...)
	}
	if !slices.Equal(ran, []uint64{0, 1}) {
		t.Fatalf("admitted tickets %v to 2 slots, want 0 and 1", ran)
	}
	if next := ticketIDs(gate.Leave(capacity, start), trainingstep.Run); !slices.Equal(next, []uint64{2}) {
		t.Fatalf("admitted tickets %v after a slot became free, want 2", next)
	}
}

func TestLiveRequestsGoFirstAndAStepStillProgresses(t *testing.T) {
	gate, busy := &trainingstep.AdmissionGate{}, trainingstep.Capacity{Slots: 8, LiveWaits: true}
	for id := range uint64(3) {
		if decisions := gate.Enter(trainingstep.Ticket{ID: id}, busy, start); len(decisions) > 0 {
			t.Fatalf("decided %v while live requests wait, want no decision", decisions)
		}
	}
	if wake := gate.NextDispatch(); !wake.Equal(start.Add(trainingstep.StarvationTimeout)) {
		t.Fatalf("the next dispatch is at %v, want %v", wake, start.Add(trainingstep.StarvationTimeout))
	}
	now := start.Add(trainingstep.StarvationTimeout)
	if ran := ticketIDs(gate.Dispatch(busy, now), trainingstep.Run); !slices.Equal(ran, []uint64{0}) {
		t.Fatalf("admitted tickets %v after the starvation timeout, want 0", ran)
	}
	if ran := gate.Dispatch(busy, now.Add(time.Second)); len(ran) > 0 {
		t.Fatalf("decided %v while a generation runs, want no decision", ran)
	}
	if ran := ticketIDs(gate.Leave(busy, now.Add(time.Second)), trainingstep.Run); !slices.Equal(ran, []uint64{1}) {
		t.Fatalf("admitted tickets %v after the running one left, want 1", ran)
	}
	late := ticketIDs(gate.Dispatch(busy, start.Add(trainingstep.MaxWait)), trainingstep.RejectLate)
	if !slices.Equal(late, []uint64{2}) {
		t.Fatalf("rejected tickets %v as late, want 2", late)
	}
}

func TestGateRejectsBeyondItsBound(t *testing.T) {
	gate, none := &trainingstep.AdmissionGate{}, trainingstep.Capacity{}
	for id := range uint64(trainingstep.MaxWaiting) {
		if decisions := gate.Enter(trainingstep.Ticket{ID: id}, none, start); len(decisions) > 0 {
			t.Fatalf("decided %v without capacity, want no decision", decisions)
		}
	}
	full := gate.Enter(trainingstep.Ticket{ID: trainingstep.MaxWaiting}, none, start)
	if !slices.Equal(ticketIDs(full, trainingstep.RejectFull), []uint64{trainingstep.MaxWaiting}) {
		t.Fatalf("decided %v on a ticket beyond MaxWaiting, want RejectFull", full)
	}
	if !gate.Cancel(0) || gate.Cancel(0) || gate.Waiting() != trainingstep.MaxWaiting-1 {
		t.Fatalf("%d tickets wait after the cancellation of one, want %d and only one successful cancellation",
			gate.Waiting(), trainingstep.MaxWaiting-1)
	}
}

func TestEachTicketIsDecidedOnceAndNoneWaitsForEver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gate, now, next := &trainingstep.AdmissionGate{}, start, uint64(0)
		entered, decided, running := map[uint64]time.Time{}, map[uint64]bool{}, 0
		record := func(decisions []trainingstep.Decision) {
			for _, decision := range decisions {
				if decided[decision.ID] {
					t.Fatalf("ticket %d was decided twice", decision.ID)
				}
				decided[decision.ID] = true
				if decision.Verdict == trainingstep.Run {
					running++
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			capacity := trainingstep.Capacity{
				Slots: rapid.IntRange(0, 3).Draw(t, "slots"), LiveWaits: rapid.Bool().Draw(t, "live"),
			}
			before := running
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				entered[next] = now
				record(gate.Enter(trainingstep.Ticket{ID: next}, capacity, now))
				next++
			case 2:
				if running > 0 {
					running--
					before--
					record(gate.Leave(capacity, now))
				}
			default:
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "passed")) * time.Millisecond)
				record(gate.Dispatch(capacity, now))
			}
			if limit := max(before, capacity.Slots, 1); running > limit {
				t.Fatalf("%d generations run, want at most %d", running, limit)
			}
			if capacity.LiveWaits && running > max(before, 1) {
				t.Fatalf("%d generations admitted while live requests wait, want none beside a running one", running-before)
			}
		}
		record(gate.Dispatch(trainingstep.Capacity{}, now.Add(trainingstep.MaxWait)))
		if len(decided) != len(entered) {
			t.Fatalf("%d of %d tickets decided after MaxWait, want all", len(decided), len(entered))
		}
	})
}

func TestSlotsForStepsLeaveLiveRequestsTheirShare(t *testing.T) {
	cases := map[string]struct {
		server trainingstep.ServerSlots
		fronts int
		waits  bool
		want   int
	}{
		"idle server":                 {trainingstep.ServerSlots{Slots: 16}, 1, false, 12},
		"live requests run there":     {trainingstep.ServerSlots{Slots: 16, Others: 2, Live: 2}, 1, false, 4},
		"live requests wait":          {trainingstep.ServerSlots{Slots: 16}, 1, true, 4},
		"other front nodes":           {trainingstep.ServerSlots{Slots: 16}, 3, false, 4},
		"many other front nodes":      {trainingstep.ServerSlots{Slots: 16}, 330, false, 1},
		"others use the whole share":  {trainingstep.ServerSlots{Slots: 16, Others: 12}, 330, false, 0},
		"others leave one slot":       {trainingstep.ServerSlots{Slots: 16, Others: 11}, 1, false, 1},
		"unknown slots count as 8":    {trainingstep.ServerSlots{}, 1, false, 6},
		"small server still runs one": {trainingstep.ServerSlots{Slots: 2}, 1, true, 1},
	}
	for name, c := range cases {
		if got := c.server.ForSteps(c.fronts, c.waits); got != c.want {
			t.Errorf("%s: got %d slots, want %d", name, got, c.want)
		}
	}
}
