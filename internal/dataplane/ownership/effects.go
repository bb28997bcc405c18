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
			s.resolved(command)
		case directory.Yielded:
			for _, notify := range s.manager.onYield {
				notify(command.Session)
			}
		case directory.Reregistered:
			s.manager.metrics.reregistered(command.Waits)
		case directory.TransferCompleted:
			s.manager.metrics.transferDuration.Observe(command.Took.Seconds())
		}
	}
	s.checkDrained()
}

func (s *shell) resolved(command directory.Resolved) {
	if answer, found := s.pendingResolves[command.Ticket]; found {
		delete(s.pendingResolves, command.Ticket)
		answer <- command
	}
}

// sender returns the function that makes a call in a goroutine of its own, which posts the answer. The calls end with
// the context, which is the owner goroutine's.
func (m *Manager) sender(ctx context.Context) func(directory.Send) {
	return func(command directory.Send) {
		m.calls.Go(func() {
			answered := m.call(ctx, command)
			m.post(func(s *shell) { s.handle(answered) })
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

// publish copies the counters for the metrics, and logs when the salvage list fills or empties or the suspects change.
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
