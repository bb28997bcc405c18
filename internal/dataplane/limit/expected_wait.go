package limit

import (
	"maps"
	"slices"
	"time"
)

const (
	// waitShare is the part of the longest wait that a request may expect when it
	// is taken in. The rest is for estimates that were too low, as at the onset of a
	// burst, so that few requests wait and are then refused.
	waitShare = 0.25
	// firstWaitShare is that of a tenant's only request that waits in its class.
	firstWaitShare = 0.5
	// leastEnded is how many requests a measurement of the service time needs.
	leastEnded      = 8
	serviceTimeGain = 0.3
)

// serviceTime follows how long a request holds its slot: the time spent in all
// slots together, by the number of requests that ended meanwhile.
type serviceTime struct {
	mean  time.Duration
	spent time.Duration
	ended int
	since time.Time
}

// advance counts the time up to now, during which inFlight slots were taken.
func (s *serviceTime) advance(inFlight int, now time.Time) {
	if passed := now.Sub(s.since); !s.since.IsZero() && passed > 0 {
		s.spent += time.Duration(inFlight) * passed
	}
	s.since = now
}

// end counts one request that gave its slot back while inFlight others hold theirs.
func (s *serviceTime) end(inFlight int) {
	s.ended++
	if s.ended < max(leastEnded, inFlight) {
		return
	}
	measured := s.spent / time.Duration(s.ended)
	if s.mean == 0 {
		s.mean = measured
	}
	s.mean += time.Duration(serviceTimeGain * float64(measured-s.mean))
	s.spent, s.ended = 0, 0
}

// expectedWait is how long a ticket that enters now would wait for a slot; zero
// when it would not wait or when nothing is known yet. It counts on the classes
// and tenants that ask for slots now to go on doing so.
func (q *Queue) expectedWait(class *classQueue, ticket Ticket, now time.Time) time.Duration {
	if q.inFlight < q.slots || q.slots == 0 || q.service.mean == 0 {
		return 0
	}
	perSecond := float64(q.lastingSlots()) / q.service.mean.Seconds()
	perSecond = fairRate(perSecond, q.weight(class, now), q.rivalsOf(class, now))
	perSecond = fairRate(perSecond, float64(max(ticket.Weight, 1)), class.rivalsOf(ticket.Tenant, now))
	return secondsOf((class.held(ticket.Tenant) + 1) / perSecond)
}

func (q *Queue) lastingSlots() int {
	if q.sureSlots > 0 {
		return min(q.slots, q.sureSlots)
	}
	return q.slots
}

// asked is how many slots a second a class asks for: those that wait, within the wait that is allowed, and those that
// come meanwhile.
func (q *Queue) asked(class *classQueue, now time.Time) float64 {
	return class.demand.now(now) + float64(class.count)/(waitShare*q.maxWait.Seconds())
}

// rivalsOf are the other classes with what they ask for.
func (q *Queue) rivalsOf(class *classQueue, now time.Time) []rival {
	var rivals []rival
	for _, other := range q.classes {
		if other != class {
			rivals = append(rivals, rival{weight: q.weight(other, now), perSecond: q.asked(other, now)})
		}
	}
	return rivals
}

func (c *classQueue) rivalsOf(tenant string, now time.Time) []rival {
	var rivals []rival
	for _, name := range slices.Sorted(maps.Keys(c.demands)) {
		if name != tenant {
			asked := c.demands[name]
			rivals = append(rivals, rival{weight: asked.weight, perSecond: asked.now(now)})
		}
	}
	return rivals
}

// tenantDemand is what one tenant asks of a class.
type tenantDemand struct {
	demand
	weight float64
}

// leastDemand is the demand, in tickets a second, under which a tenant is forgotten.
const leastDemand = 0.01

// ask counts a ticket as asked for, whatever becomes of it.
func (c *classQueue) ask(ticket Ticket, now time.Time) {
	c.demand.add(now)
	held := c.demands[ticket.Tenant]
	if held == nil {
		c.forgetDemands(now)
		held = &tenantDemand{}
		c.demands[ticket.Tenant] = held
	}
	held.weight = float64(max(ticket.Weight, 1))
	held.add(now)
}

func (c *classQueue) forgetDemands(now time.Time) {
	maps.DeleteFunc(c.demands, func(_ string, held *tenantDemand) bool { return held.now(now) < leastDemand })
}

// tooLate reports whether a ticket that waits so long would better be refused at once.
func (q *Queue) tooLate(class *classQueue, ticket Ticket, wait time.Duration, now time.Time) bool {
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
	share := waitShare
	if class.held(ticket.Tenant) == 0 || ticket.Rejections > 0 {
		share = firstWaitShare
	}
	return wait > time.Duration(share*float64(q.maxWait)) || exceeds(wait, ticket.MaxWait) || exceeds(wait, ticket.MaxExpectedWait)
}

// exceeds reports whether a wait is longer than a bound; zero is none.
func exceeds(wait, bound time.Duration) bool { return bound > 0 && wait > bound }

// hasLongQueue reports whether more tickets wait than run.
func (q *Queue) hasLongQueue() bool {
	waiting := 0
	for _, class := range q.classes {
		waiting += class.count
	}
	return waiting > q.inFlight
}
