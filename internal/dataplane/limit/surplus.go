package limit

import "time"

// SurplusSlots is how many requests one of so many front nodes may send beyond its slots rather than reject them: its
// share of what remains until half of the servers' slots are occupied, by their last load reports.
func SurplusSlots(serverSlots, occupied, fronts int) int {
	return max(serverSlots/2-occupied, 0) / max(fronts, 1)
}

// spendSurplus spends surplus slots until the class gets one, for a ticket of it that would be rejected otherwise, and
// reports whether it did. More urgent classes that wait take weighted turns with it, so that a ticket never
// passes them because it would be rejected. Without such classes the ticket gets the first surplus slot.
func (q *Queue) spendSurplus(class *classQueue, now time.Time) (decisions []Decision, isGranted bool) {
	for q.surplusSlots > 0 {
		q.surplusSlots--
		next := q.moreUrgentWaiting(class)
		if next == nil {
			return decisions, true
		}
		if class.count == 0 {
			class.pass = max(class.pass, q.virtualTime)
		}
		if class.pass < next.pass {
			class.pass += q.stride(class, now)
			return decisions, true
		}
		next.pass += q.stride(next, now)
		decisions = append(decisions, q.run(next, next.pop().ticket, now))
	}
	return decisions, false
}

// moreUrgentWaiting is the class with the next turn among those with waiting tickets that are more urgent than a class;
// nil without any.
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
