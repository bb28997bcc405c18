package limit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/protocol"
)

var start = time.Unix(1000, 0)

// at returns the time that is that long after start.
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
		t.Fatalf("request above the burst: taken %t, wait %v; want a wait of 100ms", taken, wait)
	}
	if taken, _ = bucket.Take(1, at(wait)); !taken {
		t.Fatalf("request rejected after the returned wait of %v", wait)
	}
}

func TestBucketRejectsWhileInDebt(t *testing.T) {
	bucket := limit.NewBucket(10, 1, start)
	bucket.Charge(30, start)
	if taken, _ := bucket.Take(1, at(time.Second)); taken {
		t.Fatal("request taken from a bucket in debt")
	}
	if taken, _ := bucket.Take(1, at(2100*time.Millisecond)); !taken {
		t.Fatal("request rejected after the debt was refilled")
	}
	unlimited := limit.NewBucket(0, 1, start)
	unlimited.Charge(1000, start)
	if taken, _ := unlimited.Take(1, start); !taken {
		t.Fatal("request rejected by a bucket with a rate of zero, which means no limit")
	}
}

func TestRetriesAreLimitedToATenthOfTheTraffic(t *testing.T) {
	budget := limit.NewRetryBudget(0)
	granted := 0
	for range 10_000 {
		budget.RecordRequest()
		if budget.TakeRetry() {
			granted++
		}
	}
	if granted < 1000 || granted > 1010 {
		t.Fatalf("granted %d retries for 10000 requests, want 1000 to 1010", granted)
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
		t.Fatalf("limit is %d with fast answers only, want 100", concurrency.Limit())
	}
	sample(2*time.Second, 200)
	low := concurrency.Limit()
	if low > 50 || low < 8 {
		t.Fatalf("limit is %d after slow answers, want 8 to 50", low)
	}
	sample(50*time.Millisecond, 20_000)
	if concurrency.Limit() != 100 {
		t.Fatalf("limit is %d after the answers became fast again, want 100", concurrency.Limit())
	}
}

func TestRejectionsOfBackEndsLowerTheLimitAtMostOncePerInterval(t *testing.T) {
	concurrency := limit.NewConcurrency(100)
	for range 50 {
		concurrency.Record(limit.Sample{Rejected: true}, 100, start)
	}
	if concurrency.Limit() != 85 {
		t.Fatalf("limit is %d after 50 rejections in one interval, want 85", concurrency.Limit())
	}
}

// tickets records the tickets that enter a queue and the decisions on them.
type tickets struct {
	queue *limit.Queue
	// lastID is the id of the last ticket, entered has all tickets by id, and ran the ids of those that ran, in order.
	lastID   uint64
	entered  map[uint64]limit.Ticket
	ran      []uint64
	verdicts map[uint64]limit.Decision
}

func newTickets(queued uint32, wait time.Duration, slots int) *tickets {
	return &tickets{
		queue: limit.NewQueue(queued, wait, slots), entered: map[uint64]limit.Ticket{}, verdicts: map[uint64]limit.Decision{},
	}
}

func (s *tickets) record(decisions []limit.Decision) {
	for _, decision := range decisions {
		if _, decided := s.verdicts[decision.ID]; decided {
			panic("two verdicts on one ticket")
		}
		s.verdicts[decision.ID] = decision
		if decision.Verdict == limit.Run {
			s.ran = append(s.ran, decision.ID)
		}
	}
}

func (s *tickets) enter(class protocol.Priority, tenant string, weight uint32, now time.Time) uint64 {
	s.lastID++
	ticket := limit.Ticket{ID: s.lastID, Class: class, Tenant: tenant, Weight: weight}
	s.entered[s.lastID] = ticket
	s.record(s.queue.Enter(ticket, now))
	return s.lastID
}

// drain releases slots until count more tickets have run, and returns their ids.
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

