package heartbeats_test

import (
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/core/heartbeats"
	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
)

const (
	lease  = 5 * time.Second
	leader = 3
)

var start = time.Unix(1_764_650_000, 0)

func heartbeat(incarnation, sequence uint64, after time.Duration) heartbeats.Heartbeat {
	return heartbeats.Heartbeat{
		BackEnd:  leases.Holder{Name: "server-1", Incarnation: incarnation},
		Sequence: sequence, ReceivedAt: start.Add(after),
	}
}

func newRelay() *heartbeats.Relay {
	relay := heartbeats.NewRelay(lease)
	relay.ObserveLeader(leader)
	return relay
}

func TestABatchHasTheNewestHeartbeatOfABackEnd(t *testing.T) {
	for name, test := range map[string]struct {
		received []heartbeats.Heartbeat
		sentAt   time.Duration
		want     []heartbeats.Heartbeat
	}{
		"the later one": {
			received: []heartbeats.Heartbeat{heartbeat(1, 1, 0), heartbeat(1, 2, time.Second)},
			sentAt:   time.Second,
			want:     []heartbeats.Heartbeat{heartbeat(1, 2, time.Second)},
		},
		"not one with a lower sequence": {
			received: []heartbeats.Heartbeat{heartbeat(1, 2, 0), heartbeat(1, 1, time.Second)},
			sentAt:   time.Second,
			want:     []heartbeats.Heartbeat{heartbeat(1, 2, 0)},
		},
		"that of the later incarnation": {
			received: []heartbeats.Heartbeat{heartbeat(1, 9, time.Second), heartbeat(2, 1, 0)},
			sentAt:   time.Second,
			want:     []heartbeats.Heartbeat{heartbeat(2, 1, 0)},
		},
		"none as old as a lease": {
			received: []heartbeats.Heartbeat{heartbeat(1, 1, 0)},
			sentAt:   lease,
		},
	} {
		t.Run(name, func(t *testing.T) {
			relay := newRelay()
			for _, received := range test.received {
				relay.Add(received)
			}
			batch, due := relay.BeginBatch(start.Add(test.sentAt))
			if !due || len(batch) != len(test.want) {
				t.Fatalf("due %v: %v", due, batch)
			}
			for i, want := range test.want {
				if batch[i] != want {
					t.Fatalf("heartbeat %d is %+v, not %+v", i, batch[i], want)
				}
			}
		})
	}
}

func TestOneBatchIsInFlightAtATime(t *testing.T) {
	relay := newRelay()
	relay.Add(heartbeat(1, 1, 0))
	batch, _ := relay.BeginBatch(start)
	if _, due := relay.BeginBatch(start.Add(time.Second)); due {
		t.Fatal("a second batch began beside one in flight")
	}
	relay.Requeue(leader, batch)
	again, due := relay.BeginBatch(start.Add(time.Second))
	if !due || len(again) != 1 {
		t.Fatalf("the batch that was not answered is not sent again: due %v, %v", due, again)
	}
	relay.ObserveLeader(leader + 1)
	if _, due := relay.BeginBatch(start.Add(time.Second)); !due {
		t.Fatal("a new leader gets no batch at once")
	}
}

func TestALeaderIsReachedForASecondAfterABatchThatItAnswered(t *testing.T) {
	relay := newRelay()
	if relay.ReachesLeader(leader, start) {
		t.Fatal("reached before any answer")
	}
	relay.BeginBatch(start)
	relay.Confirm(leader, start, []string{"server-2"})
	if !relay.ReachesLeader(leader, start.Add(time.Second)) || relay.ReachesLeader(leader, start.Add(time.Second+1)) {
		t.Fatal("reached for another time than a second after the batch was sent")
	}
	if relay.ReachesLeader(leader+1, start) {
		t.Fatal("another leader counts as reached")
	}
	if !relay.Escalated("server-2") || relay.Escalated("server-1") {
		t.Fatal("another back end is escalated than the leader did not know")
	}
}

func TestASequenceIsObservedInOrder(t *testing.T) {
	table := heartbeats.NewSequenceTable()
	for number, test := range []struct {
		incarnation, sequence uint64
		inOrder               bool
	}{
		{incarnation: 2, sequence: 5, inOrder: true},
		{incarnation: 2, sequence: 5, inOrder: true},
		{incarnation: 2, sequence: 4},
		{incarnation: 1, sequence: 9},
		{incarnation: 3, sequence: 1, inOrder: true},
	} {
		backEnd := leases.Holder{Name: "server-1", Incarnation: test.incarnation}
		if inOrder := table.Observe(backEnd, test.sequence, start); inOrder != test.inOrder {
			t.Fatalf("step %d: in order %v", number, inOrder)
		}
	}
	table.Sweep(start.Add(11 * time.Minute))
	if !table.Observe(leases.Holder{Name: "server-1", Incarnation: 1}, 1, start) {
		t.Fatal("a sequence is remembered longer than ten minutes")
	}
}
