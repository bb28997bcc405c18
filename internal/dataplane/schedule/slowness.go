package schedule

import (
	"math"
	"time"
)

const (
	// slownessGain is the weight of one observation.
	slownessGain = 0.25
	// maxSlowness bounds the effect of one observation.
	maxSlowness = 16.0
	// minSlowness is below 1 so that faster servers of a group are preferred.
	minSlowness = 0.5
	// slownessTimeConstant is the time constant with which the estimate of a server without answers decays to that of an
	// ordinary one, so that it gets requests again.
	slownessTimeConstant = 10 * time.Second
)

// Slowness estimates the factor by which one server is slower than its group, from the durations of its answers and the
// expected ones. Its zero value is an ordinary server.
type Slowness struct {
	// logarithm is the logarithm of the factor, so that factors of a half and of two have the same weight.
	logarithm float64
	updatedAt time.Time
}

// Observe adds the duration of one answer; values that are not positive are ignored.
func (s *Slowness) Observe(expected, observed time.Duration, now time.Time) {
	if expected <= 0 || observed <= 0 {
		return
	}
	ratio := min(max(float64(observed)/float64(expected), minSlowness), maxSlowness)
	before := s.decayed(now)
	s.logarithm = before + slownessGain*(math.Log(ratio)-before)
	s.updatedAt = now
}

// Factor returns the estimate; 1 means an ordinary server.
func (s *Slowness) Factor(now time.Time) float64 {
	return math.Exp(s.decayed(now))
}

func (s *Slowness) decayed(now time.Time) float64 {
	if s.updatedAt.IsZero() {
		return 0
	}
	return s.logarithm * math.Exp(-max(now.Sub(s.updatedAt), 0).Seconds()/slownessTimeConstant.Seconds())
}

// FactorWhileWaiting returns the factor, raised by how long the oldest request without a first token has waited, so
// that a server that becomes slow is detected before it answers.
func (s *Slowness) FactorWhileWaiting(expected, waited time.Duration, now time.Time) float64 {
	if expected <= 0 {
		return s.Factor(now)
	}
	return max(s.Factor(now), min(float64(waited)/float64(expected), maxSlowness))
}
