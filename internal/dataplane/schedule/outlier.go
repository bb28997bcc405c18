package schedule

import "time"

// Outcome classifies a request by what it shows of the server's health.
type Outcome int

// Outcomes of a request.
const (
	// OutcomeAnswered is a complete answer with any status.
	OutcomeAnswered Outcome = iota
	// OutcomeNotExecuted is a rejection that proves that the request did not run, as by a full or draining server. It
	// is no sign of the server's health.
	OutcomeNotExecuted
	// OutcomeFault is an answer that was cut off, was malformed or belonged to another request, or a timeout.
	OutcomeFault
	// OutcomeUnreachable is a connection that was refused, or reset before a request was sent on it.
	OutcomeUnreachable
)

const (
	// ejectAfterFaults is the number of consecutive faults that ejects a server.
	ejectAfterFaults = 5
	// ejectShare is the share of faults that ejects a server after at least minOutcomes outcomes.
	ejectShare  = 0.6
	minOutcomes = 10
	// outcomeGain is the weight of one outcome in the share.
	outcomeGain = 0.1
	// initialUnreachableEjection is the length of the first ejection of an unreachable server: long enough that others
	// are used, short enough for a server that restarts at the same address.
	initialUnreachableEjection = time.Second
	// initialEjection is the length of the first ejection after faults. The length doubles with each ejection that follows
	// within forgiveAfter, up to maxEjection.
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
	consecutiveFaults int
	// faultShare is the exponentially decayed share of faults among outcomes.
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

// Observe records the outcome of one request and reports whether it ejected the server. A failed
// connection ejects at once; faults do when several are consecutive or when they are most of the recent outcomes.
func (o *OutlierDetector) Observe(outcome Outcome, now time.Time) bool {
	switch outcome {
	case OutcomeNotExecuted:
		return false
	case OutcomeAnswered:
		o.consecutiveFaults = 0
		o.unreachable = false
		o.updateFaultShare(0)
		return false
	case OutcomeUnreachable:
		o.unreachable = true
		return o.eject(initialUnreachableEjection, now)
	}
	o.consecutiveFaults++
	o.updateFaultShare(1)
	if o.consecutiveFaults < ejectAfterFaults && (o.outcomes < minOutcomes || o.faultShare < ejectShare) {
		return false
	}
	return o.eject(initialEjection, now)
}

func (o *OutlierDetector) updateFaultShare(fault float64) {
	o.outcomes++
	o.faultShare += max(outcomeGain, 1/float64(o.outcomes)) * (fault - o.faultShare)
}

// eject ejects the server for a time that doubles with each ejection; an active ejection is not extended.
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
	o.consecutiveFaults, o.faultShare, o.outcomes = 0, 0, 0
	o.ejectedUntil = now.Add(length)
	return true
}

// EjectedUntil returns when the last ejection ends or ended; zero if there was none.
func (o *OutlierDetector) EjectedUntil() time.Time { return o.ejectedUntil }

// Unreachable reports whether the last outcome was that no connection to the server could be made.
func (o *OutlierDetector) Unreachable() bool { return o.unreachable }

// Ejected reports whether the server gets no traffic.
func (o *OutlierDetector) Ejected(now time.Time) bool {
	return now.Before(o.ejectedUntil)
}

// Share returns the factor to apply to the server's weight: it rises from minShare to 1 in the slow start after an
// ejection.
func (o *OutlierDetector) Share(now time.Time) float64 {
	if o.ejectedUntil.IsZero() {
		return 1
	}
	sinceEjection := now.Sub(o.ejectedUntil)
	if sinceEjection >= slowStart {
		return 1
	}
	return minShare + (1-minShare)*max(0, float64(sinceEjection)/float64(slowStart))
}
