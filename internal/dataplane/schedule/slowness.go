package schedule

import (
	"math"
	"time"
)

const (
	// slownessGain is the weight of one observation.
	slownessGain = 0.25
	// mostSlowness bounds what one observation may tell.
	maxSlowness = 16.0
	// leastSlowness lets faster servers of a group be preferred.
	minSlowness = 0.5
	// slownessMemory is the time constant with which a server that gives no answers is taken for an ordinary one
	// again, so that it is tried.
	slownessTimeConstant = 10 * time.Second
)

// Slowness estimates by which factor one server is slower than its group, from what its answers took against what
// was expected. Its zero value is an ordinary server.
type Slowness struct {
	// logarithm of the factor, so that half and double weigh the same.
	logarithm float64
	at        time.Time
}

// Observe takes one answer in.
func (s *Slowness) Observe(expected, observed time.Duration, now time.Time) {
	if expected <= 0 || observed <= 0 {
		return
	}
	ratio := min(max(float64(observed)/float64(expected), minSlowness), maxSlowness)
	before := s.decayed(now)
	s.logarithm = before + slownessGain*(math.Log(ratio)-before)
	s.at = now
}

// Factor is the estimate; 1 is an ordinary server.
func (s *Slowness) Factor(now time.Time) float64 {
	return math.Exp(s.decayed(now))
}

func (s *Slowness) decayed(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return s.logarithm * math.Exp(-max(now.Sub(s.at), 0).Seconds()/slownessTimeConstant.Seconds())
}

// FactorWhileWaiting is the factor when the oldest request without a first token has waited for so long: it tells of
// a server that became slow before any answer does.
func (s *Slowness) FactorWhileWaiting(expected, waited time.Duration, now time.Time) float64 {
	if expected <= 0 {
		return s.Factor(now)
	}
	return max(s.Factor(now), min(float64(waited)/float64(expected), maxSlowness))
}
