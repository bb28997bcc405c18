package register_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
)

const notRejected = protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED

// faults chooses what happens in a run beside delays, losses and late duplicates.
type faults struct {
	learn, loseDisks, move bool
}

// replica is one store of the simulated cluster.
type replica struct {
	name      string
	storageID string
	disks     int
	view      register.ShardView
	state     register.State
	// sources are the replicas read so far for a copy under way.
	sources []string
}

// inFlight is a message on the network, either way.
type inFlight struct {
	deliver func()
	copies  int
}

// world is a cluster that makes one random step after the other.
type world struct {
	random    *rand.Rand
	faults    faults
	placement *protocol.Placement
	replicas  map[string]*replica
	names     []string
	messages  []inFlight
	callers   []*caller
	history   []porcupine.Operation
	now       int64
	appended  int
	counts    map[string]int
}

// caller makes one operation after the other through a proposer of its own.
type caller struct {
	id      int
	ballots *register.BallotGenerator
	change  *register.Change
	value   string
	read    bool
	began   int64
	head    register.PreparedProposal
}

func newWorld(seed uint64, chosen faults) *world {
	w := &world{
		random:   rand.New(rand.NewPCG(seed, 1)),
		faults:   chosen,
		replicas: map[string]*replica{},
		names:    []string{"a", "b", "c", "d"},
		counts:   map[string]int{},
	}
	placed := &protocol.ShardPlacement{Epoch: 1}
	for _, name := range w.names {
		w.replicas[name] = &replica{name: name, storageID: name + "0"}
	}
	for _, name := range w.names[:3] {
		placed.Current = append(placed.Current, &protocol.Replica{
			Store: name, StorageId: name + "0", State: protocol.ReplicaState_REPLICA_ACTIVE,
		})
	}
	w.placement = &protocol.Placement{Epoch: 1, Shards: []*protocol.ShardPlacement{placed}}
	for id := range 3 {
		w.callers = append(w.callers, &caller{id: id, ballots: register.NewBallotGenerator(fmt.Sprintf("p%d", id))})
	}
	for _, each := range w.replicas {
		w.adopt(each)
	}
	return w
}

func (w *world) shard() *protocol.ShardPlacement { return w.placement.GetShards()[0] }

// adopt makes a replica act under the placement in force.
func (w *world) adopt(r *replica) {
	next := register.NewShardView(w.placement, w.shard(), r.name, r.storageID)
	if next.Epoch == r.view.Epoch {
		return
	}
	if next.RequiresReset(r.view) {
		r.state, r.sources = register.State{}, nil
	}
	r.view = next
}

// place publishes a changed shard under the next epoch.
func (w *world) place(change func(*protocol.ShardPlacement)) {
	placed := &protocol.ShardPlacement{
		Current: cloneReplicas(w.shard().GetCurrent()), Next: cloneReplicas(w.shard().GetNext()),
	}
	change(placed)
	placed.Epoch = w.placement.GetEpoch() + 1
	w.placement = &protocol.Placement{Epoch: placed.GetEpoch(), Shards: []*protocol.ShardPlacement{placed}}
}

func cloneReplicas(replicas []*protocol.Replica) []*protocol.Replica {
	var cloned []*protocol.Replica
	for _, each := range replicas {
		cloned = append(cloned, &protocol.Replica{
			Store: each.GetStore(), StorageId: each.GetStorageId(), State: each.GetState(),
		})
	}
	return cloned
}

func (w *world) step() {
	w.now++
	switch roll := w.random.IntN(100); {
	case roll < 60:
		w.deliverOne()
	case roll < 75:
		w.act(w.callers[w.random.IntN(len(w.callers))])
	case roll < 85:
		w.adopt(w.replicas[w.names[w.random.IntN(len(w.names))]])
	case roll < 92:
		w.copyOne(w.replicas[w.names[w.random.IntN(len(w.names))]])
	case roll < 95 && w.faults.learn:
		w.learnOne()
	case roll < 97 && w.faults.loseDisks:
		w.loseDisk()
	case roll < 99 && w.faults.move:
		w.moveOne()
	}
}

func (w *world) deliverOne() {
	if len(w.messages) == 0 {
		return
	}
	index := w.random.IntN(len(w.messages))
	message := w.messages[index]
	switch roll := w.random.IntN(20); {
	case roll == 0:
		w.messages = slices.Delete(w.messages, index, index+1)
		return
	case roll == 1 && message.copies < 2:
		w.messages[index].copies++
	default:
		w.messages = slices.Delete(w.messages, index, index+1)
	}
	message.deliver()
}

// act begins an operation, retries a stopped one, or abandons one.
func (w *world) act(c *caller) {
	if c.change == nil {
		w.beginOperation(c)
		return
	}
	switch c.change.Status() {
	case register.StatusPreempted, register.StatusUnavailable:
		w.send(c, c.change.Retry())
	case register.StatusWrongPlacement:
		w.beginChange(c)
	case register.StatusInProgress:
		if w.random.IntN(30) == 0 {
			w.beginChange(c)
		}
	}
}

