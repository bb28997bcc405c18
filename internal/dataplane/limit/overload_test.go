package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/protocol"
)

const serviceTime = 500 * time.Millisecond

// learnServiceTime runs requests of half a second each in a queue of two slots, and returns the time when they have
// ended.
func learnServiceTime(s *tickets) time.Time {
	now := start
	for range 10 {
		s.enter(protocol.Priority_INTERACTIVE, "a", 1, now)
		now = now.Add(serviceTime)
		s.record(s.queue.Leave(now))
	}
	return now
}

// runRounds releases all slots every half second and returns how many tickets were rejected late.
func runRounds(s *tickets, now time.Time, rounds int) (late int) {
	for range rounds {
		now = now.Add(serviceTime)
		for running := s.queue.InFlight(); running > 0; running-- {
			s.record(s.queue.Leave(now))
		}
	}
	for _, decision := range s.verdicts {
		if decision.Verdict == limit.RejectLate {
			late++
		}
	}
	return late
}

// count returns how many of the tickets got that verdict.
func (s *tickets) count(ids []uint64, verdict limit.Verdict) int {
	count := 0
	for _, id := range ids {
		if s.verdicts[id].Verdict == verdict {
			count++
		}
	}
	return count
}

func TestRequestThatWouldWaitTooLongIsRejectedAtOnce(t *testing.T) {
	s := newTickets(1000, 2*time.Second, 2)
	now := learnServiceTime(s)
	var burst []uint64
	for range 100 {
		burst = append(burst, s.enter(protocol.Priority_INTERACTIVE, "a", 1, now))
	}
	rejected := s.count(burst, limit.RejectFull)
	if rejected < 90 || rejected > 96 {
		t.Fatalf("%d of 100 rejected at once, want 90 to 96: four run per second, so that two to eight may wait", rejected)
	}
	if retryAfter := s.verdicts[burst[99]].RetryAfter; retryAfter < 600*time.Millisecond ||
		retryAfter > 900*time.Millisecond {
		t.Fatalf("retry after %v, want 600ms to 900ms", retryAfter)
	}
	if late := runRounds(s, now, 8); late != 0 {
		t.Fatalf("%d tickets waited and were rejected late, want none", late)
	}
}

func TestExpectedWaitOfAClassDependsOnItsShare(t *testing.T) {
	s := newTickets(1000, 2*time.Second, 2)
	now := learnServiceTime(s)
	for range 100 {
		s.enter(protocol.Priority_PROBE, "a", 1, now)
	}
	urgent := s.enter(protocol.Priority_URGENT, "a", 1, now)
	if s.verdicts[urgent].Verdict != 0 {
		t.Fatalf("an urgent ticket was rejected because probes wait: %+v", s.verdicts[urgent])
	}
	s.drain(1, now)
	if s.verdicts[urgent].Verdict != limit.Run {
		t.Fatal("an urgent ticket waits behind probes")
	}
}

func TestExpectedWaitOfATenantDependsOnItsShare(t *testing.T) {
	s := newTickets(1000, 2*time.Second, 2)
	now := learnServiceTime(s)
	for range 100 {
		s.enter(protocol.Priority_INTERACTIVE, "greedy", 1, now)
	}
	modest := s.enter(protocol.Priority_INTERACTIVE, "modest", 1, now)
	if s.verdicts[modest].Verdict != 0 {
		t.Fatalf("a modest tenant's ticket was rejected because a greedy tenant's wait: %+v", s.verdicts[modest])
	}
}

func TestQueueWithoutServiceTimeAcceptsUpToItsBound(t *testing.T) {
	s := newTickets(50, 2*time.Second, 2)
	for range 52 {
		if id := s.enter(protocol.Priority_PROBE, "a", 1, start); s.verdicts[id].Verdict == limit.RejectFull {
			t.Fatalf("ticket %d of 52 rejected although 2 run and 50 may wait", id)
		}
	}
}

func TestLimitFarAboveTheLoadFallsBelowItInAFewDecreases(t *testing.T) {
	concurrency := limit.NewConcurrency(1024)
	now := start
	for range 5 {
		now = now.Add(500 * time.Millisecond)
		concurrency.Record(limit.Sample{Rejected: true}, 50, now)
	}
	if concurrency.Limit() > 50 || concurrency.Limit() < 8 {
		t.Fatalf("limit is %d after five rejections half a second apart with 50 in flight, want 8 to 50", concurrency.Limit())
	}
	single := limit.NewConcurrency(1024)
	single.Record(limit.Sample{Rejected: true}, 1, start)
	if single.Limit() < 400 {
		t.Fatalf("limit is %d after one rejection, want at least 400", single.Limit())
	}
}

