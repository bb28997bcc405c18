package trainingstep

import (
	"slices"
	"time"
)

const (
	// MaxWaiting is the maximum number of generations that wait at one gate.
	MaxWaiting = 1024
	// MaxWait is the maximum time that a generation waits at a gate.
	MaxWait = 10 * time.Second
	// StarvationTimeout is how long a generation waits behind live requests while this front node runs no generation of
	// its version. After that, one generation is admitted anyway, so that a step progresses however busy the fleet is.
	StarvationTimeout = 2 * time.Second
	// RejectedRetryAfter is the delay after which the caller of a rejected generation may retry.
	RejectedRetryAfter = time.Second
)

// Capacity is the capacity of the servers of a version for the generations of this front node.
type Capacity struct {
	// Slots is the maximum number of concurrent generations.
	Slots int
	// LiveWaits is true while a live request waits for a slot of the servers' group.
	LiveWaits bool
}

// Ticket is the request of one generation for a slot.
type Ticket struct {
	ID uint64
	// Deadline is the deadline of the caller; zero means none.
	Deadline time.Time
}

// Verdict is the decision on a ticket; a ticket without a verdict waits.
type Verdict int

// Verdicts on a ticket.
const (
	// Run admits the ticket to a slot, which Leave frees.
	Run Verdict = iota + 1
	// RejectFull means that too many tickets wait.
	RejectFull
	// RejectLate means that the ticket waited too long.
	RejectLate
)

// Decision is the verdict on one ticket.
type Decision struct {
	ID      uint64
	Verdict Verdict
}

type waitingTicket struct {
	id      uint64
	entered time.Time
	expires time.Time
}

// AdmissionGate admits the generations of one version of the weights in the order of arrival,
// behind the live requests of every class. Its zero value is ready to use.
type AdmissionGate struct {
	waiting []waitingTicket
	running int
}

// Idle reports whether nothing runs or waits.
func (g *AdmissionGate) Idle() bool { return g.running == 0 && len(g.waiting) == 0 }

// Waiting returns the number of tickets that wait.
func (g *AdmissionGate) Waiting() int { return len(g.waiting) }

// Enter adds a ticket. The decisions that it returns, like those of Leave and Dispatch, may concern any ticket.
func (g *AdmissionGate) Enter(ticket Ticket, capacity Capacity, now time.Time) []Decision {
	if len(g.waiting) >= MaxWaiting {
		return append(g.Dispatch(capacity, now), Decision{ID: ticket.ID, Verdict: RejectFull})
	}
	expires := now.Add(MaxWait)
	if !ticket.Deadline.IsZero() && ticket.Deadline.Before(expires) {
		expires = ticket.Deadline
	}
	g.waiting = append(g.waiting, waitingTicket{id: ticket.ID, entered: now, expires: expires})
	return g.Dispatch(capacity, now)
}

// Leave frees the slot of a generation that has ended.
func (g *AdmissionGate) Leave(capacity Capacity, now time.Time) []Decision {
	g.running--
	return g.Dispatch(capacity, now)
}

// Cancel removes a waiting ticket and reports whether it was waiting.
func (g *AdmissionGate) Cancel(id uint64) bool {
	before := len(g.waiting)
	g.waiting = slices.DeleteFunc(g.waiting, func(w waitingTicket) bool { return w.id == id })
	return len(g.waiting) < before
}

// Dispatch rejects the tickets that waited too long and admits those that may run now.
func (g *AdmissionGate) Dispatch(capacity Capacity, now time.Time) []Decision {
	var decisions []Decision
	g.waiting = slices.DeleteFunc(g.waiting, func(w waitingTicket) bool {
		late := !now.Before(w.expires)
		if late {
			decisions = append(decisions, Decision{ID: w.id, Verdict: RejectLate})
		}
		return late
	})
	for len(g.waiting) > 0 && g.admits(g.waiting[0], capacity, now) {
		decisions = append(decisions, Decision{ID: g.waiting[0].id, Verdict: Run})
		g.waiting = g.waiting[1:]
		g.running++
	}
	return decisions
}

func (g *AdmissionGate) admits(next waitingTicket, capacity Capacity, now time.Time) bool {
	if g.running == 0 && now.Sub(next.entered) >= StarvationTimeout {
		return true
	}
	return !capacity.LiveWaits && g.running < capacity.Slots
}

// NextDispatch returns the time from which Dispatch may have an effect without another event, or zero when no ticket
// waits.
func (g *AdmissionGate) NextDispatch() time.Time {
	var next time.Time
	for index, w := range g.waiting {
		wake := w.expires
		if timeout := w.entered.Add(StarvationTimeout); index == 0 && g.running == 0 && timeout.Before(wake) {
			wake = timeout
		}
		if next.IsZero() || wake.Before(next) {
			next = wake
		}
	}
	return next
}
