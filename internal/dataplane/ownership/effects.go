package ownership

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
)

func (s *shell) execute(commands []directory.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case directory.Send:
			s.send(command)
		case directory.Resolved:
			s.deliverResolved(command)
		case directory.Yielded:
			for _, notify := range s.manager.onYield {
				notify(command.Session)
			}
		case directory.Reregistered:
			s.manager.metrics.observeReregistrations(command.Waits)
		case directory.TransferCompleted:
			s.manager.metrics.transferDuration.Observe(command.Took.Seconds())
		}
	}
	s.checkDrained()
}

func (s *shell) deliverResolved(command directory.Resolved) {
	if answer, found := s.pendingResolves[command.Ticket]; found {
		delete(s.pendingResolves, command.Ticket)
		answer <- command
	}
}

// sender returns a function that makes a call in a goroutine of its own, which posts the outcome as a task. The calls
// end with the context, which is that of the owner goroutine.
func (m *Manager) sender(ctx context.Context) func(directory.Send) {
	return func(command directory.Send) {
		m.calls.Go(func() {
			ended := m.call(ctx, command)
			m.post(func(s *shell) { s.handle(ended) })
		})
	}
}

func (m *Manager) call(ctx context.Context, command directory.Send) directory.CallEnded {
	ctx, cancel := context.WithTimeout(ctx, command.Timeout)
	defer cancel()
	startedAt := time.Now()
	response, err := m.options.Caller.Call(ctx, command.Address, command.Request)
	if err != nil {
		m.metrics.failedCalls.Inc()
		cause := classifyFailure(err, !stalled(time.Since(startedAt), command.Timeout))
		return directory.CallEnded{Call: command.Call, Failure: cause}
	}
	return directory.CallEnded{Call: command.Call, Response: response}
}

// publish copies the counters to the metrics, and logs when the number of suspects changes and when the salvage list
// becomes empty or nonempty.
func (s *shell) publish() {
	s.manager.metrics.publish(s.directory)
	if suspects := s.directory.SuspectCount(); suspects != s.loggedSuspects {
		s.loggedSuspects = suspects
		s.manager.logger.Info("suspects changed", "front_nodes", suspects, "view", s.directory.ViewVersion())
	}
	if salvaging := s.directory.SalvageLength() > 0; salvaging != s.loggedSalvaging {
		s.loggedSalvaging = salvaging
		s.manager.logger.Info("salvage list changed", "sessions", s.directory.SalvageLength(),
			"view", s.directory.ViewVersion())
	}
}
