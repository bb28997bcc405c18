package consensus

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

func TestMemberRejectsVotesForAnElectionTimeout(t *testing.T) {
	cases := map[string]struct {
		prepare func(*scriptedCluster)
		wait    time.Duration
		granted bool
	}{
		"right after contact to the leader":    {func(*scriptedCluster) {}, 0, false},
		"just before the election timeout":     {func(*scriptedCluster) {}, DefaultElectionTimeout - time.Millisecond, false},
		"after the election timeout":           {func(*scriptedCluster) {}, DefaultElectionTimeout, true},
		"right after a restart":                {func(s *scriptedCluster) { s.restart(2) }, 0, false},
		"one election timeout after a restart": {func(s *scriptedCluster) { s.restart(2) }, DefaultElectionTimeout, true},
		"restarted just before the timeout": {func(s *scriptedCluster) {
			s.now = s.now.Add(900 * time.Millisecond)
			s.restart(2)
		}, 200 * time.Millisecond, false},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScriptedCluster(t, 0)
			s.elect(1)
			tt.prepare(s)
			s.now = s.now.Add(tt.wait)
			term := s.nodes[2].Term()
			kinds := []protocol.ConsensusMessageKind{
				protocol.ConsensusMessageKind_PRE_VOTE, protocol.ConsensusMessageKind_VOTE,
			}
			for _, kind := range kinds {
				s.deliver(s.voteRequest(kind, 3, term+1))
				granted := false
				for _, answer := range s.nodes[2].Ready().Messages {
					granted = granted || !answer.GetReject()
				}
				if granted != tt.granted {
					t.Errorf("%v: granted %v, want %v", kind, granted, tt.granted)
				}
			}
			if moved := s.nodes[2].Term() != term; moved != tt.granted {
				t.Errorf("the term moved from %d to %d", term, s.nodes[2].Term())
			}
		})
	}
}

func TestVoteIsDurableBeforeItIsSent(t *testing.T) {
	s := newScriptedCluster(t, 0)
	s.now = s.now.Add(2 * DefaultElectionTimeout)
	s.shouldDeliver = deliverNone
	// The term is known and durable before the vote is requested.
	s.deliver(&protocol.ConsensusMessage{
		Kind: protocol.ConsensusMessageKind_VOTE_RESPONSE, From: 1, To: 2, Term: 2, Reject: true,
	})
	s.processReady(2)
	s.deliver(s.voteRequest(protocol.ConsensusMessageKind_VOTE, 3, 2))
	ready := s.processReady(2)
	durable := ready.MustSync && ready.HardState.GetVotedFor() == 3
	granted := len(ready.Messages) == 1 && !ready.Messages[0].GetReject()
	if !durable || !granted {
		t.Fatalf("the vote is not saved with its answer: %+v", ready)
	}
	s.restart(2)
	s.now = s.now.Add(2 * DefaultElectionTimeout)
	s.deliver(s.voteRequest(protocol.ConsensusMessageKind_VOTE, 1, 2))
	if answer := s.nodes[2].Ready().Messages[0]; !answer.GetReject() {
		t.Error("two votes in one term")
	}
}

func TestLeaseStartsWhenTheHeartbeatIsSent(t *testing.T) {
	s := newScriptedCluster(t, 0)
	leader := s.elect(1)
	leaseDuration := DefaultElectionTimeout - DefaultElectionTimeout/clockDriftDivisor
	s.shouldDeliver = func(m *protocol.ConsensusMessage) bool { return m.GetFrom() == 1 }
	s.now = s.now.Add(500 * time.Millisecond)
	sentAt := s.now
	leader.Tick(s.now)
	s.runUntilIdle()
	if ends := leader.LeaseEnds(s.now); !ends.Before(sentAt.Add(leaseDuration)) {
		t.Errorf("the lease grew before an answer: %v", ends.Sub(sentAt))
	}
	s.now = s.now.Add(300 * time.Millisecond)
	s.resumeDelivery()
	if ends := leader.LeaseEnds(s.now); !ends.Equal(sentAt.Add(leaseDuration)) {
		t.Errorf("the lease ends %v after the sending, want %v", ends.Sub(sentAt), leaseDuration)
	}
}

