package core

import (
	"context"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/protocol"
)

// drain is a pending call that waits until no front node with a lease may still send requests to a back end.
type drain struct {
	// version is the version of the back-end view that every front node with a lease must have activated.
	version uint64
	result  chan error
}

// drainBackEnd marks a back end as draining and returns once every front node
// with an unexpired lease has acknowledged a view with that state. The result is
// the first result of the order; at the view version in its index the back end is
// draining or removed.
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

// checkDrains completes the drains whose view is active on every front node with a lease.
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

// lowestAcknowledgedBackEnds returns the oldest version of the back-end view that a front node with a lease may still
// use; it is zero if a node with a lease has acknowledged none.
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

// failDrains fails all pending drains at the end of a leadership.
func (o *ownerLoop) failDrains() {
	for _, pending := range o.drains {
		pending.result <- controllog.NotLeader()
		o.metrics.drains.WithLabelValues("interrupted").Inc()
	}
	o.drains = nil
}
