package limit_test

import (
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	urgent = protocol.Priority_URGENT
	probe  = protocol.Priority_PROBE
)

// blockedQueue returns a queue whose one slot is never released, with that many urgent tickets and four probes waiting.
// It accepts no more probes.
func blockedQueue(urgentWaiting int) *tickets {
	s := newTickets(4, time.Minute, 1)
	for range 5 {
		s.enter(probe, "a", 1, start)
	}
	s.queue.SetBounds(1000, time.Minute)
	for range urgentWaiting {
		s.enter(urgent, "a", 1, start)
	}
	s.queue.SetBounds(4, time.Minute)
	return s
}

// ranOf counts the tickets of a class that ran.
func (s *tickets) ranOf(class protocol.Priority) (ran int) {
	for id, decision := range s.verdicts {
		if decision.Verdict == limit.Run && s.entered[id].Class == class {
			ran++
		}
	}
	return ran
}

// offerProbes enters probes into a full queue with one surplus slot for each, and returns how many of these slots
// urgent tickets and probes got.
func offerProbes(s *tickets, surplus int) (urgentRan, probesRan int) {
	urgentBefore, probesBefore := s.ranOf(urgent), s.ranOf(probe)
	for range surplus {
		s.queue.SetSurplusSlots(1)
		s.enter(probe, "a", 1, start)
	}
	return s.ranOf(urgent) - urgentBefore, s.ranOf(probe) - probesBefore
}

func TestSurplusSlotGoesToAWaitingMoreUrgentTicket(t *testing.T) {
	urgentRan, probesRan := offerProbes(blockedQueue(50), 4)
	if urgentRan < 3 || urgentRan+probesRan != 4 {
		t.Fatalf(
			"of four surplus slots %d went to waiting urgent tickets and %d to new probes, want at least 3 and 4 in all",
			urgentRan, probesRan,
		)
	}
}

func TestSurplusSlotsAreSharedWithLessUrgentTickets(t *testing.T) {
	urgentRan, probesRan := offerProbes(blockedQueue(200), 102)
	if probesRan < 6 || urgentRan < 80 || urgentRan+probesRan != 102 {
		t.Fatalf("of 102 surplus slots %d went to urgent tickets and %d to probes, want at least 80 and 6: "+
			"the ratio is 16 to 1, and 4 to 1 while probes starve", urgentRan, probesRan)
	}
}

func TestSurplusSlotGoesToTheNewTicketIfNoMoreUrgentOneWaits(t *testing.T) {
	s := blockedQueue(4)
	s.queue.SetSurplusSlots(1)
	if id := s.enter(urgent, "a", 1, start); s.verdicts[id].Verdict != limit.Run {
		t.Fatalf("urgent ticket with no more urgent one waiting: %+v, want it to run", s.verdicts[id])
	}
}
