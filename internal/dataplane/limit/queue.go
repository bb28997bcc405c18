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
	// MaxWait bounds how long the ticket waits if that is less than the queue's bound; zero is the queue's. A refusal
	// that the caller is to recover from within its latency objective comes within a quarter of that.
	MaxWait time.Duration
	// MaxExpectedWait bounds the wait that the ticket may expect when it enters: one that would miss its objective by
	// waiting is refused at once. A ticket that waits already is not refused for it. Zero is no bound of its own.
	MaxExpectedWait time.Duration
	// ProgramDeadline is when the whole program should be over, and ExpectedWork how long what is left of it is
	// expected to take when nothing waits. Of a tenant's tickets those with the least time to spare go first.
	ProgramDeadline time.Time
	ExpectedWork    time.Duration
	// Refusals counts how often the same request was refused before, as far as is known.
	Rejections uint32
}

// Verdict says what became of a ticket.
type Verdict int

// Verdicts on a ticket.
const (
	// Run gives the ticket a slot, which Leave gives back.
	Run Verdict = iota + 1
	// RefuseFull means that the class's queue is full, or so long that the ticket would wait too long.
	RejectFull
	// RefuseLate means that the ticket waited too long or its deadline passed.
	RejectLate
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
	// urgency is the time by which the ticket should run; earlier goes first.
	urgency time.Time
}

// tenantQueue is one tenant's share of a class, most urgent first.
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
	service serviceShare
}

// Queue holds the requests of one front node that wait for a slot.
type Queue struct {
	maxQueued int
	maxWait   time.Duration
	slots     int
	sureSlots int
	// spare is how many tickets may run beyond the slots rather than be refused.
	spare    int
	inFlight int
	clock    float64
	classes  []*classQueue
	service  serviceTime
	// all is the share of tickets of all classes that got a slot.
	all serviceShare

	drained   int
	drainFrom time.Time
	drainRate float64
	// lastSeen is the latest time that the queue was told.
	lastSeen time.Time
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
	return q.dispatch(q.lastSeen)
}

// SetSureSlots tells how many of the slots stay when others take theirs of a
// shared capacity; zero is all of them. Expected waits count on no more.
func (q *Queue) SetGuaranteedSlots(slots int) { q.sureSlots = slots }

// SetSpare tells how many tickets may run beyond the slots, as long as the servers are known to be less than half
// taken: a refusal would then be for nothing. See Spare.
func (q *Queue) SetSurplusSlots(tickets int) { q.spare = tickets }

// InFlight is the number of slots taken.
func (q *Queue) InFlight() int { return q.inFlight }

// Waiting is the number of tickets that wait in a class.
func (q *Queue) Waiting(class protocol.Priority) int { return q.class(class).count }

// WaitingInAll is the number of tickets that wait in all classes.
func (q *Queue) WaitingInAll() int {
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

// Enter takes a ticket in. The decisions may be on this or another ticket; a
// ticket without a decision waits.
func (q *Queue) Enter(ticket Ticket, now time.Time) []Decision {
	decisions := q.Expire(now)
	class := q.class(ticket.Class)
	class.ask(ticket, now)
	if wait := q.expectedWait(class, ticket, now); q.tooLate(class, ticket, wait, now) {
		return append(decisions, q.refuse(class, ticket, RejectFull, boundRetry(wait), now)...)
	}
	if class.count >= q.maxQueued {
		refused, made := class.makeRoom(ticket)
		if !made {
			refused = ticket
		}
		decisions = append(decisions, q.refuse(class, refused, RejectFull, q.retryAfter(class.count), now)...)
		if !made {
			return decisions
		}
	}
	q.push(class, waiting{ticket: ticket, expires: q.expiry(ticket, now), urgency: ticket.urgency(now)})
	return append(decisions, q.dispatch(now)...)
}

// expiry is when a ticket that enters now is refused if it still waits.
func (q *Queue) expiry(ticket Ticket, now time.Time) time.Time {
	expires := now.Add(q.longestWait(ticket))
	if !ticket.Deadline.IsZero() && ticket.Deadline.Before(expires) {
		return ticket.Deadline
	}
	return expires
}

func (q *Queue) longestWait(ticket Ticket) time.Duration {
	if ticket.MaxWait > 0 {
		return min(q.maxWait, ticket.MaxWait)
	}
	return q.maxWait
}

// refuse decides on a ticket that has no place: it runs after all when a spare place falls to it.
func (q *Queue) refuse(class *classQueue, ticket Ticket, verdict Verdict, retryAfter time.Duration, now time.Time) []Decision {
	pastDeadline := !ticket.Deadline.IsZero() && !now.Before(ticket.Deadline)
	if pastDeadline {
		return []Decision{q.reject(class, ticket, verdict, retryAfter, now)}
	}
	decisions, granted := q.spendSpare(class, now)
	if granted {
		return append(decisions, q.run(class, ticket, now))
	}
	return append(decisions, q.reject(class, ticket, verdict, retryAfter, now))
}

// reject refuses a ticket for good.
func (q *Queue) reject(class *classQueue, ticket Ticket, verdict Verdict, retryAfter time.Duration, now time.Time) Decision {
	class.service.count(false, now)
	q.all.count(false, now)
	return Decision{ID: ticket.ID, Verdict: verdict, RetryAfter: retryAfter}
}

// run gives a ticket a slot.
func (q *Queue) run(class *classQueue, ticket Ticket, now time.Time) Decision {
	q.inFlight++
	class.service.count(true, now)
	q.all.count(true, now)
	return Decision{ID: ticket.ID, Verdict: Run}
}

// Leave gives a slot back and returns the tickets that may run now.
func (q *Queue) Leave(now time.Time) []Decision {
	q.service.advance(q.inFlight, now)
	q.inFlight--
	q.drained++
	q.service.end(q.inFlight)
	return append(q.Expire(now), q.dispatch(now)...)
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
	q.lastSeen = now
	q.measureDrain(now)
	q.service.advance(q.inFlight, now)
	var decisions []Decision
	for _, class := range q.classes {
		for _, tenant := range slices.Clone(class.tenants) {
			tenant.waiting = slices.DeleteFunc(tenant.waiting, func(w waiting) bool {
				late := !now.Before(w.expires)
				if late {
					class.count--
					decisions = append(decisions, q.refuse(class, w.ticket, RejectLate, q.retryAfter(class.count), now)...)
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
