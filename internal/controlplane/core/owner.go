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
	// stallLimit is how late a tick may be before the owner takes itself for stalled.
	stallThreshold = time.Second
	// leaseMargin is added to each lease at the leader, so that it outlives the holder's own count.
	leaseMargin        = 250 * time.Millisecond
	commandQueueLength = 1024
)

// leadership is one unbroken time in which this process leads.
type leadership struct {
	since time.Time
	// lost is closed when it ends.
	lost chan struct{}
}

// owner is the goroutine that owns what a leader keeps in memory: leases of
// nodes and back ends, drains that wait, sums of roll-out arms and the state of
// the reconciler; and what another member keeps: heartbeats on their way to the
// leader. It works through a queue of commands and a tick.
type owner struct {
	clock     replica.Clock
	consensus Consensus
	// caller reaches the other core members; it may be nil.
	caller   wire.Caller
	machine  *Machine
	proposer *controllog.Proposer
	logger   *log.Logger
	metrics  *metrics

	queue      chan func(now time.Time)
	ctx        context.Context
	stop       context.CancelFunc
	workers    sync.WaitGroup
	leadership atomic.Pointer[leadership]

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
	// serverHealth is what front nodes saw of back ends; a new leader begins without it.
	serverHealth serverhealth.Board
	// suspectsChanged is closed and replaced when another back end became suspect.
	suspectsChanged chan struct{}
	// heartbeatMembers are the members that can be named to back ends.
	heartbeatMembers atomic.Pointer[[]*protocol.CoreMember]
	// underWay counts the tasks that work began and whose end the owner has not seen.
	runningTasks int
}

func (o *owner) start() {
	o.ctx, o.stop = context.WithCancel(context.Background())
	o.lastTick = o.clock.Now()
	timer := o.clock.NewTimer(tickInterval)
	o.workers.Go(func() { o.run(timer) })
}

func (o *owner) close() {
	o.stop()
	o.workers.Wait()
}

func (o *owner) run(timer replica.Timer) {
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

// ask runs a command on the owner and waits for it; it reports false when the context or the owner ended first.
func (o *owner) execute(ctx context.Context, command func(now time.Time)) bool {
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

// work runs a task beside the owner; after, if any, runs on the owner with what the task returned.
func (o *owner) runTask(task func(ctx context.Context) error, after func(now time.Time, err error)) {
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

// observeLeadership notices that leadership began, ended or changed hands in
// between. Each beginning gives every lease a whole length.
func (o *owner) observeLeadership(now time.Time) {
	leads, since := o.consensus.IsLeader(), o.consensus.LeaderSince()
	current := o.leadership.Load()
	if current != nil && (!leads || !since.Equal(o.leaderSince)) {
		o.endLeadership()
		current = nil
	}
	if current == nil && leads {
		o.beginLeadership(now, since)
	}
}

func (o *owner) beginLeadership(now, since time.Time) {
	o.leaderSince = since
	o.nodes.Reset(now)
	o.backEnds.Reset(now)
	o.sequences.Reset()
	o.relay.Reset()
	o.relayingMembers.Reset()
	o.heartbeatMembers.Store(nil)
	o.variants.Reset()
	o.reconciler.Reset()
	o.leadership.Store(&leadership{since: now, lost: make(chan struct{})})
	o.machine.leading.Store(true)
	o.metrics.leading.Set(1)
	o.logger.Info("leading", "term", o.consensus.Status().GetTerm())
}

func (o *owner) endLeadership() {
	ended := o.leadership.Swap(nil)
	if ended == nil {
		return
	}
	close(ended.lost)
	o.failDrains()
	o.machine.leading.Store(false)
	o.metrics.leading.Set(0)
	o.logger.Info("no longer leading")
}

// currentLeadership returns the channel that is closed at the end of the present leadership, if this process leads.
func (o *owner) currentLeadership() (lost <-chan struct{}, isLeader bool) {
	current := o.leadership.Load()
	if current == nil || !o.consensus.IsLeader() {
		return nil, false
	}
	return current.lost, true
}

// isLeader reports whether this process leads at this moment, as the owner and the replica both see it.
func (o *owner) isLeader() bool { return o.leadership.Load() != nil && o.consensus.IsLeader() }

func (o *owner) tick(now time.Time) {
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

// sweepLeases forgets the leases of what is not in the view any more.
func (o *owner) dropAbsentLeases() {
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

// endNodeLeases proposes the removal of nodes whose lease ran out.
func (o *owner) expireNodeLeases(now time.Time) {
	for _, node := range o.machine.View().Membership.GetNodes() {
		holder := leases.NodeHolder(node)
		if !o.nodes.BeginRemoval(holder, now) {
			continue
		}
		o.metrics.leases.WithLabelValues("expired").Inc()
		remove := &protocol.RemoveNodeCommand{Name: holder.Name, Incarnation: holder.Incarnation, Reason: "lease ran out"}
		o.runTask(func(ctx context.Context) error {
			_, err := o.proposer.Propose(ctx, &protocol.Command{Body: &protocol.Command_RemoveNode{RemoveNode: remove}})
			return err
		}, func(time.Time, error) {
			o.nodes.EndProposal(holder)
			o.dropAbsentLeases()
		})
	}
}

// endBackEndLeases proposes the removal of back ends whose heartbeats stopped.
func (o *owner) expireBackEndLeases(now time.Time) {
	for _, backEnd := range o.machine.View().BackEnds.GetBackEnds() {
		holder := leases.BackEndHolder(backEnd)
		if !o.backEnds.BeginRemoval(holder, now) {
			continue
		}
		o.metrics.backEndLeases.WithLabelValues("expired").Inc()
		remove := &protocol.RemoveBackEndCommand{Id: holder.Name, Incarnation: holder.Incarnation}
		o.runTask(func(ctx context.Context) error {
			_, err := o.proposer.Propose(ctx, &protocol.Command{Body: &protocol.Command_RemoveBackEnd{RemoveBackEnd: remove}})
			return err
		}, func(time.Time, error) {
			o.backEnds.EndProposal(holder)
			o.dropAbsentLeases()
		})
	}
}

// reconcile proposes the next commands that are due, if any, one after the other.
func (o *owner) reconcile(now time.Time) {
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

func (o *owner) recordViewMetrics() {
	view := o.machine.View()
	o.metrics.versions.WithLabelValues("configuration").Set(float64(view.Configuration.GetVersion()))
	o.metrics.versions.WithLabelValues("membership").Set(float64(view.Membership.GetVersion()))
	o.metrics.versions.WithLabelValues("back_ends").Set(float64(view.BackEnds.GetVersion()))
	o.metrics.versions.WithLabelValues("placement").Set(float64(view.Placement.GetEpoch()))
	o.metrics.ordersRetained.Set(float64(view.Orders))
	o.metrics.nodes.Set(float64(len(view.Membership.GetNodes())))
	o.metrics.backEnds.Set(float64(len(view.BackEnds.GetBackEnds())))
}
