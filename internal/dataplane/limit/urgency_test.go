package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/protocol"
)

const interactive = protocol.Priority_INTERACTIVE

// enterTicket enters a ticket, sets its id and returns the id.
func (s *tickets) enterTicket(ticket limit.Ticket, now time.Time) uint64 {
	s.lastID++
	ticket.ID = s.lastID
	s.entered[s.lastID] = ticket
	s.record(s.queue.Enter(ticket, now))
	return s.lastID
}

func TestProgramsWithTheLeastSlackRunFirst(t *testing.T) {
	s := newTickets(100, time.Minute, 0)
	program := func(deadline, work time.Duration) uint64 {
		return s.enterTicket(limit.Ticket{Class: interactive, ProgramDeadline: at(deadline), ExpectedWork: work}, start)
	}
	unknown := s.enterTicket(limit.Ticket{Class: interactive}, start)
	relaxed := program(1900*time.Millisecond, 100*time.Millisecond)
	urgent := program(2*time.Second, 1800*time.Millisecond)
	late := program(time.Second, 3*time.Second)
	s.record(s.queue.SetSlots(4))
	if want := []uint64{urgent, unknown, relaxed, late}; fmt.Sprint(s.ran) != fmt.Sprint(want) {
		t.Fatalf("ran %v, want %v", s.ran, want)
	}
}

func TestTicketThatWasRejectedBeforeRunsEarlier(t *testing.T) {
	s := newTickets(100, time.Minute, 0)
	first := s.enterTicket(limit.Ticket{Class: interactive}, start)
	again := s.enterTicket(limit.Ticket{Class: interactive, Rejections: 1}, at(100*time.Millisecond))
	s.record(s.queue.SetSlots(2))
	if s.ran[0] != again || s.ran[1] != first {
		t.Fatalf("ran %v, want the ticket that was rejected before, %d, and then %d", s.ran, again, first)
	}
}

// TestNoTicketIsOvertakenForever enters a stream of urgent tickets while one with much slack waits.
func TestNoTicketIsOvertakenForever(t *testing.T) {
	s := newTickets(1000, time.Minute, 1)
	s.enterTicket(limit.Ticket{Class: interactive}, start)
	patient := s.enterTicket(limit.Ticket{Class: interactive, ProgramDeadline: at(time.Hour)}, start)
	for step := range 40 {
		now := at(time.Duration(step) * 100 * time.Millisecond)
		urgent := limit.Ticket{
			Class: interactive, ProgramDeadline: now.Add(time.Second), ExpectedWork: 900 * time.Millisecond,
		}
		s.enterTicket(urgent, now)
		s.record(s.queue.Leave(now))
		if s.verdicts[patient].Verdict == limit.Run {
			return
		}
	}
	t.Fatal("the ticket with much slack did not run in four seconds")
}

func TestTicketIsRejectedWithinItsOwnMaxWait(t *testing.T) {
	s := newTickets(100, 2*time.Second, 0)
	short := s.enterTicket(limit.Ticket{Class: interactive, MaxWait: 50 * time.Millisecond}, start)
	long := s.enterTicket(limit.Ticket{Class: interactive, MaxWait: time.Hour}, start)
	if next := s.queue.NextExpiry(); !next.Equal(at(50 * time.Millisecond)) {
		t.Fatalf("next expiry %v, want %v", next, at(50*time.Millisecond))
	}
	s.record(s.queue.Expire(at(50 * time.Millisecond)))
	if s.verdicts[short].Verdict != limit.RejectLate || s.verdicts[long].Verdict != 0 {
		t.Fatalf("verdicts %+v after 50 ms, want only ticket %d rejected as late", s.verdicts, short)
	}
	if s.record(s.queue.Expire(at(2 * time.Second))); s.verdicts[long].Verdict != limit.RejectLate {
		t.Fatalf("ticket %d waits longer than the queue allows", long)
	}
}

func TestTicketThatWouldExceedItsOwnMaxWaitIsRejectedAtOnce(t *testing.T) {
	s := newTickets(1000, 10*time.Second, 2)
	now := learnServiceTime(s)
	for range 4 {
		s.enter(interactive, "a", 1, now)
	}
	short := s.enterTicket(limit.Ticket{Class: interactive, Tenant: "a", MaxWait: 50 * time.Millisecond}, now)
	if s.verdicts[short].Verdict != limit.RejectFull || s.verdicts[short].RetryAfter < 500*time.Millisecond {
		t.Fatalf("ticket with a maximum wait of 50 ms: %+v, want it rejected as full", s.verdicts[short])
	}
}

