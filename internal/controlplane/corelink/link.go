// Package corelink is the connection of a front node or a store to the core. It
// finds the core's leader through seed addresses, renews the node's lease, and
// long-polls for configuration, membership, back ends and placement, which it
// publishes as immutable views whose versions never decrease.
//
// One goroutine owns the state (owner); calls to the core run in goroutines of
// their own and post their results to it. A further goroutine calls the
// subscribers. State that other goroutines read is published through atomic
// pointers to immutable values, so all methods of a Link are safe for concurrent
// use, except Subscribe, Start and Stop. Package lease determines how long the node
// may act.
package corelink

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// Defaults of Options.
const (
	DefaultRenewInterval = time.Second
	DefaultLeaseMargin   = 500 * time.Millisecond
	DefaultViewLimit     = 5 * time.Second
	DefaultPollWait      = 10 * time.Second
)

const (
	minRenewTimeout = 500 * time.Millisecond
	// freshPollTimeout bounds a linearizable poll, which the core answers immediately.
	freshPollTimeout = 2 * time.Second
	// pollTimeoutMargin is added to PollWait before a long poll counts as lost.
	pollTimeoutMargin = 5 * time.Second
	// minPollInterval keeps a core that answers immediately from being polled in a tight loop.
	minPollInterval = 20 * time.Millisecond
	// releaseTimeout bounds the release in Stop; a lease that was not released expires.
	releaseTimeout = time.Second
	commandBacklog = 64
)

// Options configure a Link. Self, Seeds and Caller are required; a duration of zero
// means its default.
type Options struct {
	// Self describes this process. The link clones it, and raises the incarnation
	// of its clone whenever authority was lost.
	Self *protocol.Node
	// Seeds are addresses (host:port) of processes that are queried for the core's leader.
	Seeds  []string
	Caller wire.Caller

	// RenewInterval is the interval between renewals of the lease.
	RenewInterval time.Duration
	// LeaseMargin is subtracted from the end of each lease granted.
	LeaseMargin time.Duration
	// ViewLimit is how long the node may act while it cannot apply the latest membership view.
	ViewLimit time.Duration
	// PollWait is how long the core may keep a poll pending.
	PollWait time.Duration

	// Logger and Registerer default to the standard logger and a registry that is not exposed.
	Logger     *log.Logger
	Registerer prometheus.Registerer
}

// Link is the connection to the core. It cannot be restarted: the order of calls
// is New, Subscribe, Start, Stop.
type Link struct {
	options Options
	locator *locator
	metrics *metrics
	logger  *log.Logger

	view         atomic.Pointer[View]
	authority    atomic.Pointer[Authority]
	hasFreshView atomic.Bool
	// appliedView is the latest view that all subscribers have returned from.
	appliedView atomic.Pointer[View]

	subscribers []func(*View)
	newViews    chan *View

	commands chan command
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
		newViews: make(chan *View, 1),
		commands: make(chan command, commandBacklog),
		done:     make(chan struct{}),
	}
	link.locator = newLocator(options.Caller, options.Self, options.Seeds, link.metrics)
	link.view.Store(&View{})
	link.appliedView.Store(&View{})
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

// Subscribe registers a function that is called with every view in order, from
// one goroutine; Start calls it with the view at that moment. A view is applied,
// and acknowledged to the core, once all subscribers have returned. Call Subscribe
// before Start.
func (l *Link) Subscribe(subscriber func(*View)) {
	l.subscribers = append(l.subscribers, subscriber)
}

// Start begins to search for the core, renew the lease and poll. It does not wait
// for any of these; Ready reports when they have succeeded. The link runs until
// Stop, even if ctx ends earlier.
func (l *Link) Start(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	l.cancel = cancel
	for _, subscriber := range l.subscribers {
		subscriber(l.View())
	}
	owner := newOwnerLoop(l)
	l.workers.Go(func() { l.runNotifier(running) })
	l.workers.Go(func() {
		defer close(l.done)
		owner.run(running)
	})
	return nil
}

// Stop ends authority, releases the lease at the core so that others need not wait
// for its expiry, and stops all goroutines. The release takes at most a second,
// even if no core process answers; the error is always nil.
func (l *Link) Stop(ctx context.Context) error {
	if l.cancel == nil {
		return nil
	}
	release, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	released := make(chan *protocol.Request, 1)
	select {
	case l.commands <- func(_ context.Context, o *ownerLoop) { o.release(released) }:
	case <-l.done:
	case <-release.Done():
	}
	select {
	case request := <-released:
		l.sendRelease(release, request)
	case <-l.done:
	case <-release.Done():
		l.logger.Warn("lease release failed", "error", release.Err())
	}
	l.cancel()
	l.workers.Wait()
	return nil
}

func (l *Link) sendRelease(ctx context.Context, request *protocol.Request) {
	if _, err := l.CallCore(ctx, request); err != nil {
		l.logger.Warn("lease release failed", "error", err.Error())
	}
}

// View returns the latest view that was received; never nil. Subscribers may not have been called with it yet.
func (l *Link) View() *View {
	return l.view.Load()
}

// Authority returns the current state of the lease, with the node's current incarnation.
func (l *Link) Authority() *Authority {
	return l.authority.Load()
}

// Self returns the description of this process with its current incarnation,
// which is raised whenever authority was lost. The caller must not modify it.
func (l *Link) Self() *protocol.Node {
	return l.Authority().Self
}

// AuthorityExpiresAt returns when authority ends on the monotonic clock; zero without a lease.
func (l *Link) AuthorityExpiresAt() time.Time {
	return l.Authority().ExpiresAt
}

// HasAuthority reports whether the node may act as owner or holder now.
func (l *Link) HasAuthority() bool {
	return l.Authority().Valid()
}

// Ready reports whether the lease is held and a linearizable view was received under it.
func (l *Link) Ready() bool {
	return l.hasFreshView.Load() && l.HasAuthority()
}

// LocateCore returns the known leader and processes of the core, as this process answers a LocateCoreRequest.
func (l *Link) LocateCore() *protocol.LocateCoreResponse {
	return l.locator.known()
}

// SetSeeds replaces the seed addresses. Core processes known from earlier answers
// are still queried.
func (l *Link) SetSeeds(seeds []string) {
	l.locator.setSeeds(seeds)
}

// SetDraining reports to the core, with a renewal that is sent immediately, whether
// the process is draining.
func (l *Link) SetDraining(draining bool) {
	select {
	case l.commands <- func(ctx context.Context, o *ownerLoop) { o.setDraining(ctx, draining) }:
	case <-l.done:
	}
}

// SetOwning reports to the core, with the next regular renewal, that the process
// has owned a session. Call it once it first does.
func (l *Link) SetOwning() {
	select {
	case l.commands <- func(_ context.Context, o *ownerLoop) { o.clearOwnedNothing() }:
	case <-l.done:
	}
}

// runNotifier calls the subscribers with each new view, and then has the owner record it as applied.
func (l *Link) runNotifier(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case view := <-l.newViews:
			for _, subscriber := range l.subscribers {
				subscriber(view)
			}
			select {
			case l.commands <- func(_ context.Context, o *ownerLoop) { o.viewApplied(view) }:
			case <-ctx.Done():
				return
			}
		}
	}
}
