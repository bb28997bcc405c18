package ownershipsuite

import (
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/lease"
	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	resolveWait     = 2 * time.Second
	minTickInterval = 5 * time.Millisecond
	maxTickInterval = 250 * time.Millisecond
	leaseMargin     = 500 * time.Millisecond
)

// front is one incarnation of a front node: the real lease holder and directory with a simple owner of turns.
type front struct {
	node
	suite     *suite
	holder    *lease.Holder
	directory *directory.Directory
	viewKnown uint64
	// pollCall is the id of the poll in flight.
	pollCall    uint64
	pollStarted time.Time

	tickets    map[uint64]func(directory.Resolved)
	lastTicket uint64
	tickAt     time.Time
	// ticks counts timers for ticks; only the newest fires.
	ticks  int
	epochs map[string]sessionEpoch

	// inContact is true while answers of the core arrive.
	inContact bool
	// hasOwned is true once this incarnation has owned a session.
	hasOwned bool
	draining bool
	// drainingSince is when the drain began, sessionsYieldedAt when the last session had been yielded.
	drainingSince, sessionsYieldedAt time.Time
	released                         bool
	stoppedRenewing                  bool
}

// sessionEpoch is the owner's state of a session that it claimed.
type sessionEpoch struct {
	incarnation uint64
	epoch       uint64
	lastTurn    string
}

func (s *suite) buildFront(environment *sim.Environment) (sim.Process, error) {
	incarnation := uint64(environment.Now().UnixMilli())
	name := string(environment.Address())
	f := &front{
		node: newNode(environment), suite: s,
		holder: lease.NewHolder(incarnation, lease.Options{Margin: leaseMargin, ViewLimit: s.viewLimit()}),
		directory: directory.New(directory.Options{
			Self:   ring.Member{Name: name, Address: name, Incarnation: incarnation},
			Policy: s.options.Policy, Random: environment.Random(),
		}),
		tickets: make(map[uint64]func(directory.Resolved)), epochs: make(map[string]sessionEpoch),
	}
	environment.After(0, f.renew)
	environment.After(0, f.poll)
	f.scheduleTick(maxTickInterval)
	return f, nil
}

func (s *suite) viewLimit() time.Duration {
	if s.options.Mutation == MutationIgnoreViews {
		return 0
	}
	return leaseDuration
}

// Receive implements sim.Process: it serves requests and finishes calls.
func (f *front) Receive(from sim.Address, message any) {
	received, isPacket := message.(packet)
	if !isPacket {
		return
	}
	if received.reply {
		f.finish(received.id, received.body)
		return
	}
	switch body := received.body.(type) {
	case *protocol.Request:
		f.serveDirectory(body, func(answer *protocol.Response) {
			f.suite.meter.countMessage(f.environment.Address(), from, answer)
			f.reply(from, received.id, answer)
		})
	case turnRequest:
		f.serveTurn(from, received.id, body)
	}
}

// ConnectionBroken fails the calls to a peer and makes it suspected.
func (f *front) ConnectionBroken(peer sim.Address) {
	f.connectionBroken(peer)
	f.handle(directory.PeerBroken{Address: string(peer)})
}

func (f *front) now() time.Time { return f.environment.Now() }

// hasAuthority reports whether this node may act as owner and holder now.
func (f *front) hasAuthority() bool {
	if f.suite.options.Mutation == MutationNeverExpireAuthority || f.suite.options.Mutation == MutationNeverExpireLease {
		return !f.released && !f.holder.ExpiresAt().IsZero()
	}
	return f.holder.Valid(f.now())
}

func (f *front) self() *protocol.Node {
	f.hasOwned = f.hasOwned || f.directory.OwnedCount() > 0
	return &protocol.Node{
		Name: string(f.environment.Address()), Address: string(f.environment.Address()), Kind: protocol.NodeKind_FRONT,
		Incarnation: f.holder.Incarnation(), Draining: f.draining, OwnedNothing: !f.hasOwned,
	}
}

func (f *front) tick() {
	f.handle(directory.Ticked{})
	f.checkDrained()
	f.scheduleTick(maxTickInterval)
}

// scheduleTick replaces the planned tick.
func (f *front) scheduleTick(wait time.Duration) {
	if next, pending := f.directory.NextTick(); pending {
		wait = min(max(next.Sub(f.now()), minTickInterval), wait)
	}
	f.tickAt = f.now().Add(wait)
	f.ticks++
	planned := f.ticks
	f.environment.After(wait, func() {
		if planned == f.ticks {
			f.tick()
		}
	})
}

func (f *front) moment() directory.Moment {
	return directory.Moment{Now: f.now(), Authority: f.hasAuthority()}
}

func (f *front) handle(event directory.Event) {
	f.execute(f.directory.Handle(f.moment(), event))
	if f.directory.Pending() && f.tickAt.Sub(f.now()) > minTickInterval {
		f.scheduleTick(maxTickInterval)
	}
}

func (f *front) execute(commands []directory.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case directory.Send:
			f.send(command)
		case directory.Resolved:
			if answer := f.tickets[command.Ticket]; answer != nil {
				delete(f.tickets, command.Ticket)
				answer(command)
			}
		case directory.Yielded:
			delete(f.epochs, command.Session)
			f.suite.report.Yields[command.Reason]++
			f.environment.Tracef("yields %s: %s", command.Session, command.Reason)
		case directory.Reregistered:
			f.suite.meter.observeRegistration(f.suite.world.Elapsed(), command.Waits)
		case directory.TransferCompleted:
			f.suite.meter.observeRangesComplete(f.suite.world.Elapsed())
		}
	}
}
