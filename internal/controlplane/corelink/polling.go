package corelink

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// poll starts one long poll, unless one is in flight; pollCompleted handles its
// answer. The next poll starts once the view that resulted from this one is
// applied, so that the versions stated in a poll are those that the node acts on.
func (o *ownerLoop) poll(ctx context.Context) {
	if o.polling {
		return
	}
	o.polling = true
	fresh := o.needsFreshView
	request := o.pollRequest(fresh)
	timeout := o.link.options.PollWait + pollTimeoutMargin
	if fresh {
		timeout = freshPollTimeout
	}
	incarnation := o.self.GetIncarnation()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	o.cancelPoll = cancel
	o.pollStartedAt = time.Now()
	link := o.link
	link.workers.Go(func() {
		defer cancel()
		response, err := link.CallCore(callCtx, request)
		link.post(ctx, func(_ context.Context, o *ownerLoop) {
			o.pollCompleted(response.GetPollControl(), err, fresh, incarnation)
		})
	})
}

// pollRequest states the versions of the current view as known. Known is also the acknowledgement.
// This is safe because no poll starts between receiving a view and viewApplied (polling stays true).
// Sections reset to 0 acknowledge nothing.
func (o *ownerLoop) pollRequest(fresh bool) *protocol.Request {
	known := o.link.View().Versions()
	o.pendingSnapshots.resetKnown(known)
	poll := &protocol.PollControlRequest{
		Node:          o.self.GetName(),
		Known:         known,
		WaitMillis:    uint32(o.link.options.PollWait.Milliseconds()),
		Fresh:         fresh,
		AcceptsDeltas: true,
		Incarnation:   o.self.GetIncarnation(),

		AcceptsPackedConfiguration: !o.pendingSnapshots.unpacked,
		AcceptsPackedViews:         !o.pendingSnapshots.unpacked,
	}
	if fresh {
		poll.WaitMillis = 0
	}
	return &protocol.Request{Body: &protocol.Request_PollControl{PollControl: poll}}
}

// pollCompleted applies the answer to a poll. A fresh answer counts only if
// authority was not lost since the poll was sent.
func (o *ownerLoop) pollCompleted(answer *protocol.PollControlResponse, err error, fresh bool, incarnation uint64) {
	if err != nil || answer == nil {
		o.link.metrics.polls.WithLabelValues("failed").Inc()
		o.retryPoll()
		return
	}
	o.link.metrics.polls.WithLabelValues("answered").Inc()
	o.pollBackoff = 0
	result := applyPoll(o.link.View(), answer)
	if result.mismatch != nil {
		o.link.metrics.mismatches.Inc()
		o.link.logger.Warn("view update rejected", "error", result.mismatch)
	}
	o.pendingSnapshots = result.snapshots
	if fresh && result.mismatch == nil && incarnation == o.self.GetIncarnation() {
		o.needsFreshView = false
		defer o.link.hasFreshView.Store(true)
	}
	if !result.changed {
		o.finishPoll()
		return
	}
	o.link.view.Store(result.view)
	o.supersedePreviousIncarnation()
	o.link.metrics.observe(result.view.Versions())
	// The notifier receives each view before the next poll is sent, so the channel has capacity.
	o.link.newViews <- result.view
}

// viewApplied records a view as applied once all subscribers have returned from it.
func (o *ownerLoop) viewApplied(view *View) {
	o.link.appliedView.Store(view)
	o.holder.ViewApplied(view.Membership.GetVersion())
	o.publishAuthority()
	o.finishPoll()
}

// finishPoll schedules the next poll, but not in a tight loop when the core
// answers immediately.
func (o *ownerLoop) finishPoll() {
	o.polling = false
	if o.pendingSnapshots != (snapshotRequest{}) {
		o.retryPoll()
		return
	}
	o.pollTimer.Reset(max(0, minPollInterval-time.Since(o.pollStartedAt)))
}

func (o *ownerLoop) retryPoll() {
	o.polling = false
	o.pollBackoff = nextBackoff(o.pollBackoff, maxRetryBackoff)
	o.pollTimer.Reset(jitter(o.pollBackoff))
}

// pollFresh requests a linearizable answer now. A long poll in flight is
// cancelled; its retry is the fresh one.
func (o *ownerLoop) pollFresh() {
	if o.polling && o.cancelPoll != nil {
		o.cancelPoll()
		return
	}
	o.pollTimer.Reset(0)
}
