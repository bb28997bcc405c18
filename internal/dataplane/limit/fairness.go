package limit

import (
	"slices"
	"time"
)

// push adds a ticket. A class or tenant that had nothing to do starts at the
// present virtual time, so it gains nothing by having been idle.
func (q *Queue) push(class *classQueue, w waiting) {
	if class.count == 0 {
		class.pass = max(class.pass, q.clock)
	}
	class.tenant(w.ticket).insert(w)
	class.count++
}

func (c *classQueue) tenant(ticket Ticket) *tenantQueue {
	for _, tenant := range c.tenants {
		if tenant.name == ticket.Tenant {
			return tenant
		}
	}
	tenant := &tenantQueue{name: ticket.Tenant, weight: float64(max(ticket.Weight, 1)), pass: c.clock}
	c.tenants = append(c.tenants, tenant)
	return tenant
}

// insert keeps the most urgent ticket first, and those of one urgency in the order in which they came.
func (t *tenantQueue) insert(w waiting) {
	at := len(t.waiting)
	for at > 0 && w.urgency.Before(t.waiting[at-1].urgency) {
		at--
	}
	t.waiting = slices.Insert(t.waiting, at, w)
}

// dispatch hands out free slots by weighted turns of classes, then of tenants.
func (q *Queue) dispatch(now time.Time) []Decision {
	var decisions []Decision
	for q.inFlight < q.slots {
		class := q.nextClass()
		if class == nil {
			break
		}
		q.clock = class.pass
		class.pass += q.turnCost(class, now)
		decisions = append(decisions, q.run(class, class.pop().ticket, now))
	}
	return decisions
}

// turnCost is the virtual time that one slot costs a class.
func (q *Queue) turnCost(class *classQueue, now time.Time) float64 {
	return tenantShareUnit / q.weight(class, now)
}

func (q *Queue) nextClass() *classQueue {
	var next *classQueue
	for _, class := range q.classes {
		if class.count > 0 && (next == nil || class.pass < next.pass) {
			next = class
		}
	}
	return next
}

func (c *classQueue) pop() waiting {
	next := c.tenants[0]
	for _, tenant := range c.tenants[1:] {
		if tenant.pass < next.pass {
			next = tenant
		}
	}
	c.clock = next.pass
	next.pass += tenantShareUnit / next.weight
	head := next.waiting[0]
	next.waiting = next.waiting[1:]
	c.taken(next)
	return head
}

// taken counts one ticket out of the tenant's queue.
func (c *classQueue) taken(tenant *tenantQueue) {
	c.count--
	c.dropEmpty(tenant)
}

func (c *classQueue) dropEmpty(tenant *tenantQueue) {
	if len(tenant.waiting) > 0 {
		return
	}
	if at := slices.Index(c.tenants, tenant); at >= 0 {
		c.tenants = slices.Delete(c.tenants, at, at+1)
	}
	if len(c.tenants) == 0 {
		c.clock = 0
	}
}

// makeRoom takes the newest ticket from the tenant that is furthest over its
// fair share, when the new ticket's tenant is under its own.
func (c *classQueue) makeRoom(ticket Ticket) (Ticket, bool) {
	mine := (1 + c.held(ticket.Tenant)) / float64(max(ticket.Weight, 1))
	var most *tenantQueue
	for _, tenant := range c.tenants {
		if most == nil || tenant.share() > most.share() {
			most = tenant
		}
	}
	if most == nil || most.name == ticket.Tenant || most.share() <= mine {
		return Ticket{}, false
	}
	last := most.waiting[len(most.waiting)-1]
	most.waiting = most.waiting[:len(most.waiting)-1]
	c.taken(most)
	return last.ticket, true
}

func (c *classQueue) held(name string) float64 {
	for _, tenant := range c.tenants {
		if tenant.name == name {
			return float64(len(tenant.waiting))
		}
	}
	return 0
}

func (t *tenantQueue) share() float64 {
	return float64(len(t.waiting)) / t.weight
}

// measureDrain follows how many slots a second are given back.
func (q *Queue) measureDrain(now time.Time) {
	if q.drainFrom.IsZero() {
		q.drainFrom = now
		return
	}
	passed := now.Sub(q.drainFrom)
	if passed < drainWindow {
		return
	}
	rate := float64(q.drained) / passed.Seconds()
	if q.drainRate == 0 {
		q.drainRate = rate
	}
	q.drainRate += drainGain * (rate - q.drainRate)
	q.drained, q.drainFrom = 0, now
}

// retryAfter is the time in which the queue at hand drains.
func (q *Queue) retryAfter(queued int) time.Duration {
	if q.drainRate <= 0 {
		return unknownRetry
	}
	return boundRetry(secondsOf(float64(queued+1) / q.drainRate))
}

func boundRetry(wait time.Duration) time.Duration {
	return min(max(wait, leastRetryAfter), mostRetryAfter)
}
