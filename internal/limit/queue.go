package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// DefaultMaxQueued bounds the requests that wait in one class.
	DefaultMaxQueued = 256
	// DefaultMaxWait bounds how long a request waits.
	DefaultMaxWait = 2 * time.Second

	leastRetryAfter = 100 * time.Millisecond
	mostRetryAfter  = 30 * time.Second
	unknownRetry    = time.Second
	drainWindow     = time.Second
	drainGain       = 0.3
	tenantShareUnit = 1.0
)

// classWeights are the shares of slots when all classes wait: urgent work goes
// far ahead of probes without stopping them.
var classWeights = map[protocol.Priority]float64{
	protocol.Priority_URGENT: 16, protocol.Priority_INTERACTIVE: 4, protocol.Priority_PROBE: 1,
}

// classes in the order in which ties are decided.
var classes = []protocol.Priority{protocol.Priority_URGENT, protocol.Priority_INTERACTIVE, protocol.Priority_PROBE}

// Ticket is one request that asks for a slot.
type Ticket struct {
	ID       uint64
	Class    protocol.Priority
	Tenant   string
	Weight   uint32
	Deadline time.Time
}

// Verdict says what became of a ticket.
type Verdict int

// Verdicts on a ticket.
const (
	// Run gives the ticket a slot, which Leave gives back.
	Run Verdict = iota + 1
	// RefuseFull means that the class's queue is full, or so long that the ticket would wait too long.
	RefuseFull
	// RefuseLate means that the ticket waited too long or its deadline passed.
	RefuseLate
)

// Decision is the verdict on one ticket. A refusal is final.
type Decision struct {
	ID         uint64
	Verdict    Verdict
	RetryAfter time.Duration
}

type waiting struct {
	ticket  Ticket
	expires time.Time
}

// tenantQueue is one tenant's share of a class, first in first out.
type tenantQueue struct {
	name   string
	weight float64
	// pass is the virtual time of the tenant's next turn.
	pass    float64
	waiting []waiting
}

type classQueue struct {
	class   protocol.Priority
	pass    float64
	clock   float64
	count   int
	tenants []*tenantQueue
	demand  demand
	demands map[string]*tenantDemand
}

// Queue holds the requests of one front node that wait for a slot.
type Queue struct {
	maxQueued int
	maxWait   time.Duration
	slots     int
	sureSlots int
	inFlight  int
	clock     float64
	classes   []*classQueue
	service   serviceTime

	drained   int
	drainFrom time.Time
	drainRate float64
}

// NewQueue makes a queue; zero values mean the defaults.
func NewQueue(maxQueued uint32, maxWait time.Duration, slots int) *Queue {
	q := &Queue{}
	q.SetBounds(maxQueued, maxWait)
	q.slots = slots
	for _, class := range classes {
		q.classes = append(q.classes, &classQueue{class: class, demands: make(map[string]*tenantDemand)})
	}
	return q
}

// SetBounds changes the bounds; what already waits stays.
func (q *Queue) SetBounds(maxQueued uint32, maxWait time.Duration) {
	q.maxQueued = int(cmp.Or(maxQueued, DefaultMaxQueued))
	q.maxWait = cmp.Or(maxWait, DefaultMaxWait)
}

// SetSlots changes the number of slots and returns the tickets that may run now.
func (q *Queue) SetSlots(slots int) []Decision {
	q.slots = slots
	return q.dispatch()
}

// SetSureSlots tells how many of the slots stay when others take theirs of a
// shared capacity; zero is all of them. Expected waits count on no more.
func (q *Queue) SetSureSlots(slots int) { q.sureSlots = slots }

// InFlight is the number of slots taken.
func (q *Queue) InFlight() int { return q.inFlight }

// Waiting is the number of tickets that wait in a class.
func (q *Queue) Waiting(class protocol.Priority) int { return q.class(class).count }

func (q *Queue) class(class protocol.Priority) *classQueue {
	for _, candidate := range q.classes {
		if candidate.class == class {
			return candidate
		}
	}
	return q.class(protocol.Priority_INTERACTIVE)
}

// Enter takes a ticket in. The decisions may be on this or another ticket; a
// ticket without a decision waits.
func (q *Queue) Enter(ticket Ticket, now time.Time) []Decision {
	decisions := q.Expire(now)
	class := q.class(ticket.Class)
	class.ask(ticket, now)
	if wait := q.expectedWait(class, ticket, now); q.tooLate(class, ticket, wait, now) {
		return append(decisions, Decision{ID: ticket.ID, Verdict: RefuseFull, RetryAfter: boundRetry(wait)})
	}
	if class.count >= q.maxQueued {
		evicted, made := class.makeRoom(ticket)
		if !made {
			return append(decisions, Decision{ID: ticket.ID, Verdict: RefuseFull, RetryAfter: q.retryAfter(class.count)})
		}
		decisions = append(decisions, Decision{ID: evicted.ID, Verdict: RefuseFull, RetryAfter: q.retryAfter(class.count)})
	}
	expires := now.Add(q.maxWait)
	if !ticket.Deadline.IsZero() && ticket.Deadline.Before(expires) {
		expires = ticket.Deadline
	}
	q.push(class, waiting{ticket: ticket, expires: expires})
	return append(decisions, q.dispatch()...)
}

// Leave gives a slot back and returns the tickets that may run now.
func (q *Queue) Leave(now time.Time) []Decision {
	q.service.advance(q.inFlight, now)
	q.inFlight--
	q.drained++
	q.service.end(q.inFlight)
	return append(q.Expire(now), q.dispatch()...)
}

// Cancel takes a waiting ticket out and reports whether it was there.
func (q *Queue) Cancel(id uint64) bool {
	for _, class := range q.classes {
		for _, tenant := range class.tenants {
			at := slices.IndexFunc(tenant.waiting, func(w waiting) bool { return w.ticket.ID == id })
			if at >= 0 {
				tenant.waiting = slices.Delete(tenant.waiting, at, at+1)
				class.taken(tenant)
				return true
			}
		}
	}
	return false
}

// Expire refuses the tickets that have waited too long.
func (q *Queue) Expire(now time.Time) []Decision {
	q.measureDrain(now)
	q.service.advance(q.inFlight, now)
	var decisions []Decision
	for _, class := range q.classes {
		for _, tenant := range slices.Clone(class.tenants) {
			tenant.waiting = slices.DeleteFunc(tenant.waiting, func(w waiting) bool {
				late := !now.Before(w.expires)
				if late {
					class.count--
					decisions = append(decisions, Decision{ID: w.ticket.ID, Verdict: RefuseLate, RetryAfter: q.retryAfter(class.count)})
				}
				return late
			})
			class.dropEmpty(tenant)
		}
	}
	return decisions
}

// NextExpiry is when Expire has something to do; zero when nothing waits.
func (q *Queue) NextExpiry() time.Time {
	var next time.Time
	for _, class := range q.classes {
		for _, tenant := range class.tenants {
			for _, w := range tenant.waiting {
				if next.IsZero() || w.expires.Before(next) {
					next = w.expires
				}
			}
		}
	}
	return next
}
