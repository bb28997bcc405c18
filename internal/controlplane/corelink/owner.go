package corelink

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/lease"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// owner holds the state of a link; only its goroutine touches it.
type owner struct {
	link   *Link
	holder *lease.Holder
	self   *protocol.Node
	ctx    context.Context

	// contacted is true while answers of the core arrive.
	contacted  bool
	renewing   bool
	renewAgain bool
	released   bool
	// releaseTo waits for the request that releases the lease.
	releaseTo chan<- *protocol.Request
	renewWait time.Duration
	// refusedWait is the wait after the last refusal with a reason, zero when there is none; refusal is that reason.
	refusedWait time.Duration
	refusal     string
	// wasRefused is true from a refusal until a lease is granted.
	wasRefused bool
	// lapseLogged is true from the line about lost authority until a lease is held again.
	lapseLogged bool
	renewTimer  *time.Timer

	polling     bool
	pollStarted time.Time
	cancelPoll  context.CancelFunc
	pollWait    time.Duration
	// wantWhole names the sections to be asked for whole after what was sent did not fit.
	wantWhole wholes
	// wantFresh asks for a linearizable answer, after start and after authority was lost.
	wantFresh bool
	pollTimer *time.Timer
}

func newOwner(link *Link) *owner {
	self := proto.CloneOf(link.options.Self)
	return &owner{
		link: link,
		holder: lease.NewHolder(self.GetIncarnation(), lease.Options{
			Margin:    link.options.LeaseMargin,
			ViewLimit: link.options.ViewLimit,
		}),
		self:       self,
		wantFresh:  true,
		renewTimer: time.NewTimer(0),
		pollTimer:  stoppedTimer(),
	}
}

// stoppedTimer fires only after a Reset.
func stoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

func (o *owner) run(ctx context.Context) {
	o.ctx = ctx
	defer o.renewTimer.Stop()
	defer o.pollTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-o.link.commands:
			command(o)
		case <-o.renewTimer.C:
			o.renew()
		case <-o.pollTimer.C:
			o.poll()
		}
	}
}

// post hands a result to the owner goroutine.
func (l *Link) post(ctx context.Context, command func(*owner)) {
	select {
	case l.commands <- command:
	case <-ctx.Done():
	}
}

// renew sends one renewal; the answer comes back as renewed.
func (o *owner) renew() {
	if o.released {
		return
	}
	if o.renewing {
		o.renewAgain = true
		return
	}
	renewal, expired := o.holder.BeginRenewal(time.Now())
	if expired {
		o.lapsed()
	}
	if !o.contacted {
		o.contact()
		return
	}
	o.renewing = true
	ctx, link, request := o.ctx, o.link, renewRequest(o.self, o.link.inForce.Load(), false)
	link.workers.Go(func() {
		call, cancel := context.WithTimeout(ctx, max(link.options.RenewInterval, shortestRenewTimeout))
		defer cancel()
		response, err := link.CallCore(call, request)
		link.post(ctx, func(o *owner) { o.renewed(renewal, response.GetRenewLease(), err) })
	})
}

// contact shows that answers of the core arrive before a lease is asked for. A
// node that the core hears but that does not hear the core would otherwise keep
// a lease, and with it its ranges of the ring, without ever acting on it.
func (o *owner) contact() {
	o.renewing = true
	ctx, link := o.ctx, o.link
	sentAt, timeout := time.Now(), max(link.options.RenewInterval, shortestRenewTimeout)
	link.workers.Go(func() {
		call, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		request := &protocol.Request{Body: &protocol.Request_CoreStatus{CoreStatus: &protocol.CoreStatusRequest{}}}
		_, err := link.CallCore(call, request)
		// An answer that lay here while the process was frozen shows nothing.
		link.post(ctx, func(o *owner) { o.contactMade(err == nil && time.Since(sentAt) <= timeout) })
	})
}

func (o *owner) contactMade(answered bool) {
	o.renewing = false
	o.deliverRelease()
	if answered {
		o.contacted = true
		o.renewTimer.Reset(0)
		return
	}
	o.renewWait = nextWait(o.renewWait, longestRetry)
	o.renewTimer.Reset(jitter(o.renewWait))
}

// lapsed begins a new incarnation after authority ended.
func (o *owner) lapsed() {
	o.link.metrics.lapses.Inc()
	if !o.lapseLogged {
		o.lapseLogged = true
		o.link.logger.Warn("authority lost; coming back under a new incarnation", "incarnation", o.holder.Incarnation())
	}
	o.self = proto.CloneOf(o.self)
	o.self.Incarnation = o.holder.Incarnation()
	o.contacted = false
	o.link.fresh.Store(false)
	o.wantFresh = true
	o.publishAuthority()
}

func (o *owner) renewed(renewal lease.Renewal, answer *protocol.RenewLeaseResponse, err error) {
	o.renewing = false
	o.deliverRelease()
	now := time.Now()
	o.contacted = err == nil || o.holder.Valid(now)
	switch {
	case o.released:
		return
	case failure.Is(err, failure.LeaseRejected), err == nil && !answer.GetGranted():
		o.refused(now, renewal, answer.GetRefusal(), err)
	case err != nil:
		o.link.metrics.renewals.WithLabelValues("failed").Inc()
		o.renewWait = nextWait(o.renewWait, longestRetry)
		o.renewTimer.Reset(jitter(o.renewWait))
	default:
		o.granted(now, renewal, answer)
	}
	if o.renewAgain {
		o.renewAgain = false
		o.renewTimer.Reset(0)
	}
}

