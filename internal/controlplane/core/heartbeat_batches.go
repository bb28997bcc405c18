package core

import (
	"context"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/controlplane/core/heartbeats"
	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"golang.org/x/sync/errgroup"
)

// maxConcurrentUpserts bounds the concurrent proposals for the changes in one relayed batch.
const maxConcurrentUpserts = 16

// renewBackEnds renews the leases of back ends whose heartbeats a follower acknowledged.
func (s *Service) renewBackEnds(
	ctx context.Context, request *protocol.RenewBackEndsRequest,
) (*protocol.RenewBackEndsResponse, error) {
	if len(request.GetHeard()) > heartbeats.MaxBatch {
		return nil, invalidField("heard", "too many heartbeats at once")
	}
	var answer *protocol.RenewBackEndsResponse
	err := controllog.NotLeader()
	executed := s.owner.execute(ctx, func(now time.Time) {
		if s.owner.isLeader() {
			answer, err = s.owner.mergeBatch(request, now)
		}
	})
	if !executed {
		return nil, controllog.Interrupted(ctx)
	}
	return answer, err
}

// mergeBatch renews leases at the leader. It rejects senders that are not members of the core: a removed member must
// not go on acknowledging heartbeats against a view that is no longer updated.
func (o *ownerLoop) mergeBatch(
	request *protocol.RenewBackEndsRequest, now time.Time,
) (*protocol.RenewBackEndsResponse, error) {
	if !o.isMember(request.GetMember()) {
		o.metrics.heartbeatBatches.WithLabelValues(batchRejected).Inc()
		return nil, failure.New(failure.Forbidden, protocol.Outcome_NOT_RUN, "the sender is no member of the core",
			failure.WithPath("member"))
	}
	o.metrics.heartbeatBatches.WithLabelValues(batchReceived).Inc()
	o.relayingMembers.ObserveBatch(request.GetMember(), now)
	answer := &protocol.RenewBackEndsResponse{Members: o.updateHeartbeatMembers(now)}
	view := o.machine.View()
	changes := heartbeats.NewChanges(view)
	for _, heartbeat := range request.GetHeard() {
		if !o.mergeHeartbeat(heartbeat, view, changes, now) {
			answer.Unknown = append(answer.Unknown, heartbeat.GetId())
		}
	}
	return answer, nil
}

// mergeHeartbeat renews the lease of a back end, counted from when the follower received its heartbeat. It returns
// false if the follower must forward the next announcement to the leader: the back end is not in the view, is being
// removed, or was changed since the view that the follower compared it with.
func (o *ownerLoop) mergeHeartbeat(
	heartbeat *protocol.HeardBackEnd, view *controlstate.View, changes *heartbeats.Changes, now time.Time,
) bool {
	backEnd := leases.Holder{Name: heartbeat.GetId(), Incarnation: heartbeat.GetIncarnation()}
	if o.isOutdated(backEnd, heartbeat.GetSequence(), now) {
		o.metrics.backEndLeases.WithLabelValues(eventOutdated).Inc()
		return true
	}
	current := view.BackEnd(backEnd.Name)
	if current == nil || current.GetIncarnation() != backEnd.Incarnation {
		return false
	}
	age := time.Duration(heartbeat.GetAgeMillis()) * time.Millisecond
	if !o.backEnds.Renew(backEnd, now.Add(-age)) {
		return false
	}
	o.metrics.backEndLeases.WithLabelValues(eventRenewed).Inc()
	return !changes.Since(heartbeat.GetBackEndsVersion(), backEnd.Name)
}

// isMember reports whether the id belongs to a current member of the core.
func (o *ownerLoop) isMember(id uint64) bool {
	return slices.ContainsFunc(o.consensus.Status().GetConfiguration().GetMembers(),
		func(member *protocol.CoreMember) bool {
			return member.GetId() == id
		})
}

// updateHeartbeatMembers recomputes and returns the members that back ends may be told to send heartbeats to.
func (o *ownerLoop) updateHeartbeatMembers(now time.Time) []*protocol.CoreMember {
	members := o.relayingMembers.Reachable(o.consensus.Status().GetConfiguration().GetMembers(), now)
	o.setHeartbeatMembers(members)
	return members
}

// mergeRelayedHeartbeats renews the leases of unchanged back ends and writes the changes of others to the log.
func (s *Service) mergeRelayedHeartbeats(ctx context.Context, relayed []*protocol.BackEndHeartbeat) error {
	if err := s.requireLeader(); err != nil {
		return err
	}
	if len(relayed) > heartbeats.MaxBatch {
		return invalidField("heartbeats", "too many heartbeats at once")
	}
	changes, err := s.renewUnchanged(ctx, relayed)
	if err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentUpserts)
	for _, heartbeat := range changes {
		group.Go(func() error { return s.upsertBackEnd(groupCtx, heartbeat.GetBackEnd()) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	_, err = s.renewUnchanged(ctx, changes)
	return err
}

// renewUnchanged renews the leases of back ends that equal those in the view, and returns the heartbeats of the others.
func (s *Service) renewUnchanged(
	ctx context.Context, relayed []*protocol.BackEndHeartbeat,
) ([]*protocol.BackEndHeartbeat, error) {
	var changes []*protocol.BackEndHeartbeat
	if len(relayed) == 0 {
		return nil, nil
	}
	executed := s.owner.execute(ctx, func(now time.Time) {
		view := s.machine.View()
		for _, heartbeat := range relayed {
			backEnd := heartbeat.GetBackEnd()
			if !view.Holds(backEnd) || !s.owner.backEnds.Renew(leases.BackEndHolder(backEnd), now) {
				changes = append(changes, heartbeat)
				continue
			}
			s.metrics.backEndLeases.WithLabelValues(eventRenewed).Inc()
		}
	})
	if !executed {
		return nil, controllog.Interrupted(ctx)
	}
	return changes, nil
}

// upsertBackEnd writes a change to the log. A rejected announcement, for example of
// an older incarnation, is counted and skipped so that it does not fail the batch.
func (s *Service) upsertBackEnd(ctx context.Context, backEnd *protocol.BackEnd) error {
	result, err := s.proposer.Propose(ctx, &protocol.Command{
		Body: &protocol.Command_UpsertBackEnd{UpsertBackEnd: &protocol.UpsertBackEndCommand{BackEnd: backEnd}},
	})
	if err != nil {
		return err
	}
	if !result.GetAccepted() {
		s.metrics.backEndLeases.WithLabelValues(eventRejected).Inc()
		return nil
	}
	s.metrics.backEndLeases.WithLabelValues(eventChanged).Inc()
	return nil
}

// HeartbeatAddress returns the HTTP address (ip:port) of the core member that a back end should send its heartbeats
// to. It stays the same while the same members are reachable, and is empty while no follower is known to accept
// heartbeats.
func (s *Service) HeartbeatAddress(backEnd *protocol.BackEnd) string {
	members := s.owner.heartbeatMembers.Load()
	if members == nil {
		return ""
	}
	return heartbeats.ChooseMember(*members, backEnd).GetHttpAddress()
}

// setHeartbeatMembers sets the members that back ends may be told to send heartbeats to.
func (o *ownerLoop) setHeartbeatMembers(members []*protocol.CoreMember) {
	o.heartbeatMembers.Store(&members)
}
