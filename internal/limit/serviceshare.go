package limit

import (
	"math"
	"time"
)

const (
	// shareMemory is the time constant with which decisions on tickets are forgotten.
	shareMemory = 8 * time.Second
	// leastDecisions is how many decisions, forgotten ones less, a share needs to mean something.
	leastDecisions = 8
	// starvingShare is the part of the share of all tickets under which a class starves.
	starvingShare = 0.35
	// overtakingShare is by how much a class may be served better than a more urgent one.
	overtakingShare = 0.03
	// correction is the factor by which either changes the weight of a class.
	correction = 4
)

// serviceShare follows which share of the tickets that were decided on got a slot.
type serviceShare struct {
	ran     float64
	decided float64
	at      time.Time
}

func (s *serviceShare) count(ran bool, now time.Time) {
	kept := s.kept(now)
	s.ran *= kept
	s.decided = s.decided*kept + 1
	s.at = now
	if ran {
		s.ran++
	}
}

func (s *serviceShare) kept(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return math.Exp(-max(now.Sub(s.at), 0).Seconds() / shareMemory.Seconds())
}

// share is one when too little is known.
func (s *serviceShare) share(now time.Time) float64 {
	if s.decided*s.kept(now) < leastDecisions {
		return 1
	}
	return s.ran / s.decided
}

// weight is the class's share of contended slots: more when it starves, less while it is served better than a more
// urgent class.
func (q *Queue) weight(class *classQueue, now time.Time) float64 {
	weight := classWeights[class.class]
	switch {
	case q.starves(class, now):
		return weight * correction
	case q.overtakes(class, now):
		return weight / correction
	}
	return weight
}

// starves reports whether a class gets a slot much more rarely than all do.
func (q *Queue) starves(class *classQueue, now time.Time) bool {
	return class.service.share(now) < starvingShare*q.all.share(now)
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
