package limit

import "time"

// SurplusSlots returns how many requests each front node may send in excess of its slots instead of rejecting them: its
// share of what remains until half of the servers' slots are occupied, according to their last load reports.
func SurplusSlots(serverSlots, occupied, fronts int) int {
	return max(serverSlots/2-occupied, 0) / max(fronts, 1)
}

// spendSurplus assigns surplus slots until the class gets one, for a ticket that would be rejected otherwise, and
// reports whether it did. More urgent classes with waiting tickets share the surplus slots with it by stride
// scheduling, so that no ticket overtakes them only because it would be rejected. Without such classes the ticket gets
// the first surplus slot.
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

// moreUrgentWaiting returns the class with the lowest pass among those that are more urgent than a class and have
// waiting tickets; nil if there is none.
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
