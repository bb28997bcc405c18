package front

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/dataplane/dialect"
	"github.com/rosestand/rosestand/internal/dataplane/front/admission"
	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/dataplane/front/explain"
	"github.com/rosestand/rosestand/internal/dataplane/front/heartbeat"
	"github.com/rosestand/rosestand/internal/dataplane/front/issue"
	"github.com/rosestand/rosestand/internal/dataplane/front/ledgerops"
	"github.com/rosestand/rosestand/internal/dataplane/front/outcomes"
	"github.com/rosestand/rosestand/internal/dataplane/front/rollout"
	"github.com/rosestand/rosestand/internal/dataplane/front/sessions"
	"github.com/rosestand/rosestand/internal/dataplane/front/versionpin"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/memorybudget"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

const (
	defaultDeadline = 2 * time.Minute
	maxDeadline     = 10 * time.Minute
	noBackEndRetry  = time.Second
	drainPoll       = 50 * time.Millisecond
)

// Options configure a Service. Self, Link, Ledger, Ownership and Caller are required.
type Options struct {
	Self      *protocol.Node
	Link      Link
	Ledger    Ledger
	Ownership Ownership
	Caller    wire.Caller
	Clock     Clock
	// Dialect names the headers of HTTP routes; the zero value means dialect.Default.
	Dialect dialect.Dialect
	// StallTimeout is how long a model server may be silent; zero means DefaultStallTimeout.
	StallTimeout time.Duration
	// Memory accounts for the conversations of turns that are run; nil sets no limit.
	Memory *memorybudget.Budget
	// DialBackEnd opens a connection to a back end; nil stands for TCP.
	DialBackEnd func(ctx context.Context, address string) (net.Conn, error)
	Logger      *log.Logger
	Registerer  prometheus.Registerer
}

// Service is the data plane of one process. Its fields are set by New; what changes later is atomic or guards
// itself, so that any goroutine may use it.
type Service struct {
	name      string
	zone      string
	region    string
	link      Link
	ledger    Ledger
	ownership Ownership
	caller    wire.Caller
	clock     Clock
	logger    *log.Logger
	metrics   *metrics

	rollout    *rollout.Tracker
	backEnds   atomic.Pointer[backends.Set]
	fleetShare atomic.Pointer[float64]
	sequence   atomic.Uint64
	// startedAt is when this front node was made.
	startedAt time.Time
	// hasBundle is closed by startOnce when the first bundle is in force.
	hasBundle chan struct{}
	startOnce sync.Once
	// startWaiters is how many requests wait for the first bundle.
	startWaiters atomic.Int32
	// inProgress counts the turns and calls run as owner.
	inProgress atomic.Int64
	// peerRequests counts the turns and calls that are being answered to peers.
	peerRequests atomic.Int64
	// refusing is set once a draining node takes no more requests of callers.
	refusing atomic.Bool
	// routeRequests counts the requests of callers of HTTP routes.
	routeRequests openRequests

	backEndClient    *issue.Client
	routeClient      *issue.RouteClient
	models           *backends.Models
	versionPins      *versionpin.Resolver
	ledgerOperations *ledgerops.Client
	admission        *admission.Controller
	sessions         *sessions.Cache
	explanations     *explain.Recorder
	heartbeats       *heartbeat.Relay
	outcomes         *outcomes.Sharer
	memory           *memorybudget.Budget

	// stopped is closed when the process abandons what is still in progress.
	stopped  chan struct{}
	stopOnce sync.Once
	cancel   context.CancelFunc
	workers  sync.WaitGroup
	runs     sync.WaitGroup
}

// withDefaults fills in the options that are not required.
func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = systemClock{}
	}
	if o.Dialect.RequestID == "" {
		o.Dialect = dialect.Default()
	}
	if o.Logger == nil {
		o.Logger = log.Default()
	}
	if o.Registerer == nil {
		o.Registerer = prometheus.NewRegistry()
	}
	return o
}

// New makes a service. It subscribes to the link's views; Start begins its background work.
func New(options Options) *Service {
	options = options.withDefaults()
	models := backends.NewModels()
	s := &Service{
		name: options.Self.GetName(), zone: options.Self.GetZone(), region: options.Self.GetRegion(),
		link: options.Link, ledger: options.Ledger, ownership: options.Ownership, caller: options.Caller,
		clock: options.Clock, logger: options.Logger, metrics: newMetrics(options.Registerer),
		backEndClient: issue.NewClient(options.Clock, options.StallTimeout, options.DialBackEnd),
		routeClient:   issue.NewRouteClient(options.Dialect, options.Clock, models, options.DialBackEnd),
		models:        models,
		sessions:      sessions.NewCache(options.Clock, historyCacheBytes(options.Memory)),
		explanations:  explain.NewRecorder(options.Clock, options.Self.GetName()),
		stopped:       make(chan struct{}),
		startedAt:     options.Clock.Now(),
		memory:        options.Memory,
		hasBundle:     make(chan struct{}),
	}
	s.wireParts()
	s.viewChanged(s.link.View())
	s.link.Subscribe(s.viewChanged)
	s.ownership.OnYield(s.sessions.Yield)
	return s
}

