package limit

import "time"

const (
	// DefaultMaxConcurrent bounds the requests under way on one front node.
	DefaultMaxConcurrent = 1024

	leastConcurrent = 8
	// slowFactor and slowMargin say when a latency counts as a sign of overload:
	// above the baseline times the factor plus the margin.
	slowFactor = 4
	slowMargin = 250 * time.Millisecond
	// cutFactor is applied at most once in cutInterval.
	cutFactor   = 0.85
	mostCut     = 0.5
	cutInterval = 500 * time.Millisecond
	// baselineGain is the weight of a new sample in the baseline; samples under
	// load raise it more slowly than samples at ease lower it.
	baselineGain     = 0.05
	baselineSlowGain = 0.002
)

// Concurrency is a limit on requests under way that adapts to measured
// latency: it falls by a factor when answers become slow or are refused, and
// rises by one for each limit's worth of good answers.
type Concurrency struct {
	most     float64
	limit    float64
	baseline time.Duration
	lastCut  time.Time
}

// NewConcurrency makes a limit that begins at its maximum; zero means DefaultMaxConcurrent.
func NewConcurrency(most uint32) *Concurrency {
	c := &Concurrency{}
	c.SetLimit(most)
	c.limit = c.most
	return c
}

// SetMost changes the maximum.
func (c *Concurrency) SetLimit(most uint32) {
	if most == 0 {
		most = DefaultMaxConcurrent
	}
	atMost := c.limit >= c.most
	c.most = float64(most)
	if atMost || c.limit > c.most {
		c.limit = c.most
	}
}

// Limit is the number of requests that may be under way now.
func (c *Concurrency) Limit() int { return int(c.limit) }

// Sample is what one request told of the back ends.
type Sample struct {
	// Latency is the time from issue to the first token; zero is not measured.
	Latency time.Duration
	// Refused is true when a back end answered that it is overloaded.
	Rejected bool
}

// Record takes one sample, measured with inFlight requests under way.
func (c *Concurrency) Record(sample Sample, inFlight int, now time.Time) {
	slow := sample.Rejected
	if sample.Latency > 0 {
		slow = slow || c.baseline > 0 && sample.Latency > slowFactor*c.baseline+slowMargin
		c.learn(sample.Latency)
	}
	if slow {
		c.cut(inFlight, now)
		return
	}
	if sample.Latency > 0 && float64(inFlight) >= c.limit/2 {
		c.limit = min(c.most, c.limit+1/c.limit)
	}
}

func (c *Concurrency) learn(latency time.Duration) {
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

// cut lowers the limit from what is under way, since a limit that nothing
// reaches bounds nothing; one cut takes no more than half before its factor.
func (c *Concurrency) cut(inFlight int, now time.Time) {
	if now.Sub(c.lastCut) < cutInterval {
		return
	}
	c.lastCut = now
	from := min(c.limit, max(float64(inFlight), c.limit*mostCut))
	c.limit = max(min(leastConcurrent, c.most), from*cutFactor)
}
