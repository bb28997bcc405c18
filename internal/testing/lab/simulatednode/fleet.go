package simulatednode

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shirou/gopsutil/v4/mem"
	"golang.org/x/sync/errgroup"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/subprocess"
)

// Options describe a fleet of simulated nodes of simulated nodes and back ends.
type Options struct {
	Nodes   int
	Servers int
	Zones   int
	Region  string
	// Versions is the largest bundle version whose arrival is recorded.
	Versions   int
	ClusterKey []byte
	Seeds      []string
	Seed       uint64
	// Wave is how many nodes join at once; the next wave begins when the last one is ready.
	Wave int
}

const (
	heartbeatInterval       = time.Second
	readyInterval           = 20 * time.Millisecond
	concurrentOwnersPerNode = 4
	// nodesOwningAtOnce bounds the storm of first connections, which real nodes spread over their machines.
	maxConcurrentOwners = 64
	minOwnRetryInterval = 100 * time.Millisecond
)

// Fleet is many simulated front nodes and back ends in this process.
type Fleet struct {
	options    Options
	nodes      []*node
	cancel     context.CancelFunc
	heartbeats sync.WaitGroup
	sent       atomic.Uint64
}

// Start starts the nodes and the back ends and waits until every node is ready.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	h := &Fleet{options: options}
	network := newMemoryNetwork()
	for i := range options.Nodes {
		h.nodes = append(h.nodes, newNode(options, network, fmt.Sprintf("hollow-%03d", i+1),
			fmt.Sprintf("zone-%d", i%options.Zones+1)))
	}
	for first := 0; first < len(h.nodes); first += options.Wave {
		wave := h.nodes[first:min(first+options.Wave, len(h.nodes))]
		for _, n := range wave {
			if err := n.start(ctx); err != nil {
				return h, err
			}
		}
		if err := h.awaitReady(ctx, first+len(wave)); err != nil {
			return h, err
		}
	}
	heartbeatContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	h.cancel = cancel
	for i := range options.Servers {
		h.heartbeats.Go(func() { h.sendHeartbeats(heartbeatContext, i) })
	}
	return h, h.awaitReady(ctx, len(h.nodes))
}

// NotReadyError counts the nodes that did not become ready.
type NotReadyError struct{ Ready, Nodes int }

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("%d of %d simulated nodes are ready", e.Ready, e.Nodes)
}

// MemoryError is returned when the simulated nodes exceed their share of the machine's memory.
type MemoryError struct{ ResidentBytes, LimitBytes uint64 }

// Error implements error.
func (e *MemoryError) Error() string {
	return fmt.Sprintf("this process holds %d MB of memory, its limit is %d MB", e.ResidentBytes>>20, e.LimitBytes>>20)
}

// checkMemory limits this process to a third of the machine's memory, so that
// with the core and the stores the run stays under half of it.
func checkMemory() error {
	const share = 3
	machine, err := mem.VirtualMemory()
	if err != nil {
		return errors.Wrap(err, "read the machine's memory")
	}
	usage, err := subprocess.UsageOf(os.Getpid())
	if err != nil {
		return err
	}
	if limit := machine.Total / share; usage.ResidentBytes > limit {
		return &MemoryError{ResidentBytes: usage.ResidentBytes, LimitBytes: limit}
	}
	return nil
}

// awaitReady waits until the first count nodes are ready at the same time.
func (h *Fleet) awaitReady(ctx context.Context, count int) error {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		ready := 0
		for _, n := range h.nodes[:count] {
			if n.link.Ready() {
				ready++
			}
		}
		if ready == count {
			return nil
		}
		if err := checkMemory(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return &NotReadyError{Ready: ready, Nodes: len(h.nodes)}
		case <-ticker.C:
		}
	}
}

// sendHeartbeats sends the heartbeats of one back end, each to a random front node.
func (h *Fleet) sendHeartbeats(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(h.options.Seed, uint64(number)))
	described := &protocol.BackEnd{
		Id: fmt.Sprintf("hollow-server-%03d", number+1), Kind: protocol.BackEndKind_MODEL_SERVER,
		State:   protocol.BackEndState_READY,
		Address: fmt.Sprintf("127.0.0.1:%d", number+1), Zone: fmt.Sprintf("zone-%d", number%h.options.Zones+1),
		Region: h.options.Region, Group: "models", Models: []string{"climate-advisor", "booking-assistant"},
		Incarnation: uint64(time.Now().UnixMilli()), Capacity: 16,
	}
	timer := time.NewTimer(time.Duration(random.Int64N(int64(heartbeatInterval))))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		select {
		case h.nodes[random.IntN(len(h.nodes))].heartbeats <- described:
			h.sent.Add(1)
		default:
		}
		timer.Reset(heartbeatInterval)
	}
}

// OwnSessions gives each node its share of sessions, one program each, and returns how
// many there are and how often an attempt was rejected and repeated.
func (h *Fleet) OwnSessions(ctx context.Context, sessions int) (owned, rejected int, err error) {
	var owning errgroup.Group
	owning.SetLimit(maxConcurrentOwners)
	var count, rejectionCount atomic.Int64
	for i, n := range h.nodes {
		for worker := range concurrentOwnersPerNode {
			owning.Go(func() error {
				owners := len(h.nodes) * concurrentOwnersPerNode
				for number := i*concurrentOwnersPerNode + worker; number < sessions; number += owners {
					id := fmt.Sprintf("hollow-session-%06d", number)
					rejections, err := n.ownSession(ctx, id, "program-"+id)
					rejectionCount.Add(int64(rejections))
					if err != nil {
						return errors.Wrapf(err, "%s", n.name)
					}
					count.Add(1)
				}
				return nil
			})
		}
	}
	err = owning.Wait()
	return int(count.Load()), int(rejectionCount.Load()), err
}

// Arrivals are the times from a moment until each node had a bundle in force,
// sorted; nodes that do not have it are left out.
func (h *Fleet) Arrivals(version int, since time.Time) []time.Duration {
	var arrivals []time.Duration
	for _, n := range h.nodes {
		if at := n.inForce[version].Load(); at > 0 {
			arrivals = append(arrivals, time.UnixMicro(at).Sub(since))
		}
	}
	slices.Sort(arrivals)
	return arrivals
}

// Footprint is what the fleet of simulated nodes has used up to a moment.
type Footprint struct {
	At            time.Time
	CoreBytes     uint64
	PeerBytes     uint64
	Heartbeats    uint64
	Processor     time.Duration
	ResidentBytes uint64
	Goroutines    int
}

// Footprint reads what the fleet of simulated nodes has used until now, after giving memory that is no longer used
// back.
func (h *Fleet) Footprint() (Footprint, error) {
	debug.FreeOSMemory()
	usage, err := subprocess.UsageOf(os.Getpid())
	f := Footprint{
		At: time.Now(), Processor: usage.Processor, ResidentBytes: usage.ResidentBytes,
		Heartbeats: h.sent.Load(), Goroutines: runtime.NumGoroutine(),
	}
	for _, n := range h.nodes {
		f.CoreBytes += n.coreBytes()
		f.PeerBytes += n.peerBytes()
	}
	return f, err
}

// Stop ends the back ends and the nodes.
func (h *Fleet) Stop(ctx context.Context) error {
	if h.cancel != nil {
		h.cancel()
		h.heartbeats.Wait()
	}
	var stopping errgroup.Group
	for _, n := range h.nodes {
		if n.cancel != nil {
			stopping.Go(func() error { return n.stop(ctx) })
		}
	}
	return stopping.Wait()
}
