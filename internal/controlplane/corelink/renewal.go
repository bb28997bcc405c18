package corelink

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/lease"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// renew starts one renewal; renewalCompleted handles its answer. A renewal that is
// due while one is in flight follows as soon as that completes.
func (o *ownerLoop) renew(ctx context.Context) {
	if o.released {
		return
	}
	if o.renewing {
		o.renewAgain = true
		return
	}
	renewal, expired := o.holder.BeginRenewal(time.Now())
	if expired {
		o.authorityLost()
	}
	if !o.coreResponds {
		o.probeCore(ctx)
		return
	}
	o.renewing = true
	link, request := o.link, o.renewRequest(false)
	link.workers.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, link.renewTimeout())
		defer cancel()
		response, err := link.CallCore(callCtx, request)
		link.post(ctx, func(_ context.Context, o *ownerLoop) {
			o.renewalCompleted(renewal, response.GetRenewLease(), err)
		})
	})
}

// renewTimeout returns the timeout of a renewal and of the probe before it.
func (l *Link) renewTimeout() time.Duration {
	return max(l.options.RenewInterval, minRenewTimeout)
}

// probeCore checks that answers of the core arrive before a lease is
// requested. A node that can reach the core but does not receive its answers would
// otherwise keep a lease, and with it its ranges of the ring, without ever acting
// on it.
func (o *ownerLoop) probeCore(ctx context.Context) {
	o.renewing = true
	link := o.link
	sentAt, timeout := time.Now(), link.renewTimeout()
	link.workers.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		request := &protocol.Request{Body: &protocol.Request_CoreStatus{CoreStatus: &protocol.CoreStatusRequest{}}}
		_, err := link.CallCore(callCtx, request)
		link.post(ctx, func(_ context.Context, o *ownerLoop) {
			// An answer that was buffered while the process was frozen does not count.
			o.probeCompleted(err == nil && time.Since(sentAt) <= timeout)
		})
	})
}

func (o *ownerLoop) probeCompleted(answered bool) {
	o.renewing = false
	o.sendReleaseRequest()
	if answered {
		o.coreResponds = true
		o.renewTimer.Reset(0)
		return
	}
	o.retryRenewal()
}

func (o *ownerLoop) retryRenewal() {
	o.renewBackoff = nextBackoff(o.renewBackoff, maxRetryBackoff)
	o.renewTimer.Reset(jitter(o.renewBackoff))
}

// authorityLost adopts the holder's new incarnation after authority ended.
func (o *ownerLoop) authorityLost() {
	o.link.metrics.authorityLosses.Inc()
	if !o.authorityLossLogged {
		o.authorityLossLogged = true
		o.link.logger.Warn("authority lost", "incarnation", o.holder.Incarnation())
	}
	o.self = proto.CloneOf(o.self)
	o.self.Incarnation = o.holder.Incarnation()
	o.coreResponds = false
	o.link.hasFreshView.Store(false)
	o.needsFreshView = true
	o.publishAuthority()
}

func (o *ownerLoop) renewalCompleted(renewal lease.Renewal, answer *protocol.RenewLeaseResponse, err error) {
	o.renewing = false
	o.sendReleaseRequest()
	now := time.Now()
	o.coreResponds = err == nil || o.holder.Valid(now)
	switch {
	case o.released:
		return
	case failure.Is(err, failure.LeaseRejected), err == nil && !answer.GetGranted():
		o.renewalRejected(now, renewal, answer.GetRefusal(), err)
	case err != nil:
		o.link.metrics.renewals.WithLabelValues("failed").Inc()
		o.retryRenewal()
	default:
		o.granted(now, renewal, answer)
	}
	if o.renewAgain {
		o.renewAgain = false
		o.renewTimer.Reset(0)
	}
}

func (o *ownerLoop) granted(now time.Time, renewal lease.Renewal, answer *protocol.RenewLeaseResponse) {
	o.renewBackoff, o.rejectedBackoff, o.rejectionReason = 0, 0, ""
	o.authorityLossLogged, o.rejected = false, false
	hadAuthority := o.link.HasAuthority()
	duration := time.Duration(answer.GetDurationMillis()) * time.Millisecond
	if !o.holder.Granted(now, renewal, duration, answer.GetLatest().GetMembership()) {
		// The grant arrived too late to be used; renew immediately.
		o.link.metrics.renewals.WithLabelValues("late").Inc()
		o.renewTimer.Reset(0)
		return
	}
	o.link.metrics.renewals.WithLabelValues("granted").Inc()
	o.publishAuthority()
	if !hadAuthority {
		o.link.logger.Info("lease granted", "incarnation", renewal.Incarnation, "duration", duration)
	}
	o.renewTimer.Reset(max(0, renewal.SentAt.Add(o.link.options.RenewInterval).Sub(now)))
	if o.needsFreshView || o.pollIsOverdue(now, answer.GetLatest()) {
		o.pollFresh()
	}
}

