package core

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/protocol"
)

// renewalOutcome is the owner's decision on a request to renew a node's lease.
type renewalOutcome int

const (
	renewalNotLeader renewalOutcome = iota
	renewalGranted
	// renewalNeedsJoin means that the node must be written to the log before its lease is granted.
	renewalNeedsJoin
	// renewalRemoving means that the node is being removed; it may join again after its removal.
	renewalRemoving
)

// renewLease grants, renews or releases a lease. Renewals stay in the leader's
// memory; a node is written to the log only if it is new or its description changed.
func (s *Service) renewLease(
	ctx context.Context, request *protocol.RenewLeaseRequest,
) (*protocol.RenewLeaseResponse, error) {
	if err := s.requireLeader(); err != nil {
		return nil, err
	}
	node := request.GetNode()
	if node.GetName() == "" {
		return nil, missingField("node.name")
	}
	if request.GetRelease() {
		return s.releaseLease(ctx, node)
	}
	outcome := s.owner.renewNodeLease(ctx, node, request.GetInForce())
	if outcome == renewalNeedsJoin {
		rejected, err := s.joinNode(ctx, node)
		if rejected != nil || err != nil {
			return rejected, err
		}
		outcome = s.owner.renewNodeLease(ctx, node, request.GetInForce())
	}
	switch outcome {
	case renewalGranted:
		return s.leaseResponse(true), nil
	case renewalNotLeader:
		return nil, controllog.Interrupted(ctx)
	default:
		s.metrics.leases.WithLabelValues(eventRejected).Inc()
		return s.leaseResponse(false), nil
	}
}

// joinNode writes a node to the log; if the node is rejected, it returns the response to send.
func (s *Service) joinNode(
	ctx context.Context, node *protocol.Node,
) (rejected *protocol.RenewLeaseResponse, err error) {
	result, err := s.proposer.Propose(ctx, &protocol.Command{
		Body: &protocol.Command_JoinNode{JoinNode: &protocol.JoinNodeCommand{Node: node}},
	})
	if err != nil || result.GetAccepted() {
		return nil, err
	}
	s.metrics.leases.WithLabelValues(eventRejected).Inc()
	s.logger.Debug("lease rejected", "node", node.GetName(), "reason", result.GetRefusal().GetMessage())
	rejected = s.leaseResponse(false)
	rejected.Refusal = result.GetRefusal()
	return rejected, nil
}

func (s *Service) leaseResponse(granted bool) *protocol.RenewLeaseResponse {
	response := &protocol.RenewLeaseResponse{Granted: granted, Latest: s.machine.View().Versions()}
	if granted {
		response.DurationMillis = uint32(s.lease.Milliseconds())
	}
	return response
}

// releaseLease ends a lease immediately; a node requests this after it has drained.
func (s *Service) releaseLease(ctx context.Context, node *protocol.Node) (*protocol.RenewLeaseResponse, error) {
	_, err := s.proposer.Propose(ctx, removeNodeCommand(leases.NodeHolder(node), "released"))
	if err != nil {
		return nil, err
	}
	s.owner.execute(ctx, func(now time.Time) {
		s.owner.nodes.Remove(leases.NodeHolder(node))
		s.owner.checkDrains(now)
	})
	s.metrics.leases.WithLabelValues(eventReleased).Inc()
	return s.leaseResponse(false), nil
}

func removeNodeCommand(holder leases.Holder, reason string) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_RemoveNode{RemoveNode: &protocol.RemoveNodeCommand{
		Name: holder.Name, Incarnation: holder.Incarnation, Reason: reason,
	}}}
}

// renewNodeLease starts the lease at the time at which the owner handles the request,
// and grants it only while the leader lease has not expired.
func (o *ownerLoop) renewNodeLease(
	ctx context.Context, node *protocol.Node, active *protocol.ControlVersions,
) renewalOutcome {
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
		o.metrics.leases.WithLabelValues(eventRenewed).Inc()
		o.acknowledgeVersions(holder, active, now)
	})
	if !executed {
		return renewalNotLeader
	}
	return outcome
}

// acknowledgeVersions records the versions that are active on a node, and checks the drains if the back-end view is
// newer than before.
func (o *ownerLoop) acknowledgeVersions(holder leases.Holder, active *protocol.ControlVersions, now time.Time) {
	lease := o.nodes.Find(holder)
	if lease == nil || active == nil {
		return
	}
	previous := lease.InForce().BackEnds
	lease.Acknowledge(active)
	if lease.InForce().BackEnds > previous {
		o.checkDrains(now)
	}
}

// expireNodeLeases proposes the removal of nodes whose lease expired.
func (o *ownerLoop) expireNodeLeases(now time.Time) {
	for _, node := range o.machine.View().Membership.GetNodes() {
		holder := leases.NodeHolder(node)
		if !o.nodes.BeginRemoval(holder, now) {
			continue
		}
		o.metrics.leases.WithLabelValues(eventExpired).Inc()
		o.proposeRemoval(o.nodes, holder, removeNodeCommand(holder, "lease ran out"))
	}
}

// expireBackEndLeases proposes the removal of back ends whose heartbeats stopped.
func (o *ownerLoop) expireBackEndLeases(now time.Time) {
	for _, backEnd := range o.machine.View().BackEnds.GetBackEnds() {
		holder := leases.BackEndHolder(backEnd)
		if !o.backEnds.BeginRemoval(holder, now) {
			continue
		}
		o.metrics.backEndLeases.WithLabelValues(eventExpired).Inc()
		o.proposeRemoval(o.backEnds, holder, &protocol.Command{Body: &protocol.Command_RemoveBackEnd{
			RemoveBackEnd: &protocol.RemoveBackEndCommand{Id: holder.Name, Incarnation: holder.Incarnation},
		}})
	}
}

// proposeRemoval proposes the command that removes a holder that its table has marked for removal.
func (o *ownerLoop) proposeRemoval(table *leases.Table, holder leases.Holder, removal *protocol.Command) {
	o.runTask(func(ctx context.Context) error {
		_, err := o.proposer.Propose(ctx, removal)
		return err
	}, func(time.Time, error) {
		table.EndProposal(holder)
		o.dropAbsentLeases()
	})
}

// dropAbsentLeases drops the leases of nodes and back ends that are no longer in the view.
func (o *ownerLoop) dropAbsentLeases() {
	view := o.machine.View()
	o.nodes.DropAbsent(func(name string) (uint64, bool) {
		node := view.Node(name)
		return node.GetIncarnation(), node != nil
	})
	o.backEnds.DropAbsent(func(id string) (uint64, bool) {
		backEnd := view.BackEnd(id)
		return backEnd.GetIncarnation(), backEnd != nil
	})
}
