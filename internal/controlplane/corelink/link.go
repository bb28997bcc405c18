// Package corelink connects a front node or a store to the core. It finds the
// core through seed addresses, keeps the node's membership lease, and long-polls
// for configuration, membership, back ends and placement, which it publishes as
// immutable views that never step back.
//
// One owner goroutine holds all state; calls run beside it and report back to it.
package corelink

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/controlplane/lease"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
	"google.golang.org/protobuf/proto"
)

// Defaults of Options.
const (
	DefaultRenewInterval = time.Second
	DefaultLeaseMargin   = 500 * time.Millisecond
	DefaultViewLimit     = 5 * time.Second
	DefaultPollWait      = 10 * time.Second
	defaultCallTimeout   = 2 * time.Second
	shortestRenewTimeout = 500 * time.Millisecond
	// longestRetry is the longest wait after a renewal or poll that had no answer.
	longestRetry = 200 * time.Millisecond
	pollSlack    = 5 * time.Second
	// releaseTimeout bounds what Stop spends on the release; a lease that was not released runs out by itself.
	releaseTimeout = time.Second
	// longestRefusedWait bounds the wait of a node that the core refuses with a reason.
	longestRefusedWait = 30 * time.Second
)

// Options configure a Link. Self, Seeds and Caller are required.
type Options struct {
	// Self describes this process; the link owns the copy it makes, and raises
	// its incarnation whenever authority was lost.
	Self   *protocol.Node
	Seeds  []string
	Caller wire.Caller

	// RenewInterval is the time between renewals of the lease.
	RenewInterval time.Duration
	// LeaseMargin is taken off the end of each lease granted.
	LeaseMargin time.Duration
	// ViewLimit is how long the node acts while it cannot read the newest membership view.
	ViewLimit time.Duration
	// PollWait is how long the core may hold a poll back.
	PollWait time.Duration

	Logger     *log.Logger
	Registerer prometheus.Registerer
}

// View is what a node has in force. It is immutable; a section is nil until it was first read.
type View struct {
	Configuration *protocol.Configuration
	Membership    *protocol.MembershipView
	BackEnds      *protocol.BackEndView
	Placement     *protocol.Placement
}

// Versions returns the version of each section; zero for one never read.
func (v *View) Versions() *protocol.ControlVersions {
	return &protocol.ControlVersions{
		Configuration: v.Configuration.GetVersion(),
		Membership:    v.Membership.GetVersion(),
		BackEnds:      v.BackEnds.GetVersion(),
		Placement:     v.Placement.GetEpoch(),
	}
}

// Authority is an immutable copy of the state of the lease.
type Authority struct {
	// Self describes this process under its present incarnation.
	Self *protocol.Node
	// Ends is when authority ends on the monotonic clock; zero without a lease.
	ExpiresAt time.Time
}

// Held reports whether the node has authority now.
func (a *Authority) Valid() bool {
	return lease.ValidAt(time.Now(), a.ExpiresAt)
}

// Link is the connection to the core.
type Link struct {
	options Options
	locator *locator
	metrics *metrics
	logger  *log.Logger

	view      atomic.Pointer[View]
	authority atomic.Pointer[Authority]
	fresh     atomic.Bool
	// inForce is the newest view that all subscribers have seen.
	inForce atomic.Pointer[View]

	subscribers []func(*View)
	changed     chan *View

	commands chan func(*owner)
	cancel   context.CancelFunc
	workers  sync.WaitGroup
	done     chan struct{}
}

// New returns a link that has not been started.
func New(options Options) *Link {
	options = withDefaults(options)
	options.Self = proto.CloneOf(options.Self)
	options.Self.OwnedNothing = options.Self.GetKind() == protocol.NodeKind_FRONT
	link := &Link{
		options:  options,
		metrics:  newMetrics(options.Registerer),
		logger:   options.Logger,
		changed:  make(chan *View, 1),
		commands: make(chan func(*owner), 64),
		done:     make(chan struct{}),
	}
	link.locator = newLocator(options.Caller, options.Self, options.Seeds, link.metrics)
	link.view.Store(&View{})
	link.inForce.Store(&View{})
	link.authority.Store(&Authority{Self: proto.CloneOf(options.Self)})
	return link
}

