package ownership

import (
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// Defaults of Options.
const (
	DefaultResolveTimeout = 2 * time.Second
	DefaultHandOffTimeout = time.Second
	// taskQueueLength is the capacity of the owner goroutine's task queue. Posting blocks while the queue is full.
	taskQueueLength = 1024
	// minTickInterval and maxTickInterval bound the time between two ticks of the directory. The minimum limits the work
	// of a busy node, the maximum the age of its published metrics.
	minTickInterval = 5 * time.Millisecond
	maxTickInterval = 250 * time.Millisecond
	// busyRetryAfter is the retry delay returned to callers when this node cannot act as owner at the moment.
	busyRetryAfter = time.Second
)

// Link is the part of the connection to the core that a Manager uses. Its methods must be safe for concurrent use.
type Link interface {
	View() *corelink.View
	Subscribe(func(*corelink.View))
	Authority() *corelink.Authority
	SetDraining(bool)
	SetOwning()
}

// Options configure a Manager. Link and Caller are required.
type Options struct {
	Link   Link
	Caller wire.Caller
	// VirtualNodes is the number of virtual nodes of each member on the ring; it must be the same on every front node.
	VirtualNodes int
	// ResolveTimeout bounds how long Resolve waits for an owner.
	ResolveTimeout time.Duration
	// FailureDetectionTimeout is how long a front node may leave calls unanswered before it is suspected.
	FailureDetectionTimeout time.Duration
	// HandOffTimeout bounds the time that a drain, once its sessions are yielded, waits for the partition to be handed
	// off, for example while no view arrives that shows the drain.
	HandOffTimeout time.Duration
	// Random jitters delays; nil means a generator with a random seed.
	Random *rand.Rand

	Logger     *log.Logger
	Registerer prometheus.Registerer
}

func withDefaults(options Options) Options {
	if options.VirtualNodes == 0 {
		options.VirtualNodes = ring.DefaultVirtualNodes
	}
	if options.ResolveTimeout == 0 {
		options.ResolveTimeout = DefaultResolveTimeout
	}
	if options.HandOffTimeout == 0 {
		options.HandOffTimeout = DefaultHandOffTimeout
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Logger == nil {
		options.Logger = log.Default()
	}
	if options.Registerer == nil {
		options.Registerer = prometheus.NewRegistry()
	}
	return options
}
