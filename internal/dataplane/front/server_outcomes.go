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
	waiting map[*expectedAnswer]struct{}
	// signReceived is set when a sign of an answer came since the last report, the newest one at lastSignAt.
	signReceived bool
	lastSignAt   time.Time
	// suspectUntil is until when all front nodes together take the server for faulty.
	suspectUntil time.Time
}

// expectedAnswer is one request that waits for the first sign of its answer. A nil one waits for nothing.
type expectedAnswer struct {
	outcomes *serverOutcomes
	dueAt    time.Time
}

// expectAnswer notes a request that should be answered within some time; zero means that nothing is known of that.
func (o *serverOutcomes) expectAnswer(within time.Duration, now time.Time) *expectedAnswer {
	if within <= 0 {
		return nil
	}
	awaited := &expectedAnswer{outcomes: o, dueAt: now.Add(within)}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.waiting == nil {
		o.waiting = map[*expectedAnswer]struct{}{}
	}
	o.waiting[awaited] = struct{}{}
	return awaited
}

// end notes that the wait is over. One that took too long and ended without an answer counts as a fault.
func (a *expectedAnswer) end(answered bool, now time.Time) {
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
		a.outcomes.signReceived, a.outcomes.lastSignAt = true, now
	case now.After(a.dueAt):
		a.outcomes.faults++
	}
}

// record takes the outcome of one attempt.
func (o *serverOutcomes) record(outcome schedule.Outcome, now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	switch outcome {
	case schedule.OutcomeAnswered:
		o.answered++
		o.signReceived, o.lastSignAt = true, now
	case schedule.OutcomeFault, schedule.OutcomeUnreachable:
		o.faults++
	case schedule.OutcomeNotExecuted:
	}
}

// outcomeCounts are the numbers of one report.
type outcomeCounts struct {
	answered, faults, overdue uint32
	// lastSignAt is when the newest sign of an answer came since the last report; zero when none did.
	lastSignAt time.Time
}

func (c outcomeCounts) isEmpty() bool { return c == outcomeCounts{} }

// describe is what the core's leader is told of the server.
func (c outcomeCounts) describe(id string, incarnation uint64, now time.Time) *protocol.BackEndOutcomes {
	outcomes := &protocol.BackEndOutcomes{
		Id: id, Incarnation: incarnation, Answered: c.answered, Faults: c.faults, Overdue: c.overdue,
	}
	if !c.lastSignAt.IsZero() {
		age := uint32(max(now.Sub(c.lastSignAt), 0) / time.Millisecond)
		outcomes.SignAgeMillis = &age
	}
	return outcomes
}

// hasFailures reports whether there is something that the others should hear at once.
func (c outcomeCounts) hasFailures() bool { return c.faults > 0 || c.overdue > 0 }

// snapshot gives the numbers as they stand.
func (o *serverOutcomes) snapshot(now time.Time) outcomeCounts {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	counts := outcomeCounts{answered: o.answered, faults: o.faults}
	if o.signReceived {
		counts.lastSignAt = o.lastSignAt
	}
	for awaited := range o.waiting {
		if now.After(awaited.dueAt) {
			counts.overdue++
		}
	}
	return counts
}

// markReported takes off what was reported.
func (o *serverOutcomes) markReported(counts outcomeCounts) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.answered -= counts.answered
	o.faults -= counts.faults
	if o.lastSignAt.Equal(counts.lastSignAt) {
		o.signReceived = false
	}
}

// markSuspect has the server avoided until a time.
func (o *serverOutcomes) markSuspect(until time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.suspectUntil = until
}

// suspectedUntil is until when the server is avoided by what all front nodes saw.
func (o *serverOutcomes) suspectedUntil() time.Time {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.suspectUntil
}
