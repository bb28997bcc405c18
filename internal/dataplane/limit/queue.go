package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// DefaultMaxQueued is the maximum number of requests that wait in one class.
	DefaultMaxQueued = 256
	// DefaultMaxWait is the maximum time that a request waits.
	DefaultMaxWait = 2 * time.Second

	// minRetryAfter and maxRetryAfter bound the RetryAfter of a rejection; defaultRetryAfter is used while no rate is
	// known.
	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	defaultRetryAfter = time.Second
	// drainWindow and drainGain are the sampling period and smoothing factor of the rate at which slots are given back.
	drainWindow = time.Second
	drainGain   = 0.3
	// strideUnit is the virtual time that a turn costs at weight 1.
	strideUnit = 1.0
)

// classWeights are the relative shares of slots when all classes wait: urgent work gets
// most of them without starving the lowest class.
var classWeights = map[protocol.Priority]float64{
	protocol.Priority_URGENT: 16, protocol.Priority_INTERACTIVE: 4, protocol.Priority_PROBE: 1,
}

// classes in the order in which ties are decided.
var classes = []protocol.Priority{protocol.Priority_URGENT, protocol.Priority_INTERACTIVE, protocol.Priority_PROBE}

// Ticket is one request for a slot.
type Ticket struct {
	ID       uint64
	Class    protocol.Priority
	Tenant   string
	Weight   uint32
	Deadline time.Time
	// MaxWait bounds how long the ticket waits if that is less than the queue's bound; 0 is the queue's. A rejection
	// from which the caller is to recover within its latency target should come within a quarter of that.
	MaxWait time.Duration
	// MaxExpectedWait bounds the wait that the ticket may expect when it enters: one that would miss its latency target by
	// waiting is rejected at once. A ticket that already waits is not rejected for it. 0 is no bound.
	MaxExpectedWait time.Duration
	// ProgramDeadline is when the program should be complete, and ExpectedWork how long the rest of it is
	// expected to take without waiting. Of a tenant's tickets those with the least slack run first.
	ProgramDeadline time.Time
	ExpectedWork    time.Duration
	// Rejections counts the known earlier rejections of the same request.
	Rejections uint32
}

// Verdict is the decision on a ticket.
type Verdict int

// Verdicts on a ticket.
const (
	// Run gives the ticket a slot, which Leave gives back.
	Run Verdict = iota + 1
	// RejectFull means that the class's queue is full, or so long that the ticket would wait too long.
	RejectFull
	// RejectLate means that the ticket waited too long or its deadline passed.
	RejectLate
)

// Decision is the verdict on one ticket. A rejection is final; RetryAfter is after how long the caller may retry.
type Decision struct {
	ID         uint64
	Verdict    Verdict
	RetryAfter time.Duration
}

type queuedTicket struct {
	ticket  Ticket
	expires time.Time
	// urgency is the time by which the ticket should run; the earliest runs first.
	urgency time.Time
}

// tenantQueue is one tenant's share of a class, most urgent first.
type tenantQueue struct {
	name   string
	weight float64
	// pass is the virtual time of the tenant's next turn; the lowest is next.
	pass    float64
	tickets []queuedTicket
}

type classQueue struct {
	class         protocol.Priority
	pass          float64
	virtualTime   float64
	count         int
	tenants       []*tenantQueue
	demand        demand
	tenantDemands map[string]*tenantDemand
	service       serviceShare
}

// Queue is the admission queue of one front node for one server group. Slots is how many requests may be in flight.
type Queue struct {
	maxQueued int
	maxWait   time.Duration
	slots     int
	// guaranteedSlots: see SetGuaranteedSlots.
	guaranteedSlots int
	// surplusSlots is how many tickets may run beyond the slots rather than be rejected.
	surplusSlots int
	inFlight     int
	virtualTime  float64
	classes      []*classQueue
	service      serviceTime
	// allClasses is the share of tickets of all classes that got a slot.
	allClasses serviceShare

	// leftInWindow counts the slots given back since drainWindowStart; drainRate is the smoothed rate per second.
	leftInWindow     int
	drainWindowStart time.Time
	drainRate        float64
	// lastEvent is the latest time that was passed in.
	lastEvent time.Time
}

// NewQueue makes a queue; bounds of 0 mean the defaults.
func NewQueue(maxQueued uint32, maxWait time.Duration, slots int) *Queue {
	q := &Queue{}
	q.SetBounds(maxQueued, maxWait)
	q.slots = slots
	for _, class := range classes {
		q.classes = append(q.classes, &classQueue{class: class, tenantDemands: make(map[string]*tenantDemand)})
	}
	return q
}

// SetBounds changes the bounds; tickets that already wait stay.
func (q *Queue) SetBounds(maxQueued uint32, maxWait time.Duration) {
	q.maxQueued = int(cmp.Or(maxQueued, DefaultMaxQueued))
	q.maxWait = cmp.Or(maxWait, DefaultMaxWait)
}

// SetSlots changes the number of slots and returns the tickets that may run now.
func (q *Queue) SetSlots(slots int) []Decision {
	q.slots = slots
	return q.dispatch(q.lastEvent)
}

// SetGuaranteedSlots sets how many of the slots remain when the other front nodes use their shares of
// a group's capacity; 0 is all of them. Expected waits are computed from no more.
func (q *Queue) SetGuaranteedSlots(slots int) { q.guaranteedSlots = slots }

// SetSurplusSlots sets how many tickets may run beyond the slots while the servers are known to be less than half
// occupied, so that a rejection would serve no purpose. See SurplusSlots.
func (q *Queue) SetSurplusSlots(tickets int) { q.surplusSlots = tickets }

