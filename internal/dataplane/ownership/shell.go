package ownership

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// shell is the state of the owner goroutine. No other goroutine may access it.
type shell struct {
	manager   *Manager
	directory *directory.Directory
	// send starts a call to another front node, whose outcome is posted as a task.
	send            func(directory.Send)
	pendingResolves map[uint64]chan<- directory.Resolved
	drainWaiters    []chan struct{}
	// yieldedAllAt is when a draining node was first seen without owned sessions; zero before.
	yieldedAllAt time.Time
	policy       *protocol.RecoveryPolicy

	timer  *time.Timer
	tickAt time.Time
	// reportedOwning is true once the link has been notified that this process has owned a session.
	reportedOwning bool
	// loggedSalvaging and loggedSuspects are the values that were logged last.
	loggedSalvaging bool
	loggedSuspects  int
}

func newShell(ctx context.Context, manager *Manager) *shell {
	self := manager.options.Link.Authority().Self
	return &shell{
		manager: manager,
		send:    manager.sender(ctx),
		directory: directory.New(directory.Options{
			Self: ring.Member{
				Name: self.GetName(), Address: self.GetAddress(), Incarnation: self.GetIncarnation(),
			},
			Random:                  manager.options.Random,
			FailureDetectionTimeout: manager.options.FailureDetectionTimeout,
		}),
		pendingResolves: make(map[uint64]chan<- directory.Resolved),
		timer:           time.NewTimer(maxTickInterval),
	}
}

// run executes tasks and ticks until the context ends.
func (s *shell) run(ctx context.Context) {
	defer s.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-s.manager.tasks:
			task(s)
			if s.directory.Pending() {
				s.tickWithin(minTickInterval)
			}
		case <-s.timer.C:
			s.handle(directory.Ticked{})
			s.publish()
			s.scheduleTick()
		}
	}
}

// tickWithin moves the next tick forward if it is due later than after the given wait.
func (s *shell) tickWithin(wait time.Duration) {
	if at := time.Now().Add(wait); at.Before(s.tickAt) {
		s.tickAt = at
		s.timer.Reset(wait)
	}
}

func (s *shell) scheduleTick() {
	wait := maxTickInterval
	if next, pending := s.directory.NextTick(); pending {
		wait = min(max(time.Until(next), minTickInterval), maxTickInterval)
	}
	s.tickAt = time.Now().Add(wait)
	s.timer.Reset(wait)
}

// moment returns the time and whether this node has authority. If this node has a new incarnation, the directory first
// handles the loss of authority, before any event under that incarnation.
func (s *shell) moment() (directory.Moment, *corelink.Authority) {
	authority := s.manager.options.Link.Authority()
	current := directory.Moment{Now: time.Now(), Authority: authority.Valid()}
	if incarnation := authority.Self.GetIncarnation(); incarnation != s.directory.Self().Incarnation {
		s.manager.logger.Warn("authority lost", "sessions", s.directory.OwnedCount())
		s.execute(s.directory.Handle(current, directory.Reincarnated{Incarnation: incarnation}))
	}
	return current, authority
}

func (s *shell) handle(event directory.Event) {
	moment, _ := s.moment()
	s.execute(s.directory.Handle(moment, event))
	s.reportOwning()
}

// reportOwning notifies the link, once, that this process has owned a session.
func (s *shell) reportOwning() {
	if !s.reportedOwning && s.directory.OwnedCount() > 0 {
		s.reportedOwning = true
		s.manager.options.Link.SetOwning()
	}
}

func (s *shell) handleView(view *corelink.View) {
	if recovery := view.Configuration.GetActive().GetRecovery(); recovery != s.policy {
		s.policy = recovery
		s.handle(directory.PolicyChanged{Policy: directory.NewPolicy(recovery)})
	}
	if view.Membership.GetVersion() > s.directory.ViewVersion() {
		s.handle(
			directory.ViewChanged{
				View: s.directory.Membership().NextFromMembership(view.Membership, s.manager.options.VirtualNodes),
			},
		)
	}
}

func (s *shell) resolve(request directory.ResolveRequested, answer chan<- directory.Resolved) {
	s.pendingResolves[request.Ticket] = answer
	s.handle(request)
}

func (s *shell) cancelResolve(ticket uint64) {
	delete(s.pendingResolves, ticket)
	s.handle(directory.ResolveCancelled{Ticket: ticket})
}

func (s *shell) begin(session string) (*Grant, failure.Code) {
	moment, authority := s.moment()
	code, commands := s.directory.Begin(moment, session)
	s.execute(commands)
	if code != "" {
		return nil, code
	}
	return &Grant{manager: s.manager, session: session, incarnation: authority.Self.GetIncarnation()}, ""
}
