package replication

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
	"github.com/rosestand/rosestand/internal/state/store/owner"
	"github.com/rosestand/rosestand/internal/state/store/placement"
)

// digestBuckets divides a shard so that only what differs is fetched.
const digestBuckets = 1024

// notRejected is the absence of a rejection.
const notRejected = protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED

// Peers sends requests to other stores and waits for their answers.
type Peers interface {
	Call(ctx context.Context, store string, request *protocol.Request) (*protocol.Response, error)
}

// Core takes the report of a shard that caught up.
type Core interface {
	CallCore(ctx context.Context, request *protocol.Request) (*protocol.Response, error)
}

// Placement returns the placement in force.
type Placement interface {
	Current() *placement.Topology
}

// Observer counts what replication does.
type Observer interface {
	// ShardCopied is called for each shard that caught up.
	ShardCopied()
	// BytesCopied is called for each page of a shard that catches up.
	BytesCopied(size uint64)
	// Repaired is called with what a scrub took over.
	Repaired(registers, turns int)
	// ScrubFinished is called when all shards were compared.
	ScrubFinished()
}

// Options configure a Service. All are required.
type Options struct {
	// Store and StorageID name this store among the replicas.
	Store     string
	StorageID string
	Groups    owner.Groups
	Peers     Peers
	Core      Core
	Placement Placement
	Lifecycle *lifecycle.Lifecycle
	Observer  Observer
	Logger    *log.Logger
	// PeerTimeout bounds one request to another store.
	PeerTimeout time.Duration
	// ScrubInterval is the time between two scrubs.
	ScrubInterval time.Duration
	// BytesPerSecond bounds all catch-ups together, and the scrub separately.
	BytesPerSecond uint64
}

// Service brings the replicas of one store up to date. Its methods may be called by any goroutine.
type Service struct {
	options Options
	// notified wakes the catch-up before its interval is over.
	notified    chan struct{}
	copyLimiter rateLimiter
}

// New returns a service; RunCatchUp and RunScrub do its work.
func New(options Options) *Service {
	return &Service{options: options, notified: make(chan struct{}, 1)}
}

// Notify makes the catch-up look at the placement now; it does not wait.
func (s *Service) Notify() {
	select {
	case s.notified <- struct{}{}:
	default:
	}
}

// timeout returns a context for one request to another store.
func (s *Service) timeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.options.Lifecycle.Context(), s.options.PeerTimeout)
}
