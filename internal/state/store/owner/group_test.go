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

// sync completes the oldest count writes with err.
func (l *manualLog) sync(count int, err error) {
	for _, done := range l.pending[:count] {
		done([]storage.Position{{Segment: 1}}, err)
	}
	l.pending = l.pending[count:]
}

// testGroup is a group whose commands run on the goroutine of the test.
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

// runPosted runs the queued commands and closes the group, which cannot run commands afterwards.
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
	var replied []string
	r.Prepare(prepare(1), func(*protocol.PrepareResponse) { replied = append(replied, "first") })
	r.Prepare(prepare(1), func(*protocol.PrepareResponse) { replied = append(replied, "repeated") })
	r.Prepare(prepare(2), func(*protocol.PrepareResponse) { replied = append(replied, "second") })
	if len(replied) != 0 {
		t.Fatalf("replies %v were sent before their state was durable", replied)
	}
	if len(r.registers.pending) != 2 {
		t.Fatalf("%d register writes, want 2: one for each state", len(r.registers.pending))
	}
	r.registers.sync(1, nil)
	r.runPosted()
	if len(replied) != 1 || replied[0] != "first" {
		t.Errorf("replies after the first write: %v, want [first]", replied)
	}
}

func TestRequestUnderAnotherPlacementIsRejected(t *testing.T) {
	r := newTestGroup()
	request := prepare(1)
	request.PlacementEpoch = 2
	var answer *protocol.PrepareResponse
	r.Prepare(request, func(response *protocol.PrepareResponse) { answer = response })
	if answer.GetRefusal() == notRejected || answer.GetPlacementEpoch() != 1 || len(r.registers.pending) != 0 {
		t.Errorf("prepare under epoch 2 returned %v after %d writes, want a rejection with epoch 1 and no write",
			answer, len(r.registers.pending))
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
		t.Fatalf("before the sync: %d writes and %d callbacks, want 1 write in progress and no callback",
			len(r.turns.pending), retained)
	}
	r.turns.sync(1, nil)
	r.runPosted()
	if retained != 3 || len(r.turns.pending) != 0 || r.Table(0).Turns.Len() != 1 {
		t.Errorf("after the sync: %d callbacks, %d more writes, %d turns; want 3, 0 and 1",
			retained, len(r.turns.pending), r.Table(0).Turns.Len())
	}
}

func TestFailedWriteStopsTheStoreWithoutReply(t *testing.T) {
	r := newTestGroup()
	r.Prepare(prepare(1), func(*protocol.PrepareResponse) { t.Error("a reply was sent although the write failed") })
	r.registers.sync(1, errors.New("disk failed"))
	r.runPosted()
	if len(r.failed) != 1 {
		t.Fatalf("store failures: %v, want exactly one", r.failed)
	}
	if failed, isLog := errors.AsType[*datafolder.LogError](r.failed[0]); !isLog || failed.Log != datafolder.RegisterLog {
		t.Errorf("the store failed with %v, want a LogError of the register log", r.failed[0])
	}
}

func TestShardIsClearedWhenTheStoreMustRejoin(t *testing.T) {
	r := newTestGroup()
	r.Put(0, shardtable.Key{Program: "p"}, register.State{Value: []byte("x")}, func() {})
	generation := r.Table(0).Generation
	r.ApplyView(register.ShardView{Shard: 0, Epoch: 2, Role: register.RoleRebuilding})
	if !r.Table(0).IsEmpty() || r.Table(0).Generation == generation {
		t.Errorf("table is empty: %v, generation %d after %d; want an empty table of a new generation",
			r.Table(0).IsEmpty(), r.Table(0).Generation, generation)
	}
}

func TestCallFailsWhenTheStoreStops(t *testing.T) {
	r := newTestGroup()
	close(r.stopped)
	_, err := Call(r.Group, func() int { return 1 })
	if _, stopped := errors.AsType[*lifecycle.StoppedError](err); !stopped {
		t.Errorf("Call returned error %v, want a StoppedError", err)
	}
}
