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
	// stallThreshold is the time between two ticks above which the owner regards itself as stalled.
	stallThreshold = time.Second
	// leaseMargin is added to each lease at the leader, so that it ends after the lease that the holder counts.
	leaseMargin        = 250 * time.Millisecond
	commandQueueLength = 1024
)

// ownerLoop runs the goroutine that owns the state that this process keeps in memory
// only. On a leader that is the leases of nodes and back ends, pending drains, the
// sums of a roll-out's variants, the health of back ends and the state of the
// reconciler; on a follower, the heartbeats that the leader has not confirmed yet.
// The goroutine processes a queue of commands and a periodic tick until close.
//
// Fields without a comment are set before start and do not change. Methods with a
// parameter now run on the goroutine; the others are safe for concurrent use.
type ownerLoop struct {
	clock     replica.Clock
	consensus Consensus
	// caller sends requests to the other core members; it may be nil.
	caller   wire.Caller
	machine  *Machine
	proposer *controllog.Proposer
	logger   *log.Logger
	metrics  *metrics

	queue chan func(now time.Time)
	ctx   context.Context
	stop  context.CancelFunc
	// workers counts the goroutine and the tasks started by runTask.
	workers sync.WaitGroup
	// leadership is the current leadership of this process, nil while it does not lead. Only the goroutine stores it.
	leadership atomic.Pointer[leadership]
	// heartbeatMembers are the members that back ends may be told to send heartbeats to. Only the goroutine stores them.
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
	// serverHealth is the health of back ends as observed by front nodes; a new leader starts without observations.
	serverHealth serverhealth.Detector
	// ejectedChanged is closed and replaced when the ejected servers change.
	ejectedChanged chan struct{}
	// runningTasks counts the tasks of runTask whose completion has not been handled.
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

// execute runs a command on the goroutine and waits until it has run. It returns false if the context or the owner
// ended first; the command may still run in that case.
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

// runTask runs a task on a goroutine of its own and then calls after on the owner's goroutine with the task's error.
// It must be called on the owner's goroutine.
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

// reconcile proposes the reconciler's next commands one after the other, if any are due.
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
