package consensus

import (
	"slices"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

func TestConcurrentCampaignsDoNotSplitTheVotes(t *testing.T) {
	s := newScriptedCluster(t, 0)
	lostMember := func(message *protocol.ConsensusMessage) bool {
		return message.GetTo() == 3 || message.GetFrom() == 3
	}
	s.shouldDeliver = deliverNone
	s.now = s.now.Add(10 * DefaultElectionTimeout)
	s.nodes[1].Tick(s.now)
	s.nodes[2].Tick(s.now)
	s.runUntilIdle()
	// The requests and answers of the two cross each other on the way, step by step.
	for range 10 {
		s.undelivered = slices.DeleteFunc(s.undelivered, lostMember)
		s.deliverOneStep()
	}
	if s.nodes[1].Role() == Leader || s.nodes[2].Role() != Leader {
		t.Fatalf("the two are %v and %v", s.nodes[1].Role(), s.nodes[2].Role())
	}
}

func TestNumberOfQuickElectionRetriesIsLimited(t *testing.T) {
	s := newScriptedCluster(t, 0)
	s.shouldDeliver = deliverNone
	var campaigns []time.Time
	const step = 10 * time.Millisecond
	for range 3000 {
		s.now = s.now.Add(step)
		s.nodes[1].Tick(s.now)
		s.undelivered = nil
		s.runUntilIdle()
		for _, message := range s.undelivered {
			if message.GetKind() == protocol.ConsensusMessageKind_PRE_VOTE && message.GetTo() == 2 {
				campaigns = append(campaigns, s.now)
			}
		}
	}
	if len(campaigns) < maxQuickRetries+2 {
		t.Fatalf("campaigned %d times", len(campaigns))
	}
	for attempt := 1; attempt < len(campaigns); attempt++ {
		interval := campaigns[attempt].Sub(campaigns[attempt-1])
		wantQuick := attempt <= maxQuickRetries
		if quick := interval < DefaultElectionTimeout; quick != wantQuick {
			t.Errorf("attempt %d came after %v", attempt, interval)
		}
	}
}
