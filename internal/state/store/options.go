package store

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
	"github.com/rosestand/rosestand/internal/transport/memorybudget"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// Core is the part of the link to the core that a store uses.
type Core interface {
	View() *corelink.View
	Ready() bool
	CallCore(ctx context.Context, request *protocol.Request) (*protocol.Response, error)
	LocateCore() *protocol.LocateCoreResponse
}

// Clock is the store's clock; the default is the system clock.
type Clock = lifecycle.Clock

// Defaults of Options.
const (
	DefaultGroups = 8
	// DefaultSegmentBytes is the size of a segment of the log of turns.
	DefaultSegmentBytes       = 16 << 20
	DefaultCopyBytesPerSecond = 64 << 20
	DefaultScrubInterval      = 10 * time.Minute
	DefaultPeerTimeout        = time.Second
	// DefaultOperationTimeout bounds an operation whose caller set no deadline.
	DefaultOperationTimeout = 10 * time.Second
)

// unboundedPendingBytes disables the byte limit of a group committer, since the requests in flight already bound what
// waits for a sync.
const unboundedPendingBytes = 1 << 40

// Options configure a Store. Self, Caller and Core are required.
type Options struct {
	// Self names this store; New sets its storage id to that of the folder.
	Self     *protocol.Node
	Caller   wire.Caller
	Core     Core
	Clock    Clock
	Settings *protocol.StoreSettings
	// Groups is the number of owner goroutines.
	Groups int
	// PeerTimeout bounds one request to another store.
	PeerTimeout time.Duration
	// Memory accounts for the turns in answers; nil sets no limit.
	Memory     *memorybudget.Budget
	Logger     *log.Logger
	Registerer prometheus.Registerer
	// Fatal is called with an error that the store cannot survive, such as a failed sync.
	Fatal func(error)
	// metrics are used in place of new ones when set: the stores of a Supervisor share them.
	metrics *metrics
	// Seed makes backoff reproducible in tests.
	Seed uint64
}

func (o *Options) applyDefaults() {
	if o.Clock == nil {
		o.Clock = lifecycle.SystemClock{}
	}
	if o.Settings == nil {
		o.Settings = &protocol.StoreSettings{}
	}
	if o.Groups <= 0 {
		o.Groups = DefaultGroups
	}
	if o.PeerTimeout <= 0 {
		o.PeerTimeout = DefaultPeerTimeout
	}
	if o.Logger == nil {
		o.Logger = log.Default()
	}
	if o.Registerer == nil {
		o.Registerer = prometheus.NewRegistry()
	}
	if o.metrics == nil {
		o.metrics = newMetrics(o.Registerer)
	}
	if o.Fatal == nil {
		logger := o.Logger
		o.Fatal = func(err error) { logger.Error("store failed", "error", err) }
	}
}

func (o *Options) segmentBytes() int64 {
	if bytes := o.Settings.GetSegmentBytes(); bytes > 0 {
		return int64(bytes)
	}
	return DefaultSegmentBytes
}

func (o *Options) registerSegmentBytes() int64 {
	return datafolder.RegisterSegmentBytes(o.segmentBytes())
}

func (o *Options) copyBytesPerSecond() uint64 {
	if bytes := o.Settings.GetCopyBytesPerSecond(); bytes > 0 {
		return bytes
	}
	return DefaultCopyBytesPerSecond
}

func (o *Options) scrubInterval() time.Duration {
	if seconds := o.Settings.GetScrubIntervalSeconds(); seconds > 0 {
		return time.Duration(seconds) * time.Second
	}
	return DefaultScrubInterval
}
