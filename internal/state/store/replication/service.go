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

// digestBuckets is the number of buckets of a shard's digest; only buckets that differ are fetched.
const digestBuckets = 1024

// notRejected is the rejection of a response that accepts the request.
const notRejected = protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED

// Peers sends requests to other stores and waits for their responses.
type Peers interface {
	Call(ctx context.Context, store string, request *protocol.Request) (*protocol.Response, error)
}

// Core receives the report of a shard that caught up.
type Core interface {
	CallCore(ctx context.Context, request *protocol.Request) (*protocol.Response, error)
}

// Placement returns the current placement.
type Placement interface {
	Current() *placement.Topology
}

// Observer counts the events of replication.
type Observer interface {
	// ShardCopied is called for each shard that caught up.
	ShardCopied()
	// BytesCopied is called with the size of each page of a shard that catches up.
	BytesCopied(size uint64)
	// Repaired is called with the numbers of entries that a scrub copied.
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
	// notified ends the wait of the catch-up before its interval has passed.
	notified    chan struct{}
	copyLimiter rateLimiter
}

// New returns a service, which the caller runs by RunCatchUp and RunScrub.
func New(options Options) *Service {
	return &Service{options: options, notified: make(chan struct{}, 1)}
}

// Notify makes the catch-up read the placement at once. It does not block.
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
