package consensus

import (
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// stage delivers what is held and holds all that comes of it.
func (s *scriptedCluster) deliverOneStep() {
	s.delivers = deliverNone
	held := s.undelivered
	s.undelivered = nil
	for _, message := range held {
		s.deliver(message)
	}
	s.run()
}

func TestTwoWhoStandAtOnceDoNotSplitTheVotes(t *testing.T) {
	s := newScriptedCluster(t, 3, 0)
	lostMember := func(message *protocol.ConsensusMessage) bool { return message.GetTo() == 3 || message.GetFrom() == 3 }
	s.delivers = deliverNone
	s.now = s.now.Add(10 * DefaultElectionTimeout)
	s.nodes[1].Tick(s.now)
	s.nodes[2].Tick(s.now)
	s.run()
	// Questions and answers of the two cross each other on the way, step by step.
	for range 10 {
		kept := s.undelivered[:0]
		for _, message := range s.undelivered {
			if !lostMember(message) {
				kept = append(kept, message)
			}
		}
		s.undelivered = kept
		s.deliverOneStep()
	}
	if s.nodes[1].Role() == Leader || s.nodes[2].Role() != Leader {
		t.Fatalf("the two are %v and %v", s.nodes[1].Role(), s.nodes[2].Role())
	}
}

func TestAFailedElectionIsTriedAgainSoonButNotForEver(t *testing.T) {
	s := newScriptedCluster(t, 3, 0)
	s.delivers = deliverNone
	var stood []time.Time
	const step = 10 * time.Millisecond
	for range 3000 {
		s.now = s.now.Add(step)
		s.nodes[1].Tick(s.now)
		s.undelivered = nil
		s.run()
		for _, message := range s.undelivered {
			if message.GetKind() == protocol.ConsensusMessageKind_PRE_VOTE && message.GetTo() == 2 {
				stood = append(stood, s.now)
			}
		}
	}
	if len(stood) < maxQuickRetries+2 {
		t.Fatalf("stood %d times", len(stood))
	}
	for at := 1; at < len(stood); at++ {
		waited := stood[at].Sub(stood[at-1])
		if quick := at <= maxQuickRetries; quick && waited >= DefaultElectionTimeout || !quick && waited < DefaultElectionTimeout {
			t.Errorf("try %d came after %v", at, waited)
		}
	}
}