// pollIsOverdue reports whether the core has a newer version than the view although
// a poll has been in flight for longer than RenewInterval, for example on a dead
// connection.
func (o *ownerLoop) pollIsOverdue(now time.Time, latest *protocol.ControlVersions) bool {
	current := o.link.View().Versions()
	behind := latest.GetConfiguration() > current.GetConfiguration() ||
		latest.GetMembership() > current.GetMembership() ||
		latest.GetBackEnds() > current.GetBackEnds() ||
		latest.GetPlacement() > current.GetPlacement()
	return behind && o.polling && now.Sub(o.pollStartedAt) > o.link.options.RenewInterval
}

// renewalRejected ends authority. A rejection with a reason persists until the cause
// is removed, so the node backs off up to maxRejectedBackoff; one without a reason
// is temporary.
func (o *ownerLoop) renewalRejected(now time.Time, renewal lease.Renewal, rejection *protocol.Refusal, err error) {
	o.link.metrics.renewals.WithLabelValues("refused").Inc()
	o.holder.Rejected(now, renewal)
	o.authorityLost()
	o.rejected = true
	if o.supersedePreviousIncarnation() {
		return
	}
	if !o.polling && o.link.View().Membership == nil {
		// The view may show an earlier incarnation of this node.
		o.pollTimer.Reset(0)
	}
	if rejection != nil || err != nil {
		o.logRejection(rejection, err)
		o.rejectedBackoff = min(max(2*o.rejectedBackoff, o.link.options.RenewInterval), maxRejectedBackoff)
		o.renewTimer.Reset(jitter(o.rejectedBackoff))
		return
	}
	o.rejectedBackoff, o.rejectionReason = 0, ""
	o.retryRenewal()
}

// supersedePreviousIncarnation adopts a larger incarnation if the view lists this
// node, at its own address, with an incarnation that is not smaller. Only one
// process can listen at an address, so that entry belongs to an earlier process of
// the same node, and the clock from which incarnations are derived was set back. It
// then requests the lease immediately and reports true.
func (o *ownerLoop) supersedePreviousIncarnation() bool {
	now := time.Now()
	if !o.rejected || o.holder.Valid(now) {
		return false
	}
	for _, node := range o.link.View().Membership.GetNodes() {
		previous := node.GetIncarnation()
		isSelf := node.GetName() == o.self.GetName() && node.GetAddress() == o.self.GetAddress()
		if !isSelf || previous < o.holder.Incarnation() {
			continue
		}
		o.holder.Supersede(now, previous)
		o.authorityLost()
		o.renewTimer.Reset(0)
		return true
	}
	return false
}

// logRejection logs the reason if it differs from the last one.
func (o *ownerLoop) logRejection(rejection *protocol.Refusal, err error) {
	reason := rejection.GetCode() + ": " + rejection.GetMessage()
	if rejection == nil {
		reason = err.Error()
	}
	if reason == o.rejectionReason {
		return
	}
	o.rejectionReason = reason
	o.link.logger.Warn("lease rejected", "reason", reason, "max_backoff", maxRejectedBackoff)
}

// release ends authority and sends the request that releases the lease to the
// channel, which must have capacity for it. It does so once no renewal is in
// flight, because a renewal that reached the core after the release would start a
// new lease.
func (o *ownerLoop) release(request chan<- *protocol.Request) {
	o.released = true
	o.holder.Released()
	o.publishAuthority()
	o.releaseRequest = request
	o.sendReleaseRequest()
}

func (o *ownerLoop) sendReleaseRequest() {
	if o.releaseRequest != nil && !o.renewing {
		o.releaseRequest <- o.renewRequest(true)
		o.releaseRequest = nil
	}
}

func (o *ownerLoop) renewRequest(release bool) *protocol.Request {
	return &protocol.Request{Body: &protocol.Request_RenewLease{RenewLease: &protocol.RenewLeaseRequest{
		Node:    o.self,
		InForce: o.link.appliedView.Load().Versions(),
		Release: release,
	}}}
}
