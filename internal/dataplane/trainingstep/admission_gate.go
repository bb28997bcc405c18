package trainingstep

import (
	"slices"
	"time"
)

const (
	// MaxWaiting bounds the generations that wait at one gate.
	MaxWaiting = 1024
	// MaxWait bounds how long a generation waits at a gate.
	MaxWait = 10 * time.Second
	// Patience is how long a generation waits behind live requests while none of its version runs from here. Then
	// one is let in all the same, so that a step goes on however busy the fleet is.
	AdmissionTimeout = 2 * time.Second
	// RefusedRetry is told to a generation that found no place.
	RejectedRetryAfter = time.Second
)

// Room is what the servers of a version can take of this front node's generations.
type Capacity struct {
	// Places is the number of generations that may run at a time.
	Slots int
	// LiveWaits is true while a live request waits for a slot of the servers' group.
	LiveWaits bool
}

// Ticket is one generation that asks for a place.
type Ticket struct {
	ID uint64
	// Deadline is when its caller's time is over.
	Deadline time.Time
}

// Verdict says what became of a ticket; a ticket without one waits.
type Verdict int

// Verdicts on a ticket.
const (
	// Run gives a place, which Leave gives back.
	Run Verdict = iota + 1
	// RefuseFull means that too many wait.
	RejectFull
	// RefuseLate means that the ticket waited too long.
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

// Gate lets the generations of one version in, in the order in which they came,
// behind the live requests of every class.
type Gate struct {
	waiting []waitingTicket
	running int
}

// Idle reports whether nothing runs or waits.
func (g *Gate) Idle() bool { return g.running == 0 && len(g.waiting) == 0 }

// Waiting is the number of tickets that wait.
func (g *Gate) Waiting() int { return len(g.waiting) }

// Enter takes a ticket in.
func (g *Gate) Enter(ticket Ticket, room Capacity, now time.Time) []Decision {
	if len(g.waiting) >= MaxWaiting {
		return append(g.Dispatch(room, now), Decision{ID: ticket.ID, Verdict: RejectFull})
	}
	expires := now.Add(MaxWait)
	if !ticket.Deadline.IsZero() && ticket.Deadline.Before(expires) {
		expires = ticket.Deadline
	}
	g.waiting = append(g.waiting, waitingTicket{id: ticket.ID, entered: now, expires: expires})
	return g.Dispatch(room, now)
}

// Leave gives a place back.
func (g *Gate) Leave(room Capacity, now time.Time) []Decision {
	g.running--
	return g.Dispatch(room, now)
}

// Cancel takes a ticket out that waits no longer; it reports whether it was there.
func (g *Gate) Cancel(id uint64) bool {
	before := len(g.waiting)
	g.waiting = slices.DeleteFunc(g.waiting, func(w waitingTicket) bool { return w.id == id })
	return len(g.waiting) < before
}

// Dispatch refuses who waited too long and lets in who may run now.
func (g *Gate) Dispatch(room Capacity, now time.Time) []Decision {
	var decisions []Decision
	g.waiting = slices.DeleteFunc(g.waiting, func(w waitingTicket) bool {
		late := !now.Before(w.expires)
		if late {
			decisions = append(decisions, Decision{ID: w.id, Verdict: RejectLate})
		}
		return late
	})
	for len(g.waiting) > 0 && g.admits(g.waiting[0], room, now) {
		decisions = append(decisions, Decision{ID: g.waiting[0].id, Verdict: Run})
		g.waiting = g.waiting[1:]
		g.running++
	}
	return decisions
}

func (g *Gate) admits(next waitingTicket, room Capacity, now time.Time) bool {
	if g.running == 0 && now.Sub(next.entered) >= AdmissionTimeout {
		return true
	}
	return !room.LiveWaits && g.running < room.Slots
}

// NextWake is when Dispatch may have something to do without any other event; zero when nothing waits.
func (g *Gate) NextWake() time.Time {
	var next time.Time
	for at, w := range g.waiting {
		wake := w.expires
		if patient := w.entered.Add(AdmissionTimeout); at == 0 && g.running == 0 && patient.Before(wake) {
			wake = patient
		}
		if next.IsZero() || wake.Before(next) {
			next = wake
		}
	}
	return next
}