func TestTicketThatWasRejectedBeforeMayWaitLonger(t *testing.T) {
	s := newTickets(1000, 4*time.Second, 2)
	now := learnServiceTime(s)
	for range 6 {
		s.enter(interactive, "a", 1, now)
	}
	// Four wait and four run per second: a new ticket would wait for 1.25 s.
	id := s.enterTicket(limit.Ticket{Class: interactive, Tenant: "a"}, now)
	if s.verdicts[id].Verdict != limit.RejectFull {
		t.Fatalf("ticket without earlier rejections: %+v, want it rejected as full", s.verdicts[id])
	}
	id = s.enterTicket(limit.Ticket{Class: interactive, Tenant: "a", Rejections: 1}, now)
	if s.verdicts[id].Verdict != 0 {
		t.Fatalf("ticket with an earlier rejection: %+v, want it to wait", s.verdicts[id])
	}
}

func TestTicketOfALateProgramIsRejectedAtOnceIfTheQueueIsLong(t *testing.T) {
	s := newTickets(1000, time.Minute, 2)
	now := learnServiceTime(s)
	hopeless := limit.Ticket{
		Class: interactive, Tenant: "a", ProgramDeadline: now.Add(3 * time.Second), ExpectedWork: 2500 * time.Millisecond,
	}
	if id := s.enterTicket(hopeless, now); s.verdicts[id].Verdict != limit.Run {
		t.Fatalf("ticket with a free slot: %+v, want it to run", s.verdicts[id])
	}
	for range 8 {
		s.enter(interactive, "a", 1, now)
	}
	if id := s.enterTicket(hopeless, now); s.verdicts[id].Verdict != limit.RejectFull {
		t.Fatalf("ticket with a wait of 2 s and a slack of 0.5 s: %+v, want it rejected as full", s.verdicts[id])
	}
	hopeless.ExpectedWork = 100 * time.Millisecond
	if id := s.enterTicket(hopeless, now); s.verdicts[id].Verdict != 0 {
		t.Fatalf("ticket whose program would be in time: %+v, want it to wait", s.verdicts[id])
	}
}

func TestNothingIsRejectedWhileHalfOfTheServersSlotsAreFree(t *testing.T) {
	s := newTickets(2, time.Second, 1)
	s.queue.SetSurplusSlots(limit.SurplusSlots(288, 84, 10))
	var ids []uint64
	for range 12 {
		ids = append(ids, s.enter(interactive, "a", 1, start))
	}
	// One slot, two waiting tickets, six surplus slots, and then rejections.
	if ran, rejected := s.count(ids, limit.Run), s.count(ids, limit.RejectFull); ran != 7 || rejected != 3 {
		t.Fatalf("%d tickets ran and %d were rejected, want 7 and 3", ran, rejected)
	}
	if s.queue.InFlight() != 7 {
		t.Fatalf("%d tickets in flight, want 7", s.queue.InFlight())
	}
	s.queue.SetSurplusSlots(1)
	s.record(s.queue.Expire(at(time.Second)))
	if ran, late := s.count(ids, limit.Run), s.count(ids, limit.RejectLate); ran != 8 || late != 1 {
		t.Fatalf("%d tickets ran and %d were rejected late, want 8 and 1", ran, late)
	}
}

func TestTicketPastItsDeadlineIsRejectedDespiteSurplusSlots(t *testing.T) {
	s := newTickets(10, time.Second, 0)
	s.queue.SetSurplusSlots(100)
	id := s.enterTicket(limit.Ticket{Class: interactive, Deadline: at(100 * time.Millisecond)}, start)
	s.record(s.queue.Expire(at(100 * time.Millisecond)))
	if s.verdicts[id].Verdict != limit.RejectLate {
		t.Fatalf("ticket past its deadline: %+v, want it rejected as late", s.verdicts[id])
	}
}

