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
	// overtakingShare is by how much a class may be served better than a more urgent one.
	overtakingShare = 0.03
	// weightCorrection is the factor by which either changes the weight of a class.
	weightCorrection = 4
)

// serviceShare is the share of the decided tickets that got a slot.
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

func (s *serviceShare) decay(now time.Time) float64 {
	if s.updatedAt.IsZero() {
		return 0
	}
	return math.Exp(-max(now.Sub(s.updatedAt), 0).Seconds() / shareTimeConstant.Seconds())
}

// share is from 0 to 1, and 1 below minDecisions.
func (s *serviceShare) share(now time.Time) float64 {
	if s.decided*s.decay(now) < minDecisions {
		return 1
	}
	return s.ran / s.decided
}

// weight is the class's relative share of contended slots: raised when it starves, lowered while it is served better
// than a more urgent class.
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

// parityWeight is the weight with which a class gets slots as often, by its demand, as the worst served of the more
// urgent classes. A class that starves gets no more, so that it catches up without passing them in a burst of theirs.
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

// starves reports whether a class gets slots much more rarely than all classes together.
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
