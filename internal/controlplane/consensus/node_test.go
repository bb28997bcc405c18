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
		"right after contact with the leader":  {func(*scriptedCluster) {}, 0, false},
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
				for _, response := range s.nodes[2].Ready().Messages {
					granted = granted || !response.GetReject()
				}
				if granted != tt.granted {
					t.Errorf("%v: granted %v, want %v", kind, granted, tt.granted)
				}
			}
			if changed := s.nodes[2].Term() != term; changed != tt.granted {
				t.Errorf("term %d after the requests, was %d before; want a change: %t", s.nodes[2].Term(), term, tt.granted)
			}
		})
	}
}

func TestVoteIsDurableBeforeItIsSent(t *testing.T) {
	s := newScriptedCluster(t, 0)
	s.now = s.now.Add(2 * DefaultElectionTimeout)
	s.shouldDeliver = deliverNone
	// Member 2 adopts term 2 and makes it durable before the vote is requested.
	s.deliver(&protocol.ConsensusMessage{
		Kind: protocol.ConsensusMessageKind_VOTE_RESPONSE, From: 1, To: 2, Term: 2, Reject: true,
	})
	s.processReady(2)
	s.deliver(s.voteRequest(protocol.ConsensusMessageKind_VOTE, 3, 2))
	ready := s.processReady(2)
	durable := ready.MustSync && ready.HardState.GetVotedFor() == 3
	granted := len(ready.Messages) == 1 && !ready.Messages[0].GetReject()
	if !durable || !granted {
		t.Fatalf("vote for member 3: durable %t, granted %t, want both; Ready: %+v", durable, granted, ready)
	}
	s.restart(2)
	s.now = s.now.Add(2 * DefaultElectionTimeout)
	s.deliver(s.voteRequest(protocol.ConsensusMessageKind_VOTE, 1, 2))
	if response := s.nodes[2].Ready().Messages[0]; !response.GetReject() {
		t.Error("member 2 voted for members 3 and 1 in term 2")
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
		t.Errorf("the lease ends %v after an unacknowledged heartbeat, want less than %v", ends.Sub(sentAt), leaseDuration)
	}
	s.now = s.now.Add(300 * time.Millisecond)
	s.resumeDelivery()
	if ends := leader.LeaseEnds(s.now); !ends.Equal(sentAt.Add(leaseDuration)) {
		t.Errorf("the lease ends %v after the heartbeat was sent, want %v", ends.Sub(sentAt), leaseDuration)
	}
}

