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

// announcementOutcome is what the leader decides on a back end's announcement.
type announcementOutcome int

const (
	announcementNotLeader announcementOutcome = iota
	// announcementOutdated came after a later one and changes nothing.
	announcementOutdated
	// announcementUnchanged is what the view holds already; the lease was renewed.
	announcementUnchanged
	// announcementChanged must be written to the log.
	announcementChanged
)

// AnnounceBackEnd applies what a back end announces of itself and renews its lease; the log is written only when
// something changed. The sequence rises with every call of an incarnation: a call with a lower one than was seen
// before changes nothing, nor does one of a back end that was removed. A back end that was draining stays so. With
// the state DRAINING it returns nil only once every front node whose lease runs has a view in force that says so,
// which takes a lease of a front node at most.
//
// Any member takes it. One that does not lead acknowledges what changes nothing and forwards the rest to the leader; it
// fails with Unavailable while it does not reach the leader.
func (s *Service) AnnounceBackEnd(ctx context.Context, backEnd *protocol.BackEnd, sequence uint64) error {
	if backEnd.GetId() == "" {
		return missingField("id")
	}
	if s.caller == nil || s.owner.isLeader() {
		return s.announceAtLeader(ctx, backEnd, sequence)
	}
	return s.announceAtFollower(ctx, backEnd, sequence)
}

// announceAtLeader handles an announcement, whichever member it came by; it fails with NotLeader at another one.
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

// observeAnnouncement decides at the owner, which orders announcements, and renews the lease of a back end that is
// unchanged.
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

// isOutdated records the sequence of an announcement and reports whether it came after a later one, or after the back
// end left.
func (o *ownerLoop) isOutdated(backEnd leases.Holder, sequence uint64, now time.Time) bool {
	if o.machine.View().Outdated(backEnd.Name, backEnd.Incarnation, sequence) {
		return true
	}
	return sequence != 0 && !o.sequences.Observe(backEnd, sequence, now)
}

// writeAnnouncement writes an announcement to the log and begins the lease of what is new in the view.
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

// awaitDrained returns once no front node sends to a back end any more; it fails when the back end is still ready.
func (s *Service) awaitDrained(ctx context.Context, id string) error {
	view := s.machine.View()
	if current := view.BackEnd(id); current != nil && current.GetState() != protocol.BackEndState_DRAINING {
		return failure.New(failure.InvalidOrder, protocol.Outcome_NOT_RUN,
			"a later announcement says that the back end is ready", failure.WithPath("sequence"))
	}
	return s.awaitBackEndView(ctx, view)
}

// awaitBackEndView waits until every front node under a lease has the back ends of the view in force, at most as long as
// a lease lasts.
func (s *Service) awaitBackEndView(ctx context.Context, view *controlstate.View) error {
	bounded, cancel := context.WithTimeout(ctx, s.lease+2*leaseMargin)
	defer cancel()
	return s.owner.awaitDrain(bounded, view.BackEnds.GetVersion())
}

// RemoveBackEnd removes a back end that reports that it left: its incarnation is not accepted again. It returns nil
// once every front node whose lease runs has a view without it in force. Removing one that was removed before is
// acknowledged.
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