// overloadQueue enters ten times as many tickets into a queue of six slots as it can run, after two seconds of low
// load, and releases each slot when its request has run for 300 ms.
func overloadQueue(s *tickets, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	ends := map[uint64]time.Time{}
	finish := func(now time.Time) {
		for {
			id, endsAt := uint64(0), now
			for candidate, end := range ends {
				if end.Before(endsAt) || end.Equal(endsAt) && (id == 0 || candidate < id) {
					id, endsAt = candidate, end
				}
			}
			if id == 0 {
				return
			}
			delete(ends, id)
			before := len(s.ran)
			s.record(s.queue.Leave(endsAt))
			for _, next := range s.ran[before:] {
				ends[next] = endsAt.Add(300 * time.Millisecond)
			}
		}
	}
	for now := start; now.Before(at(8 * time.Second)); {
		rate := 10.0
		if now.After(at(2 * time.Second)) {
			rate = 200
		}
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		finish(now)
		s.record(s.queue.Expire(now))
		class := pick(
			random, []float64{0.05, 0.45, 0.5}, protocol.Priority_URGENT, protocol.Priority_INTERACTIVE, protocol.Priority_PROBE,
		)
		before := len(s.ran)
		s.enter(class, pick(random, []float64{0.7, 0.2, 0.1}, "greedy", "north", "south"), 1, now)
		for _, id := range s.ran[before:] {
			ends[id] = now.Add(300 * time.Millisecond)
		}
	}
	finish(at(10 * time.Second))
	s.record(s.queue.Expire(at(12 * time.Second)))
}

// pick draws one of the values with these shares.
func pick[T any](random *rand.Rand, shares []float64, values ...T) T {
	drawn := random.Float64()
	for i, share := range shares {
		if drawn -= share; drawn < 0 {
			return values[i]
		}
	}
	return values[len(values)-1]
}

func TestUnderOverloadFewAreRejectedLateAndTheSlotsStayBusy(t *testing.T) {
	for seed := range uint64(5) {
		s := newTickets(256, 2*time.Second, 6)
		overloadQueue(s, seed)
		counts := map[limit.Verdict]int{}
		ran, offered := map[protocol.Priority]int{}, map[protocol.Priority]int{}
		for id, decision := range s.verdicts {
			counts[decision.Verdict]++
			offered[s.entered[id].Class]++
			if decision.Verdict == limit.Run {
				ran[s.entered[id].Class]++
			}
		}
		rejected := counts[limit.RejectFull] + counts[limit.RejectLate]
		if late := counts[limit.RejectLate]; late*200 > rejected {
			t.Errorf("seed %d: %d of %d rejections were late, want at most one in 200", seed, late, rejected)
		}
		// Twenty per second for six seconds, and those that ran before.
		if counts[limit.Run] < 130 {
			t.Errorf("seed %d: %d tickets ran, want at least 130", seed, counts[limit.Run])
		}
		if ran[protocol.Priority_URGENT]*10 < offered[protocol.Priority_URGENT]*9 ||
			ran[protocol.Priority_PROBE] < 8 {
			t.Errorf("seed %d: %v of %v tickets ran by class, want 9 in 10 urgent ones and at least 8 probes", seed, ran,
				offered)
		}
	}
}

func TestExpectedWaitUsesGuaranteedSlots(t *testing.T) {
	s := newTickets(1000, 2*time.Second, 2)
	now := learnServiceTime(s)
	s.queue.SetGuaranteedSlots(2)
	s.record(s.queue.SetSlots(20))
	var burst []uint64
	for range 100 {
		burst = append(burst, s.enter(protocol.Priority_INTERACTIVE, "a", 1, now))
	}
	if ran, rejected := s.count(burst, limit.Run), s.count(burst, limit.RejectFull); ran != 20 || rejected < 72 ||
		rejected > 78 {
		t.Fatalf("%d of 100 ran and %d were rejected at once, want 20 and 72 to 78: only two slots are guaranteed", ran,
			rejected)
	}
}