func withDefaults(options Options) Options {
	setDefault(&options.RenewInterval, DefaultRenewInterval)
	setDefault(&options.LeaseMargin, DefaultLeaseMargin)
	setDefault(&options.ViewLimit, DefaultViewLimit)
	setDefault(&options.PollWait, DefaultPollWait)
	if options.Logger == nil {
		options.Logger = log.Default()
	}
	if options.Registerer == nil {
		options.Registerer = prometheus.NewRegistry()
	}
	return options
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// Subscribe registers a function that is called with every view, in order, from
// one goroutine, first with the view at hand. A view counts as in force, and is
// confirmed to the core, when all functions have returned. Call it before Start.
func (l *Link) Subscribe(subscriber func(*View)) {
	l.subscribers = append(l.subscribers, subscriber)
}

// Start begins to find the core, to renew the lease and to poll. It does not
// wait for them; Ready tells when they have succeeded.
func (l *Link) Start(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	l.cancel = cancel
	for _, subscriber := range l.subscribers {
		subscriber(l.View())
	}
	owner := newOwner(l)
	l.workers.Go(func() { l.notify(running) })
	l.workers.Go(func() {
		defer close(l.done)
		owner.run(running)
	})
	return nil
}

// Stop ends authority, releases the lease at the core so that others need not
// wait for it to run out, and stops all goroutines. It spends a second at most
// on the release, also while no core answers.
func (l *Link) Stop(ctx context.Context) error {
	if l.cancel == nil {
		return nil
	}
	release, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	released := make(chan *protocol.Request, 1)
	select {
	case l.commands <- func(o *owner) { o.release(released) }:
	case <-l.done:
	case <-release.Done():
	}
	select {
	case request := <-released:
		l.sendRelease(release, request)
	case <-l.done:
	case <-release.Done():
		l.logger.Warn("lease not released; it runs out by itself", "error", release.Err())
	}
	l.cancel()
	l.workers.Wait()
	return nil
}

func (l *Link) sendRelease(ctx context.Context, request *protocol.Request) {
	if _, err := l.CallCore(ctx, request); err != nil {
		l.logger.Warn("lease not released; it runs out by itself", "error", err.Error())
	}
}

// View returns what is at hand; never nil.
func (l *Link) View() *View {
	return l.view.Load()
}

// Authority returns the present state of the lease, with the node's present incarnation.
func (l *Link) Authority() *Authority {
	return l.authority.Load()
}

// Self describes this process under its present incarnation, which is raised
// whenever authority was lost. The caller must not change it.
func (l *Link) Self() *protocol.Node {
	return l.Authority().Self
}

// AuthorityEnds is when authority ends on the monotonic clock; zero without a lease.
func (l *Link) AuthorityExpiresAt() time.Time {
	return l.Authority().ExpiresAt
}

// HasAuthority reports whether the node may act as owner or holder now.
func (l *Link) HasAuthority() bool {
	return l.Authority().Valid()
}

// Ready reports whether the lease is held and a linearizable view was read under it.
func (l *Link) Ready() bool {
	return l.fresh.Load() && l.HasAuthority()
}

// LocateCore is what this process answers to a LocateCoreRequest.
func (l *Link) LocateCore() *protocol.LocateCoreResponse {
	return l.locator.known()
}

// SetSeeds replaces the addresses at which the core is looked for. Core processes
// known from answers are still asked, too.
func (l *Link) SetSeeds(seeds []string) {
	l.locator.setSeeds(seeds)
}

// SetDraining says so to the core with the next renewal, which is sent at once.
func (l *Link) SetDraining(draining bool) {
	select {
	case l.commands <- func(o *owner) { o.setDraining(draining) }:
	case <-l.done:
	}
}

// SetOwning says so to the core with a later renewal, once the process owns a session for the first time.
func (l *Link) SetOwning() {
	select {
	case l.commands <- (*owner).setOwning:
	case <-l.done:
	}
}

// notify calls the subscribers with the newest view and tells the owner once it is in force.
func (l *Link) notify(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case view := <-l.changed:
			for _, subscriber := range l.subscribers {
				subscriber(view)
			}
			select {
			case l.commands <- func(o *owner) { o.inForce(view) }:
			case <-ctx.Done():
				return
			}
		}
	}
}

func jitter(wait time.Duration) time.Duration {
	return wait/2 + rand.N(wait/2+1)
}
