package limit

import (
	"math"
	"time"
)

const (
	// shareTimeConstant is the time constant with which decisions on tickets decay.
	shareTimeConstant = 8 * time.Second
	// minDecisions is the minimum number of decisions, after decay, for a share to be significant.
	minDecisions = 8
	// starvingShare is the part of the share of all tickets below which a class starves.
	starvingShare = 0.35
	// overtakingShare is how much higher the share of a class may be than that of a more urgent one.
	overtakingShare = 0.03
	// weightCorrection is the factor by which the weight of a class is raised if it starves, at most, and lowered if it
	// is served better than a more urgent one.
	weightCorrection = 4
)

// serviceShare is the exponentially decayed share of the decided tickets that got a slot.
type serviceShare struct {
	ran       float64
	decided   float64
	updatedAt time.Time
}

func (s *serviceShare) record(ran bool, now time.Time) {
	decay := s.decay(now)
	s.ran *= decay
	s.decided = s.decided*decay + 1
	s.updatedAt = now
	if ran {
		s.ran++
	}
}

// decay returns the factor by which the counts have decayed since they were updated.
func (s *serviceShare) decay(now time.Time) float64 {
	if s.updatedAt.IsZero() {
		return 0
	}
	return math.Exp(-max(now.Sub(s.updatedAt), 0).Seconds() / shareTimeConstant.Seconds())
}

// share returns the share, from 0 to 1; it is 1 while there are fewer than minDecisions decisions.
func (s *serviceShare) share(now time.Time) float64 {
	if s.decided*s.decay(now) < minDecisions {
		return 1
	}
	return s.ran / s.decided
}

// weight returns the class's relative share of contended slots: raised when it starves, lowered while it is served
// better than a more urgent class.
func (q *Queue) weight(class *classQueue, now time.Time) float64 {
	weight := classWeights[class.class]
	switch {
	case q.starves(class, now):
		return min(weight*weightCorrection, max(weight, q.parityWeight(class, now)))
	case q.overtakes(class, now):
		return weight / weightCorrection
	}
	return weight
}

// parityWeight returns the weight at which a class gets as many slots, relative to its demand, as the worst served of
// the more urgent classes. It bounds the weight of a class that starves, so that the class catches up without being
// served better than more urgent ones during their bursts.
func (q *Queue) parityWeight(class *classQueue, now time.Time) float64 {
	own, minWeight := q.demandRate(class, now), math.Inf(1)
	for _, urgent := range q.classes {
		if urgent == class {
			break
		}
		if demanded := q.demandRate(urgent, now); demanded > 0 {
			minWeight = min(minWeight, q.weight(urgent, now)*own/demanded)
		}
	}
	return minWeight
}

// starves reports whether a class gets slots much less often than all classes together.
func (q *Queue) starves(class *classQueue, now time.Time) bool {
	return class.service.share(now) < starvingShare*q.allClasses.share(now)
}

// overtakes reports whether a class is served better than a more urgent one.
func (q *Queue) overtakes(class *classQueue, now time.Time) bool {
	own := class.service.share(now)
	for _, urgent := range q.classes {
		if urgent == class {
			break
		}
		if urgent.service.share(now) < own-overtakingShare {
			return true
		}
	}
	return false
}
