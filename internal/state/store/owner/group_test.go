package owner

import (
	"errors"
	"testing"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
	"github.com/rosestand/rosestand/internal/storage"
)

// manualLog makes records durable when a test releases them.
type manualLog struct {
	pending []func([]storage.Position, error)
}

func (l *manualLog) AppendAsync(_ [][]byte, done func([]storage.Position, error)) {
	l.pending = append(l.pending, done)
}

// sync ends the oldest writes, so many of them.
func (l *manualLog) sync(count int, err error) {
	for _, done := range l.pending[:count] {
		done([]storage.Position{{Segment: 1}}, err)
	}
	l.pending = l.pending[count:]
}

// testGroup is a group whose commands a test runs on its own goroutine.
type testGroup struct {
	*Group
	registers, turns manualLog
	failed           []error
	stopped          chan struct{}
}

func newTestGroup() *testGroup {
	r := &testGroup{stopped: make(chan struct{})}
	r.Group = NewGroup(Options{
		Segments: &turnindex.SegmentExpiry{},
		Stopped:  r.stopped,
		Fail:     func(err error) { r.failed = append(r.failed, err) },
		Written:  func(string, int) {},
	})
	r.logs = Logs{Registers: &r.registers, Turns: &r.turns}
	r.ApplyView(register.ShardView{Shard: 0, Epoch: 1, Role: register.RoleActive})
	return r
}

// runPosted runs the commands that wait; the group is of no use after that.
func (r *testGroup) runPosted() {
	r.Post(r.Close)
	r.mailbox.Run()
}

func prepare(counter uint64) *protocol.PrepareRequest {
	return &protocol.PrepareRequest{
		PlacementEpoch: 1, Key: &protocol.RegisterKey{Program: "p"},
		Ballot: register.Ballot{Counter: counter, Proposer: "a"}.ToProto(),
	}
}

func TestReplyIsHeldUntilItsStateIsDurable(t *testing.T) {
	r := newTestGroup()
	var answered []string
	r.Prepare(prepare(1), func(*protocol.PrepareResponse) { answered = append(answered, "first") })
	r.Prepare(prepare(1), func(*protocol.PrepareResponse) { answered = append(answered, "repeated") })
	r.Prepare(prepare(2), func(*protocol.PrepareResponse) { answered = append(answered, "second") })
	if len(answered) != 0 {
		t.Fatalf("%v were answered before their state was durable", answered)
	}
	if len(r.registers.pending) != 2 {
		t.Fatalf("%d writes, wanted one for each state", len(r.registers.pending))
	}
	r.registers.sync(1, nil)
	r.runPosted()
	if len(answered) != 1 || answered[0] != "first" {
		t.Errorf("%v were answered after the first write", answered)
	}
}

func TestRequestUnderAnotherPlacementIsRejected(t *testing.T) {
	r := newTestGroup()
	request := prepare(1)
	request.PlacementEpoch = 2
	var answer *protocol.PrepareResponse
	r.Prepare(request, func(response *protocol.PrepareResponse) { answer = response })
	if answer.GetRefusal() == notRejected || answer.GetPlacementEpoch() != 1 || len(r.registers.pending) != 0 {
		t.Errorf("answered %v with %d writes", answer, len(r.registers.pending))
	}
}

func TestTurnIsWrittenOnceForAllWaiters(t *testing.T) {
	r := newTestGroup()
	turn := &protocol.Turn{Id: "turn", Program: "p", KeepUntilMillis: 1_800_000_000_000}
	retained := 0
	for range 3 {
		r.RetainTurn(0, turn, func() { retained++ })
	}
	if len(r.turns.pending) != 1 || retained != 0 || !r.IsWriting(turnindex.KeyOf(turn)) {
		t.Fatalf("%d writes, %d answers before the sync", len(r.turns.pending), retained)
	}
	r.turns.sync(1, nil)
	r.runPosted()
	if retained != 3 || len(r.turns.pending) != 0 || r.Table(0).Turns.Len() != 1 {
		t.Errorf("%d answers, %d more writes, %d turns", retained, len(r.turns.pending), r.Table(0).Turns.Len())
	}
}

func TestFailedWriteStopsTheStoreWithoutReply(t *testing.T) {
	r := newTestGroup()
	r.Prepare(prepare(1), func(*protocol.PrepareResponse) { t.Error("answered a write that failed") })
	r.registers.sync(1, errors.New("disk failed"))
	r.runPosted()
	if len(r.failed) != 1 {
		t.Fatalf("failures: %v", r.failed)
	}
	if failed, isLog := errors.AsType[*datafolder.LogError](r.failed[0]); !isLog || failed.Log != datafolder.RegisterLog {
		t.Errorf("failed with %v", r.failed[0])
	}
}

func TestShardIsClearedWhenTheStoreMustRejoin(t *testing.T) {
	r := newTestGroup()
	r.Put(0, shardtable.Key{Program: "p"}, register.State{Value: []byte("x")}, func() {})
	generation := r.Table(0).Generation
	r.ApplyView(register.ShardView{Shard: 0, Epoch: 2, Role: register.RoleRebuilding})
	if !r.Table(0).IsEmpty() || r.Table(0).Generation == generation {
		t.Errorf("empty %v, generation %d after %d", r.Table(0).IsEmpty(), r.Table(0).Generation, generation)
	}
}

func TestCallFailsWhenTheStoreStops(t *testing.T) {
	r := newTestGroup()
	close(r.stopped)
	_, err := Call(r.Group, func() int { return 1 })
	if _, stopped := errors.AsType[*lifecycle.StoppedError](err); !stopped {
		t.Errorf("ended with %v", err)
	}
}