// wireParts makes the parts that need others of the service.
func (s *Service) wireParts() {
	s.admission = admission.NewController(s.clock, s.stepSlots)
	s.rollout = rollout.NewTracker(s.name, s.link, s.clock)
	s.ledgerOperations = ledgerops.NewClient(s.name, s.ledger, func() *protocol.MembershipView {
		return s.link.View().Membership
	})
	s.versionPins = versionpin.NewResolver(versionpin.Options{
		Node: s.name, Now: s.clock.Now, Ledger: s.ledgerOperations, Servers: s.backEnds.Load, Pinned: s.metrics.stepPins,
	})
	s.outcomes = outcomes.NewSharer(outcomes.Options{
		Node: s.name, Zone: s.zone, Core: s.link, Clock: s.clock, Servers: s.backEnds.Load,
		Suspected: s.metrics.sharedSuspects,
	})
	s.heartbeats = heartbeat.NewRelay(s.link, s.clock, s.metrics.heartbeats)
}

// viewChanged puts a view in force before it returns. The link calls it for one view at a time.
func (s *Service) viewChanged(view *corelink.View) {
	if current := s.rollout.Policies(); current == nil || current.Version != view.Configuration.GetVersion() {
		s.rollout.Apply(view.Configuration)
		next := s.rollout.Policies()
		if next.Active.Bundle() != nil {
			s.markStarted()
		}
		s.admission.Configure(next.Active.Bundle().GetLimits())
	}
	former := s.backEnds.Load()
	if former == nil {
		former = &backends.Set{}
	}
	if s.backEnds.Load() == nil || former.Version != view.BackEnds.GetVersion() {
		next := former.Next(view.BackEnds)
		s.backEnds.Store(next)
		s.routeClient.ForgetRemoved(former, next)
	}
	fronts := max(countFrontNodes(view.Membership), 1)
	share := 1 / float64(fronts)
	s.fleetShare.Store(&share)
	s.models.Update(s.backEnds.Load(), fronts, s.cacheTokensOf)
	s.updateConcurrencyLimits()
}

// cacheTokensOf is the size of the KV cache of a group's servers; zero for servers without one.
func (s *Service) cacheTokensOf(group string) uint64 {
	return s.rollout.Policies().Active.Group(group).GetEngine().GetCacheTokens()
}

// frontNodes is the number of front nodes of the fleet.
func (s *Service) frontNodes() int { return int(math.Round(1 / *s.fleetShare.Load())) }

func millis(count uint32) time.Duration { return time.Duration(count) * time.Millisecond }

func countFrontNodes(view *protocol.MembershipView) int {
	count := 0
	for _, node := range view.GetNodes() {
		if node.GetKind() == protocol.NodeKind_FRONT {
			count++
		}
	}
	return count
}

// Start begins the background work.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.workers.Go(func() { s.rollout.Report(ctx) })
	s.workers.Go(func() { s.heartbeats.Run(ctx) })
	s.workers.Go(func() { s.watchLoad(ctx) })
	s.workers.Go(func() { s.outcomes.Report(ctx) })
	s.workers.Go(func() { s.outcomes.Watch(ctx) })
	return nil
}

// Drain stops new ownership at once, hands the directory over and waits until
// nothing is in progress and peers have been answered, or the context ends.
func (s *Service) Drain(ctx context.Context) error {
	s.link.SetDraining(true)
	s.logDrain("drain started")
	drained := s.ownership.Drain(ctx)
	for s.inProgress.Load() > 0 || s.peerRequests.Load() > 0 {
		select {
		case <-s.clock.After(drainPoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return drained
}

// logDrain logs an event of a drain with what is in progress.
func (s *Service) logDrain(event string) {
	s.logger.Info(event, "in_progress", s.inProgress.Load(), "reading", s.routeRequests.count(stageReading),
		"unanswered", s.routeRequests.count(stageUnanswered), "answering", s.routeRequests.count(stageAnswering))
}

// Stop abandons what is still in progress and ends all goroutines.
func (s *Service) Stop(context.Context) error {
	s.stopOnce.Do(func() { close(s.stopped) })
	if s.cancel != nil {
		s.cancel()
	}
	s.workers.Wait()
	s.runs.Wait()
	s.admission.Stop()
	s.sessions.Stop()
	s.explanations.Stop()
	s.backEndClient.Close()
	s.routeClient.Close()
	return nil
}

// notReady is why the front node should get no connections; empty when it should.
func (s *Service) notReady() string {
	switch {
	case !s.link.Ready():
		return "no lease or no fresh view yet"
	case s.rollout.Policies().Active.Bundle() == nil:
		return "no bundle is in force"
	case s.ledger.Isolated():
		return "cut off from the ledger and from the front nodes that reach it"
	default:
		return ""
	}
}
