package limit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/protocol"
)

var start = time.Unix(1000, 0)

func at(after time.Duration) time.Time { return start.Add(after) }

func TestBucketLimitsAndRefills(t *testing.T) {
	bucket := limit.NewBucket(10, 1, start)
	for request := range 10 {
		if taken, _ := bucket.Take(1, start); !taken {
			t.Fatalf("request %d rejected within the burst", request)
		}
	}
	taken, wait := bucket.Take(1, start)
	if taken || wait != 100*time.Millisecond {
		t.Fatalf("taken %t, wait %v", taken, wait)
	}
	if taken, _ = bucket.Take(1, at(wait)); !taken {
		t.Fatal("rejected after the wait that it named")
	}
}

func TestBucketInDebtRejectsUntilItIsPaid(t *testing.T) {
	bucket := limit.NewBucket(10, 1, start)
	bucket.Charge(30, start)
	if taken, _ := bucket.Take(1, at(time.Second)); taken {
		t.Fatal("taken while in debt")
	}
	if taken, _ := bucket.Take(1, at(2100*time.Millisecond)); !taken {
		t.Fatal("rejected after the debt was paid")
	}
	unlimited := limit.NewBucket(0, 1, start)
	unlimited.Charge(1000, start)
	if taken, _ := unlimited.Take(1, start); !taken {
		t.Fatal("a rate of zero must not limit")
	}
}

func TestRetriesStayATenthOfTheTraffic(t *testing.T) {
	budget := limit.NewRetryBudget(0)
	granted := 0
	for range 10_000 {
		budget.RecordRequest()
		if budget.TakeRetry() {
			granted++
		}
	}
	if granted < 1000 || granted > 1010 {
		t.Fatalf("granted %d of 10000", granted)
	}
}

func TestConcurrencyFallsWhenAnswersBecomeSlowAndRecovers(t *testing.T) {
	concurrency := limit.NewConcurrency(100)
	now := start
	sample := func(latency time.Duration, times int) {
		for range times {
			now = now.Add(20 * time.Millisecond)
			concurrency.Record(limit.Sample{Latency: latency}, concurrency.Limit(), now)
		}
	}
	sample(50*time.Millisecond, 50)
	if concurrency.Limit() != 100 {
		t.Fatalf("fell to %d without need", concurrency.Limit())
	}
	sample(2*time.Second, 200)
	low := concurrency.Limit()
	if low > 50 || low < 8 {
		t.Fatalf("limit is %d under overload", low)
	}
	sample(50*time.Millisecond, 20_000)
	if concurrency.Limit() != 100 {
		t.Fatalf("recovered to %d", concurrency.Limit())
	}
}

func TestRejectionsOfBackEndsLowerTheLimitAtMostOncePerInterval(t *testing.T) {
	concurrency := limit.NewConcurrency(100)
	for range 50 {
		concurrency.Record(limit.Sample{Rejected: true}, 100, start)
	}
	if concurrency.Limit() != 85 {
		t.Fatalf("limit is %d", concurrency.Limit())
	}
}

type tickets struct {
	queue *limit.Queue
	next  uint64
	// classOf and ran follow every ticket.
	classOf  map[uint64]limit.Ticket
	ran      []uint64
	verdicts map[uint64]limit.Decision
}

func newTickets(queued uint32, wait time.Duration, slots int) *tickets {
	return &tickets{
		queue: limit.NewQueue(queued, wait, slots), classOf: map[uint64]limit.Ticket{}, verdicts: map[uint64]limit.Decision{},
	}
}

func (s *tickets) record(decisions []limit.Decision) {
	for _, decision := range decisions {
		if _, twice := s.verdicts[decision.ID]; twice {
			panic("two verdicts on one ticket")
		}
		s.verdicts[decision.ID] = decision
		if decision.Verdict == limit.Run {
			s.ran = append(s.ran, decision.ID)
		}
	}
}

func (s *tickets) enter(class protocol.Priority, tenant string, weight uint32, now time.Time) uint64 {
	s.next++
	ticket := limit.Ticket{ID: s.next, Class: class, Tenant: tenant, Weight: weight}
	s.classOf[s.next] = ticket
	s.record(s.queue.Enter(ticket, now))
	return s.next
}

// drain gives slots back until count tickets more have run.
func (s *tickets) drain(count int, now time.Time) []uint64 {
	before := len(s.ran)
	for len(s.ran) < before+count {
		ran := len(s.ran)
		s.record(s.queue.Leave(now))
		if len(s.ran) == ran {
			break
		}
	}
	return s.ran[before:]
}

func TestUrgentGoesAheadWithoutStarvingProbes(t *testing.T) {
	s := newTickets(1000, time.Minute, 1)
	s.enter(protocol.Priority_PROBE, "a", 1, start)
	for range 300 {
		s.enter(protocol.Priority_PROBE, "a", 1, start)
		s.enter(protocol.Priority_URGENT, "a", 1, start)
	}
	counts := map[protocol.Priority]int{}
	for _, id := range s.drain(170, start) {
		counts[s.classOf[id].Class]++
	}
	if counts[protocol.Priority_URGENT] < 155 || counts[protocol.Priority_PROBE] < 9 {
		t.Fatalf("shares %v", counts)
	}
	s.enter(protocol.Priority_INTERACTIVE, "a", 1, start)
	if next := s.drain(2, start); s.classOf[next[0]].Class != protocol.Priority_INTERACTIVE &&
		s.classOf[next[1]].Class != protocol.Priority_INTERACTIVE {
		t.Fatal("a class that was idle waits behind the others")
	}
}

