package limit

import "time"

const (
	// DefaultMaxConcurrent is the maximum number of requests in flight on one front node.
	DefaultMaxConcurrent = 1024

	minConcurrent = 8
	// A latency above the baseline times slowLatencyFactor plus slowLatencyMargin counts as a sign of overload.
	slowLatencyFactor = 4
	slowLatencyMargin = 250 * time.Millisecond
	// decreaseFactor is applied at most once in minDecreaseInterval, to no less than minDecreaseBase of the limit.
	decreaseFactor      = 0.85
	minDecreaseBase     = 0.5
	minDecreaseInterval = 500 * time.Millisecond
	// baselineGain is the weight of a new sample in the baseline. Samples above the baseline have the smaller weight
	// baselineSlowGain, since they may be caused by load.
	baselineGain     = 0.05
	baselineSlowGain = 0.002
)

// Concurrency is a limit on requests in flight that adapts to measured latency: it is multiplied by a factor below 1
// when answers become slow or are rejections, and rises by one for each time that as many good answers arrive as the
// limit.
type Concurrency struct {
	maxLimit     float64
	limit        float64
	baseline     time.Duration
	lastDecrease time.Time
}

// NewConcurrency returns a limit that starts at its maximum; 0 means DefaultMaxConcurrent.
func NewConcurrency(maxLimit uint32) *Concurrency {
	c := &Concurrency{}
	c.SetMaxLimit(maxLimit)
	c.limit = c.maxLimit
	return c
}

// SetMaxLimit changes the maximum; 0 means DefaultMaxConcurrent.
func (c *Concurrency) SetMaxLimit(maxLimit uint32) {
	if maxLimit == 0 {
		maxLimit = DefaultMaxConcurrent
	}
	atMax := c.limit >= c.maxLimit
	c.maxLimit = float64(maxLimit)
	if atMax || c.limit > c.maxLimit {
		c.limit = c.maxLimit
	}
}

// Limit returns the number of requests that may be in flight now.
func (c *Concurrency) Limit() int { return int(c.limit) }

// Sample is a sign of the back ends' load from one request.
type Sample struct {
	// Latency is the time from issue to the first token; 0 means not measured.
	Latency time.Duration
	// Rejected is true when a back end answered that it is overloaded.
	Rejected bool
}

// Record adds one sample, measured with inFlight requests in flight.
func (c *Concurrency) Record(sample Sample, inFlight int, now time.Time) {
	slow := sample.Rejected
	if sample.Latency > 0 {
		slow = slow || c.baseline > 0 && sample.Latency > slowLatencyFactor*c.baseline+slowLatencyMargin
		c.updateBaseline(sample.Latency)
	}
	if slow {
		c.decrease(inFlight, now)
		return
	}
	if sample.Latency > 0 && float64(inFlight) >= c.limit/2 {
		c.limit = min(c.maxLimit, c.limit+1/c.limit)
	}
}

func (c *Concurrency) updateBaseline(latency time.Duration) {
	if c.baseline == 0 {
		c.baseline = latency
		return
	}
	gain := baselineGain
	if latency > c.baseline {
		gain = baselineSlowGain
	}
	c.baseline += time.Duration(gain * float64(latency-c.baseline))
}

// decrease lowers the limit. It starts from the number of requests in flight if that is lower than the limit, since a
// limit that is not reached has no effect, but from no less than minDecreaseBase of the limit.
func (c *Concurrency) decrease(inFlight int, now time.Time) {
	if now.Sub(c.lastDecrease) < minDecreaseInterval {
		return
	}
	c.lastDecrease = now
	base := min(c.limit, max(float64(inFlight), c.limit*minDecreaseBase))
	c.limit = max(min(minConcurrent, c.maxLimit), base*decreaseFactor)
}
