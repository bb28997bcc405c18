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

// faults selects the faults of a run, in addition to delayed, lost and duplicated messages.
type faults struct {
	scrub, loseDisks, move bool
}

// replica is one store of the simulated cluster.
type replica struct {
	name          string
	storageID     string
	replacedDisks int
	view          register.ShardView
	state         register.State
	// sources are the replicas read so far for the current copy.
	sources []string
}

// inFlight is a request or a response on the network.
type inFlight struct {
	deliver func()
	copies  int
}

// simulation is a cluster with clients that executes one random step at a time.
type simulation struct {
	random      *rand.Rand
	faults      faults
	placement   *protocol.Placement
	replicas    map[string]*replica
	names       []string
	messages    []inFlight
	clients     []*client
	history     []porcupine.Operation
	now         int64
	appendCount int
	counts      map[string]int
}

// client executes one operation at a time through its own proposer.
type client struct {
	id        int
	ballots   *register.BallotGenerator
	change    *register.Change
	value     string
	isRead    bool
	startedAt int64
	prepared  register.PreparedProposal
}

func newSimulation(seed uint64, enabled faults) *simulation {
	s := &simulation{
		random:   rand.New(rand.NewPCG(seed, 1)),
		faults:   enabled,
		replicas: map[string]*replica{},
		names:    []string{"a", "b", "c", "d"},
		counts:   map[string]int{},
	}
	shard := &protocol.ShardPlacement{Epoch: 1}
	for _, name := range s.names {
		s.replicas[name] = &replica{name: name, storageID: name + "0"}
	}
	for _, name := range s.names[:3] {
		shard.Current = append(shard.Current, &protocol.Replica{
			Store: name, StorageId: name + "0", State: protocol.ReplicaState_REPLICA_ACTIVE,
		})
	}
	s.placement = &protocol.Placement{Epoch: 1, Shards: []*protocol.ShardPlacement{shard}}
	for id := range 3 {
		s.clients = append(s.clients, &client{id: id, ballots: register.NewBallotGenerator(fmt.Sprintf("p%d", id))})
	}
	for _, member := range s.replicas {
		s.applyPlacement(member)
	}
	return s
}

func (s *simulation) shard() *protocol.ShardPlacement { return s.placement.GetShards()[0] }

// applyPlacement makes a replica act under the current placement.
func (s *simulation) applyPlacement(r *replica) {
	next := register.NewShardView(s.placement, s.shard(), r.name, r.storageID)
	if next.Epoch == r.view.Epoch {
		return
	}
	if next.RequiresReset(r.view) {
		r.state, r.sources = register.State{}, nil
	}
	r.view = next
}

// publishShard publishes a changed shard under the next epoch.
func (s *simulation) publishShard(change func(*protocol.ShardPlacement)) {
	shard := &protocol.ShardPlacement{
		Current: cloneReplicas(s.shard().GetCurrent()), Next: cloneReplicas(s.shard().GetNext()),
	}
	change(shard)
	shard.Epoch = s.placement.GetEpoch() + 1
	s.placement = &protocol.Placement{Epoch: shard.GetEpoch(), Shards: []*protocol.ShardPlacement{shard}}
}

func cloneReplicas(replicas []*protocol.Replica) []*protocol.Replica {
	var cloned []*protocol.Replica
	for _, member := range replicas {
		cloned = append(cloned, &protocol.Replica{
			Store: member.GetStore(), StorageId: member.GetStorageId(), State: member.GetState(),
		})
	}
	return cloned
}

func (s *simulation) step() {
	s.now++
	switch roll := s.random.IntN(100); {
	case roll < 60:
		s.deliverMessage()
	case roll < 75:
		s.stepClient(s.clients[s.random.IntN(len(s.clients))])
	case roll < 85:
		s.applyPlacement(s.replicas[s.names[s.random.IntN(len(s.names))]])
	case roll < 92:
		s.copyFromSource(s.replicas[s.names[s.random.IntN(len(s.names))]])
	case roll < 95 && s.faults.scrub:
		s.learnFromReplica()
	case roll < 97 && s.faults.loseDisks:
		s.loseDisk()
	case roll < 99 && s.faults.move:
		s.startMove()
	}
}

func (s *simulation) deliverMessage() {
	if len(s.messages) == 0 {
		return
	}
	index := s.random.IntN(len(s.messages))
	message := s.messages[index]
	switch roll := s.random.IntN(20); {
	case roll == 0:
		s.messages = slices.Delete(s.messages, index, index+1)
		return
	case roll == 1 && message.copies < 2:
		s.messages[index].copies++
	default:
		s.messages = slices.Delete(s.messages, index, index+1)
	}
	message.deliver()
}