func (w *world) beginOperation(c *caller) {
	c.began = w.now
	c.read = w.random.IntN(3) == 0
	if !c.read {
		w.appended++
		c.value = strconv.Itoa(w.appended)
	}
	w.beginChange(c)
}

func (w *world) beginChange(c *caller) {
	value := c.value
	options := register.ChangeOptions{
		Key:              &protocol.RegisterKey{Program: "p"},
		Epoch:            register.ShardEpoch(w.placement, w.shard()),
		Quorum:           register.NewQuorum(w.shard()),
		Ballots:          c.ballots,
		PreparedProposal: c.head,
	}
	if !c.read {
		options.Update = func(current []byte) ([]byte, bool) { return appendOnce(current, value) }
	}
	c.head = register.PreparedProposal{}
	c.change = register.NewChange(options)
	w.send(c, c.change.Start())
}

// appendOnce is idempotent, as every ledger operation is.
func appendOnce(current []byte, value string) ([]byte, bool) {
	if slices.Contains(strings.Fields(string(current)), value) {
		return nil, false
	}
	return append(slices.Clone(current), (value + " ")...), true
}

func (w *world) send(c *caller, messages []register.Message) {
	change := c.change
	for _, message := range messages {
		w.messages = append(w.messages, inFlight{deliver: func() { w.arrive(c, change, message) }})
	}
	w.conclude(c)
}

// arrive serves a message at its replica, whose writes are durable at once in this simulation.
func (w *world) arrive(c *caller, change *register.Change, message register.Message) {
	r := w.replicas[message.Store]
	if message.Prepare != nil {
		answer := &protocol.PrepareResponse{
			Refusal: r.view.Rejection(message.Prepare.GetPlacementEpoch()), PlacementEpoch: r.view.Epoch,
		}
		if answer.GetRefusal() == notRejected {
			r.state, answer, _ = r.state.Prepare(register.BallotFromProto(message.Prepare.GetBallot()))
		}
		w.answer(c, change, func() []register.Message {
			return change.HandlePrepareResponse(message.Store, message.PhaseNumber, answer)
		})
		return
	}
	request := message.Accept
	answer := &protocol.AcceptResponse{
		Refusal: r.view.Rejection(request.GetPlacementEpoch()), PlacementEpoch: r.view.Epoch,
	}
	if answer.GetRefusal() == notRejected {
		ballot, nextBallot := register.BallotFromProto(request.GetBallot()), register.BallotFromProto(request.GetNextBallot())
		r.state, answer, _ = r.state.Accept(ballot, request.GetValue(), nextBallot)
	}
	w.answer(c, change, func() []register.Message {
		return change.HandleAcceptResponse(message.Store, message.PhaseNumber, answer)
	})
}

func (w *world) answer(c *caller, change *register.Change, deliver func() []register.Message) {
	w.messages = append(w.messages, inFlight{deliver: func() {
		if c.change == change {
			w.send(c, deliver())
		}
	}})
}

// conclude records an operation whose value is chosen.
func (w *world) conclude(c *caller) {
	if c.change == nil || c.change.Status() != register.StatusChosen {
		return
	}
	input := operationInput{append: c.value, read: c.read}
	output := string(c.change.Value())
	if !c.read {
		output = upTo(output, c.value)
	}
	w.history = append(w.history, porcupine.Operation{
		ClientId: c.id, Input: input, Call: c.began, Output: output, Return: w.now,
	})
	c.head = c.change.PreparedProposal()
	c.change = nil
	w.counts["chosen"]++
}

// learnOne lets one replica learn the value of another, as a scrub does.
func (w *world) learnOne() {
	from := w.replicas[w.names[w.random.IntN(len(w.names))]]
	to := w.replicas[w.names[w.random.IntN(len(w.names))]]
	if from.view.Role != register.RoleActive || to.view.Role != register.RoleActive || from.view.Epoch != to.view.Epoch {
		return
	}
	if from.state.Accepted.IsZero() {
		return
	}
	next, changed := to.state.Learn(from.state.Accepted, from.state.Value)
	to.state = next
	if changed {
		w.counts["learned"]++
	}
}

// loseDisk empties one replica while all are complete; the placement changes at once, the stores adopt it later.
func (w *world) loseDisk() {
	if len(w.shard().GetNext()) > 0 || !allActive(w.shard().GetCurrent()) {
		return
	}
	lost := w.shard().GetCurrent()[w.random.IntN(3)].GetStore()
	r := w.replicas[lost]
	r.disks++
	r.storageID = fmt.Sprintf("%s%d", lost, r.disks)
	r.state, r.sources, r.view = register.State{}, nil, register.ShardView{}
	w.place(func(placed *protocol.ShardPlacement) {
		for _, each := range placed.GetCurrent() {
			if each.GetStore() == lost {
				each.StorageId, each.State = r.storageID, protocol.ReplicaState_REPLICA_REBUILDING
			}
		}
	})
	w.counts["lost disks"]++
}

