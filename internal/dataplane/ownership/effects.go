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

// send makes the call in a goroutine of its own and posts its answer.
//
//nolint:contextcheck // the call belongs to the owner goroutine, whose context it has, not to the caller that caused it
func (s *shell) send(command directory.Send) {
	manager, ctx := s.manager, s.ctx
	manager.calls.Go(func() {
		call, cancel := context.WithTimeout(ctx, command.Timeout)
		defer cancel()
		startedAt := time.Now()
		answered := directory.Answered{Call: command.Call}
		response, err := manager.options.Caller.Call(call, command.Address, command.Request)
		if err != nil {
			manager.metrics.failedCalls.Inc()
			answered.Failure = classifyFailure(err, !stalled(time.Since(startedAt), command.Timeout))
		} else {
			answered.Response = response
		}
		manager.post(func(s *shell) { s.handle(answered) })
	})
}

// publish copies the counters for the metrics, and logs when the salvage list fills or empties or the suspects change.
func (s *shell) publish() {
	s.manager.metrics.publish(s.directory)
	if suspects := s.directory.Suspects(); suspects != s.loggedSuspects {
		s.loggedSuspects = suspects
		s.manager.logger.Info("suspects changed", "front_nodes", suspects, "view", s.directory.ViewVersion())
	}
	if salvaging := s.directory.SalvageLength() > 0; salvaging != s.loggedSalvaging {
		s.loggedSalvaging = salvaging
		s.manager.logger.Info("salvage list changed", "sessions", s.directory.SalvageLength(),
			"view", s.directory.ViewVersion())
	}
}
