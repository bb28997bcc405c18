package limit

import (
	"slices"
	"time"
)

// push adds a ticket. A class or tenant that was idle starts at the current virtual time, so that it gains nothing by
// having been idle.
func (q *Queue) push(class *classQueue, queued queuedTicket) {
	if class.count == 0 {
		class.pass = max(class.pass, q.virtualTime)
	}
	class.tenant(queued.ticket).insert(queued)
	class.count++
}

// tenant returns the queue of the ticket's tenant and adds it if necessary.
func (c *classQueue) tenant(ticket Ticket) *tenantQueue {
	for _, tenant := range c.tenants {
		if tenant.name == ticket.Tenant {
			return tenant
		}
	}
	tenant := &tenantQueue{name: ticket.Tenant, weight: float64(max(ticket.Weight, 1)), pass: c.virtualTime}
	c.tenants = append(c.tenants, tenant)
	return tenant
}

// insert adds a ticket. The most urgent ticket is first, and those of equal urgency are in the order of arrival.
func (t *tenantQueue) insert(queued queuedTicket) {
	position := len(t.tickets)
	for position > 0 && queued.urgency.Before(t.tickets[position-1].urgency) {
		position--
	}
	t.tickets = slices.Insert(t.tickets, position, queued)
}

// dispatch assigns free slots to classes, and within them to tenants, by stride scheduling.
func (q *Queue) dispatch(now time.Time) []Decision {
	var decisions []Decision
	for q.inFlight < q.slots {
		class := q.nextClass()
		if class == nil {
			break
		}
		q.virtualTime = class.pass
		class.pass += q.stride(class, now)
		decisions = append(decisions, q.run(class, class.pop().ticket, now))
	}
	return decisions
}

// stride returns the virtual time that one slot costs a class.
func (q *Queue) stride(class *classQueue, now time.Time) float64 {
	return strideUnit / q.weight(class, now)
}

// nextClass returns the class with waiting tickets whose pass is lowest; nil if none waits.
func (q *Queue) nextClass() *classQueue {
	var next *classQueue
	for _, class := range q.classes {
		if class.count > 0 && (next == nil || class.pass < next.pass) {
			next = class
		}
	}
	return next
}

// pop removes the first ticket of the tenant whose pass is lowest.
func (c *classQueue) pop() queuedTicket {
	next := c.tenants[0]
	for _, tenant := range c.tenants[1:] {
		if tenant.pass < next.pass {
			next = tenant
		}
	}
	c.virtualTime = next.pass
	next.pass += strideUnit / next.weight
	head := next.tickets[0]
	next.tickets = next.tickets[1:]
	c.ticketRemoved(next)
	return head
}

// ticketRemoved updates the class after one ticket was removed from the tenant's queue.
func (c *classQueue) ticketRemoved(tenant *tenantQueue) {
	c.count--
	c.dropEmpty(tenant)
}

// dropEmpty removes the tenant's queue if it is empty.
func (c *classQueue) dropEmpty(tenant *tenantQueue) {
	if len(tenant.tickets) > 0 {
		return
	}
	if position := slices.Index(c.tenants, tenant); position >= 0 {
		c.tenants = slices.Delete(c.tenants, position, position+1)
	}
	if len(c.tenants) == 0 {
		c.virtualTime = 0
	}
}

// evictFor makes room for a new ticket: it evicts the last ticket of the tenant with the largest share of the queue by
// weight, unless the new ticket's tenant would have as large a share. It returns false if nothing was evicted.
func (c *classQueue) evictFor(ticket Ticket) (Ticket, bool) {
	ownShare := (1 + c.queuedBy(ticket.Tenant)) / float64(max(ticket.Weight, 1))
	var largest *tenantQueue
	for _, tenant := range c.tenants {
		if largest == nil || tenant.share() > largest.share() {
			largest = tenant
		}
	}
	if largest == nil || largest.name == ticket.Tenant || largest.share() <= ownShare {
		return Ticket{}, false
	}
	evicted := largest.tickets[len(largest.tickets)-1]
	largest.tickets = largest.tickets[:len(largest.tickets)-1]
	c.ticketRemoved(largest)
	return evicted.ticket, true
}

// queuedBy returns the number of the tenant's tickets that wait in the class.
func (c *classQueue) queuedBy(name string) float64 {
	for _, tenant := range c.tenants {
		if tenant.name == name {
			return float64(len(tenant.tickets))
		}
	}
	return 0
}

// share returns the number of the tenant's waiting tickets divided by its weight.
func (t *tenantQueue) share() float64 {
	return float64(len(t.tickets)) / t.weight
}

// measureDrain updates the rate, per second, at which slots are released.
func (q *Queue) measureDrain(now time.Time) {
	if q.drainWindowStart.IsZero() {
		q.drainWindowStart = now
		return
	}
	passed := now.Sub(q.drainWindowStart)
	if passed < drainWindow {
		return
	}
	rate := float64(q.releasedInWindow) / passed.Seconds()
	if q.drainRate == 0 {
		q.drainRate = rate
	}
	q.drainRate += drainGain * (rate - q.drainRate)
	q.releasedInWindow, q.drainWindowStart = 0, now
}

// retryAfter returns the time in which a queue of that length drains.
func (q *Queue) retryAfter(queued int) time.Duration {
	if q.drainRate <= 0 {
		return defaultRetryAfter
	}
	return boundRetry(secondsOf(float64(queued+1) / q.drainRate))
}

func boundRetry(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