func TestUrgentTicketsRunFirstWithoutStarvingProbes(t *testing.T) {
	s := newTickets(1000, time.Minute, 1)
	s.enter(protocol.Priority_PROBE, "a", 1, start)
	for range 300 {
		s.enter(protocol.Priority_PROBE, "a", 1, start)
		s.enter(protocol.Priority_URGENT, "a", 1, start)
	}
	counts := map[protocol.Priority]int{}
	for _, id := range s.drain(170, start) {
		counts[s.entered[id].Class]++
	}
	if counts[protocol.Priority_URGENT] < 155 || counts[protocol.Priority_PROBE] < 9 {
		t.Fatalf("of 170 tickets %v ran, want at least 155 urgent ones and 9 probes", counts)
	}
	s.enter(protocol.Priority_INTERACTIVE, "a", 1, start)
	if next := s.drain(2, start); s.entered[next[0]].Class != protocol.Priority_INTERACTIVE &&
		s.entered[next[1]].Class != protocol.Priority_INTERACTIVE {
		t.Fatal("a ticket of a class that was idle is not among the next two to run")
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
		counts[s.entered[id].Tenant]++
	}
	if counts["heavy"] != 60 || counts["light"] != 20 {
		t.Fatalf("of 80 tickets %v ran, want 60 heavy and 20 light", counts)
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
		t.Fatalf("ticket at a full queue: %+v, want it rejected as full", rejected)
	}
	// Ten tickets a second drain and four wait ahead: the fifth could run after about half a second.
	if rejected.RetryAfter < 400*time.Millisecond || rejected.RetryAfter > 600*time.Millisecond {
		t.Fatalf("retry after %v, want 400ms to 600ms", rejected.RetryAfter)
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
		t.Fatalf("verdicts %+v, want the last greedy ticket %d rejected and the modest ticket %d waiting", s.verdicts, last,
			modest)
	}
	again := s.enter(protocol.Priority_PROBE, "greedy", 1, start)
	if s.verdicts[again].Verdict != limit.RejectFull {
		t.Fatal("the greedy tenant's next ticket was not rejected although the queue is full")
	}
}

func TestTicketsExpireByWaitOrDeadline(t *testing.T) {
	s := newTickets(10, time.Second, 0)
	withoutDeadline := s.enter(protocol.Priority_URGENT, "a", 1, start)
	s.record(
		s.queue.Enter(
			limit.Ticket{ID: 77, Class: protocol.Priority_PROBE, Tenant: "a", Deadline: at(300 * time.Millisecond)}, start,
		),
	)
	if next := s.queue.NextExpiry(); !next.Equal(at(300 * time.Millisecond)) {
		t.Fatalf("next expiry %v, want the deadline at %v", next, at(300*time.Millisecond))
	}
	s.record(s.queue.Expire(at(300 * time.Millisecond)))
	if s.verdicts[77].Verdict != limit.RejectLate || s.verdicts[withoutDeadline].Verdict != 0 {
		t.Fatalf("verdicts %+v at the deadline of ticket 77, want only it rejected as late", s.verdicts)
	}
	s.record(s.queue.Expire(at(time.Second)))
	if s.verdicts[withoutDeadline].Verdict != limit.RejectLate || !s.queue.NextExpiry().IsZero() {
		t.Fatalf("verdicts %+v after the maximum wait, want ticket %d rejected as late", s.verdicts, withoutDeadline)
	}
}

func TestCancelledTicketsNeverRun(t *testing.T) {
	s := newTickets(10, time.Second, 0)
	cancelled := s.enter(protocol.Priority_URGENT, "a", 1, start)
	kept := s.enter(protocol.Priority_URGENT, "a", 1, start)
	if !s.queue.Cancel(cancelled) || s.queue.Cancel(cancelled) {
		t.Fatal("Cancel does not report a waiting ticket exactly once")
	}
	s.record(s.queue.SetSlots(2))
	if len(s.ran) != 1 || s.ran[0] != kept {
		t.Fatalf("ran %v, want only ticket %d", s.ran, kept)
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
				t.Fatalf("%d tickets run, but the queue counts %d", running, s.queue.InFlight())
			}
		}
		s.record(s.queue.Expire(now.Add(time.Minute)))
		if len(s.verdicts) != int(s.lastID) {
			t.Fatalf("%d verdicts on %d tickets", len(s.verdicts), s.lastID)
		}
		classes := []protocol.Priority{
			protocol.Priority_URGENT, protocol.Priority_INTERACTIVE, protocol.Priority_PROBE,
		}
		for _, class := range classes {
			if s.queue.Waiting(class) != 0 {
				t.Fatalf("%d tickets of class %v still wait after all expired", s.queue.Waiting(class), class)
			}
		}
	})
}
