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

	// minRetryAfter and maxRetryAfter bound the RetryAfter of a rejection; defaultRetryAfter is used while the drain rate
	// is unknown.
	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	defaultRetryAfter = time.Second
	// drainWindow and drainGain are the sampling period and smoothing factor of the rate at which slots are released.
	drainWindow = time.Second
	drainGain   = 0.3
	// strideUnit is the virtual time that a slot costs at weight 1.
	strideUnit = 1.0
)

// classWeights are the relative shares of slots when all classes wait: urgent work gets most of them without starving
// the lowest class.
var classWeights = map[protocol.Priority]float64{
	protocol.Priority_URGENT: 16, protocol.Priority_INTERACTIVE: 4, protocol.Priority_PROBE: 1,
}

// classes are ordered from the most to the least urgent; ties go to the more urgent one.
var classes = []protocol.Priority{protocol.Priority_URGENT, protocol.Priority_INTERACTIVE, protocol.Priority_PROBE}

// Ticket is one request for a slot.
type Ticket struct {
	ID       uint64
	Class    protocol.Priority
	Tenant   string
	Weight   uint32
	Deadline time.Time
	// MaxWait bounds how long the ticket waits if it is less than the queue's bound; 0 means the queue's bound. To let the
	// caller recover from a rejection within its latency target, set it to at most a quarter of the target.
	MaxWait time.Duration
	// MaxExpectedWait bounds the expected wait when the ticket enters: a ticket that would miss its latency target by
	// waiting is rejected at once. A ticket that already waits is not rejected for it. 0 means no bound.
	MaxExpectedWait time.Duration
	// ProgramDeadline is when the program should be complete, and ExpectedWork how long the rest of it is expected to
	// take without waiting. Among a tenant's tickets, those with the least slack run first.
	ProgramDeadline time.Time
	ExpectedWork    time.Duration
	// Rejections counts the known earlier rejections of the same request.
	Rejections uint32
}

// Verdict is the kind of a decision: that the ticket runs, or why it is rejected.
type Verdict int

// Verdicts on a ticket.
const (
	// Run means that the ticket gets a slot, which Leave releases.
	Run Verdict = iota + 1
	// RejectFull means that the class's queue is full, or so long that the ticket would wait too long.
	RejectFull
	// RejectLate means that the ticket waited too long or its deadline passed.
	RejectLate
)

// Decision is the result for one ticket. A rejection is final; RetryAfter is the time after which the caller may retry.
type Decision struct {
	ID         uint64
	Verdict    Verdict
	RetryAfter time.Duration
}

type queuedTicket struct {
	ticket  Ticket
	expires time.Time
	// urgency is the time by which the ticket should run; the ticket with the earliest runs first.
	urgency time.Time
}

// tenantQueue holds one tenant's tickets in a class, most urgent first.
type tenantQueue struct {
	name   string
	weight float64
	// pass is the tenant's position in virtual time; the tenant with the lowest pass gets the next slot.
	pass    float64
	tickets []queuedTicket
}

// classQueue holds the tickets of one class by tenant.
type classQueue struct {
	class protocol.Priority
	// pass is the class's position in virtual time; the class with the lowest pass gets the next slot.
	pass float64
	// virtualTime is the pass of the tenant that got the last slot.
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
	// guaranteedSlots is described at SetGuaranteedSlots.
	guaranteedSlots int
	// surplusSlots is how many tickets may run in excess of the slots instead of being rejected.
	surplusSlots int
	inFlight     int
	virtualTime  float64
	classes      []*classQueue
	service      serviceTime
	// allClasses is the share of the tickets of all classes that got a slot.
	allClasses serviceShare

	// releasedInWindow counts the slots released since drainWindowStart; drainRate is the smoothed rate per second.
	releasedInWindow int
	drainWindowStart time.Time
	drainRate        float64
	// lastEvent is the time of the latest event.
	lastEvent time.Time
}

// NewQueue returns a queue; bounds of 0 mean the defaults.
func NewQueue(maxQueued uint32, maxWait time.Duration, slots int) *Queue {
	q := &Queue{}
	q.SetBounds(maxQueued, maxWait)
	q.slots = slots
	for _, class := range classes {
		q.classes = append(q.classes, &classQueue{class: class, tenantDemands: make(map[string]*tenantDemand)})
	}
	return q
}

