package schedule

import "time"

// Outcome is what one request told of a server's health.
type Outcome int

// Outcomes of a request.
const (
	// OutcomeAnswered is a whole answer of whatever status.
	OutcomeAnswered Outcome = iota
	// OutcomeNotExecuted is a proved refusal, as of a full or draining server: it tells nothing of its health.
	OutcomeNotExecuted
	// OutcomeFault is an answer that broke off, was garbled or belonged to another request, or silence.
	OutcomeFault
	// OutcomeUnreachable is a connection that was refused, or reset before a request was sent on it.
	OutcomeUnreachable
)

const (
	// ejectAfter is the number of faults in a row that ejects a server.
	ejectAfterFaults = 5
	// ejectShare is the share of faults that ejects a server, once there were leastOutcomes.
	ejectShare    = 0.6
	minOutcomes = 10
	// outcomeGain is the weight of one outcome in the share.
	outcomeGain = 0.1
	// firstUnreachable is the first ejection of a server that cannot be reached: long enough to look elsewhere, short
	// enough for a server that restarts at its address.
	initialUnreachableEjection = time.Second
	// firstEjection doubles with each ejection that follows soon, up to longestEjection.
	initialEjection   = 5 * time.Second
	maxEjection = 60 * time.Second
	// slowReturn is how long a server takes from the least to its full share after an ejection.
	slowStart = 10 * time.Second
	// leastShare is the share of traffic at the moment of return.
	minShare = 0.1
	// forgiveAfter is the quiet time after which earlier ejections no longer count.
	forgiveAfter = 2 * time.Minute
)

// Outlier follows the faults of one back end. Its zero value is a healthy server.
type Outlier struct {
	faults int
	// share is the share of faults of late, over that many outcomes.
	faultShare    float64
	outcomes int

	ejections   int
	ejectedUntil       time.Time
	unreachable bool
}

// Record takes the outcome of one request and reports whether it ejected the server.
func (o *Outlier) Record(fault bool, now time.Time) bool {
	if fault {
		return o.Observe(OutcomeFault, now)
	}
	return o.Observe(OutcomeAnswered, now)
}

// Observe takes the outcome of one request and reports whether it ejected the server. A connection that cannot be
// made ejects at once; faults do when there are several in a row or when they are most of what came of late.
func (o *Outlier) Observe(outcome Outcome, now time.Time) bool {
	switch outcome {
	case OutcomeNotExecuted:
		return false
	case OutcomeAnswered:
		o.faults = 0
		o.unreachable = false
		o.count(0)
		return false
	case OutcomeUnreachable:
		o.unreachable = true
		return o.eject(initialUnreachableEjection, now)
	}
	o.faults++
	o.count(1)
	if o.faults < ejectAfterFaults && (o.outcomes < minOutcomes || o.faultShare < ejectShare) {
		return false
	}
	return o.eject(initialEjection, now)
}

func (o *Outlier) count(fault float64) {
	o.outcomes++
	o.faultShare += max(outcomeGain, 1/float64(o.outcomes)) * (fault - o.faultShare)
}

// eject keeps traffic off for a time that doubles with each ejection; one that is ejected already stays so no longer.
func (o *Outlier) eject(first time.Duration, now time.Time) bool {
	if o.Ejected(now) {
		return false
	}
	if !o.ejectedUntil.IsZero() && now.Sub(o.ejectedUntil) > forgiveAfter {
		o.ejections = 0
	}
	length := first
	for range o.ejections {
		length = min(2*length, maxEjection)
	}
	o.ejections++
	o.faults, o.faultShare, o.outcomes = 0, 0, 0
	o.ejectedUntil = now.Add(length)
	return true
}

// Until is when the last ejection ends or ended; zero when there was none.
func (o *Outlier) Until() time.Time { return o.ejectedUntil }

// Unreachable reports whether the last thing known of the server is that no connection to it could be made.
func (o *Outlier) Unreachable() bool { return o.unreachable }

// Ejected reports whether traffic is kept off the server.
func (o *Outlier) Ejected(now time.Time) bool {
	return now.Before(o.ejectedUntil)
}

// Share is the part of its weight that the server takes: it rises from a tenth to one after an ejection.
func (o *Outlier) Share(now time.Time) float64 {
	if o.ejectedUntil.IsZero() {
		return 1
	}
	back := now.Sub(o.ejectedUntil)
	if back >= slowStart {
		return 1
	}
	return minShare + (1-minShare)*max(0, float64(back)/float64(slowStart))
}
