package consensus

import (
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

func TestALeaderThatRestartsWithAllOthersLeadsAgainAtOnce(t *testing.T) {
	s := newScriptedCluster(t, 0)
	term := s.elect(2).Status().Term
	s.restartAll()
	s.now = s.now.Add(time.Millisecond)
	s.tickAll()
	if leader := s.nodes[2]; leader.Role() != Leader || leader.Status().Term <= term {
		t.Fatalf("the former leader is %v in term %d, want %v in a term after %d",
			leader.Role(), leader.Status().Term, Leader, term)
	}
	if !s.now.Before(s.nodes[2].LeaseEnds(s.now)) {
		t.Error("the restarted leader has no lease")
	}
}

func TestALeaderThatRestartsAloneLeadsAgainAtOnce(t *testing.T) {
	s := newScriptedCluster(t, 0)
	s.elect(2)
	s.restart(2)
	s.now = s.now.Add(time.Millisecond)
	s.tickAll()
	if s.nodes[2].Role() != Leader {
		t.Fatalf("the former leader is %v, want %v", s.nodes[2].Role(), Leader)
	}
}

func TestRestartedMembersRejectVotesDuringTheLeadersLease(t *testing.T) {
	for name, preVote := range map[string]bool{"vote": false, "pre-vote": true} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedCluster(t, 0)
			leader := s.elect(1)
			s.restart(2)
			s.restart(3)
			s.shouldDeliver = deliverNone
			kind := protocol.ConsensusMessageKind_VOTE
			if preVote {
				kind = protocol.ConsensusMessageKind_PRE_VOTE
			}
			s.deliver(s.voteRequest(kind, 3, leader.Status().Term+1))
			s.runUntilIdle()
			for _, response := range s.undelivered {
				if !response.GetReject() {
					t.Fatalf("member 2, restarted during the lease of member 1, responded %v, want a rejection", response)
				}
			}
			if !s.now.Before(leader.LeaseEnds(s.now)) {
				t.Fatal("the leader has no lease, so the test checks nothing")
			}
		})
	}
}

func TestLeaseLeaderIsDurableBeforeTheResponseIsSent(t *testing.T) {
	s := newScriptedCluster(t, 0)
	s.shouldDeliver = func(message *protocol.ConsensusMessage) bool {
		return message.GetKind() != protocol.ConsensusMessageKind_APPEND
	}
	s.elect(1)
	for _, message := range s.undelivered {
		if message.GetTo() == 2 {
			s.deliver(message)
			break
		}
	}
	ready := s.nodes[2].Ready()
	if !ready.MustSync || ready.HardState.GetPromisedTo() != 1 {
		t.Errorf("hard state %v, MustSync %t with the response; want promised_to 1 and MustSync",
			ready.HardState, ready.MustSync)
	}
	if len(ready.Messages) != 1 || ready.Messages[0].GetKind() != protocol.ConsensusMessageKind_APPEND_RESPONSE {
		t.Errorf("messages %v, want one APPEND_RESPONSE", ready.Messages)
	}
}

func TestALeaderThatWasReplacedIsNoLongerTheLeaseLeader(t *testing.T) {
	s := newScriptedCluster(t, 0)
	s.elect(1)
	s.elect(3)
	s.restart(2)
	s.shouldDeliver = deliverNone
	s.deliver(s.voteRequest(protocol.ConsensusMessageKind_VOTE, 1, s.nodes[3].Status().Term+1))
	s.runUntilIdle()
	for _, response := range s.undelivered {
		if !response.GetReject() {
			t.Fatalf("member 2 responded %v to the former leader while member 3 leads, want a rejection", response)
		}
	}
}

func TestALeaderThatRestartsBeforeTheOthersRetriesSoon(t *testing.T) {
	s := newScriptedCluster(t, 0)
	s.elect(2)
	s.restartAll()
	s.shouldDeliver = deliverNone
	s.now = s.now.Add(time.Millisecond)
	s.tickAll()
	s.undelivered, s.shouldDeliver = nil, deliverAll
	const step = DefaultElectionTimeout / 100
	for waited := time.Duration(0); s.nodes[2].Role() != Leader; waited += step {
		if waited > DefaultElectionTimeout/4 {
			t.Fatalf("the former leader is %v after %v, want %v", s.nodes[2].Role(), waited, Leader)
		}
		s.now = s.now.Add(step)
		s.tickAll()
	}
}

func TestALeaderThatRestartsInAPartitionRetriesAtBoundedRate(t *testing.T) {
	s := newScriptedCluster(t, 0)
	s.elect(2)
	s.restart(2)
	s.shouldDeliver = deliverNone
	requests := 0
	for elapsed := time.Duration(0); elapsed < 10*DefaultElectionTimeout; elapsed += 10 * time.Millisecond {
		s.now = s.now.Add(10 * time.Millisecond)
		s.nodes[2].Tick(s.now)
		s.undelivered = nil
		s.runUntilIdle()
		requests += len(s.undelivered)
	}
	// Each of the two others receives about nine requests while it may still reject all other candidates,
	// four soon after, and then one per election timeout.
	const minRequests, maxRequests = 2 * 15, 2 * 30
	if requests < minRequests || requests > maxRequests {
		t.Errorf("%d vote requests in ten election timeouts, want %d to %d", requests, minRequests, maxRequests)
	}
}
