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
		"later heartbeat": {
			received: []heartbeats.Heartbeat{heartbeat(1, 1, 0), heartbeat(1, 2, time.Second)},
			sentAt:   time.Second,
			want:     []heartbeats.Heartbeat{heartbeat(1, 2, time.Second)},
		},
		"heartbeat with the higher sequence, received first": {
			received: []heartbeats.Heartbeat{heartbeat(1, 2, 0), heartbeat(1, 1, time.Second)},
			sentAt:   time.Second,
			want:     []heartbeats.Heartbeat{heartbeat(1, 2, 0)},
		},
		"heartbeat of the later incarnation": {
			received: []heartbeats.Heartbeat{heartbeat(1, 9, time.Second), heartbeat(2, 1, 0)},
			sentAt:   time.Second,
			want:     []heartbeats.Heartbeat{heartbeat(2, 1, 0)},
		},
		"no heartbeat as old as a lease": {
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
				t.Fatalf("BeginBatch = %+v, due %v; want %d heartbeats, due", batch, due, len(test.want))
			}
			for i, want := range test.want {
				if batch[i] != want {
					t.Fatalf("heartbeat %d is %+v, want %+v", i, batch[i], want)
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
		t.Fatal("BeginBatch began a second batch while one is in flight")
	}
	relay.Requeue(leader, batch)
	again, due := relay.BeginBatch(start.Add(time.Second))
	if !due || len(again) != 1 {
		t.Fatalf("BeginBatch after Requeue = %+v, due %v; want the 1 heartbeat of the unanswered batch, due", again, due)
	}
	relay.ObserveLeader(leader + 1)
	if _, due := relay.BeginBatch(start.Add(time.Second)); !due {
		t.Fatal("no batch is due right after a change of leader")
	}
}

func TestALeaderIsReachedForASecondAfterABatchThatItAnswered(t *testing.T) {
	relay := newRelay()
	if relay.ReachesLeader(leader, start) {
		t.Fatal("ReachesLeader is true before the leader confirmed a batch")
	}
	relay.BeginBatch(start)
	relay.Confirm(leader, start, []string{"server-2"})
	if !relay.ReachesLeader(leader, start.Add(time.Second)) || relay.ReachesLeader(leader, start.Add(time.Second+1)) {
		t.Fatalf("ReachesLeader is %v 1 s after the confirmed batch was sent and %v 1 ns later; want true and false",
			relay.ReachesLeader(leader, start.Add(time.Second)), relay.ReachesLeader(leader, start.Add(time.Second+1)))
	}
	if relay.ReachesLeader(leader+1, start) {
		t.Fatal("ReachesLeader is true for a leader that confirmed no batch")
	}
	if !relay.Escalated("server-2") || relay.Escalated("server-1") {
		t.Fatalf("escalated: server-1 %v, server-2 %v; want only server-2, which the leader reported as unknown",
			relay.Escalated("server-1"), relay.Escalated("server-2"))
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
			t.Fatalf("step %d: Observe(incarnation %d, sequence %d) = %v, want %v",
				number, test.incarnation, test.sequence, inOrder, test.inOrder)
		}
	}
	table.Sweep(start.Add(11 * time.Minute))
	if !table.Observe(leases.Holder{Name: "server-1", Incarnation: 1}, 1, start) {
		t.Fatal("Sweep kept a sequence that is older than ten minutes")
	}
}
