package corelink

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// minimumPollGap keeps a core that answers at once from being polled in a tight loop.
const minimumPollGap = 20 * time.Millisecond

// poll sends one poll; the answer comes back as polled. The next one is sent
// when the view of this one is in force, so that what a poll says it knows is
// what the node acts on.
func (o *owner) poll() {
	if o.polling {
		return
	}
	o.polling = true
	fresh, whole := o.wantFresh, o.wantWhole
	request := o.pollRequest(fresh, whole)
	wait := o.link.options.PollWait + pollSlack
	if fresh {
		wait = defaultCallTimeout
	}
	incarnation := o.self.GetIncarnation()
	ctx, link := o.ctx, o.link
	call, cancel := context.WithTimeout(ctx, wait)
	o.cancelPoll = cancel
	o.pollStarted = time.Now()
	link.workers.Go(func() {
		defer cancel()
		response, err := link.CallCore(call, request)
		link.post(ctx, func(o *owner) { o.polled(response.GetPollControl(), err, fresh, incarnation) })
	})
}

func (o *owner) pollRequest(fresh bool, whole wholes) *protocol.Request {
	known := o.link.View().Versions()
	whole.forget(known)
	poll := &protocol.PollControlRequest{
		Node:          o.self.GetName(),
		Known:         known,
		WaitMillis:    uint32(o.link.options.PollWait.Milliseconds()),
		Fresh:         fresh,
		AcceptsDeltas: true,
		Incarnation:   o.self.GetIncarnation(),

		AcceptsPackedConfiguration: !whole.plain,
		AcceptsPackedViews:         !whole.plain,
	}
	if fresh {
		poll.WaitMillis = 0
	}
	return &protocol.Request{Body: &protocol.Request_PollControl{PollControl: poll}}
}

func (o *owner) polled(answer *protocol.PollControlResponse, err error, fresh bool, incarnation uint64) {
	if err != nil || answer == nil {
		o.link.metrics.polls.WithLabelValues("failed").Inc()
		o.retryPoll()
		return
	}
	o.link.metrics.polls.WithLabelValues("answered").Inc()
	o.pollWait = 0
	next, changed, whole, mismatch := applyPoll(o.link.View(), answer)
	if mismatch != nil {
		o.link.metrics.mismatches.Inc()
		o.link.logger.Warn("a section does not fit; asking for the whole", "error", mismatch)
	}
	o.wantWhole = whole
	if fresh && mismatch == nil && incarnation == o.self.GetIncarnation() {
		o.wantFresh = false
		defer o.link.fresh.Store(true)
	}
	if !changed {
		o.finishPoll()
		return
	}
	o.link.view.Store(next)
	o.succeed()
	o.link.metrics.observe(next.Versions())
	// The notifier takes the view before the next poll is sent, so the channel has room.
	o.link.changed <- next
}

// inForce is called when all subscribers have seen the view.
func (o *owner) inForce(view *View) {
	o.link.inForce.Store(view)
	o.holder.ViewApplied(view.Membership.GetVersion())
	o.publishAuthority()
	o.finishPoll()
}

// finishPoll sends the next poll, soon but not in a tight loop when the core answers without holding back.
func (o *owner) finishPoll() {
	o.polling = false
	if o.wantWhole != (wholes{}) {
		o.retryPoll()
		return
	}
	o.pollTimer.Reset(max(0, minimumPollGap-time.Since(o.pollStarted)))
}

func (o *owner) retryPoll() {
	o.polling = false
	o.pollWait = nextWait(o.pollWait, longestRetry)
	o.pollTimer.Reset(jitter(o.pollWait))
}

// pollFresh sends a linearizable poll now, in place of one that is being held back.
func (o *owner) pollFresh() {
	if o.polling && o.cancelPoll != nil {
		o.cancelPoll()
		return
	}
	o.pollTimer.Reset(0)
}
