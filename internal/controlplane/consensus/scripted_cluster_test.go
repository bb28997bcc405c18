package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// scriptedCluster runs members step by step: the test advances the time and decides which messages are
// delivered.
type scriptedCluster struct {
	t       *testing.T
	now     time.Time
	nodes   map[uint64]*Node
	durable map[uint64]*InitialState
	// shouldDeliver reports whether a message is delivered; undelivered collects the others.
	shouldDeliver func(*protocol.ConsensusMessage) bool
	undelivered   []*protocol.ConsensusMessage
}

// scriptedVoters is the number of voters in a scriptedCluster.
const scriptedVoters = 3

func newScriptedCluster(t *testing.T, learners int) *scriptedCluster {
	s := &scriptedCluster{
		t: t, now: simulationStart, nodes: map[uint64]*Node{}, durable: map[uint64]*InitialState{}, shouldDeliver: deliverAll,
	}
	configuration, first := initialConfiguration(scriptedVoters, learners)
	for _, member := range configuration.GetMembers() {
		s.durable[member.GetId()] = &InitialState{
			HardState: &protocol.HardState{Term: 1, Commit: 1}, Entries: []*protocol.Entry{first},
		}
		s.restart(member.GetId())
	}
	return s
}

// initialConfiguration returns a configuration and the entry of index and term 1 that contains it. Ids
// are assigned from 1 on, to the voters first.
func initialConfiguration(voters, learners int) (*protocol.CoreConfiguration, *protocol.Entry) {
	configuration := &protocol.CoreConfiguration{}
	for id := 1; id <= voters+learners; id++ {
		configuration.Members = append(configuration.Members, &protocol.CoreMember{Id: uint64(id), Voter: id <= voters})
	}
	data, _ := proto.Marshal(configuration)
	return configuration, &protocol.Entry{Term: 1, Index: 1, Kind: protocol.EntryKind_ENTRY_CONFIGURATION, Data: data}
}

func deliverAll(*protocol.ConsensusMessage) bool { return true }

func deliverNone(*protocol.ConsensusMessage) bool { return false }

func (s *scriptedCluster) restart(id uint64) {
	node, err := New(Config{ID: id, Random: rand.New(rand.NewPCG(id, 1))}, *s.durable[id], s.now)
	if err != nil {
		s.t.Fatal(err)
	}
	s.nodes[id] = node
}

// runUntilIdle processes the output of all members, and delivers the messages that shouldDeliver
// accepts, until no member has any output.
func (s *scriptedCluster) runUntilIdle() {
	for busy := true; busy; {
		busy = false
		for id := uint64(1); id <= uint64(len(s.nodes)); id++ {
			for s.nodes[id].HasReady() {
				busy = true
				s.processReady(id)
			}
		}
	}
}

func (s *scriptedCluster) processReady(id uint64) Ready {
	ready, disk := s.nodes[id].Ready(), s.durable[id]
	for _, entry := range ready.Entries {
		disk.Entries = append(disk.Entries[:entry.GetIndex()-1:entry.GetIndex()-1], entry)
	}
	if ready.HardState != nil {
		disk.HardState = ready.HardState
	}
	s.nodes[id].Advance(ready, s.now)
	for _, message := range ready.Messages {
		if s.shouldDeliver(message) {
			s.deliver(message)
		} else {
			s.undelivered = append(s.undelivered, message)
		}
	}
	return ready
}

func (s *scriptedCluster) deliver(message *protocol.ConsensusMessage) {
	if err := s.nodes[message.GetTo()].Step(message, s.now); err != nil {
		s.t.Fatal(err)
	}
}

// resumeDelivery delivers all undelivered messages and those sent from now on.
func (s *scriptedCluster) resumeDelivery() {
	s.shouldDeliver = deliverAll
	s.deliverPending()
}

// deliverOneStep delivers the undelivered messages, but no message sent in response.
func (s *scriptedCluster) deliverOneStep() {
	s.shouldDeliver = deliverNone
	s.deliverPending()
}

func (s *scriptedCluster) deliverPending() {
	pending := s.undelivered
	s.undelivered = nil
	for _, message := range pending {
		s.deliver(message)
	}
	s.runUntilIdle()
}

// elect makes a member the leader, long after the last contact of the others with a leader.
func (s *scriptedCluster) elect(id uint64) *Node {
	s.t.Helper()
	// If the member leads already, it steps down first, for lack of responses.
	for range 2 {
		s.now = s.now.Add(10 * DefaultElectionTimeout)
		s.nodes[id].Tick(s.now)
	}
	s.runUntilIdle()
	if s.nodes[id].Role() != Leader {
		s.t.Fatalf("member %d is %v, want %v", id, s.nodes[id].Role(), Leader)
	}
	return s.nodes[id]
}

// voteRequest returns a vote or pre-vote request from a member to member 2.
func (s *scriptedCluster) voteRequest(
	kind protocol.ConsensusMessageKind, from uint64, term uint64,
) *protocol.ConsensusMessage {
	log := s.nodes[from].log
	return &protocol.ConsensusMessage{
		Kind: kind, From: from, To: 2, Term: term, LogIndex: log.lastIndex(), LogTerm: log.lastTerm(),
	}
}

// restartAll restarts all members from their durable state.
func (s *scriptedCluster) restartAll() {
	for id := range s.nodes {
		s.restart(id)
	}
}

// tickAll passes the time to every member, lowest id first, and runs until all are idle.
func (s *scriptedCluster) tickAll() {
	for id := uint64(1); id <= uint64(len(s.nodes)); id++ {
		s.nodes[id].Tick(s.now)
	}
	s.runUntilIdle()
}
