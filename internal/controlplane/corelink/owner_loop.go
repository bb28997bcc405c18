package corelink

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/lease"
	"github.com/rosestand/rosestand/internal/protocol"
)

// command is a function that the owner goroutine runs; ctx ends when the link stops.
type command func(ctx context.Context, o *ownerLoop)

// ownerLoop is the state of a started link. Only the goroutine in run accesses it;
// calls to the core run in goroutines of their own and post their results to it.
type ownerLoop struct {
	link   *Link
	holder *lease.Holder
	// self is replaced, never modified, because Authority shares it.
	self *protocol.Node

	// The lease.

	// coreResponds is true while answers of the core arrive; otherwise it is probed before a renewal.
	coreResponds bool
	renewing     bool
	renewAgain   bool
	released     bool
	// releaseRequest receives the request that releases the lease; nil unless Stop waits for it.
	releaseRequest chan<- *protocol.Request
	renewBackoff   time.Duration
	// rejectedBackoff is the wait after the last rejection with a reason, zero if
	// there is none; rejectionReason is that reason.
	rejectedBackoff time.Duration
	rejectionReason string
	// rejected is true from a rejection until a lease is granted.
	rejected bool
	// authorityLossLogged is true from the log line about lost authority until the next grant.
	authorityLossLogged bool
	renewTimer          *time.Timer

	// Polls.

	polling       bool
	pollStartedAt time.Time
	cancelPoll    context.CancelFunc
	pollBackoff   time.Duration
	// pendingSnapshots names the sections whose last update could not be applied.
	pendingSnapshots snapshotRequest
	// needsFreshView requests a linearizable answer, after the start and after authority was lost.
	needsFreshView bool
	pollTimer      *time.Timer
}

func newOwnerLoop(link *Link) *ownerLoop {
	self := proto.CloneOf(link.options.Self)
	return &ownerLoop{
		link: link,
		holder: lease.NewHolder(self.GetIncarnation(), lease.Options{
			Margin:    link.options.LeaseMargin,
			ViewLimit: link.options.ViewLimit,
		}),
		self:           self,
		needsFreshView: true,
		renewTimer:     time.NewTimer(0),
		pollTimer:      stoppedTimer(),
	}
}

// stoppedTimer returns a timer that fires only after a Reset.
func stoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

func (o *ownerLoop) run(ctx context.Context) {
	defer o.renewTimer.Stop()
	defer o.pollTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case step := <-o.link.commands:
			step(ctx, o)
		case <-o.renewTimer.C:
			o.renew(ctx)
		case <-o.pollTimer.C:
			o.poll(ctx)
		}
	}
}

// post passes a result to the owner goroutine, unless the link has stopped.
func (l *Link) post(ctx context.Context, step command) {
	select {
	case l.commands <- step:
	case <-ctx.Done():
	}
}

func (o *ownerLoop) setDraining(ctx context.Context, draining bool) {
	if o.self.GetDraining() == draining {
		return
	}
	o.self = proto.CloneOf(o.self)
	o.self.Draining = draining
	o.publishAuthority()
	o.renew(ctx)
}

// clearOwnedNothing records that the process has owned a session. It is reported
// with the next regular renewal, because nodes of a fleet that started together
// would otherwise all report it at the same time.
func (o *ownerLoop) clearOwnedNothing() {
	if !o.self.GetOwnedNothing() {
		return
	}
	o.self = proto.CloneOf(o.self)
	o.self.OwnedNothing = false
	o.publishAuthority()
}

func (o *ownerLoop) publishAuthority() {
	o.link.authority.Store(&Authority{Self: o.self, ExpiresAt: o.holder.ExpiresAt()})
}
