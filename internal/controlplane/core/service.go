// Package core implements the control plane of one core process: it keeps the
// control state on the replicated log, grants leases to nodes and back ends,
// delivers configuration and views, places shards on stores and serves operators
// over HTTP.
//
// One goroutine, the owner, holds the leader's in-memory state (owner_loop.go).
// The tables in it are packages of their own: leases, heartbeats, rollout and
// reconcile. Package controllog proposes commands to the log, Machine applies
// them and publishes views, package delivery sends the views to nodes, and
// package operators serves the HTTP interface. Everything but the owner's tables
// is safe for concurrent use.
package core

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/controlplane/core/delivery"
	"github.com/rosestand/rosestand/internal/controlplane/core/heartbeats"
	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/controlplane/core/operators"
	"github.com/rosestand/rosestand/internal/controlplane/core/reconcile"
	"github.com/rosestand/rosestand/internal/controlplane/core/rollout"
	"github.com/rosestand/rosestand/internal/controlplane/replica"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// Defaults of the options.
const (
	DefaultLease            = 5 * time.Second
	DefaultShardCount       = 64
	DefaultReplicaCount     = 3
	DefaultCoalesceInterval = 100 * time.Millisecond
	DefaultBackEndLease     = 5 * time.Second
)

// Options configures a Service. A number that is zero is replaced by its default.
type Options struct {
	Consensus Consensus
	Machine   *Machine
	Clock     replica.Clock
	// Caller sends requests to the other core members. If it is nil, a follower accepts no heartbeats.
	Caller wire.Caller
	// Lease is the duration of a node's lease.
	Lease        time.Duration
	ShardCount   uint32
	ReplicaCount uint32
	// CoalesceInterval is the shortest time between two responses with an update to the same node; a negative value
	// disables coalescing.
	CoalesceInterval time.Duration
	// FirstKeys are the sign-off keys from the settings.
	FirstKeys []*protocol.SignOffKey
	// Tokens are the credentials of operators.
	Tokens *operators.Tokens
	// TrustOperators accepts orders without a token and lets the core sign off the bundles that are released.
	TrustOperators bool
	// BackEndLease is how long a back end stays in the view after its last heartbeat.
	BackEndLease time.Duration
	// Logger and Registerer may be nil.
	Logger     *log.Logger
	Registerer prometheus.Registerer
}

// Service is the control plane of one core process. It serves nodes as a
// wire.Handler and operators as an http.Handler.
type Service struct {
	consensus Consensus
	machine   *Machine
	clock     replica.Clock
	caller    wire.Caller
	lease     time.Duration
	proposer  *controllog.Proposer
	owner     *ownerLoop
	poller    *delivery.Poller
	operators *operators.Handler
	// trustOperators lets ReleaseBundle sign off the bundle that it activates.
	trustOperators bool
	replicaCount   uint32
	metrics        *metrics
	logger         *log.Logger
}

// withDefaults returns the options with defaults for the fields that are not set.
func (o Options) withDefaults() Options {
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	if o.ShardCount == 0 {
		o.ShardCount = DefaultShardCount
	}
	if o.ReplicaCount == 0 {
		o.ReplicaCount = DefaultReplicaCount
	}
	if o.CoalesceInterval == 0 {
		o.CoalesceInterval = DefaultCoalesceInterval
	}
	if o.BackEndLease == 0 {
		o.BackEndLease = DefaultBackEndLease
	}
	if o.Tokens == nil {
		o.Tokens = &operators.Tokens{}
	}
	return o
}

// New returns a service that does nothing until Start.
func New(options Options) *Service {
	options = options.withDefaults()
	service := &Service{
		consensus: options.Consensus,
		machine:   options.Machine,
		clock:     options.Clock,
		caller:    options.Caller,
		lease:     options.Lease,
		proposer:  controllog.NewProposer(options.Consensus, options.Clock),

		trustOperators: options.TrustOperators,
		replicaCount:   options.ReplicaCount,

		metrics: newMetrics(options.Registerer),
		logger:  orDiscard(options.Logger),
	}
	service.poller = delivery.NewPoller(delivery.Options{
		ControlPlane:     pollAccess{service},
		Publisher:        options.Machine.publisher,
		Clock:            options.Clock,
		CoalesceInterval: options.CoalesceInterval,
		Registerer:       options.Registerer,
	})
	service.operators = operators.New(operators.Options{
		ControlPlane:   operatorAccess{service},
		Consensus:      options.Consensus,
		Proposer:       service.proposer,
		Tokens:         options.Tokens,
		TrustOperators: options.TrustOperators,
		Logger:         service.logger,
		Registerer:     options.Registerer,
	})
	service.owner = newOwner(options, service)
	return service
}

func newOwner(options Options, service *Service) *ownerLoop {
	return &ownerLoop{
		clock:           options.Clock,
		consensus:       options.Consensus,
		caller:          options.Caller,
		machine:         options.Machine,
		proposer:        service.proposer,
		logger:          service.logger,
		metrics:         service.metrics,
		queue:           make(chan func(time.Time), commandQueueLength),
		nodes:           leases.NewTable(options.Lease + leaseMargin),
		backEnds:        leases.NewTable(options.BackEndLease),
		sequences:       heartbeats.NewSequenceTable(),
		relay:           heartbeats.NewRelay(options.BackEndLease),
		relayingMembers: heartbeats.NewRelayingMembers(),
		variants:        rollout.NewVariantTable(),
		ejectedChanged:  make(chan struct{}),
		reconciler: reconcile.New(reconcile.Settings{
			FirstKeys: options.FirstKeys, ShardCount: options.ShardCount, ReplicaCount: options.ReplicaCount,
		}),
	}
}

// Start starts the owner goroutine.
func (s *Service) Start() { s.owner.start() }

// Stop stops the owner goroutine and fails the calls that wait for it.
func (s *Service) Stop() { s.owner.close() }
