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
		return min(weight*correction, max(weight, q.parity(class, now)))
	case q.overtakes(class, now):
		return weight / correction
	}
	return weight
}

// parity is the weight with which a class gets slots as often, by what it asks for, as the worst served of the more
// urgent classes. A class that starves gets no more, so that it catches up without passing them in a burst of theirs.
func (q *Queue) parity(class *classQueue, now time.Time) float64 {
	own, least := q.asked(class, now), math.Inf(1)
	for _, urgent := range q.classes {
		if urgent == class {
			break
		}
		if asked := q.asked(urgent, now); asked > 0 {
			least = min(least, q.weight(urgent, now)*own/asked)
		}
	}
	return least
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