func TestLeaderWithoutMajorityStepsDown(t *testing.T) {
	s := newScriptedCluster(t, 0)
	leader := s.elect(1)
	s.shouldDeliver = deliverNone
	s.now = s.now.Add(DefaultElectionTimeout)
	leader.Tick(s.now)
	if leader.Role() != Follower {
		t.Errorf("the leader is still %v", leader.Role())
	}
}

func TestTransferGivesUpTheLeaseForTheTerm(t *testing.T) {
	s := newScriptedCluster(t, 0)
	leader := s.elect(1)
	s.shouldDeliver = func(m *protocol.ConsensusMessage) bool {
		return m.GetKind() != protocol.ConsensusMessageKind_TIMEOUT_NOW
	}
	if err := leader.Transfer(2, s.now); err != nil {
		t.Fatal(err)
	}
	s.runUntilIdle()
	var transferring *TransferringError
	if _, _, err := leader.Propose([][]byte{nil}, s.now); !errors.As(err, &transferring) {
		t.Errorf("a proposal during the transfer gives %v", err)
	}
	if !leader.LeaseEnds(s.now).IsZero() {
		t.Error("the lease goes on after the target was asked to campaign")
	}
	s.now = s.now.Add(DefaultElectionTimeout)
	leader.Tick(s.now)
	if leader.Role() != Follower {
		t.Error("the leader goes on after a transfer that may still succeed")
	}
	s.resumeDelivery()
	if s.nodes[2].Role() != Leader || s.nodes[2].Term() != 3 {
		t.Errorf("the target is %v of term %d", s.nodes[2].Role(), s.nodes[2].Term())
	}
}

func TestEntriesOfEarlierTermsCommitWithAnEntryOfTheLeadersTerm(t *testing.T) {
	s := newScriptedCluster(t, 0)
	leader := s.elect(1)
	s.shouldDeliver = deliverNone
	if _, _, err := leader.Propose([][]byte{[]byte("old")}, s.now); err != nil {
		t.Fatal(err)
	}
	s.runUntilIdle()
	s.undelivered, s.shouldDeliver = nil, deliverAll
	old := leader.log.lastIndex()
	// The same member leads again; its own first entry reaches nobody yet.
	s.shouldDeliver = func(m *protocol.ConsensusMessage) bool {
		return m.GetKind() != protocol.ConsensusMessageKind_APPEND
	}
	leader = s.elect(1)
	term := leader.Term()
	acknowledge := func(index uint64) {
		_ = leader.Step(&protocol.ConsensusMessage{
			Kind: protocol.ConsensusMessageKind_APPEND_RESPONSE, From: 2, To: 1, Term: term, LogIndex: index,
		}, s.now)
	}
	acknowledge(old)
	s.runUntilIdle()
	if leader.log.commit >= old {
		t.Error("an entry of an earlier term was committed by counting")
	}
	acknowledge(old + 1)
	s.runUntilIdle()
	if leader.log.commit != old+1 {
		t.Errorf("commit is %d, want %d", leader.log.commit, old+1)
	}
}

