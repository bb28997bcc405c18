package backends

import (
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

// serverOutcomes holds the outcomes that this front node observed at one server and has not reported to the core yet,
// and the time until which the server is suspect. The mutex guards all fields.
type serverOutcomes struct {
	mutex    sync.Mutex
	answered uint32
	faults   uint32
	// waiting holds the requests without a first sign of an answer.
	waiting map[*ExpectedAnswer]struct{}
	// signReceived is set when a sign of an answer arrived since the last report; lastSignAt is the time of the newest.
	signReceived bool
	lastSignAt   time.Time
	// suspectUntil is the time until which the server is suspect, as decided by the core from all front nodes' outcomes.
	suspectUntil time.Time
}

// ExpectedAnswer tracks one request that waits for the first sign of its answer. A nil ExpectedAnswer tracks nothing.
type ExpectedAnswer struct {
	outcomes *serverOutcomes
	dueAt    time.Time
}

// expectAnswer tracks a request that should be answered within a duration. Zero means no bound; the result is then
// nil.
func (o *serverOutcomes) expectAnswer(within time.Duration, now time.Time) *ExpectedAnswer {
	if within <= 0 {
		return nil
	}
	expected := &ExpectedAnswer{outcomes: o, dueAt: now.Add(within)}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.waiting == nil {
		o.waiting = map[*ExpectedAnswer]struct{}{}
	}
	o.waiting[expected] = struct{}{}
	return expected
}

// End ends the wait. A wait that ends past its due time without an answer counts as a fault.
func (a *ExpectedAnswer) End(answered bool, now time.Time) {
	if a == nil {
		return
	}
	a.outcomes.mutex.Lock()
	defer a.outcomes.mutex.Unlock()
	if _, isWaiting := a.outcomes.waiting[a]; !isWaiting {
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

// record counts the outcome of one attempt.
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

// OutcomeCounts holds the counts of one report.
type OutcomeCounts struct {
	answered, faults, overdue uint32
	// lastSignAt is when the newest sign of an answer since the last report arrived; zero when none did.
	lastSignAt time.Time
}

// IsEmpty reports whether nothing was observed.
func (c OutcomeCounts) IsEmpty() bool { return c == OutcomeCounts{} }

// ToProto converts the counts to the message sent to the leader of the core.
func (c OutcomeCounts) ToProto(id string, incarnation uint64, now time.Time) *protocol.BackEndOutcomes {
	outcomes := &protocol.BackEndOutcomes{
		Id: id, Incarnation: incarnation, Answered: c.answered, Faults: c.faults, Overdue: c.overdue,
	}
	if !c.lastSignAt.IsZero() {
		age := uint32(max(now.Sub(c.lastSignAt), 0) / time.Millisecond)
		outcomes.SignAgeMillis = &age
	}
	return outcomes
}

// HasFailures reports whether there are faults or overdue answers, which are reported without delay.
func (c OutcomeCounts) HasFailures() bool { return c.faults > 0 || c.overdue > 0 }

// snapshot returns the current counts.
func (o *serverOutcomes) snapshot(now time.Time) OutcomeCounts {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	counts := OutcomeCounts{answered: o.answered, faults: o.faults}
	if o.signReceived {
		counts.lastSignAt = o.lastSignAt
	}
	for expected := range o.waiting {
		if now.After(expected.dueAt) {
			counts.overdue++
		}
	}
	return counts
}

// markReported subtracts the counts that were reported.
func (o *serverOutcomes) markReported(counts OutcomeCounts) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.answered -= counts.answered
	o.faults -= counts.faults
	if o.lastSignAt.Equal(counts.lastSignAt) {
		o.signReceived = false
	}
}

// markSuspect marks the server as suspect until the given time.
func (o *serverOutcomes) markSuspect(until time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.suspectUntil = until
}

// suspectedUntil returns the time that markSuspect set last.
func (o *serverOutcomes) suspectedUntil() time.Time {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.suspectUntil
}
