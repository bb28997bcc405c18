package schedule

import "time"

// Outcome is what one request showed of a server's health.
type Outcome int

// Outcomes of a request.
const (
	// OutcomeAnswered is a complete answer with any status.
	OutcomeAnswered Outcome = iota
	// OutcomeNotExecuted is a proved rejection, as by a full or draining server: it shows nothing of its health.
	OutcomeNotExecuted
	// OutcomeFault is an answer that broke off, was malformed or belonged to another request, or a timeout.
	OutcomeFault
	// OutcomeUnreachable is a connection that was refused, or reset before a request was sent on it.
	OutcomeUnreachable
)

const (
	// ejectAfterFaults is the number of consecutive faults that ejects a server.
	ejectAfterFaults = 5
	// ejectShare is the share of faults that ejects a server, once there were minOutcomes.
	ejectShare  = 0.6
	minOutcomes = 10
	// outcomeGain is the weight of one outcome in the share.
	outcomeGain = 0.1
	// initialUnreachableEjection is the first ejection of a server that cannot be reached: long enough to use others,
	// short enough for a server that restarts at its address.
	initialUnreachableEjection = time.Second
	// initialEjection doubles with each ejection that follows within forgiveAfter, up to maxEjection.
	initialEjection = 5 * time.Second
	maxEjection     = 60 * time.Second
	// slowStart is how long a server takes from minShare to its full share after an ejection.
	slowStart = 10 * time.Second
	// minShare is the share of traffic when the ejection ends.
	minShare = 0.1
	// forgiveAfter is the time without an ejection after which earlier ones no longer count.
	forgiveAfter = 2 * time.Minute
)

// OutlierDetector counts the faults of one back end and ejects it for a while when it is an outlier of its group. Its
// zero value is a healthy server.
type OutlierDetector struct {
	faults int
	// faultShare is the decayed share of faults, over that many outcomes.
	faultShare float64
	outcomes   int

	ejections    int
	ejectedUntil time.Time
	unreachable  bool
}

// Record observes a fault or an answer and reports whether it ejected the server.
func (o *OutlierDetector) Record(fault bool, now time.Time) bool {
	if fault {
		return o.Observe(OutcomeFault, now)
	}
	return o.Observe(OutcomeAnswered, now)
}

// Observe records the outcome of one request and reports whether it ejected the server. A connection that cannot be
// made ejects at once; faults do when several are consecutive or when they are most of the recent outcomes.
func (o *OutlierDetector) Observe(outcome Outcome, now time.Time) bool {
	switch outcome {
	case OutcomeNotExecuted:
		return false
	case OutcomeAnswered:
		o.faults = 0
		o.unreachable = false
		o.updateFaultShare(0)
		return false
	case OutcomeUnreachable:
		o.unreachable = true
		return o.eject(initialUnreachableEjection, now)
	}
	o.faults++
	o.updateFaultShare(1)
	if o.faults < ejectAfterFaults && (o.outcomes < minOutcomes || o.faultShare < ejectShare) {
		return false
	}
	return o.eject(initialEjection, now)
}

func (o *OutlierDetector) updateFaultShare(fault float64) {
	o.outcomes++
	o.faultShare += max(outcomeGain, 1/float64(o.outcomes)) * (fault - o.faultShare)
}

// eject ejects the server for a time that doubles with each ejection; an ejection in force is not extended.
func (o *OutlierDetector) eject(first time.Duration, now time.Time) bool {
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

// EjectedUntil is when the last ejection ends or ended; zero when there was none.
func (o *OutlierDetector) EjectedUntil() time.Time { return o.ejectedUntil }

// Unreachable reports whether the last outcome was that no connection to the server could be made.
func (o *OutlierDetector) Unreachable() bool { return o.unreachable }

// Ejected reports whether the server gets no traffic.
func (o *OutlierDetector) Ejected(now time.Time) bool {
	return now.Before(o.ejectedUntil)
}

// Share is the part of its weight that the server gets: it rises from minShare to 1 in the slow start after an
// ejection.
func (o *OutlierDetector) Share(now time.Time) float64 {
	if o.ejectedUntil.IsZero() {
		return 1
	}
	back := now.Sub(o.ejectedUntil)
	if back >= slowStart {
		return 1
	}
	return minShare + (1-minShare)*max(0, float64(back)/float64(slowStart))
}