func (o *owner) granted(now time.Time, renewal lease.Renewal, answer *protocol.RenewLeaseResponse) {
	o.renewWait, o.refusedWait, o.refusal, o.lapseLogged, o.wasRefused = 0, 0, "", false, false
	had := o.link.HasAuthority()
	duration := time.Duration(answer.GetDurationMillis()) * time.Millisecond
	if !o.holder.Granted(now, renewal, duration, answer.GetLatest().GetMembership()) {
		// The answer came too late to count; ask anew at once.
		o.link.metrics.renewals.WithLabelValues("late").Inc()
		o.renewTimer.Reset(0)
		return
	}
	o.link.metrics.renewals.WithLabelValues("granted").Inc()
	o.publishAuthority()
	if !had {
		o.link.logger.Info("lease held", "incarnation", renewal.Incarnation, "duration", duration)
	}
	o.renewTimer.Reset(max(0, renewal.SentAt.Add(o.link.options.RenewInterval).Sub(now)))
	if o.wantFresh || o.pollIsOverdue(now, answer.GetLatest()) {
		o.pollFresh()
	}
}

// pollIsOverdue reports whether the core named something newer than the view
// although a poll has been under way for longer than an answer takes, as when its connection went dead.
func (o *owner) pollIsOverdue(now time.Time, latest *protocol.ControlVersions) bool {
	held := o.link.View().Versions()
	behind := latest.GetConfiguration() > held.GetConfiguration() || latest.GetMembership() > held.GetMembership() ||
		latest.GetBackEnds() > held.GetBackEnds() || latest.GetPlacement() > held.GetPlacement()
	return behind && o.polling && now.Sub(o.pollStarted) > o.link.options.RenewInterval
}

// refused ends authority. A refusal with a reason lasts until something else
// changes, so the node asks ever more seldom; one without a reason is over soon.
func (o *owner) refused(now time.Time, renewal lease.Renewal, refusal *protocol.Refusal, err error) {
	o.link.metrics.renewals.WithLabelValues("refused").Inc()
	o.holder.Rejected(now, renewal)
	o.lapsed()
	o.wasRefused = true
	if o.succeed() {
		return
	}
	if !o.polling && o.link.View().Membership == nil {
		// The view may show a former life of this node.
		o.pollTimer.Reset(0)
	}
	if refusal != nil || err != nil {
		o.noteRefusal(refusal, err)
		o.refusedWait = min(max(2*o.refusedWait, o.link.options.RenewInterval), longestRefusedWait)
		o.renewTimer.Reset(jitter(o.refusedWait))
		return
	}
	o.refusedWait, o.refusal = 0, ""
	o.renewWait = nextWait(o.renewWait, longestRetry)
	o.renewTimer.Reset(jitter(o.renewWait))
}

// succeed goes on under a larger incarnation when the view has this node, at its
// own address, under one that is not smaller: that is a former life of it, since
// one process alone can listen there, and the clock that incarnations are made
// of was set back. It asks for the lease at once then.
func (o *owner) succeed() bool {
	now := time.Now()
	if !o.wasRefused || o.holder.Valid(now) {
		return false
	}
	for _, node := range o.link.View().Membership.GetNodes() {
		former := node.GetIncarnation()
		if node.GetName() != o.self.GetName() || node.GetAddress() != o.self.GetAddress() || former < o.holder.Incarnation() {
			continue
		}
		o.holder.Supersede(now, former)
		o.lapsed()
		o.renewTimer.Reset(0)
		return true
	}
	return false
}

// noteRefusal logs the reason when it is another one than before.
func (o *owner) noteRefusal(refusal *protocol.Refusal, err error) {
	reason := refusal.GetCode() + ": " + refusal.GetMessage()
	if refusal == nil {
		reason = err.Error()
	}
	if reason == o.refusal {
		return
	}
	o.refusal = reason
	o.link.logger.Warn("lease refused; asking again ever more seldom", "reason", reason, "longest_wait", longestRefusedWait)
}

// release ends authority and hands out the request that tells the core so, once
// no renewal is under way that could overtake it and begin the lease anew.
func (o *owner) release(to chan<- *protocol.Request) {
	o.released = true
	o.holder.Released()
	o.publishAuthority()
	o.releaseTo = to
	o.deliverRelease()
}

func (o *owner) deliverRelease() {
	if o.releaseTo != nil && !o.renewing {
		o.releaseTo <- renewRequest(o.self, o.link.inForce.Load(), true)
		o.releaseTo = nil
	}
}

func (o *owner) setDraining(draining bool) {
	if o.self.GetDraining() == draining {
		return
	}
	o.self = proto.CloneOf(o.self)
	o.self.Draining = draining
	o.publishAuthority()
	o.renew()
}

// setOwning is told with the next renewal that is due, so that the many nodes of a fleet that began at once do not tell it at once.
func (o *owner) setOwning() {
	if !o.self.GetOwnedNothing() {
		return
	}
	o.self = proto.CloneOf(o.self)
	o.self.OwnedNothing = false
	o.publishAuthority()
}

func (o *owner) publishAuthority() {
	o.link.authority.Store(&Authority{Self: o.self, ExpiresAt: o.holder.ExpiresAt()})
}

func renewRequest(self *protocol.Node, inForce *View, release bool) *protocol.Request {
	return &protocol.Request{Body: &protocol.Request_RenewLease{RenewLease: &protocol.RenewLeaseRequest{
		Node:    self,
		InForce: inForce.Versions(),
		Release: release,
	}}}
}

// nextWait doubles a wait between the first retry delay and the limit.
func nextWait(wait, limit time.Duration) time.Duration {
	if wait == 0 {
		return firstRetryDelay
	}
	return min(2*wait, limit)
}
