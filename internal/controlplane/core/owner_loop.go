package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/controlplane/core/heartbeats"
	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/controlplane/core/reconcile"
	"github.com/rosestand/rosestand/internal/controlplane/core/rollout"
	"github.com/rosestand/rosestand/internal/controlplane/replica"
	"github.com/rosestand/rosestand/internal/controlplane/serverhealth"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

const (
	tickInterval = 50 * time.Millisecond
	// stallThreshold is how late a tick may be before the owner regards itself as stalled.
	stallThreshold = time.Second
	// leaseMargin is added to each lease at the leader, so that it outlives the time that its holder counts.
	leaseMargin        = 250 * time.Millisecond
	commandQueueLength = 1024
)

// ownerLoop runs the goroutine that owns what this process keeps in memory only. Of a
// leader these are the leases of nodes and back ends, pending drains, the sums
// ofSection a roll-out's variants, the health of back ends and the state of the
// reconciler; of another member, the heartbeats that the leader does not have
// yet. The goroutine works through a queue of commands and a tick, and ends with close.
//
// Fields without a remark are set before start and not changed. The methods that
// apply the time as now run on the goroutine; the others may be called by any.
type ownerLoop struct {
	clock     replica.Clock
	consensus Consensus
	// caller reaches the other core members; it may be nil.
	caller   wire.Caller
	machine  *Machine
	proposer *controllog.Proposer
	logger   *log.Logger
	metrics  *metrics

	queue chan func(now time.Time)
	ctx   context.Context
	stop  context.CancelFunc
	// workers counts the goroutine and the tasks beside it.
	workers sync.WaitGroup
	// leadership is that of this process, nil while it does not lead. The goroutine alone stores it.
	leadership atomic.Pointer[leadership]
	// heartbeatMembers are the members that back ends may be given the address of. The goroutine alone stores them.
	heartbeatMembers atomic.Pointer[[]*protocol.CoreMember]

	// The fields below belong to the goroutine.

	lastTick        time.Time
	leaderSince     time.Time
	nodes           *leases.Table
	backEnds        *leases.Table
	sequences       *heartbeats.SequenceTable
	relay           *heartbeats.Relay
	relayingMembers *heartbeats.RelayingMembers
	drains          []*drain
	variants        *rollout.VariantTable
	reconciler      *reconcile.Reconciler
	// serverHealth is what front nodes observed of back ends; a new leader begins without it.
	serverHealth serverhealth.Detector
	// ejectedChanged is closed and replaced when the ejected servers change.
	ejectedChanged chan struct{}
	// runningTasks counts the tasks of runTask whose end has not been handled.
	runningTasks int
}

func (o *ownerLoop) start() {
	o.ctx, o.stop = context.WithCancel(context.Background())
	o.lastTick = o.clock.Now()
	timer := o.clock.NewTimer(tickInterval)
	o.workers.Go(func() { o.run(timer) })
}

func (o *ownerLoop) close() {
	o.stop()
	o.workers.Wait()
}

func (o *ownerLoop) run(timer replica.Timer) {
	defer o.endLeadership()
	defer func() { timer.Stop() }()
	for {
		select {
		case <-o.ctx.Done():
			return
		case command := <-o.queue:
			now := o.clock.Now()
			o.observeLeadership(now)
			command(now)
		case <-timer.C():
			timer = o.clock.NewTimer(tickInterval)
			o.tick(o.clock.Now())
		}
	}
}

// execute runs a command on the goroutine and waits for it; it reports false when the context or the owner ended
// first. The command may run all the same then.
func (o *ownerLoop) execute(ctx context.Context, command func(now time.Time)) bool {
	done := make(chan struct{})
	wrapped := func(now time.Time) {
		command(now)
		close(done)
	}
	select {
	case o.queue <- wrapped:
	case <-ctx.Done():
		return false
	case <-o.ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-o.ctx.Done():
		return false
	}
}

// runTask runs a task beside the goroutine, which must call it; after runs on the goroutine with the error that the
// task returned.
func (o *ownerLoop) runTask(task func(ctx context.Context) error, after func(now time.Time, err error)) {
	o.runningTasks++
	o.workers.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, controllog.ProposeTimeout)
		defer cancel()
		err := task(ctx)
		ended := func(now time.Time) {
			o.runningTasks--
			after(now, err)
		}
		select {
		case o.queue <- ended:
		case <-o.ctx.Done():
		}
	})
}

func (o *ownerLoop) tick(now time.Time) {
	o.observeLeadership(now)
	stalled := now.Sub(o.lastTick) > stallThreshold
	o.lastTick = now
	if !o.isLeader() {
		o.sendHeartbeatBatch(now)
		return
	}
	if stalled {
		o.nodes.Extend(now)
		o.backEnds.Extend(now)
	}
	o.dropAbsentLeases()
	o.sequences.Sweep(now)
	o.updateHeartbeatMembers(now)
	o.expireNodeLeases(now)
	o.expireBackEndLeases(now)
	o.checkDrains(now)
	o.reconcile(now)
	o.recordViewMetrics()
}

// reconcile proposes the next commands that are due, if any, one after the other.
func (o *ownerLoop) reconcile(now time.Time) {
	view := o.machine.View()
	o.reconciler.ObserveStores(view, now)
	if !o.reconciler.Due(now) || !o.isLeader() {
		return
	}
	lastRenewal := func(node *protocol.Node) time.Time { return o.nodes.LastRenewal(leases.NodeHolder(node)) }
	commands := o.reconciler.NextCommands(view, lastRenewal, now)
	if len(commands) == 0 {
		return
	}
	o.reconciler.BeginProposal()
	var result *protocol.CommandResult
	o.runTask(func(ctx context.Context) error {
		for _, command := range commands {
			var err error
			if result, err = o.proposer.Propose(ctx, command); err != nil || !result.GetAccepted() {
				return err
			}
		}
		return nil
	}, func(now time.Time, err error) {
		accepted := err == nil && result.GetAccepted()
		o.reconciler.EndProposal(now, accepted)
		if !accepted {
			o.logger.Debug("reconciler command rejected", "error", err, "rejection", result.GetRefusal().GetMessage())
			o.metrics.reconciled.WithLabelValues("failed").Inc()
			return
		}
		o.metrics.reconciled.WithLabelValues("done").Inc()
		o.reconcile(now)
	})
}

func (o *ownerLoop) recordViewMetrics() {
	view := o.machine.View()
	o.metrics.versions.WithLabelValues("configuration").Set(float64(view.Configuration.GetVersion()))
	o.metrics.versions.WithLabelValues("membership").Set(float64(view.Membership.GetVersion()))
	o.metrics.versions.WithLabelValues("back_ends").Set(float64(view.BackEnds.GetVersion()))
	o.metrics.versions.WithLabelValues("placement").Set(float64(view.Placement.GetEpoch()))
	o.metrics.ordersRetained.Set(float64(view.Orders))
	o.metrics.nodes.Set(float64(len(view.Membership.GetNodes())))
	o.metrics.backEnds.Set(float64(len(view.BackEnds.GetBackEnds())))
}
