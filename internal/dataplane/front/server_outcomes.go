package front

import (
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

// serverOutcomes is what this front node saw of one server since it last told the other front nodes, and what they told.
type serverOutcomes struct {
	mutex    sync.Mutex
	answered uint32
	faults   uint32
	// waiting are the requests without a first sign of an answer.
	waiting map[*awaitedAnswer]struct{}
	// heard is set when a sign of an answer came since the last report, the newest one at heardAt.
	heard   bool
	heardAt time.Time
	// suspectUntil is until when all front nodes together take the server for faulty.
	suspectUntil time.Time
}

// awaitedAnswer is one request that waits for the first sign of its answer. A nil one waits for nothing.
type awaitedAnswer struct {
	outcomes *serverOutcomes
	dueAt    time.Time
}

// await notes a request that should be answered within some time; zero means that nothing is known of that.
func (o *serverOutcomes) await(within time.Duration, now time.Time) *awaitedAnswer {
	if within <= 0 {
		return nil
	}
	awaited := &awaitedAnswer{outcomes: o, dueAt: now.Add(within)}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.waiting == nil {
		o.waiting = map[*awaitedAnswer]struct{}{}
	}
	o.waiting[awaited] = struct{}{}
	return awaited
}

// end notes that the wait is over. One that took too long and ended without an answer counts as a fault.
func (a *awaitedAnswer) end(answered bool, now time.Time) {
	if a == nil {
		return
	}
	a.outcomes.mutex.Lock()
	defer a.outcomes.mutex.Unlock()
	if _, waits := a.outcomes.waiting[a]; !waits {
		return
	}
	delete(a.outcomes.waiting, a)
	switch {
	case answered:
		a.outcomes.heard, a.outcomes.heardAt = true, now
	case now.After(a.dueAt):
		a.outcomes.faults++
	}
}

// count takes the outcome of one attempt.
func (o *serverOutcomes) count(outcome schedule.Outcome, now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	switch outcome {
	case schedule.OutcomeAnswered:
		o.answered++
		o.heard, o.heardAt = true, now
	case schedule.OutcomeFault, schedule.OutcomeUnreachable:
		o.faults++
	case schedule.OutcomeNotExecuted:
	}
}

// outcomeCounts are the numbers of one report.
type outcomeCounts struct {
	answered, faults, overdue uint32
	// heardAt is when the newest sign of an answer came since the last report; zero when none did.
	heardAt time.Time
}

func (c outcomeCounts) isEmpty() bool { return c == outcomeCounts{} }

// describe is what the core's leader is told of the server.
func (c outcomeCounts) describe(id string, incarnation uint64, now time.Time) *protocol.BackEndOutcomes {
	outcomes := &protocol.BackEndOutcomes{
		Id: id, Incarnation: incarnation, Answered: c.answered, Faults: c.faults, Overdue: c.overdue,
	}
	if !c.heardAt.IsZero() {
		age := uint32(max(now.Sub(c.heardAt), 0) / time.Millisecond)
		outcomes.SignAgeMillis = &age
	}
	return outcomes
}

// isBad reports whether there is something that the others should hear at once.
func (c outcomeCounts) isBad() bool { return c.faults > 0 || c.overdue > 0 }

// look gives the numbers as they stand.
func (o *serverOutcomes) look(now time.Time) outcomeCounts {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	counts := outcomeCounts{answered: o.answered, faults: o.faults}
	if o.heard {
		counts.heardAt = o.heardAt
	}
	for awaited := range o.waiting {
		if now.After(awaited.dueAt) {
			counts.overdue++
		}
	}
	return counts
}

// told takes off what was reported.
func (o *serverOutcomes) told(counts outcomeCounts) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.answered -= counts.answered
	o.faults -= counts.faults
	if o.heardAt.Equal(counts.heardAt) {
		o.heard = false
	}
}

// suspect has the server avoided until a time.
func (o *serverOutcomes) suspect(until time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.suspectUntil = until
}

// suspected is until when the server is avoided by what all front nodes saw.
func (o *serverOutcomes) suspected() time.Time {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.suspectUntil
}
