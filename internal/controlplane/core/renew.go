package core

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// renewal is what the owner makes of a request to renew.
type renewalOutcome int

const (
	renewalNotLeader renewalOutcome = iota
	renewalGranted
	// renewalJoin says that the node must be written to the log first.
	renewalNeedsJoin
	// renewalEnding says that the removal of the lease is under way; the node may join again after it.
	renewalRemoving
)

// renewLease grants or ends a lease. Renewals stay in the leader's memory;
// only a node that is new, or describes itself otherwise, is written to the log.
func (s *Service) renewLease(ctx context.Context, request *protocol.RenewLeaseRequest) (*protocol.RenewLeaseResponse, error) {
	if err := s.requireLeader(); err != nil {
		return nil, err
	}
	node := request.GetNode()
	if node.GetName() == "" {
		return nil, failure.New(failure.MissingField, protocol.Outcome_NOT_RUN, "must be set", failure.WithPath("node.name"))
	}
	if request.GetRelease() {
		return s.releaseLease(ctx, node)
	}
	outcome := s.owner.renewNodeLease(ctx, node, request.GetInForce())
	if outcome == renewalNeedsJoin {
		result, err := s.proposer.Propose(ctx, &protocol.Command{Body: &protocol.Command_JoinNode{JoinNode: &protocol.JoinNodeCommand{Node: node}}})
		if err != nil {
			return nil, err
		}
		if !result.GetAccepted() {
			s.metrics.leases.WithLabelValues("refused").Inc()
			s.logger.Debug("lease refused", "node", node.GetName(), "reason", result.GetRefusal().GetMessage())
			answer := s.leaseAnswer(false)
			answer.Refusal = result.GetRefusal()
			return answer, nil
		}
		outcome = s.owner.renewNodeLease(ctx, node, request.GetInForce())
	}
	switch outcome {
	case renewalGranted:
		return s.leaseAnswer(true), nil
	case renewalNotLeader:
		if ctx.Err() != nil {
			return nil, controllog.Interrupted(ctx)
		}
		return nil, controllog.NotLeader()
	default:
		s.metrics.leases.WithLabelValues("refused").Inc()
		return s.leaseAnswer(false), nil
	}
}

func (s *Service) leaseAnswer(granted bool) *protocol.RenewLeaseResponse {
	answer := &protocol.RenewLeaseResponse{Granted: granted, Latest: s.machine.View().Versions()}
	if granted {
		answer.DurationMillis = uint32(s.lease.Milliseconds())
	}
	return answer
}

// releaseLease ends a lease at once, as a node asks for after it drained.
func (s *Service) releaseLease(ctx context.Context, node *protocol.Node) (*protocol.RenewLeaseResponse, error) {
	_, err := s.proposer.Propose(ctx, &protocol.Command{Body: &protocol.Command_RemoveNode{RemoveNode: &protocol.RemoveNodeCommand{
		Name: node.GetName(), Incarnation: node.GetIncarnation(), Reason: "released",
	}}})
	if err != nil {
		return nil, err
	}
	s.owner.execute(ctx, func(now time.Time) {
		s.owner.nodes.Remove(leases.NodeHolder(node))
		s.owner.checkDrains(now)
	})
	s.metrics.leases.WithLabelValues("released").Inc()
	return s.leaseAnswer(false), nil
}

// renew counts the lease from the moment at which the owner works on it, and
// grants it only while the leader lease runs.
func (o *owner) renewNodeLease(ctx context.Context, node *protocol.Node, inForce *protocol.ControlVersions) renewalOutcome {
	outcome := renewalNotLeader
	executed := o.execute(ctx, func(now time.Time) {
		if !o.isLeader() {
			return
		}
		holder := leases.NodeHolder(node)
		if lease := o.nodes.Find(holder); lease != nil && lease.Removing() {
			outcome = renewalRemoving
			return
		}
		if !proto.Equal(o.machine.View().Node(node.GetName()), node) {
			outcome = renewalNeedsJoin
			return
		}
		o.nodes.Renew(holder, now)
		if !o.isLeader() {
			return
		}
		outcome = renewalGranted
		o.metrics.leases.WithLabelValues("renewed").Inc()
		o.confirmVersions(holder, inForce, now)
	})
	if !executed {
		return renewalNotLeader
	}
	return outcome
}

// confirmVersions records what a node has in force, and checks the drains when that is a newer view of the back ends.
func (o *owner) confirmVersions(holder leases.Holder, inForce *protocol.ControlVersions, now time.Time) {
	lease := o.nodes.Find(holder)
	if lease == nil || inForce == nil {
		return
	}
	former := lease.InForce().BackEnds
	lease.Confirm(inForce)
	if lease.InForce().BackEnds > former {
		o.checkDrains(now)
	}
}