func TestLeaderWithoutMajorityStepsDown(t *testing.T) {
	s := newScriptedCluster(t, 0)
	leader := s.elect(1)
	s.shouldDeliver = deliverNone
	s.now = s.now.Add(DefaultElectionTimeout)
	leader.Tick(s.now)
	if leader.Role() != Follower {
		t.Errorf("after an election timeout without contact the leader is %v, want %v", leader.Role(), Follower)
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
		t.Errorf("Propose during the transfer returned %v, want a *TransferringError", err)
	}
	if !leader.LeaseEnds(s.now).IsZero() {
		t.Errorf("after TIMEOUT_NOW was sent the lease ends at %v, want no lease", leader.LeaseEnds(s.now))
	}
	s.now = s.now.Add(DefaultElectionTimeout)
	leader.Tick(s.now)
	if leader.Role() != Follower {
		t.Errorf("after the transfer expired with TIMEOUT_NOW sent the leader is %v, want %v", leader.Role(), Follower)
	}
	s.resumeDelivery()
	if s.nodes[2].Role() != Leader || s.nodes[2].Term() != 3 {
		t.Errorf("the target is %v in term %d, want %v in term 3", s.nodes[2].Role(), s.nodes[2].Term(), Leader)
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
	// Member 1 leads again, but the first entry of its new term reaches no other member yet.
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
		t.Errorf("commit index %d: entry %d of an earlier term was committed by counting replicas alone",
			leader.log.commit, old)
	}
	acknowledge(old + 1)
	s.runUntilIdle()
	if leader.log.commit != old+1 {
		t.Errorf("commit index %d, want %d", leader.log.commit, old+1)
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
		t.Errorf("change before an entry of the term is committed: got %v, want a *ChangePendingError", err)
	}
	s.resumeDelivery()
	var invalid *InvalidChangeError
	for name, edit := range map[string]func(*protocol.CoreConfiguration){
		"two voters at once": func(c *protocol.CoreConfiguration) { Member(c, 4).Voter, Member(c, 3).Voter = true, false },
		"a new voter": func(c *protocol.CoreConfiguration) {
			c.Members = append(c.Members, &protocol.CoreMember{Id: 9, Voter: true})
		},
		"no change":      func(*protocol.CoreConfiguration) {},
		"no member left": func(c *protocol.CoreConfiguration) { c.Members = nil },
	} {
		if err := change(edit); !errors.As(err, &invalid) {
			t.Errorf("%s: got %v, want an *InvalidChangeError", name, err)
		}
	}
	s.shouldDeliver = deliverNone
	if err := change(promote); err != nil {
		t.Fatal(err)
	}
	if err := change(func(c *protocol.CoreConfiguration) { Member(c, 3).Voter = false }); !errors.As(err, &pending) {
		t.Errorf("change while another one is uncommitted: got %v, want a *ChangePendingError", err)
	}
	s.runUntilIdle()
	s.resumeDelivery()
	if got := len(Voters(s.nodes[4].configuration())); got != 4 {
		t.Errorf("the configuration of the new voter has %d voters, want 4", got)
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
		t.Errorf("the removed leader is %v, want %v; member 2 committed up to entry %d, want %d",
			leader.Role(), Follower, s.nodes[2].log.commit, s.nodes[2].log.lastIndex())
	}
	s.now = s.now.Add(20 * DefaultElectionTimeout)
	leader.Tick(s.now)
	if leader.Role() != Follower {
		t.Errorf("long after its removal the former leader is %v, want %v", leader.Role(), Follower)
	}
}

func TestNewRejectsDamagedState(t *testing.T) {
	entry := func(index, term uint64) *protocol.Entry { return &protocol.Entry{Index: index, Term: term} }
	for name, initial := range map[string]InitialState{
		"gap":             {Entries: []*protocol.Entry{entry(1, 1), entry(3, 1)}},
		"decreasing term": {Entries: []*protocol.Entry{entry(1, 2), entry(2, 1)}},
		"missing committed entry": {
			Entries: []*protocol.Entry{entry(1, 1)}, HardState: &protocol.HardState{Term: 1, Commit: 2},
		},
		"entry covered by the snapshot": {
			Snapshot: &protocol.SnapshotMetadata{Index: 5, Term: 1}, Entries: []*protocol.Entry{entry(5, 1)},
		},
	} {
		var damaged *StateError
		config := Config{ID: 1, Random: rand.New(rand.NewPCG(1, 1))}
		if _, err := New(config, initial, simulationStart); !errors.As(err, &damaged) {
			t.Errorf("%s: got %v, want a *StateError", name, err)
		}
	}
}

// A snapshot transfer may take so long that the leader meanwhile compacts its log beyond that snapshot. The
// member must then receive the newest snapshot; it would otherwise never catch up, since the leader no longer
// has the entries after the old one.
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
	// The entries sent to member 3 are lost, so the leader probes for its last matching entry.
	leader.peer(3).becomeProbe(leader.peer(3).match + 1)
	s.now = s.now.Add(DefaultHeartbeatInterval)
	leader.Tick(s.now)
	s.runUntilIdle()
	if peer := leader.peer(3); peer.state != stateSnapshot || peer.pendingSnapshot.GetIndex() != first {
		t.Fatalf("the transfer of snapshot %d to member 3 did not start: progress %+v", first, peer)
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
	t.Errorf("member 3 installed snapshot %d, but the leader did not start to send snapshot %d", first, newest)
}
