package schedule

import "time"

const (
	// ejectAfter is the number of faults in a row that ejects a server.
	ejectAfter = 5
	// firstEjection doubles with each ejection that follows soon, up to longestEjection.
	firstEjection   = 5 * time.Second
	longestEjection = 60 * time.Second
	// slowReturn is how long a server takes from the least to its full share after an ejection.
	slowReturn = 10 * time.Second
	// leastShare is the share of traffic at the moment of return.
	leastShare = 0.1
	// forgiveAfter is the quiet time after which earlier ejections no longer count.
	forgiveAfter = 2 * time.Minute
)

// Outlier follows the faults of one back end. Its zero value is a healthy server.
type Outlier struct {
	faults    int
	ejections int
	until     time.Time
}

// Record takes the outcome of one request and reports whether it ejected the server.
func (o *Outlier) Record(fault bool, now time.Time) bool {
	if !fault {
		o.faults = 0
		return false
	}
	o.faults++
	if o.faults < ejectAfter || o.Ejected(now) {
		return false
	}
	o.eject(now)
	return true
}

func (o *Outlier) eject(now time.Time) {
	if !o.until.IsZero() && now.Sub(o.until) > forgiveAfter {
		o.ejections = 0
	}
	length := firstEjection
	for range o.ejections {
		length = min(2*length, longestEjection)
	}
	o.ejections++
	o.faults = 0
	o.until = now.Add(length)
}

// Ejected reports whether traffic is kept off the server.
func (o *Outlier) Ejected(now time.Time) bool {
	return now.Before(o.until)
}

// Share is the part of its weight that the server takes: it rises from a tenth to one after an ejection.
func (o *Outlier) Share(now time.Time) float64 {
	if o.until.IsZero() {
		return 1
	}
	back := now.Sub(o.until)
	if back >= slowReturn {
		return 1
	}
	return leastShare + (1-leastShare)*max(0, float64(back)/float64(slowReturn))
}
