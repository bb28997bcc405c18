package core

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// maxPollWait bounds how long a poll is held back, whatever the node asks for.
const maxPollWait = 30 * time.Second

// pollControl answers with the sections that are newer than those known. With
// nothing newer it waits for a change, the time asked for or the end of this
// leadership. A fresh poll is answered at once, from a linearizable read.
func (s *Service) pollControl(ctx context.Context, request *protocol.PollControlRequest) (*protocol.PollControlResponse, error) {
	if request.GetFresh() {
		if err := s.consensus.Barrier(ctx); err != nil {
			return nil, consensusFailure(err)
		}
		s.metrics.polls.WithLabelValues("fresh").Inc()
		answer, _ := s.newerThan(s.machine.current.Load(), request.GetKnown())
		return answer, nil
	}
	leadership := s.owner.leading.Load()
	if leadership == nil || !s.consensus.IsLeader() {
		return nil, notLeaderFailure()
	}
	s.confirmPoll(request)
	timer := s.clock.NewTimer(min(time.Duration(request.GetWaitMillis())*time.Millisecond, maxPollWait))
	defer timer.Stop()
	for {
		current := s.machine.current.Load()
		if answer, newer := s.newerThan(current, request.GetKnown()); newer {
			s.metrics.polls.WithLabelValues("changed").Inc()
			return answer, nil
		}
		select {
		case <-current.changed:
		case <-timer.C():
			s.metrics.polls.WithLabelValues("unchanged").Inc()
			return &protocol.PollControlResponse{}, nil
		case <-leadership.lost:
			s.metrics.polls.WithLabelValues("not_leader").Inc()
			return nil, notLeaderFailure()
		case <-ctx.Done():
			s.metrics.polls.WithLabelValues("cancelled").Inc()
			return nil, contextFailure(ctx)
		}
	}
}

// confirmPoll takes what a poll knows as in force at the node, when it comes from the incarnation under the lease.
func (s *Service) confirmPoll(request *protocol.PollControlRequest) {
	if request.GetNode() == "" || request.GetIncarnation() == 0 {
		return
	}
	name, incarnation, known := request.GetNode(), request.GetIncarnation(), request.GetKnown()
	select {
	case s.owner.queue <- func(now time.Time) { s.owner.confirm(name, incarnation, known, now) }:
	default:
	}
}

// newerThan collects the sections with a higher version than the one known.
func (s *Service) newerThan(current *published, known *protocol.ControlVersions) (*protocol.PollControlResponse, bool) {
	view := current.view
	answer := &protocol.PollControlResponse{}
	newer := false
	if view.Configuration.GetVersion() > known.GetConfiguration() {
		answer.Configuration, answer.ConfigurationDelta = current.configurationSince(known.GetConfiguration())
		s.countSection(&newer, configurationKind(answer))
	}
	if view.Membership.GetVersion() > known.GetMembership() {
		answer.Membership = view.Membership
		s.countSection(&newer, "membership")
	}
	if view.BackEnds.GetVersion() > known.GetBackEnds() {
		answer.BackEnds = view.BackEnds
		s.countSection(&newer, "back_ends")
	}
	if view.Placement.GetEpoch() > known.GetPlacement() {
		answer.Placement = view.Placement
		s.countSection(&newer, "placement")
	}
	return answer, newer
}

func (s *Service) countSection(newer *bool, section string) {
	*newer = true
	s.metrics.pollSections.WithLabelValues(section).Inc()
}

func configurationKind(answer *protocol.PollControlResponse) string {
	if answer.GetConfigurationDelta() != nil {
		return "configuration_delta"
	}
	return "configuration"
}