func TestMembershipChangesOneAtATime(t *testing.T) {
	s := newScriptedCluster(t, 1)
	s.shouldDeliver = func(m *protocol.ConsensusMessage) bool {
		return m.GetKind() != protocol.ConsensusMessageKind_APPEND
	}
	leader := s.elect(1)
	before, _ := leader.Configuration()
	change := func(edit func(*protocol.CoreConfiguration)) error {
		next := proto.Clone(before).(*protocol.CoreConfiguration)
		edit(next)
		_, err := leader.ProposeConfiguration(next, s.now)
		return err
	}
	promote := func(c *protocol.CoreConfiguration) { Member(c, 4).Voter = true }
	var pending *ChangePendingError
	if err := change(promote); !errors.As(err, &pending) {
		t.Errorf("before an entry of the term is committed: %v", err)
	}
	s.resumeDelivery()
	var invalid *InvalidChangeError
	for name, edit := range map[string]func(*protocol.CoreConfiguration){
		"two voters at once": func(c *protocol.CoreConfiguration) { Member(c, 4).Voter, Member(c, 3).Voter = true, false },
		"a new voter": func(c *protocol.CoreConfiguration) {
			c.Members = append(c.Members, &protocol.CoreMember{Id: 9, Voter: true})
		},
		"nothing":     func(*protocol.CoreConfiguration) {},
		"nobody left": func(c *protocol.CoreConfiguration) { c.Members = nil },
	} {
		if err := change(edit); !errors.As(err, &invalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
	s.shouldDeliver = deliverNone
	if err := change(promote); err != nil {
		t.Fatal(err)
	}
	if err := change(func(c *protocol.CoreConfiguration) { Member(c, 3).Voter = false }); !errors.As(err, &pending) {
		t.Errorf("while another change is uncommitted: %v", err)
	}
	s.runUntilIdle()
	s.resumeDelivery()
	if got := len(Voters(s.nodes[4].configuration())); got != 4 {
		t.Errorf("the new voter knows %d voters", got)
	}
}

func TestLeaderStepsDownWhenItsRemovalIsCommitted(t *testing.T) {
	s := newScriptedCluster(t, 0)
	leader := s.elect(1)
	configuration, _ := leader.Configuration()
	next := proto.Clone(configuration).(*protocol.CoreConfiguration)
	next.Members = next.GetMembers()[1:]
	if _, err := leader.ProposeConfiguration(next, s.now); err != nil {
		t.Fatal(err)
	}
	s.runUntilIdle()
	if leader.Role() != Follower || s.nodes[2].log.commit != s.nodes[2].log.lastIndex() {
		t.Errorf("the removed leader is %v; member 2 committed %d of %d",
			leader.Role(), s.nodes[2].log.commit, s.nodes[2].log.lastIndex())
	}
	s.now = s.now.Add(20 * DefaultElectionTimeout)
	leader.Tick(s.now)
	if leader.Role() != Follower {
		t.Error("a removed member campaigns")
	}
}

func TestNewRejectsDamagedState(t *testing.T) {
	entry := func(index, term uint64) *protocol.Entry { return &protocol.Entry{Index: index, Term: term} }
	for name, initial := range map[string]InitialState{
		"gap":            {Entries: []*protocol.Entry{entry(1, 1), entry(3, 1)}},
		"falling term":   {Entries: []*protocol.Entry{entry(1, 2), entry(2, 1)}},
		"lost commit":    {Entries: []*protocol.Entry{entry(1, 1)}, HardState: &protocol.HardState{Term: 1, Commit: 2}},
		"before a start": {Snapshot: &protocol.SnapshotMetadata{Index: 5, Term: 1}, Entries: []*protocol.Entry{entry(5, 1)}},
	} {
		var damaged *StateError
		config := Config{ID: 1, Random: rand.New(rand.NewPCG(1, 1))}
		if _, err := New(config, initial, simulationStart); !errors.As(err, &damaged) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A transfer may take longer than the leader takes to compact past the snapshot that was begun.
func TestAMemberThatInstalledAnOldSnapshotGetsTheNewest(t *testing.T) {
	s := newScriptedCluster(t, 0)
	leader := s.elect(1)
	leader.config.RetainedEntries = 1
	s.shouldDeliver = func(message *protocol.ConsensusMessage) bool {
		return message.GetTo() != 3 && message.GetFrom() != 3
	}
	compact := func() uint64 {
		for range 5 {
			if _, _, err := leader.Propose([][]byte{[]byte("x")}, s.now); err != nil {
				t.Fatal(err)
			}
		}
		s.runUntilIdle()
		metadata := leader.SnapshotMetadata()
		leader.Compact(metadata)
		return metadata.GetIndex()
	}
	first := compact()
	// The entries sent ahead are lost, so that the leader probes for the member's last match.
	leader.peer(3).becomeProbe(leader.peer(3).match + 1)
	s.now = s.now.Add(DefaultHeartbeatInterval)
	leader.Tick(s.now)
	s.runUntilIdle()
	if peer := leader.peer(3); peer.state != stateSnapshot || peer.pendingSnapshot.GetIndex() != first {
		t.Fatalf("the transfer of snapshot %d did not begin: %+v", first, peer)
	}
	newest := compact()
	s.undelivered = nil
	if err := leader.Step(&protocol.ConsensusMessage{
		Kind: protocol.ConsensusMessageKind_APPEND_RESPONSE, From: 3, To: 1, Term: leader.Term(), LogIndex: first,
	}, s.now); err != nil {
		t.Fatal(err)
	}
	s.runUntilIdle()
	for _, message := range s.undelivered {
		isChunk := message.GetKind() == protocol.ConsensusMessageKind_SNAPSHOT_CHUNK
		if isChunk && message.GetSnapshot().GetIndex() == newest {
			return
		}
	}
	t.Errorf("the member stays at %d for ever, snapshot %d was not begun", first, newest)
}
