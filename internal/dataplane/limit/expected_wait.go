package limit

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxExpectedShare is the share of the maximum wait that a request may expect when it enters. The rest is a margin for
	// estimates that are too low, as at the onset of a burst, so that few requests wait and are then rejected.
	maxExpectedShare = 0.25
	// maxExpectedShareFirst is the share for a tenant without other waiting requests in the class, and for a request that
	// was rejected before.
	maxExpectedShareFirst = 0.5
	// minSamples is the minimum number of ended requests for a measurement of the service time.
	minSamples = 8
	// serviceTimeGain is the weight of a measurement in the mean.
	serviceTimeGain = 0.3
)

// serviceTime estimates how long a request occupies its slot: the time spent in all slots together, divided by the
// number of requests that ended in that time.
type serviceTime struct {
	mean  time.Duration
	spent time.Duration
	ended int
	since time.Time
}

// advance adds the time up to now, during which inFlight slots were in use.
func (s *serviceTime) advance(inFlight int, now time.Time) {
	if passed := now.Sub(s.since); !s.since.IsZero() && passed > 0 {
		s.spent += time.Duration(inFlight) * passed
	}
	s.since = now
}

// recordEnd counts one request that released its slot while inFlight others are in flight.
func (s *serviceTime) recordEnd(inFlight int) {
	s.ended++
	if s.ended < max(minSamples, inFlight) {
		return
	}
	measured := s.spent / time.Duration(s.ended)
	if s.mean == 0 {
		s.mean = measured
	}
	s.mean += time.Duration(serviceTimeGain * float64(measured-s.mean))
	s.spent, s.ended = 0, 0
}

// expectedWait returns how long a ticket that enters now would wait for a slot; 0 if it would not wait or if the
// service time is unknown. It assumes that the demand of classes and tenants does not change.
func (q *Queue) expectedWait(class *classQueue, ticket Ticket, now time.Time) time.Duration {
	if q.inFlight < q.slots || q.slots == 0 || q.service.mean == 0 {
		return 0
	}
	perSecond := float64(q.dependableSlots()) / q.service.mean.Seconds()
	perSecond = fairRate(perSecond, q.weight(class, now), q.competitors(class, now))
	perSecond = fairRate(perSecond, float64(max(ticket.Weight, 1)), class.competitors(ticket.Tenant, now))
	return secondsOf((class.queuedBy(ticket.Tenant) + 1) / perSecond)
}

// dependableSlots returns the number of slots that expected waits are computed from.
func (q *Queue) dependableSlots() int {
	if q.guaranteedSlots > 0 {
		return min(q.slots, q.guaranteedSlots)
	}
	return q.slots
}

// demandRate returns a class's demand in slots per second: the rate of arriving tickets, and the waiting tickets
// divided by the wait that is allowed for them.
func (q *Queue) demandRate(class *classQueue, now time.Time) float64 {
	return class.demand.rate(now) + float64(class.count)/(maxExpectedShare*q.maxWait.Seconds())
}

// competitors returns the other classes with their weights and demand.
func (q *Queue) competitors(class *classQueue, now time.Time) []competitor {
	var competitors []competitor
	for _, other := range q.classes {
		if other != class {
			competitors = append(competitors, competitor{weight: q.weight(other, now), perSecond: q.demandRate(other, now)})
		}
	}
	return competitors
}

// competitors returns the other tenants of the class with their weights and demand.
func (c *classQueue) competitors(tenant string, now time.Time) []competitor {
	var competitors []competitor
	for _, name := range slices.Sorted(maps.Keys(c.tenantDemands)) {
		if name != tenant {
			other := c.tenantDemands[name]
			competitors = append(competitors, competitor{weight: other.weight, perSecond: other.rate(now)})
		}
	}
	return competitors
}

// tenantDemand is the demand of one tenant in a class.
type tenantDemand struct {
	demand
	weight float64
}

// minDemand is the demand, in tickets per second, below which a tenant's demand is no longer tracked.
const minDemand = 0.01

// recordDemand counts a ticket in the demand, whether or not it is rejected.
func (c *classQueue) recordDemand(ticket Ticket, now time.Time) {
	c.demand.add(now)
	tenant := c.tenantDemands[ticket.Tenant]
	if tenant == nil {
		c.dropExpiredDemands(now)
		tenant = &tenantDemand{}
		c.tenantDemands[ticket.Tenant] = tenant
	}
	tenant.weight = float64(max(ticket.Weight, 1))
	tenant.add(now)
}

func (c *classQueue) dropExpiredDemands(now time.Time) {
	maps.DeleteFunc(c.tenantDemands, func(_ string, tenant *tenantDemand) bool { return tenant.rate(now) < minDemand })
}

// mustReject reports whether a ticket with that expected wait must be rejected at once.
func (q *Queue) mustReject(class *classQueue, ticket Ticket, wait time.Duration, now time.Time) bool {
	if wait == 0 {
		return false
	}
	if !ticket.Deadline.IsZero() && now.Add(wait).After(ticket.Deadline) {
		return true
	}
	if class.count == 0 && q.starves(class, now) {
		return false
	}
	if latest := ticket.latestStart(); q.hasLongQueue() && latest.After(now) && now.Add(wait).After(latest) {
		return true
	}
	share := maxExpectedShare
	if class.queuedBy(ticket.Tenant) == 0 || ticket.Rejections > 0 {
		share = maxExpectedShareFirst
	}
	return wait > time.Duration(share*float64(q.maxWait)) || exceeds(wait, ticket.MaxWait) || exceeds(
		wait, ticket.MaxExpectedWait,
	)
}

// exceeds reports whether a wait is longer than a bound; a bound of 0 means none.
func exceeds(wait, bound time.Duration) bool { return bound > 0 && wait > bound }

// hasLongQueue reports whether more tickets wait than run.
func (q *Queue) hasLongQueue() bool {
	waiting := 0
	for _, class := range q.classes {
		waiting += class.count
	}
	return waiting > q.inFlight
}
