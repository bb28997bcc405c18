// Package core is the control plane: it keeps the control state on the
// replicated log, grants leases to nodes, delivers configuration and views to
// them, places shards on stores and serves operators over HTTP.
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

// Options of a Service. Zero numbers take the defaults.
type Options struct {
	Consensus Consensus
	Machine   *Machine
	Clock     replica.Clock
	// Caller reaches the other core members; without it a member that does not lead takes no heartbeats.
	Caller wire.Caller
	// Lease is the length of a node's lease.
	Lease        time.Duration
	ShardCount   uint32
	ReplicaCount uint32
	// Coalesce is the shortest time between two answers with an update to the same node; negative turns it off.
	CoalesceInterval time.Duration
	// FirstKeys are the sign-off keys of the settings.
	FirstKeys []*protocol.SignOffKey
	// Tokens are the credentials of operators.
	Tokens *operators.Tokens
	// TrustOperators takes orders without a token and lets the core sign off what is released.
	TrustOperators bool
	// BackEndLease is how long a back end stays in the view without a heartbeat.
	BackEndLease time.Duration
	// Logger and Registerer may be nil.
	Logger     *log.Logger
	Registerer prometheus.Registerer
}

// Service is the control plane of one core process. It answers requests of
// nodes as a wire.Handler and of operators as an http.Handler.
type Service struct {
	consensus Consensus
	machine   *Machine
	clock     replica.Clock
	caller    wire.Caller
	lease     time.Duration
	proposer  *controllog.Proposer
	owner     *owner
	poller    *delivery.Poller
	operators *operators.Handler
	// trustOperators lets ReleaseBundle sign off what it puts in force.
	trustOperators bool
	replicaCount   uint32
	metrics        *metrics
	logger         *log.Logger
}

// New makes a service; Start sets it to work.
func New(options Options) *Service {
	if options.Lease == 0 {
		options.Lease = DefaultLease
	}
	if options.ShardCount == 0 {
		options.ShardCount = DefaultShardCount
	}
	if options.ReplicaCount == 0 {
		options.ReplicaCount = DefaultReplicaCount
	}
	if options.CoalesceInterval == 0 {
		options.CoalesceInterval = DefaultCoalesceInterval
	}
	if options.BackEndLease == 0 {
		options.BackEndLease = DefaultBackEndLease
	}
	if options.Tokens == nil {
		options.Tokens = &operators.Tokens{}
	}
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
	service.owner = &owner{
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
		suspectsChanged: make(chan struct{}),
		reconciler: reconcile.New(reconcile.Settings{
			FirstKeys: options.FirstKeys, ShardCount: options.ShardCount, ReplicaCount: options.ReplicaCount,
		}),
	}
	return service
}

// Start sets the owner of the leader's tables to work.
func (s *Service) Start() { s.owner.start() }

// Stop ends the owner and whatever waits on it.
func (s *Service) Stop() { s.owner.close() }

// requireLeader fails unless this process leads at this moment.
func (s *Service) requireLeader() error {
	if !s.owner.isLeader() {
		return controllog.NotLeader()
	}
	return nil
}
