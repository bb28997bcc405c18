package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/protocol"
)

const serviceTime = 500 * time.Millisecond

// unloaded lets a queue of two slots learn that a request takes half a second.
func unloaded(s *tickets) time.Time {
	now := start
	for range 10 {
		s.enter(protocol.Priority_INTERACTIVE, "a", 1, now)
		now = now.Add(serviceTime)
		s.record(s.queue.Leave(now))
	}
	return now
}

// work gives both slots back every half second and returns the tickets that were rejected late.
func work(s *tickets, now time.Time, rounds int) (late int) {
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
	now := unloaded(s)
	var burst []uint64
	for range 100 {
		burst = append(burst, s.enter(protocol.Priority_INTERACTIVE, "a", 1, now))
	}
	rejected := s.count(burst, limit.RejectFull)
	if rejected < 90 || rejected > 96 {
		t.Fatalf("%d of 100 rejected at once; four a second run, so that two to eight may wait", rejected)
	}
	if retryAfter := s.verdicts[burst[99]].RetryAfter; retryAfter < 600*time.Millisecond ||
		retryAfter > 900*time.Millisecond {
		t.Fatalf("retry after %v", retryAfter)
	}
	if late := work(s, now, 8); late != 0 {
		t.Fatalf("%d were taken in and rejected late", late)
	}
}

func TestClassWaitsByItsOwnShare(t *testing.T) {
	s := newTickets(1000, 2*time.Second, 2)
	now := unloaded(s)
	for range 100 {
		s.enter(protocol.Priority_PROBE, "a", 1, now)
	}
	urgent := s.enter(protocol.Priority_URGENT, "a", 1, now)
	if s.verdicts[urgent].Verdict != 0 {
		t.Fatalf("an urgent request was rejected for probes: %+v", s.verdicts[urgent])
	}
	s.drain(1, now)
	if s.verdicts[urgent].Verdict != limit.Run {
		t.Fatal("an urgent request waits behind probes")
	}
}

func TestTenantWaitsByItsOwnShare(t *testing.T) {
	s := newTickets(1000, 2*time.Second, 2)
	now := unloaded(s)
	for range 100 {
		s.enter(protocol.Priority_INTERACTIVE, "greedy", 1, now)
	}
	modest := s.enter(protocol.Priority_INTERACTIVE, "modest", 1, now)
	if s.verdicts[modest].Verdict != 0 {
		t.Fatalf("a modest tenant was rejected for a greedy one: %+v", s.verdicts[modest])
	}
}

func TestQueueWithoutServiceTimeAcceptsUpToItsBound(t *testing.T) {
	s := newTickets(50, 2*time.Second, 2)
	for range 52 {
		if id := s.enter(protocol.Priority_PROBE, "a", 1, start); s.verdicts[id].Verdict == limit.RejectFull {
			t.Fatalf("ticket %d rejected", id)
		}
	}
}

func TestLimitFarAboveTheLoadFallsToItInAFewDecreases(t *testing.T) {
	concurrency := limit.NewConcurrency(1024)
	now := start
	for range 5 {
		now = now.Add(500 * time.Millisecond)
		concurrency.Record(limit.Sample{Rejected: true}, 50, now)
	}
	if concurrency.Limit() > 50 || concurrency.Limit() < 8 {
		t.Fatalf("after five rejections half a second apart, with 50 under way, the limit is %d", concurrency.Limit())
	}
	single := limit.NewConcurrency(1024)
	single.Record(limit.Sample{Rejected: true}, 1, start)
	if single.Limit() < 400 {
		t.Fatalf("one rejection cut the limit to %d", single.Limit())
	}
}

// overloadQueue offers a queue of six slots ten times what they take, after two light
// seconds, and gives each slot back when its request took 300 ms.
func overloadQueue(s *tickets, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	ends := map[uint64]time.Time{}
	finish := func(now time.Time) {
		for {
			id, at := uint64(0), now
			for candidate, end := range ends {
				if end.Before(at) || end.Equal(at) && (id == 0 || candidate < id) {
					id, at = candidate, end
				}
			}
			if id == 0 {
				return
			}
			delete(ends, id)
			before := len(s.ran)
			s.record(s.queue.Leave(at))
			for _, next := range s.ran[before:] {
				ends[next] = at.Add(300 * time.Millisecond)
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

func pick[T any](random *rand.Rand, shares []float64, values ...T) T {
	at := random.Float64()
	for i, share := range shares {
		if at -= share; at < 0 {
			return values[i]
		}
	}
	return values[len(values)-1]
}

func TestInOverloadFewAreRejectedLateAndTheSlotsStayBusy(t *testing.T) {
	for seed := range uint64(5) {
		s := newTickets(256, 2*time.Second, 6)
		overloadQueue(s, seed)
		counts := map[limit.Verdict]int{}
		classes, offered := map[protocol.Priority]int{}, map[protocol.Priority]int{}
		for id, decision := range s.verdicts {
			counts[decision.Verdict]++
			offered[s.classOf[id].Class]++
			if decision.Verdict == limit.Run {
				classes[s.classOf[id].Class]++
			}
		}
		rejected := counts[limit.RejectFull] + counts[limit.RejectLate]
		if late := counts[limit.RejectLate]; late*200 > rejected {
			t.Errorf("seed %d: %d of %d rejections came late", seed, late, rejected)
		}
		// Twenty a second for six seconds, and what ran before.
		if counts[limit.Run] < 130 {
			t.Errorf("seed %d: only %d ran", seed, counts[limit.Run])
		}
		if classes[protocol.Priority_URGENT]*10 < offered[protocol.Priority_URGENT]*9 ||
			classes[protocol.Priority_PROBE] < 8 {
			t.Errorf("seed %d: classes ran %v of %v", seed, classes, offered)
		}
	}
}

func TestExpectedWaitUsesGuaranteedSlots(t *testing.T) {
	s := newTickets(1000, 2*time.Second, 2)
	now := unloaded(s)
	s.queue.SetGuaranteedSlots(2)
	s.record(s.queue.SetSlots(20))
	var burst []uint64
	for range 100 {
		burst = append(burst, s.enter(protocol.Priority_INTERACTIVE, "a", 1, now))
	}
	if ran, rejected := s.count(burst, limit.Run), s.count(burst, limit.RejectFull); ran != 20 || rejected < 72 ||
		rejected > 78 {
		t.Fatalf("%d ran and %d of 100 were rejected at once: 20 run now, but only two slots stay", ran, rejected)
	}
}
