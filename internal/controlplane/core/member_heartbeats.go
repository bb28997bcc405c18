package core

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/controlplane/core/heartbeats"
	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// heartbeatOutcome is a follower's decision on a heartbeat.
type heartbeatOutcome int

const (
	// heartbeatNoLeader is rejected because no leader is known.
	heartbeatNoLeader heartbeatOutcome = iota
	// heartbeatLeaderUnreachable is rejected because the leader does not respond to this member.
	heartbeatLeaderUnreachable
	// heartbeatAcknowledged changes nothing; the leader receives it with the next batch.
	heartbeatAcknowledged
	// heartbeatForwarded must be acknowledged by the leader.
	heartbeatForwarded
)

// announceAtFollower handles an announcement made at a follower.
func (s *Service) announceAtFollower(ctx context.Context, backEnd *protocol.BackEnd, sequence uint64) error {
	outcome := heartbeatNoLeader
	leaderAddress := ""
	executed := s.owner.execute(ctx, func(now time.Time) {
		leader := s.owner.remoteLeader()
		leaderAddress = leader.GetAddress()
		outcome = s.owner.classifyHeartbeat(leader, backEnd, sequence, now)
	})
	if !executed {
		return controllog.Interrupted(ctx)
	}
	switch outcome {
	case heartbeatAcknowledged:
		s.metrics.backEndLeases.WithLabelValues(eventRelayed).Inc()
		return nil
	case heartbeatForwarded:
		return s.forwardAnnouncement(ctx, leaderAddress, backEnd, sequence)
	case heartbeatLeaderUnreachable:
		s.metrics.backEndLeases.WithLabelValues(eventLeaderUnreachable).Inc()
		return failure.New(failure.Unavailable, protocol.Outcome_NOT_RUN,
			"this core process does not reach the leader", failure.WithRetryAfter(controllog.RetryAfter))
	default:
		return controllog.NoLeader()
	}
}

// classifyHeartbeat decides how to handle a heartbeat and adds it to the next batch if it changes nothing. Only the
// leader acknowledges a drain, because only the leader tracks which views are active on the front nodes.
func (o *ownerLoop) classifyHeartbeat(
	leader *protocol.CoreMember, backEnd *protocol.BackEnd, sequence uint64, now time.Time,
) heartbeatOutcome {
	view := o.machine.View()
	holder := leases.BackEndHolder(backEnd)
	switch {
	case leader == nil:
		return heartbeatNoLeader
	case !o.relay.ReachesLeader(leader.GetId(), now):
		return heartbeatLeaderUnreachable
	case backEnd.GetState() == protocol.BackEndState_DRAINING:
		return heartbeatForwarded
	case view.Outdated(holder.Name, holder.Incarnation, sequence):
		return heartbeatAcknowledged
	case o.relay.Escalated(holder.Name) || !view.Holds(backEnd):
		return heartbeatForwarded
	}
	o.relay.Add(heartbeats.Heartbeat{
		BackEnd: holder, Sequence: sequence, ViewVersion: view.BackEnds.GetVersion(), ReceivedAt: now,
	})
	return heartbeatAcknowledged
}

// forwardAnnouncement forwards an announcement to the leader and returns the leader's result.
func (s *Service) forwardAnnouncement(
	ctx context.Context, leaderAddress string, backEnd *protocol.BackEnd, sequence uint64,
) error {
	bounded, cancel := context.WithTimeout(ctx, s.lease+2*leaseMargin+controllog.ProposeTimeout)
	defer cancel()
	_, err := s.caller.Call(bounded, leaderAddress, &protocol.Request{Body: &protocol.Request_AnnounceBackEnd{
		AnnounceBackEnd: &protocol.AnnounceBackEndRequest{BackEnd: backEnd, Sequence: sequence},
	}})
	if err != nil {
		s.metrics.backEndLeases.WithLabelValues(eventForwardFailed).Inc()
		return forwardFailure(err)
	}
	s.metrics.backEndLeases.WithLabelValues(eventForwarded).Inc()
	s.owner.execute(ctx, func(time.Time) { s.owner.relay.EndEscalation(backEnd.GetId()) })
	return nil
}

// forwardFailure returns the leader's own rejection unchanged. After any other error it is unknown whether the leader
// applied the announcement.
func forwardFailure(err error) error {
	var rejected *failure.Error
	if errors.As(err, &rejected) {
		return rejected
	}
	return failure.New(failure.Unavailable, protocol.Outcome_UNKNOWN, "the leader did not answer: "+err.Error(),
		failure.WithRetryAfter(controllog.RetryAfter))
}

// sendHeartbeatBatch sends the next batch to the leader when it is due. An empty batch is sent too, because the
// response shows that the leader is reachable.
func (o *ownerLoop) sendHeartbeatBatch(now time.Time) {
	if o.caller == nil {
		return
	}
	leader := o.remoteLeader()
	o.relay.ObserveLeader(leader.GetId())
	if leader == nil {
		return
	}
	batch, due := o.relay.BeginBatch(now)
	if !due {
		return
	}
	request := heartbeats.EncodeBatch(o.consensus.Status().GetId(), batch, now)
	var answer *protocol.RenewBackEndsResponse
	o.runTask(func(ctx context.Context) error {
		bounded, cancel := context.WithTimeout(ctx, heartbeats.RelayTimeout)
		defer cancel()
		response, err := o.caller.Call(bounded, leader.GetAddress(),
			&protocol.Request{Body: &protocol.Request_RenewBackEnds{RenewBackEnds: request}})
		answer = response.GetRenewBackEnds()
		return err
	}, func(_ time.Time, err error) {
		if err != nil {
			o.metrics.heartbeatBatches.WithLabelValues(batchFailed).Inc()
			o.relay.Requeue(leader.GetId(), batch)
			return
		}
		o.metrics.heartbeatBatches.WithLabelValues(batchConfirmed).Inc()
		o.relay.Confirm(leader.GetId(), now, answer.GetUnknown())
		o.relay.DropAbsent(func(id string) bool { return o.machine.View().BackEnd(id) != nil })
		o.setHeartbeatMembers(answer.GetMembers())
	})
}
