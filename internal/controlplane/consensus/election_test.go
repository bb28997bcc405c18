package consensus

import (
	"slices"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

func TestConcurrentCampaignsDoNotSplitTheVotes(t *testing.T) {
	s := newScriptedCluster(t, 0)
	involvesMember3 := func(message *protocol.ConsensusMessage) bool {
		return message.GetTo() == 3 || message.GetFrom() == 3
	}
	s.shouldDeliver = deliverNone
	s.now = s.now.Add(10 * DefaultElectionTimeout)
	s.nodes[1].Tick(s.now)
	s.nodes[2].Tick(s.now)
	s.runUntilIdle()
	// Deliver one step at a time, so that the requests and responses of members 1 and 2 cross.
	for range 10 {
		s.undelivered = slices.DeleteFunc(s.undelivered, involvesMember3)
		s.deliverOneStep()
	}
	if s.nodes[1].Role() == Leader || s.nodes[2].Role() != Leader {
		t.Fatalf("member 1 is %v and member 2 is %v, want member 2 as the only leader",
			s.nodes[1].Role(), s.nodes[2].Role())
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
		t.Fatalf("member 1 campaigned %d times, want at least %d", len(campaigns), maxQuickRetries+2)
	}
	for attempt := 1; attempt < len(campaigns); attempt++ {
		interval := campaigns[attempt].Sub(campaigns[attempt-1])
		wantQuick := attempt <= maxQuickRetries
		if quick := interval < DefaultElectionTimeout; quick != wantQuick {
			t.Errorf("retry %d came after %v, want less than %v: %t", attempt, interval, DefaultElectionTimeout, wantQuick)
		}
	}
}