// InFlight is the number of slots in use.
func (q *Queue) InFlight() int { return q.inFlight }

// Waiting is the number of tickets that wait in a class.
func (q *Queue) Waiting(class protocol.Priority) int { return q.class(class).count }

// WaitingInAllClasses is the number of tickets that wait in all classes.
func (q *Queue) WaitingInAllClasses() int {
	total := 0
	for _, class := range q.classes {
		total += class.count
	}
	return total
}

func (q *Queue) class(class protocol.Priority) *classQueue {
	for _, candidate := range q.classes {
		if candidate.class == class {
			return candidate
		}
	}
	return q.class(protocol.Priority_INTERACTIVE)
}

// Enter adds a ticket. The decisions may be on this ticket or others; a
// ticket without a decision waits.
func (q *Queue) Enter(ticket Ticket, now time.Time) []Decision {
	decisions := q.Expire(now)
	class := q.class(ticket.Class)
	class.recordDemand(ticket, now)
	if wait := q.expectedWait(class, ticket, now); q.mustReject(class, ticket, wait, now) {
		return append(decisions, q.runOrReject(class, ticket, RejectFull, boundRetry(wait), now)...)
	}
	if class.count >= q.maxQueued {
		evicted, isEvicted := class.evictFor(ticket)
		if !isEvicted {
			evicted = ticket
		}
		decisions = append(decisions, q.runOrReject(class, evicted, RejectFull, q.retryAfter(class.count), now)...)
		if !isEvicted {
			return decisions
		}
	}
	q.push(class, queuedTicket{ticket: ticket, expires: q.expiry(ticket, now), urgency: ticket.urgency(now)})
	return append(decisions, q.dispatch(now)...)
}

// expiry is when a ticket that enters now is rejected if it still waits.
func (q *Queue) expiry(ticket Ticket, now time.Time) time.Time {
	expires := now.Add(q.waitLimit(ticket))
	if !ticket.Deadline.IsZero() && ticket.Deadline.Before(expires) {
		return ticket.Deadline
	}
	return expires
}

func (q *Queue) waitLimit(ticket Ticket) time.Duration {
	if ticket.MaxWait > 0 {
		return min(q.maxWait, ticket.MaxWait)
	}
	return q.maxWait
}

// runOrReject decides on a ticket that cannot wait: it runs if it gets a surplus slot, and is rejected otherwise.
func (q *Queue) runOrReject(
	class *classQueue, ticket Ticket, verdict Verdict, retryAfter time.Duration, now time.Time,
) []Decision {
	pastDeadline := !ticket.Deadline.IsZero() && !now.Before(ticket.Deadline)
	if pastDeadline {
		return []Decision{q.reject(class, ticket, verdict, retryAfter, now)}
	}
	decisions, granted := q.spendSurplus(class, now)
	if granted {
		return append(decisions, q.run(class, ticket, now))
	}
	return append(decisions, q.reject(class, ticket, verdict, retryAfter, now))
}

// reject rejects a ticket, which is final.
func (q *Queue) reject(
	class *classQueue, ticket Ticket, verdict Verdict, retryAfter time.Duration, now time.Time,
) Decision {
	class.service.record(false, now)
	q.allClasses.record(false, now)
	return Decision{ID: ticket.ID, Verdict: verdict, RetryAfter: retryAfter}
}

// run gives a ticket a slot.
func (q *Queue) run(class *classQueue, ticket Ticket, now time.Time) Decision {
	q.inFlight++
	class.service.record(true, now)
	q.allClasses.record(true, now)
	return Decision{ID: ticket.ID, Verdict: Run}
}

// Leave gives a slot back and returns the tickets that may run now.
func (q *Queue) Leave(now time.Time) []Decision {
	q.service.advance(q.inFlight, now)
	q.inFlight--
	q.leftInWindow++
	q.service.recordEnd(q.inFlight)
	return append(q.Expire(now), q.dispatch(now)...)
}

// Cancel removes a waiting ticket and reports whether it was there.
func (q *Queue) Cancel(id uint64) bool {
	for _, class := range q.classes {
		for _, tenant := range class.tenants {
			position := slices.IndexFunc(tenant.tickets, func(w queuedTicket) bool { return w.ticket.ID == id })
			if position >= 0 {
				tenant.tickets = slices.Delete(tenant.tickets, position, position+1)
				class.ticketRemoved(tenant)
				return true
			}
		}
	}
	return false
}

// Expire rejects the tickets that have waited too long.
func (q *Queue) Expire(now time.Time) []Decision {
	q.lastEvent = now
	q.measureDrain(now)
	q.service.advance(q.inFlight, now)
	var decisions []Decision
	for _, class := range q.classes {
		for _, tenant := range slices.Clone(class.tenants) {
			tenant.tickets = slices.DeleteFunc(tenant.tickets, func(w queuedTicket) bool {
				late := !now.Before(w.expires)
				if late {
					class.count--
					decisions = append(decisions, q.runOrReject(class, w.ticket, RejectLate, q.retryAfter(class.count), now)...)
				}
				return late
			})
			class.dropEmpty(tenant)
		}
	}
	return decisions
}

// NextExpiry is when the next waiting ticket expires; zero when none waits.
func (q *Queue) NextExpiry() time.Time {
	var next time.Time
	for _, class := range q.classes {
		for _, tenant := range class.tenants {
			for _, w := range tenant.tickets {
				if next.IsZero() || w.expires.Before(next) {
					next = w.expires
				}
			}
		}
	}
	return next
}
