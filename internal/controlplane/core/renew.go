package core

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// renewal is what the owner makes of a request to renew.
type renewal int

const (
	renewalNotLeader renewal = iota
	renewalGranted
	// renewalJoin says that the node must be written to the log first.
	renewalJoin
	// renewalEnding says that the removal of the lease is under way; the node may join again after it.
	renewalEnding
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
	outcome := s.owner.renew(ctx, node, request.GetInForce())
	if outcome == renewalJoin {
		result, err := s.proposer.propose(ctx, &protocol.Command{Body: &protocol.Command_JoinNode{JoinNode: &protocol.JoinNodeCommand{Node: node}}})
		if err != nil {
			return nil, err
		}
		if !result.GetAccepted() {
			s.metrics.leases.WithLabelValues("refused").Inc()
			s.logger.Debug("lease refused", "node", node.GetName(), "reason", result.GetRefusal().GetMessage())
			refused := s.leaseAnswer(false)
			refused.Refusal = result.GetRefusal()
			return refused, nil
		}
		outcome = s.owner.renew(ctx, node, request.GetInForce())
	}
	switch outcome {
	case renewalGranted:
		return s.leaseAnswer(true), nil
	case renewalNotLeader:
		if ctx.Err() != nil {
			return nil, contextFailure(ctx)
		}
		return nil, notLeaderFailure()
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
	_, err := s.proposer.propose(ctx, &protocol.Command{Body: &protocol.Command_RemoveNode{RemoveNode: &protocol.RemoveNodeCommand{
		Name: node.GetName(), Incarnation: node.GetIncarnation(), Reason: "released",
	}}})
	if err != nil {
		return nil, err
	}
	s.owner.ask(ctx, func(now time.Time) {
		s.owner.nodes.ended(node.GetName(), node.GetIncarnation())
		s.owner.checkDrains(now)
	})
	s.metrics.leases.WithLabelValues("released").Inc()
	return s.leaseAnswer(false), nil
}

// renew counts the lease from the moment at which the owner works on it, and
// grants it only while the leader lease runs.
func (o *owner) renew(ctx context.Context, node *protocol.Node, inForce *protocol.ControlVersions) renewal {
	outcome := renewalNotLeader
	asked := o.ask(ctx, func(now time.Time) {
		if !o.leads() {
			return
		}
		if held := o.nodes.find(node.GetName(), node.GetIncarnation()); held != nil && held.ending {
			outcome = renewalEnding
			return
		}
		if !proto.Equal(o.machine.View().Node(node.GetName()), node) {
			outcome = renewalJoin
			return
		}
		o.nodes.renew(node.GetName(), node.GetIncarnation(), now)
		if !o.leads() {
			return
		}
		outcome = renewalGranted
		o.metrics.leases.WithLabelValues("renewed").Inc()
		o.confirm(node.GetName(), node.GetIncarnation(), inForce, now)
	})
	if !asked {
		return renewalNotLeader
	}
	return outcome
}

// confirm notes what a node has in force; it never steps back.
func (o *owner) confirm(name string, incarnation uint64, inForce *protocol.ControlVersions, now time.Time) {
	held := o.nodes.find(name, incarnation)
	if held == nil || inForce == nil {
		return
	}
	held.inForce = versions{
		configuration: max(held.inForce.configuration, inForce.GetConfiguration()),
		membership:    max(held.inForce.membership, inForce.GetMembership()),
		backEnds:      max(held.inForce.backEnds, inForce.GetBackEnds()),
		placement:     max(held.inForce.placement, inForce.GetPlacement()),
	}
	if inForce.GetBackEnds() > held.backEnds {
		held.backEnds = inForce.GetBackEnds()
		o.checkDrains(now)
	}
}
