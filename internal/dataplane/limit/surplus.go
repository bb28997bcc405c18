package limit

import "time"

// Spare is how many requests one of so many front nodes may send beyond its slots rather than refuse them: its share of
// what is missing until half of the servers' places are taken, as of the last reports.
func SurplusSlots(places, taken, fronts int) int {
	return max(places/2-taken, 0) / max(fronts, 1)
}

// spendSpare spends spare places until one falls to the class, for a ticket of it that would be refused otherwise, and
// reports whether one did. More urgent classes that wait take weighted turns with it, so that a refused ticket never
// passes them for having been refused. Without such classes the first spare place is the ticket's.
func (q *Queue) spendSpare(refused *classQueue, now time.Time) (decisions []Decision, granted bool) {
	for q.spare > 0 {
		q.spare--
		next := q.moreUrgentWaiting(refused)
		if next == nil {
			return decisions, true
		}
		if refused.count == 0 {
			refused.pass = max(refused.pass, q.clock)
		}
		if refused.pass < next.pass {
			refused.pass += q.turnCost(refused, now)
			return decisions, true
		}
		next.pass += q.turnCost(next, now)
		decisions = append(decisions, q.run(next, next.pop().ticket, now))
	}
	return decisions, false
}

// moreUrgentWaiting is the class with the next turn among those that wait and are more urgent than a class; nil without any.
func (q *Queue) moreUrgentWaiting(class *classQueue) *classQueue {
	var next *classQueue
	for _, other := range q.classes {
		if other == class {
			break
		}
		if other.count > 0 && (next == nil || other.pass < next.pass) {
			next = other
		}
	}
	return next
}
