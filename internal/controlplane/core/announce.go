package core

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// announcementOutcome is the leader's decision on the announcement of a back end.
type announcementOutcome int

const (
	announcementNotLeader announcementOutcome = iota
	// announcementOutdated has no effect, because a later announcement was received before it.
	announcementOutdated
	// announcementUnchanged equals the back end in the view; its lease was renewed.
	announcementUnchanged
	// announcementChanged must be written to the log.
	announcementChanged
)

// AnnounceBackEnd applies the announcement of a back end and renews its lease; the log is written only if something
// changed. The sequence increases with every call of an incarnation: a call with a lower sequence than one received
// before has no effect, nor has a call for a back end that was removed. A draining back end stays draining. With the
// state DRAINING the call returns nil only once the active view of every front node with an unexpired lease shows the
// back end as draining, which takes at most the duration of a front node's lease.
//
// Any member accepts the call. A follower acknowledges an announcement that changes nothing and forwards the others to
// the leader; it fails with Unavailable while the leader is unreachable.
func (s *Service) AnnounceBackEnd(ctx context.Context, backEnd *protocol.BackEnd, sequence uint64) error {
	if backEnd.GetId() == "" {
		return missingField("id")
	}
	if s.caller == nil || s.owner.isLeader() {
		return s.announceAtLeader(ctx, backEnd, sequence)
	}
	return s.announceAtFollower(ctx, backEnd, sequence)
}

// announceAtLeader handles an announcement made at the leader or forwarded to it; it fails with NotLeader on a
// follower.
func (s *Service) announceAtLeader(ctx context.Context, backEnd *protocol.BackEnd, sequence uint64) error {
	outcome, err := s.observeAnnouncement(ctx, backEnd, sequence)
	if err != nil {
		return err
	}
	if outcome == announcementChanged {
		if err := s.writeAnnouncement(ctx, backEnd, sequence); err != nil {
			return err
		}
	}
	if backEnd.GetState() != protocol.BackEndState_DRAINING {
		return nil
	}
	return s.awaitDrained(ctx, backEnd.GetId())
}

// observeAnnouncement classifies an announcement on the owner goroutine, which serializes announcements, and renews the
// lease of a back end that is unchanged.
func (s *Service) observeAnnouncement(
	ctx context.Context, backEnd *protocol.BackEnd, sequence uint64,
) (announcementOutcome, error) {
	outcome := announcementNotLeader
	holder := leases.BackEndHolder(backEnd)
	executed := s.owner.execute(ctx, func(now time.Time) {
		switch {
		case !s.owner.isLeader():
		case s.owner.isOutdated(holder, sequence, now):
			outcome = announcementOutdated
		case s.machine.View().Holds(backEnd) && s.owner.backEnds.Renew(holder, now):
			outcome = announcementUnchanged
		default:
			outcome = announcementChanged
		}
	})
	if !executed {
		return outcome, controllog.Interrupted(ctx)
	}
	switch outcome {
	case announcementNotLeader:
		return outcome, controllog.NotLeader()
	case announcementOutdated:
		s.metrics.backEndLeases.WithLabelValues(eventOutdated).Inc()
	case announcementUnchanged:
		s.metrics.backEndLeases.WithLabelValues(eventRenewed).Inc()
	}
	return outcome, nil
}

// isOutdated records the sequence of an announcement and reports whether a later announcement was received before it,
// or the back end was removed.
func (o *ownerLoop) isOutdated(backEnd leases.Holder, sequence uint64, now time.Time) bool {
	if o.machine.View().Outdated(backEnd.Name, backEnd.Incarnation, sequence) {
		return true
	}
	return sequence != 0 && !o.sequences.Observe(backEnd, sequence, now)
}

// writeAnnouncement writes an announcement to the log and starts the lease of the new or changed back end.
func (s *Service) writeAnnouncement(ctx context.Context, backEnd *protocol.BackEnd, sequence uint64) error {
	_, err := s.proposer.ProposeAccepted(ctx, &protocol.Command{Body: &protocol.Command_UpsertBackEnd{
		UpsertBackEnd: &protocol.UpsertBackEndCommand{BackEnd: backEnd, Sequence: sequence},
	}})
	if err != nil {
		return err
	}
	s.metrics.backEndLeases.WithLabelValues(eventChanged).Inc()
	_, err = s.observeAnnouncement(ctx, backEnd, sequence)
	return err
}

// awaitDrained returns once no front node sends requests to a back end any more; it fails if the back end is ready.
func (s *Service) awaitDrained(ctx context.Context, id string) error {
	view := s.machine.View()
	if current := view.BackEnd(id); current != nil && current.GetState() != protocol.BackEndState_DRAINING {
		return failure.New(failure.InvalidOrder, protocol.Outcome_NOT_RUN,
			"a later announcement says that the back end is ready", failure.WithPath("sequence"))
	}
	return s.awaitBackEndView(ctx, view)
}

// awaitBackEndView waits until every front node with an unexpired lease has activated the back ends of the view, at
// most for the duration of a lease and its margins.
func (s *Service) awaitBackEndView(ctx context.Context, view *controlstate.View) error {
	bounded, cancel := context.WithTimeout(ctx, s.lease+2*leaseMargin)
	defer cancel()
	return s.owner.awaitDrain(bounded, view.BackEnds.GetVersion())
}

// RemoveBackEnd removes a back end that reports its own departure: its incarnation is not accepted again. It returns
// nil once every front node with an unexpired lease has activated a view without the back end. Removing a back end
// that was removed before succeeds.
func (s *Service) RemoveBackEnd(ctx context.Context, id string, sequence uint64) error {
	if id == "" {
		return missingField("id")
	}
	if err := s.requireLeader(); err != nil {
		return err
	}
	if !s.machine.View().Removed(id) {
		_, err := s.proposer.ProposeAccepted(ctx, &protocol.Command{Body: &protocol.Command_RemoveBackEnd{
			RemoveBackEnd: &protocol.RemoveBackEndCommand{Id: id, Departed: true, Sequence: sequence},
		}})
		if err != nil {
			return err
		}
		s.metrics.backEndLeases.WithLabelValues(eventLeft).Inc()
	}
	return s.awaitBackEndView(ctx, s.machine.View())
}