func TestTenantsShareByWeight(t *testing.T) {
	s := newTickets(1000, time.Minute, 1)
	s.enter(protocol.Priority_INTERACTIVE, "first", 1, start)
	for range 100 {
		s.enter(protocol.Priority_INTERACTIVE, "heavy", 3, start)
		s.enter(protocol.Priority_INTERACTIVE, "light", 1, start)
	}
	counts := map[string]int{}
	for _, id := range s.drain(80, start) {
		counts[s.classOf[id].Tenant]++
	}
	if counts["heavy"] != 60 || counts["light"] != 20 {
		t.Fatalf("shares %v", counts)
	}
}

func TestFullQueueRejectsAtOnceWithARetryAfter(t *testing.T) {
	s := newTickets(4, time.Minute, 1)
	s.enter(protocol.Priority_PROBE, "a", 1, start)
	for step := range 21 {
		now := at(time.Duration(step) * 100 * time.Millisecond)
		s.enter(protocol.Priority_PROBE, "a", 1, now)
		s.drain(1, now)
	}
	for range 4 {
		s.enter(protocol.Priority_PROBE, "a", 1, at(2100*time.Millisecond))
	}
	rejected := s.verdicts[s.enter(protocol.Priority_PROBE, "a", 1, at(2100*time.Millisecond))]
	if rejected.Verdict != limit.RejectFull {
		t.Fatalf("verdict %+v", rejected)
	}
	// Ten a second drain, five are ahead or equal: about half a second.
	if rejected.RetryAfter < 400*time.Millisecond || rejected.RetryAfter > 600*time.Millisecond {
		t.Fatalf("retry after %v", rejected.RetryAfter)
	}
}

func TestFullQueueEvictsForATenantUnderItsShare(t *testing.T) {
	s := newTickets(4, time.Minute, 0)
	var last uint64
	for range 4 {
		last = s.enter(protocol.Priority_PROBE, "greedy", 1, start)
	}
	modest := s.enter(protocol.Priority_PROBE, "modest", 1, start)
	if s.verdicts[last].Verdict != limit.RejectFull || s.verdicts[modest].Verdict != 0 {
		t.Fatalf("verdicts %+v", s.verdicts)
	}
	again := s.enter(protocol.Priority_PROBE, "greedy", 1, start)
	if s.verdicts[again].Verdict != limit.RejectFull {
		t.Fatal("the greedy tenant took the place back")
	}
}

func TestTicketsExpireByWaitOrDeadline(t *testing.T) {
	s := newTickets(10, time.Second, 0)
	waits := s.enter(protocol.Priority_URGENT, "a", 1, start)
	s.record(
		s.queue.Enter(
			limit.Ticket{ID: 77, Class: protocol.Priority_PROBE, Tenant: "a", Deadline: at(300 * time.Millisecond)}, start,
		),
	)
	if next := s.queue.NextExpiry(); !next.Equal(at(300 * time.Millisecond)) {
		t.Fatalf("next expiry %v", next)
	}
	s.record(s.queue.Expire(at(300 * time.Millisecond)))
	if s.verdicts[77].Verdict != limit.RejectLate || s.verdicts[waits].Verdict != 0 {
		t.Fatalf("verdicts %+v", s.verdicts)
	}
	s.record(s.queue.Expire(at(time.Second)))
	if s.verdicts[waits].Verdict != limit.RejectLate || !s.queue.NextExpiry().IsZero() {
		t.Fatalf("verdicts %+v", s.verdicts)
	}
}

func TestCancelledTicketsNeverRun(t *testing.T) {
	s := newTickets(10, time.Second, 0)
	gone := s.enter(protocol.Priority_URGENT, "a", 1, start)
	stays := s.enter(protocol.Priority_URGENT, "a", 1, start)
	if !s.queue.Cancel(gone) || s.queue.Cancel(gone) {
		t.Fatal("a ticket must be cancelled exactly once")
	}
	s.record(s.queue.SetSlots(2))
	if len(s.ran) != 1 || s.ran[0] != stays {
		t.Fatalf("ran %v", s.ran)
	}
}

func TestEveryTicketGetsOneVerdictAndSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 4).Draw(t, "slots")
		s := newTickets(uint32(rapid.IntRange(1, 5).Draw(t, "queued")), time.Second, slots)
		now, left := start, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				class := protocol.Priority(rapid.IntRange(0, 3).Draw(t, "class"))
				s.enter(
					class, rapid.SampledFrom([]string{"a", "b", "c"}).
						Draw(t, "tenant"), uint32(rapid.IntRange(0, 3).Draw(t, "weight")), now,
				)
			case 2:
				if len(s.ran) > left {
					left++
					s.record(s.queue.Leave(now))
				}
			case 3:
				slots = rapid.IntRange(0, 4).Draw(t, "new slots")
				s.record(s.queue.SetSlots(slots))
			}
			if running := len(s.ran) - left; running != s.queue.InFlight() {
				t.Fatalf("%d run, %d counted", running, s.queue.InFlight())
			}
		}
		s.record(s.queue.Expire(now.Add(time.Minute)))
		if len(s.verdicts) != int(s.next) {
			t.Fatalf("%d verdicts on %d tickets", len(s.verdicts), s.next)
		}
		classes := []protocol.Priority{
			protocol.Priority_URGENT, protocol.Priority_INTERACTIVE, protocol.Priority_PROBE,
		}
		for _, class := range classes {
			if s.queue.Waiting(class) != 0 {
				t.Fatalf("%d still wait", s.queue.Waiting(class))
			}
		}
	})
}
