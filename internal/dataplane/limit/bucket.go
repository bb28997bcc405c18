package limit

import "time"

// Bucket is a token bucket. A rate of 0 or less does not limit.
type Bucket struct {
	rate   float64
	burst  float64
	level  float64
	filled time.Time
}

// NewBucket returns a full bucket that is filled at a rate of tokens per second. It holds the tokens of burstSeconds,
// and at least one.
func NewBucket(rate, burstSeconds float64, now time.Time) *Bucket {
	burst := max(rate*burstSeconds, 1)
	return &Bucket{rate: rate, burst: burst, level: burst, filled: now}
}

// SetRate changes the rate, in tokens per second, and lowers the level to the new burst if it is above that.
func (b *Bucket) SetRate(rate, burstSeconds float64, now time.Time) {
	if rate == b.rate {
		return
	}
	b.fill(now)
	b.rate, b.burst = rate, max(rate*burstSeconds, 1)
	b.level = min(b.level, b.burst)
}

// Take takes an amount from the bucket if it holds that amount or at least one token; otherwise it returns how long to
// wait. A larger amount leaves the bucket in debt, since the number of a turn's tokens is known only afterwards.
func (b *Bucket) Take(amount float64, now time.Time) (taken bool, wait time.Duration) {
	if b.rate <= 0 {
		return true, 0
	}
	b.fill(now)
	if need := min(amount, 1); b.level < need {
		return false, secondsOf((need - b.level) / b.rate)
	}
	b.level -= amount
	return true, 0
}

// Charge takes an amount from the bucket, whatever its level.
func (b *Bucket) Charge(amount float64, now time.Time) {
	if b.rate <= 0 {
		return
	}
	b.fill(now)
	b.level -= amount
}

func (b *Bucket) fill(now time.Time) {
	if passed := now.Sub(b.filled); passed > 0 {
		b.level = min(b.burst, b.level+b.rate*passed.Seconds())
		b.filled = now
	}
}

func secondsOf(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