// stepClient begins an operation, retries a stopped change, or replaces the change by a new one: after a rejection
// under a newer placement, or at random to abandon a running one.
func (s *simulation) stepClient(c *client) {
	if c.change == nil {
		s.beginOperation(c)
		return
	}
	switch c.change.Status() {
	case register.StatusPreempted, register.StatusUnavailable:
		s.send(c, c.change.Retry())
	case register.StatusWrongPlacement:
		s.beginChange(c)
	case register.StatusInProgress:
		if s.random.IntN(30) == 0 {
			s.beginChange(c)
		}
	}
}

func (s *simulation) beginOperation(c *client) {
	c.startedAt = s.now
	c.isRead = s.random.IntN(3) == 0
	if !c.isRead {
		s.appendCount++
		c.value = strconv.Itoa(s.appendCount)
	}
	s.beginChange(c)
}

func (s *simulation) beginChange(c *client) {
	value := c.value
	options := register.ChangeOptions{
		Key:              &protocol.RegisterKey{Program: "p"},
		Epoch:            register.ShardEpoch(s.placement, s.shard()),
		Quorum:           register.NewQuorum(s.shard()),
		Ballots:          c.ballots,
		PreparedProposal: c.prepared,
	}
	if !c.isRead {
		options.Update = func(current []byte) ([]byte, bool) { return appendOnce(current, value) }
	}
	c.prepared = register.PreparedProposal{}
	c.change = register.NewChange(options)
	s.send(c, c.change.Start())
}

// appendOnce appends a value unless the list has it. It is idempotent, as every ledger operation is.
func appendOnce(current []byte, value string) ([]byte, bool) {
	if slices.Contains(strings.Fields(string(current)), value) {
		return nil, false
	}
	return append(slices.Clone(current), (value + " ")...), true
}

func (s *simulation) send(c *client, messages []register.Message) {
	change := c.change
	for _, message := range messages {
		s.messages = append(s.messages, inFlight{deliver: func() { s.handleRequest(c, change, message) }})
	}
	s.recordIfChosen(c)
}