func allActive(replicas []*protocol.Replica) bool {
	return !slices.ContainsFunc(replicas, func(each *protocol.Replica) bool {
		return each.GetState() != protocol.ReplicaState_REPLICA_ACTIVE
	})
}

// moveOne begins to replace one replica by the store that has none.
func (w *world) moveOne() {
	if len(w.shard().GetNext()) > 0 || !allActive(w.shard().GetCurrent()) {
		return
	}
	leaves := w.random.IntN(3)
	joins := slices.IndexFunc(w.names, func(name string) bool {
		return !slices.Contains(register.NewQuorum(w.shard()).Current, name)
	})
	joining := w.replicas[w.names[joins]]
	w.place(func(placed *protocol.ShardPlacement) {
		placed.Next = cloneReplicas(placed.GetCurrent())
		placed.Next[leaves] = &protocol.Replica{
			Store: joining.name, StorageId: joining.storageID, State: protocol.ReplicaState_REPLICA_REBUILDING,
		}
	})
	w.counts["moves"]++
}

// copyOne reads one more source for a replica that is copied, and reports it once enough were read.
func (w *world) copyOne(r *replica) {
	if !r.view.NeedsCopy(r.name, r.storageID) {
		return
	}
	source := w.replicas[r.view.Quorum.Current[w.random.IntN(3)]]
	if source == r || slices.Contains(r.sources, source.name) ||
		source.view.CopyRejection(r.view.Epoch) != notRejected {
		return
	}
	if !source.state.Accepted.IsZero() {
		r.state, _ = r.state.Learn(source.state.Accepted, source.state.Value)
	}
	r.sources = append(r.sources, source.name)
	if len(r.sources) < r.view.RequiredSources() || w.placement.GetEpoch() != r.view.Epoch {
		return
	}
	w.counts["copied"]++
	w.place(func(placed *protocol.ShardPlacement) {
		if len(placed.GetNext()) > 0 {
			placed.Current, placed.Next = placed.GetNext(), nil
		}
		for _, each := range placed.GetCurrent() {
			if each.GetStore() == r.name {
				each.State = protocol.ReplicaState_REPLICA_ACTIVE
			}
		}
	})
}

// upTo gives the list as it was right after the value was appended. An append
// that was retried may see what others appended since.
func upTo(list, value string) string {
	fields := strings.Fields(list)
	until := slices.Index(fields, value)
	return strings.Join(fields[:until+1], " ") + " "
}

type operationInput struct {
	append string
	read   bool
}

// appendModel is a list to which each value is appended once; every operation returns the list right after it.
var appendModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		operation := input.(operationInput)
		list := state.(string)
		if !operation.read {
			list += operation.append + " "
		}
		return output.(string) == list, list
	},
}

func TestRegistersAreLinearizable(t *testing.T) {
	for name, chosen := range map[string]faults{
		"delays, losses and duplicates": {},
		"scrubs":                        {learn: true},
		"lost disks":                    {loseDisks: true, learn: true},
		"moves":                         {move: true},
		"everything at once":            {learn: true, loseDisks: true, move: true},
	} {
		t.Run(name, func(t *testing.T) {
			counts := map[string]int{}
			for seed := range uint64(500) {
				w := newWorld(seed, chosen)
				for range 1500 {
					w.step()
				}
				for kind, count := range w.counts {
					counts[kind] += count
				}
				if err := linearizable(w.historyWithPending()); err != nil {
					t.Fatalf("seed %d: not linearizable: %v", seed, err)
				}
			}
			t.Log(counts)
			for fault, wanted := range map[string]bool{
				"lost disks": chosen.loseDisks, "moves": chosen.move, "learned": chosen.learn,
			} {
				if wanted && counts[fault] == 0 {
					t.Errorf("%s never happened", fault)
				}
			}
			if counts["chosen"] < 1000 {
				t.Errorf("only %d operations ended", counts["chosen"])
			}
		})
	}
}

// historyWithPending adds the appends that may have taken effect without an answer: any
// list that a later operation returned may hold them.
func (w *world) historyWithPending() []porcupine.Operation {
	history := slices.Clone(w.history)
	last := ""
	for _, done := range history {
		if len(done.Output.(string)) > len(last) {
			last = done.Output.(string)
		}
	}
	for _, c := range w.callers {
		if c.change == nil || c.read || !slices.Contains(strings.Fields(last), c.value) {
			continue
		}
		history = append(history, porcupine.Operation{
			ClientId: c.id, Input: operationInput{append: c.value}, Output: upTo(last, c.value),
			Call: c.began, Return: w.now + 1,
		})
	}
	return history
}
