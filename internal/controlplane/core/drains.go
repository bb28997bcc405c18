package core

import (
	"context"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/protocol"
)

// drain waits until no front node with a lease may still send to a back end.
type drain struct {
	// version is that of the back-end view that must be in force.
	version uint64
	result  chan error
}

// drainBackEnd marks a back end as draining and returns once every front node
// whose lease runs has acknowledged a view that says so. The result is the first
// one of the order; its index is a view version with the back end draining or removed.
func (s *Service) drainBackEnd(
	ctx context.Context, orderID string, command *protocol.DrainBackEndCommand,
) (*protocol.CommandResult, error) {
	result, err := s.proposer.Propose(ctx, &protocol.Command{
		OrderId: orderID,
		Body:    &protocol.Command_DrainBackEnd{DrainBackEnd: command},
	})
	if err != nil {
		return nil, err
	}
	if !result.GetAccepted() {
		return result, nil
	}
	return result, s.owner.awaitDrain(ctx, result.GetIndex())
}

func (o *ownerLoop) awaitDrain(ctx context.Context, version uint64) error {
	pending := &drain{version: version, result: make(chan error, 1)}
	executed := o.execute(ctx, func(now time.Time) {
		if !o.isLeader() {
			pending.result <- controllog.NotLeader()
			return
		}
		o.drains = append(o.drains, pending)
		o.checkDrains(now)
	})
	if !executed {
		return controllog.Interrupted(ctx)
	}
	select {
	case err := <-pending.result:
		return err
	case <-ctx.Done():
		o.execute(context.WithoutCancel(ctx), func(time.Time) { o.removeDrain(pending) })
		return controllog.Interrupted(ctx)
	case <-o.ctx.Done():
		return controllog.NotLeader()
	}
}

func (o *ownerLoop) removeDrain(removed *drain) {
	o.drains = slices.DeleteFunc(o.drains, func(pending *drain) bool { return pending == removed })
}

// checkDrains ends the drains whose view every front node with a lease has in force.
func (o *ownerLoop) checkDrains(now time.Time) {
	if len(o.drains) == 0 || !o.isLeader() {
		return
	}
	acknowledged := o.lowestAcknowledgedBackEnds(now)
	o.drains = slices.DeleteFunc(o.drains, func(pending *drain) bool {
		if acknowledged < pending.version {
			return false
		}
		pending.result <- nil
		o.metrics.drains.WithLabelValues("acknowledged").Inc()
		return true
	})
}

// lowestAcknowledgedBackEnds is the oldest version of the back-end view that a front node with a lease may act on.
func (o *ownerLoop) lowestAcknowledgedBackEnds(now time.Time) uint64 {
	oldest := ^uint64(0)
	for _, node := range o.machine.View().Membership.GetNodes() {
		holder := leases.NodeHolder(node)
		if node.GetKind() != protocol.NodeKind_FRONT || !now.Before(o.nodes.Expiry(holder)) {
			continue
		}
		lease := o.nodes.Find(holder)
		if lease == nil {
			return 0
		}
		oldest = min(oldest, lease.InForce().BackEnds)
	}
	return oldest
}

// failDrains ends all drains at the end of a leadership.
func (o *ownerLoop) failDrains() {
	for _, pending := range o.drains {
		pending.result <- controllog.NotLeader()
		o.metrics.drains.WithLabelValues("interrupted").Inc()
	}
	o.drains = nil
}
