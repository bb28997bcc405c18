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

// shell holds the directory; only the owner goroutine touches it.
type shell struct {
	manager   *Manager
	ctx       context.Context
	directory *directory.Directory
	waiting   map[uint64]chan<- directory.Resolved
	drained   []chan struct{}
	// givenUpAt is when a draining node had given its last session up.
	givenUpAt time.Time
	policy    *protocol.RecoveryPolicy

	timer  *time.Timer
	tickAt time.Time
	// owning is true once the link was told that this process has owned a session.
	owning bool
	// salvaging and suspects are what the log was last told.
	salvaging bool
	suspects  int
}

func newShell(manager *Manager, ctx context.Context) *shell {
	self := manager.options.Link.Authority().Self
	return &shell{
		manager: manager,
		ctx:     ctx,
		directory: directory.New(directory.Options{
			Self: ring.Member{
				Name: self.GetName(), Address: self.GetAddress(), Incarnation: self.GetIncarnation(),
			},
			Random:                  manager.options.Random,
			FailureDetectionTimeout: manager.options.FailureDetectionTimeout,
		}),
		waiting: make(map[uint64]chan<- directory.Resolved),
		timer:   time.NewTimer(longestTick),
	}
}

func (s *shell) run() {
	defer s.timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case command := <-s.manager.commands:
			command(s)
			if s.directory.Pending() {
				s.tickWithin(shortestTick)
			}
		case <-s.timer.C:
			s.handle(directory.Ticked{})
			s.publish()
			s.scheduleTick()
		}
	}
}

// tickWithin brings the next tick forward.
func (s *shell) tickWithin(wait time.Duration) {
	if at := time.Now().Add(wait); at.Before(s.tickAt) {
		s.tickAt = at
		s.timer.Reset(wait)
	}
}

func (s *shell) scheduleTick() {
	wait := longestTick
	if next, pending := s.directory.NextTick(); pending {
		wait = min(max(time.Until(next), shortestTick), longestTick)
	}
	s.tickAt = time.Now().Add(wait)
	s.timer.Reset(wait)
}

// moment is the time and whether this node has authority. A new incarnation of
// this node is told to the directory before anything else is.
func (s *shell) moment() (directory.Moment, *corelink.Authority) {
	authority := s.manager.options.Link.Authority()
	at := directory.Moment{Now: time.Now(), Authority: authority.Valid()}
	if incarnation := authority.Self.GetIncarnation(); incarnation != s.directory.Self().Incarnation {
		s.manager.logger.Warn("authority was lost; sessions are registered again", "sessions", s.directory.OwnedCount())
		s.execute(s.directory.Handle(at, directory.Reincarnated{Incarnation: incarnation}))
	}
	return at, authority
}

func (s *shell) handle(event directory.Event) {
	at, _ := s.moment()
	s.execute(s.directory.Handle(at, event))
	s.tellOwning()
}

// tellOwning tells the link once that the process owns a session.
func (s *shell) tellOwning() {
	if !s.owning && s.directory.OwnedCount() > 0 {
		s.owning = true
		s.manager.options.Link.SetOwning()
	}
}

func (s *shell) viewChanged(view *corelink.View) {
	if recovery := view.Configuration.GetActive().GetRecovery(); recovery != s.policy {
		s.policy = recovery
		s.handle(directory.PolicyChanged{Policy: directory.NewPolicy(recovery)})
	}
	if view.Membership.GetVersion() > s.directory.ViewVersion() {
		s.handle(directory.ViewChanged{View: s.directory.Membership().NextFromMembership(view.Membership, s.manager.options.VirtualNodes)})
	}
}

func (s *shell) resolve(request directory.ResolveRequested, answer chan<- directory.Resolved) {
	s.waiting[request.Ticket] = answer
	s.handle(request)
}

func (s *shell) cancelResolve(ticket uint64) {
	delete(s.waiting, ticket)
	s.handle(directory.ResolveCancelled{Ticket: ticket})
}

func (s *shell) begin(session string) (*Grant, failure.Code) {
	at, authority := s.moment()
	code, commands := s.directory.Begin(at, session)
	s.execute(commands)
	if code != "" {
		return nil, code
	}
	return &Grant{manager: s.manager, session: session, incarnation: authority.Self.GetIncarnation()}, ""
}

func (s *shell) drain(drained chan struct{}) {
	s.drained = append(s.drained, drained)
	s.handle(directory.DrainBegun{})
	s.checkDrained()
}

func (s *shell) checkDrained() {
	if len(s.drained) == 0 || !s.directory.Drained() && !s.waitedLongEnough() {
		return
	}
	for _, drained := range s.drained {
		close(drained)
	}
	s.drained = nil
}

// waitedLongEnough reports whether the sessions are given up and the partition
// could not be handed off in time. Its owners register it elsewhere once this process has ended.
func (s *shell) waitedLongEnough() bool {
	if s.directory.OwnedCount() > 0 {
		return false
	}
	if s.givenUpAt.IsZero() {
		s.givenUpAt = time.Now()
	}
	return time.Since(s.givenUpAt) >= s.manager.options.DrainWait
}

func (s *shell) execute(commands []directory.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case directory.Send:
			s.send(command)
		case directory.Resolved:
			s.resolved(command)
		case directory.Yielded:
			for _, notify := range s.manager.onYield {
				notify(command.Session)
			}
		case directory.Reregistered:
			s.manager.metrics.reregistered(command.Waits)
		case directory.TransferCompleted:
			s.manager.metrics.settled.Observe(command.Took.Seconds())
		}
	}
	s.checkDrained()
}

func (s *shell) resolved(command directory.Resolved) {
	if answer, found := s.waiting[command.Ticket]; found {
		delete(s.waiting, command.Ticket)
		answer <- command
	}
}

// send makes the call beside the owner goroutine and queues its answer.
func (s *shell) send(command directory.Send) {
	manager, ctx := s.manager, s.ctx
	manager.workers.Go(func() {
		call, cancel := context.WithTimeout(ctx, command.Timeout)
		defer cancel()
		began := time.Now()
		answered := directory.Answered{Call: command.Call}
		response, err := manager.options.Caller.Call(call, command.Address, command.Request)
		if err != nil {
			manager.metrics.failedCalls.Inc()
			answered.Failure = evidenceOf(err, !stalled(time.Since(began), command.Timeout))
		} else {
			answered.Response = response
		}
		manager.post(func(s *shell) { s.handle(answered) })
	})
}

// publish writes the counters out, and a line when the salvage list fills or empties or the suspects change.
func (s *shell) publish() {
	s.manager.metrics.publish(s.directory)
	if suspects := s.directory.Suspects(); suspects != s.suspects {
		s.suspects = suspects
		s.manager.logger.Info("suspects changed", "front_nodes", suspects, "view", s.directory.ViewVersion())
	}
	if salvaging := s.directory.SalvageLength() > 0; salvaging != s.salvaging {
		s.salvaging = salvaging
		s.manager.logger.Info("salvage list changed", "sessions", s.directory.SalvageLength(),
			"view", s.directory.ViewVersion())
	}
}
