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

// stuckQueue is a queue whose one slot is never given back, with so many urgent tickets and four probes waiting. It
// accepts no more probes.
func stuckQueue(urgentWaiting int) *tickets {
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

func (s *tickets) ranOf(class protocol.Priority) (ran int) {
	for id, decision := range s.verdicts {
		if decision.Verdict == limit.Run && s.classOf[id].Class == class {
			ran++
		}
	}
	return ran
}

// offerProbes lets probes come to a full queue with one surplus slot for each, and returns how many of these slots
// went to urgent tickets and to probes.
func offerProbes(s *tickets, surplus int) (urgentRan, probesRan int) {
	urgentBefore, probesBefore := s.ranOf(urgent), s.ranOf(probe)
	for range surplus {
		s.queue.SetSurplusSlots(1)
		s.enter(probe, "a", 1, start)
	}
	return s.ranOf(urgent) - urgentBefore, s.ranOf(probe) - probesBefore
}

func TestSurplusSlotGoesToAMoreUrgentTicketThatWaits(t *testing.T) {
	urgentRan, probesRan := offerProbes(stuckQueue(50), 4)
	if urgentRan < 3 || urgentRan+probesRan != 4 {
		t.Fatalf(
			"of four surplus slots %d went to urgent tickets that waited and %d to probes that came then", urgentRan, probesRan,
		)
	}
}

func TestSurplusSlotsDoNotAllGoToTheMoreUrgent(t *testing.T) {
	urgentRan, probesRan := offerProbes(stuckQueue(200), 102)
	if probesRan < 6 || urgentRan < 80 || urgentRan+probesRan != 102 {
		t.Fatalf("of 102 surplus slots %d went to urgent tickets and %d to probes; "+
			"turns are 16 to 1, and 4 to 1 while probes starve", urgentRan, probesRan)
	}
}

func TestSurplusSlotGoesToTheNewTicketWhenNoneMoreUrgentWaits(t *testing.T) {
	s := stuckQueue(4)
	s.queue.SetSurplusSlots(1)
	if id := s.enter(urgent, "a", 1, start); s.verdicts[id].Verdict != limit.Run {
		t.Fatalf("an urgent ticket with only probes and its like waiting: %+v", s.verdicts[id])
	}
}
