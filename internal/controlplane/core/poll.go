package core

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/controlplane/replica"
	"github.com/rosestand/rosestand/internal/protocol"
)

// maxPollWait bounds how long a poll is held back, whatever the node asks for.
const maxPollWait = 30 * time.Second

// pollControl answers with the sections that are newer than those known. With
// nothing newer it waits for a change, the time asked for or the end of this
// leadership. What is newer is held back while the answer before it to the same
// node is younger than the coalescing interval. A fresh poll is answered at
// once, from a linearizable read.
func (s *Service) pollControl(ctx context.Context, request *protocol.PollControlRequest) (*protocol.PollControlResponse, error) {
	if request.GetFresh() {
		if err := s.consensus.Barrier(ctx); err != nil {
			return nil, controllog.Failure(err)
		}
		s.metrics.polls.WithLabelValues("fresh").Inc()
		return s.answerPoll(s.machine.current.Load(), request), nil
	}
	leadership := s.owner.leadership.Load()
	if leadership == nil || !s.consensus.IsLeader() {
		return nil, controllog.NotLeader()
	}
	s.confirmPoll(request)
	timer := s.clock.NewTimer(min(time.Duration(request.GetWaitMillis())*time.Millisecond, maxPollWait))
	defer timer.Stop()
	for {
		current := s.machine.current.Load()
		var paceTimer replica.Timer
		var changed <-chan struct{}
		var due <-chan time.Time
		if current.newerThan(request.GetKnown()) {
			wait := s.pacing.remainingWait(request.GetNode(), current.view.Versions(), s.clock.Now())
			if wait <= 0 {
				s.metrics.polls.WithLabelValues("changed").Inc()
				return s.answerPoll(current, request), nil
			}
			s.metrics.coalesced.Inc()
			paceTimer = s.clock.NewTimer(wait)
			due = paceTimer.C()
		} else {
			changed = current.changed
		}
		ended, err := s.awaitPoll(ctx, changed, due, timer.C(), leadership)
		if paceTimer != nil {
			paceTimer.Stop()
		}
		if ended != nil || err != nil {
			return ended, err
		}
	}
}

// awaitPoll waits for a change or for the end of the time that an answer is
// held back; it returns an answer or an error when the poll ended first.
func (s *Service) awaitPoll(ctx context.Context, changed <-chan struct{}, due, ends <-chan time.Time, leadership *leadership) (*protocol.PollControlResponse, error) {
	select {
	case <-changed:
		return nil, nil
	case <-due:
		return nil, nil
	case <-ends:
		s.metrics.polls.WithLabelValues("unchanged").Inc()
		return &protocol.PollControlResponse{}, nil
	case <-leadership.lost:
		s.metrics.polls.WithLabelValues("not_leader").Inc()
		return nil, controllog.NotLeader()
	case <-ctx.Done():
		s.metrics.polls.WithLabelValues("cancelled").Inc()
		return nil, controllog.Interrupted(ctx)
	}
}

// confirmPoll takes what a poll knows as in force at the node, when it comes from the incarnation under the lease.
func (s *Service) confirmPoll(request *protocol.PollControlRequest) {
	if request.GetNode() == "" || request.GetIncarnation() == 0 {
		return
	}
	holder, known := leases.Holder{Name: request.GetNode(), Incarnation: request.GetIncarnation()}, request.GetKnown()
	select {
	case s.owner.queue <- func(now time.Time) { s.owner.confirmVersions(holder, known, now) }:
	default:
	}
}

// newerThan reports whether a section has a higher version than the one known.
func (p *published) newerThan(known *protocol.ControlVersions) bool {
	return p.sections.configuration.version > known.GetConfiguration() || p.sections.membership.version > known.GetMembership() ||
		p.sections.backEnds.version > known.GetBackEnds() || p.sections.placement.version > known.GetPlacement()
}

// answerPoll collects the sections with a higher version than the one known.
func (s *Service) answerPoll(current *published, request *protocol.PollControlRequest) *protocol.PollControlResponse {
	answer, known := &protocol.PollControlResponse{}, request.GetKnown()
	add := func(section *section, version uint64) {
		if section.version <= version {
			return
		}
		sectionAnswer := section.answer(sectionRequest{
			known: version, acceptsDeltas: request.GetAcceptsDeltas(), acceptsPackedConfiguration: request.GetAcceptsPackedConfiguration(),
			acceptsPackedViews: request.GetAcceptsPackedViews(),
		})
		sectionAnswer.set(answer)
		s.metrics.pollSections.WithLabelValues(sectionAnswer.kind).Inc()
		s.metrics.pollBytes.WithLabelValues(sectionAnswer.kind).Add(float64(sectionAnswer.bytes))
	}
	add(current.sections.configuration, known.GetConfiguration())
	add(current.sections.membership, known.GetMembership())
	add(current.sections.backEnds, known.GetBackEnds())
	add(current.sections.placement, known.GetPlacement())
	s.pacing.recordAnswer(request.GetNode(), current.view.Versions(), s.clock.Now())
	return answer
}