// handleRequest serves a message at its replica. Writes are durable at once in this simulation.
func (s *simulation) handleRequest(c *client, change *register.Change, message register.Message) {
	r := s.replicas[message.Store]
	if message.Prepare != nil {
		answer := &protocol.PrepareResponse{
			Refusal: r.view.Rejection(message.Prepare.GetPlacementEpoch()), PlacementEpoch: r.view.Epoch,
		}
		if answer.GetRefusal() == notRejected {
			r.state, answer, _ = r.state.Prepare(register.BallotFromProto(message.Prepare.GetBallot()))
		}
		s.sendResponse(c, change, func() []register.Message {
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
	s.sendResponse(c, change, func() []register.Message {
		return change.HandleAcceptResponse(message.Store, message.PhaseNumber, answer)
	})
}

func (s *simulation) sendResponse(c *client, change *register.Change, deliver func() []register.Message) {
	s.messages = append(s.messages, inFlight{deliver: func() {
		if c.change == change {
			s.send(c, deliver())
		}
	}})
}

// recordIfChosen records the client's operation in the history once its value is chosen.
func (s *simulation) recordIfChosen(c *client) {
	if c.change == nil || c.change.Status() != register.StatusChosen {
		return
	}
	input := operationInput{append: c.value, isRead: c.isRead}
	output := string(c.change.Value())
	if !c.isRead {
		output = prefixThrough(output, c.value)
	}
	s.history = append(s.history, porcupine.Operation{
		ClientId: c.id, Input: input, Call: c.startedAt, Output: output, Return: s.now,
	})
	c.prepared = c.change.PreparedProposal()
	c.change = nil
	s.counts["chosen"]++
}

// learnFromReplica makes one replica learn the value of another, as a scrub does.
func (s *simulation) learnFromReplica() {
	from := s.replicas[s.names[s.random.IntN(len(s.names))]]
	to := s.replicas[s.names[s.random.IntN(len(s.names))]]
	if from.view.Role != register.RoleActive || to.view.Role != register.RoleActive || from.view.Epoch != to.view.Epoch {
		return
	}
	if from.state.Accepted.IsZero() {
		return
	}
	next, changed := to.state.Learn(from.state.Accepted, from.state.Value)
	to.state = next
	if changed {
		s.counts["learned"]++
	}
}

// loseDisk empties one replica while all replicas are active and no move is in progress. The placement changes at once;
// the stores apply it later.
func (s *simulation) loseDisk() {
	if len(s.shard().GetNext()) > 0 || !allActive(s.shard().GetCurrent()) {
		return
	}
	store := s.shard().GetCurrent()[s.random.IntN(3)].GetStore()
	r := s.replicas[store]
	r.replacedDisks++
	r.storageID = fmt.Sprintf("%s%d", store, r.replacedDisks)
	r.state, r.sources, r.view = register.State{}, nil, register.ShardView{}
	s.publishShard(func(shard *protocol.ShardPlacement) {
		for _, member := range shard.GetCurrent() {
			if member.GetStore() == store {
				member.StorageId, member.State = r.storageID, protocol.ReplicaState_REPLICA_REBUILDING
			}
		}
	})
	s.counts["lost disks"]++
}

func allActive(replicas []*protocol.Replica) bool {
	return !slices.ContainsFunc(replicas, func(member *protocol.Replica) bool {
		return member.GetState() != protocol.ReplicaState_REPLICA_ACTIVE
	})
}

// startMove begins to move one replica to the store that has none.
func (s *simulation) startMove() {
	if len(s.shard().GetNext()) > 0 || !allActive(s.shard().GetCurrent()) {
		return
	}
	leavingIndex := s.random.IntN(3)
	joiningIndex := slices.IndexFunc(s.names, func(name string) bool {
		return !slices.Contains(register.NewQuorum(s.shard()).Current, name)
	})
	joining := s.replicas[s.names[joiningIndex]]
	s.publishShard(func(shard *protocol.ShardPlacement) {
		shard.Next = cloneReplicas(shard.GetCurrent())
		shard.Next[leavingIndex] = &protocol.Replica{
			Store: joining.name, StorageId: joining.storageID, State: protocol.ReplicaState_REPLICA_REBUILDING,
		}
	})
	s.counts["moves"]++
}

// copyFromSource reads one more source for a replica that needs a copy, and marks the replica as active once enough
// sources were read.
func (s *simulation) copyFromSource(r *replica) {
	if !r.view.NeedsCopy(r.name, r.storageID) {
		return
	}
	source := s.replicas[r.view.Quorum.Current[s.random.IntN(3)]]
	if source == r || slices.Contains(r.sources, source.name) ||
		source.view.CopyRejection(r.view.Epoch) != notRejected {
		return
	}
	if !source.state.Accepted.IsZero() {
		r.state, _ = r.state.Learn(source.state.Accepted, source.state.Value)
	}
	r.sources = append(r.sources, source.name)
	if len(r.sources) < r.view.RequiredSources() || s.placement.GetEpoch() != r.view.Epoch {
		return
	}
	s.counts["copied"]++
	s.publishShard(func(placed *protocol.ShardPlacement) {
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

// prefixThrough returns the list as it was right after the value was appended. A retried append may see values that
// others appended since.
func prefixThrough(list, value string) string {
	fields := strings.Fields(list)
	index := slices.Index(fields, value)
	return strings.Join(fields[:index+1], " ") + " "
}

type operationInput struct {
	append string
	isRead bool
}

// appendModel is a list to which each value is appended once. Every operation returns the list as it is right after the
// operation.
var appendModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		operation := input.(operationInput)
		list := state.(string)
		if !operation.isRead {
			list += operation.append + " "
		}
		return output.(string) == list, list
	},
}

func TestRegistersAreLinearizable(t *testing.T) {
	for name, enabled := range map[string]faults{
		"delays, losses and duplicates": {},
		"scrubs":                        {scrub: true},
		"lost disks":                    {loseDisks: true, scrub: true},
		"moves":                         {move: true},
		"everything at once":            {scrub: true, loseDisks: true, move: true},
	} {
		t.Run(name, func(t *testing.T) {
			counts := map[string]int{}
			for seed := range uint64(500) {
				s := newSimulation(seed, enabled)
				for range 1500 {
					s.step()
				}
				for kind, count := range s.counts {
					counts[kind] += count
				}
				if err := linearizable(s.historyWithPending()); err != nil {
					t.Fatalf("seed %d: not linearizable: %v", seed, err)
				}
			}
			t.Log(counts)
			for fault, wanted := range map[string]bool{
				"lost disks": enabled.loseDisks, "moves": enabled.move, "learned": enabled.scrub,
			} {
				if wanted && counts[fault] == 0 {
					t.Errorf("fault %q never occurred in any run", fault)
				}
			}
			if counts["chosen"] < 1000 {
				t.Errorf("only %d operations completed, want at least 1000", counts["chosen"])
			}
		})
	}
}

// historyWithPending returns the history together with the unfinished appends that took effect, which are those whose
// value is in the longest list that an operation returned.
func (s *simulation) historyWithPending() []porcupine.Operation {
	history := slices.Clone(s.history)
	longest := ""
	for _, operation := range history {
		if len(operation.Output.(string)) > len(longest) {
			longest = operation.Output.(string)
		}
	}
	for _, c := range s.clients {
		if c.change == nil || c.isRead || !slices.Contains(strings.Fields(longest), c.value) {
			continue
		}
		history = append(history, porcupine.Operation{
			ClientId: c.id, Input: operationInput{append: c.value}, Output: prefixThrough(longest, c.value),
			Call: c.startedAt, Return: s.now + 1,
		})
	}
	return history
}
