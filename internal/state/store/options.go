package store

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// Core is what a store needs of its link to the core.
type Core interface {
	View() *corelink.View
	Ready() bool
	CallCore(ctx context.Context, request *protocol.Request) (*protocol.Response, error)
	LocateCore() *protocol.LocateCoreResponse
}

// Clock gives the time and timers.
type Clock interface {
	Now() time.Time
	// AfterFunc calls run on a goroutine of its own once the time has passed, unless stop was called before.
	AfterFunc(wait time.Duration, run func()) (stop func())
}

// Defaults of Options.
const (
	DefaultGroups        = 8
	DefaultSegmentBytes  = 16 << 20
	DefaultCopyBytes     = 64 << 20
	DefaultScrubInterval = 10 * time.Minute
	DefaultPeerTimeout   = time.Second
	DefaultOperationTime = 10 * time.Second
	maintenanceInterval  = time.Second
	firstRetryWait       = 2 * time.Millisecond
	longestRetryWait     = 250 * time.Millisecond
	largestBatch         = 128
	// A snapshot of the registers is due when their log has so many segments
	// and is so many times larger than what it holds.
	snapshotSegments = 2
	snapshotGrowth   = 4
	// snapshotRetry is the pause before a snapshot is tried again that had no room.
	snapshotRetry   = 30 * time.Second
	collectInterval = 5 * time.Second
	// collectAllInterval bounds how long expired turns stay in the index when no segment can be removed.
	collectAllInterval = time.Minute
	forgetInterval     = 30 * time.Second
	// maximumPendingBytes is out of reach: what waits for a sync is bounded by the requests under way.
	maximumPendingBytes = 1 << 40
)

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
	Logger      *log.Logger
	Registerer  prometheus.Registerer
	// Fatal is told of an error that the store cannot outlive, such as a failed sync.
	Fatal func(error)
	// metrics, when set, are counted on in place of new ones.
	metrics *metrics
	// Seed makes backoff repeatable in tests.
	Seed uint64
}

func (o *Options) fill() {
	if o.Clock == nil {
		o.Clock = systemClock{}
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
	return DefaultCopyBytes
}

func (o *Options) scrubInterval() time.Duration {
	if seconds := o.Settings.GetScrubIntervalSeconds(); seconds > 0 {
		return time.Duration(seconds) * time.Second
	}
	return DefaultScrubInterval
}

type systemClock struct{}

// Now implements Clock.
func (systemClock) Now() time.Time { return time.Now() }

// AfterFunc implements Clock.
func (systemClock) AfterFunc(wait time.Duration, run func()) func() {
	timer := time.AfterFunc(wait, run)
	return func() { timer.Stop() }
}