func TestSurplusSlotsAreSharedUpToHalfOfTheServersSlots(t *testing.T) {
	for _, tt := range []struct{ slots, occupied, fronts, want int }{
		{288, 0, 10, 14},
		{288, 144, 10, 0},
		{288, 250, 10, 0},
		{10, 1, 0, 4},
	} {
		if got := limit.SurplusSlots(tt.slots, tt.occupied, tt.fronts); got != tt.want {
			t.Errorf("SurplusSlots(%d, %d, %d) = %d, want %d", tt.slots, tt.occupied, tt.fronts, got, tt.want)
		}
	}
}

// overload enters tickets at these rates per second into a queue with one slot, which is released every 100 ms, and
// returns the shares of each class and of all tickets that ran.
func overload(t *testing.T, offered map[protocol.Priority]float64) (served map[protocol.Priority]float64, all float64) {
	t.Helper()
	s := newTickets(256, time.Second, 1)
	random := rand.New(rand.NewPCG(5, 6))
	total := 0.0
	for _, rate := range offered {
		total += rate
	}
	classes := []protocol.Priority{protocol.Priority_URGENT, protocol.Priority_INTERACTIVE, protocol.Priority_PROBE}
	nextLeave := start.Add(100 * time.Millisecond)
	for now := start; now.Before(at(time.Minute)); now = now.Add(interArrivalTime(random, total)) {
		for ; nextLeave.Before(now); nextLeave = nextLeave.Add(100 * time.Millisecond) {
			if s.queue.InFlight() > 0 {
				s.record(s.queue.Leave(nextLeave))
			}
		}
		shares := []float64{offered[classes[0]] / total, offered[classes[1]] / total, offered[classes[2]] / total}
		s.enter(pick(random, shares, classes...), "a", 1, now)
	}
	served = map[protocol.Priority]float64{}
	offeredTickets := map[protocol.Priority]float64{}
	for id, decision := range s.verdicts {
		class := s.entered[id].Class
		offeredTickets[class]++
		if decision.Verdict == limit.Run {
			served[class]++
		}
	}
	ran, decided := 0.0, 0.0
	for class := range offeredTickets {
		ran, decided = ran+served[class], decided+offeredTickets[class]
		served[class] /= offeredTickets[class]
	}
	return served, ran / decided
}

func TestEveryClassIsServedAtLeastAQuarterAsOftenAsAll(t *testing.T) {
	for _, offered := range []map[protocol.Priority]float64{
		{protocol.Priority_URGENT: 12, protocol.Priority_PROBE: 40},
		{protocol.Priority_URGENT: 30, protocol.Priority_INTERACTIVE: 30, protocol.Priority_PROBE: 30},
		{protocol.Priority_URGENT: 9, protocol.Priority_INTERACTIVE: 100},
	} {
		served, all := overload(t, offered)
		for class, share := range served {
			if share < all/4 {
				t.Errorf("offered %v: %.3f of the tickets of %v ran, less than a quarter of the %.3f of all", offered, share, class,
					all)
			}
		}
	}
}

func TestLessUrgentClassIsNotServedMuchBetter(t *testing.T) {
	served, _ := overload(t, map[protocol.Priority]float64{protocol.Priority_URGENT: 20, protocol.Priority_INTERACTIVE: 1})
	if served[protocol.Priority_INTERACTIVE] > served[protocol.Priority_URGENT]+0.15 {
		t.Fatalf("shares that ran: %v, want interactive at most 0.15 above urgent", served)
	}
}

func TestMaxExpectedWaitRejectsNewTicketsButNotWaitingOnes(t *testing.T) {
	s := newTickets(1000, 2*time.Second, 2)
	now := learnServiceTime(s)
	bounded := limit.Ticket{Class: interactive, Tenant: "a", MaxExpectedWait: 400 * time.Millisecond}
	for range 2 {
		s.enterTicket(bounded, now)
	}
	first, second := s.enterTicket(bounded, now), s.enterTicket(bounded, now)
	if s.verdicts[first].Verdict != 0 {
		t.Fatalf("ticket with an expected wait of 250 ms: %+v, want it to wait", s.verdicts[first])
	}
	if rejected := s.verdicts[second]; rejected.Verdict != limit.RejectFull || rejected.RetryAfter == 0 {
		t.Fatalf("ticket with an expected wait of 500 ms: %+v, want it rejected as full", rejected)
	}
	s.record(s.queue.Expire(now.Add(time.Second)))
	if s.verdicts[first].Verdict != 0 {
		t.Fatalf("ticket that has waited for a second: %+v, want it to wait on", s.verdicts[first])
	}
}