// SetBounds changes the bounds; waiting tickets are not affected.
func (q *Queue) SetBounds(maxQueued uint32, maxWait time.Duration) {
	q.maxQueued = int(cmp.Or(maxQueued, DefaultMaxQueued))
	q.maxWait = cmp.Or(maxWait, DefaultMaxWait)
}

// SetSlots changes the number of slots and returns the tickets that may run now.
func (q *Queue) SetSlots(slots int) []Decision {
	q.slots = slots
	return q.dispatch(q.lastEvent)
}

// SetGuaranteedSlots sets how many of the slots remain when the other front nodes use their shares of a group's
// capacity; 0 means all of them. Expected waits are computed from no more than these.
func (q *Queue) SetGuaranteedSlots(slots int) { q.guaranteedSlots = slots }

// SetSurplusSlots sets how many tickets may run in excess of the slots while the servers report that they are less than
// half occupied, so that a rejection would serve no purpose. See SurplusSlots.
func (q *Queue) SetSurplusSlots(tickets int) { q.surplusSlots = tickets }

// InFlight returns the number of slots in use.
func (q *Queue) InFlight() int { return q.inFlight }

// Waiting returns the number of tickets that wait in a class.
func (q *Queue) Waiting(class protocol.Priority) int { return q.class(class).count }

// WaitingInAllClasses returns the number of tickets that wait in all classes.
func (q *Queue) WaitingInAllClasses() int {
	total := 0
	for _, class := range q.classes {
		total += class.count
	}
	return total
}

// class returns the queue of a class; an unknown class counts as interactive.
func (q *Queue) class(class protocol.Priority) *classQueue {
	for _, candidate := range q.classes {
		if candidate.class == class {
			return candidate
		}
	}
	return q.class(protocol.Priority_INTERACTIVE)
}

// Enter adds a ticket. The decisions may be on this ticket or on others; a ticket without a decision waits.
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

// expiry returns when a ticket that enters now is rejected if it still waits.
func (q *Queue) expiry(ticket Ticket, now time.Time) time.Time {
	expires := now.Add(q.waitLimit(ticket))
	if !ticket.Deadline.IsZero() && ticket.Deadline.Before(expires) {
		return ticket.Deadline
	}
	return expires
}

// waitLimit returns how long the ticket may wait.
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

// reject rejects a ticket.
func (q *Queue) reject(
	class *classQueue, ticket Ticket, verdict Verdict, retryAfter time.Duration, now time.Time,
) Decision {
	class.service.record(false, now)
	q.allClasses.record(false, now)
	return Decision{ID: ticket.ID, Verdict: verdict, RetryAfter: retryAfter}
}

// run assigns a slot to a ticket.
func (q *Queue) run(class *classQueue, ticket Ticket, now time.Time) Decision {
	q.inFlight++
	class.service.record(true, now)
	q.allClasses.record(true, now)
	return Decision{ID: ticket.ID, Verdict: Run}
}

// Leave releases a slot and returns the decisions that follow: tickets that may run now or that have expired.
func (q *Queue) Leave(now time.Time) []Decision {
	q.service.advance(q.inFlight, now)
	q.inFlight--
	q.releasedInWindow++
	q.service.recordEnd(q.inFlight)
	return append(q.Expire(now), q.dispatch(now)...)
}

// Cancel removes a waiting ticket and reports whether it was waiting.
func (q *Queue) Cancel(id uint64) bool {
	for _, class := range q.classes {
		for _, tenant := range class.tenants {
			position := slices.IndexFunc(tenant.tickets, func(queued queuedTicket) bool { return queued.ticket.ID == id })
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
			tenant.tickets = slices.DeleteFunc(tenant.tickets, func(queued queuedTicket) bool {
				late := !now.Before(queued.expires)
				if late {
					class.count--
					decisions = append(decisions, q.runOrReject(class, queued.ticket, RejectLate, q.retryAfter(class.count), now)...)
				}
				return late
			})
			class.dropEmpty(tenant)
		}
	}
	return decisions
}

// NextExpiry returns when the next waiting ticket expires; zero if none waits.
func (q *Queue) NextExpiry() time.Time {
	var next time.Time
	for _, class := range q.classes {
		for _, tenant := range class.tenants {
			for _, queued := range tenant.tickets {
				if next.IsZero() || queued.expires.Before(next) {
					next = queued.expires
				}
			}
		}
	}
	return next
}
