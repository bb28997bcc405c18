// Package simulatednode runs many front nodes without traffic in one process: each
// has its lease, its long-poll, its part in the session directory and its
// share of back ends' heartbeats, and nothing else.
package simulatednode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/dataplane/ownership"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

const (
	heartbeatWindow  = 50 * time.Millisecond
	heartbeatBatch   = 512
	heartbeatQueue   = 1024
	heartbeatTimeout = 2 * time.Second
	resolveTimeout   = 20 * time.Second
	// peerIdleTimeout is shorter than that of a real node: while many nodes join,
	// each speaks with each, and both ends of all connections are in this process.
	peerIdleTimeout = 3 * time.Second
)

// node is one simulated front node.
type node struct {
	name       string
	link       *corelink.Link
	manager    *ownership.Manager
	server     *wire.Server
	corePool   *wire.Pool
	peerPool   *wire.Pool
	heartbeats chan *protocol.BackEnd
	// inForce holds, by bundle version, when the node had it in force, in Unix microseconds.
	inForce []atomic.Int64
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newNode(options Options, network *memoryNetwork, name, zone string) *node {
	listener := network.listen()
	address := listener.Addr().String()
	n := &node{
		name:     name,
		corePool: wire.NewPool(wire.PoolOptions{Key: options.ClusterKey, Node: name}),
		peerPool: wire.NewPool(wire.PoolOptions{
			Key: options.ClusterKey, Node: name, Dial: network.dial,
			IdleTimeout: peerIdleTimeout,
		}),
		heartbeats: make(chan *protocol.BackEnd, heartbeatQueue),
		inForce:    make([]atomic.Int64, options.Versions+1),
	}
	quiet := log.NewWithOptions(discardWriter{}, log.Options{Level: log.FatalLevel})
	n.link = corelink.New(corelink.Options{
		Self: &protocol.Node{
			Name: name, Kind: protocol.NodeKind_FRONT, Incarnation: uint64(time.Now().UnixMilli()),
			Address: address, HttpAddress: address, Zone: zone, Region: options.Region,
		},
		Seeds: options.Seeds, Caller: n.corePool, Logger: quiet, Registerer: prometheus.NewRegistry(),
	})
	n.manager = ownership.New(ownership.Options{
		Link: n.link, Caller: n.peerPool, Logger: quiet,
		Registerer: prometheus.NewRegistry(),
	})
	n.peerPool.OnBroken(n.manager.PeerBroken)
	n.link.Subscribe(n.observeView)
	n.server = wire.NewServer(listener, n, wire.ServerOptions{Key: options.ClusterKey})
	return n
}

type discardWriter struct{}

// Write implements io.Writer.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// observeView records when a bundle came into force.
func (n *node) observeView(view *corelink.View) {
	version := min(int(view.Configuration.GetActive().GetVersion()), len(n.inForce)-1)
	now := time.Now().UnixMicro()
	for ; version > 0; version-- {
		if !n.inForce[version].CompareAndSwap(0, now) {
			return
		}
	}
}

// Serve implements wire.Handler.
func (n *node) Serve(ctx context.Context, request *protocol.Request, send func(*protocol.Response) error) error {
	switch request.GetBody().(type) {
	case *protocol.Request_LocateCore:
		return send(&protocol.Response{Body: &protocol.Response_LocateCore{LocateCore: n.link.LocateCore()}})
	case *protocol.Request_LookupSession, *protocol.Request_RegisterSessions, *protocol.Request_UnregisterSessions:
		response, err := n.manager.ServeDirectory(ctx, request)
		if err != nil {
			return err
		}
		return send(response)
	default:
		return failure.New(failure.UnknownRequest, protocol.Outcome_NOT_RUN, "a simulated front node serves no traffic")
	}
}

func (n *node) start(ctx context.Context) error {
	ctx, n.cancel = context.WithCancel(context.WithoutCancel(ctx))
	n.server.Start() //nolint:contextcheck // the server ends with Close, in stop
	if err := n.link.Start(ctx); err != nil {
		return err
	}
	if err := n.manager.Start(ctx); err != nil {
		return err
	}
	n.running.Go(func() { n.relay(ctx) })
	return nil
}

// relay forwards heartbeats as a front node does: those that arrive within heartbeatWindow in one batch.
func (n *node) relay(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-n.heartbeats:
			n.sendHeartbeats(ctx, n.collect(ctx, first))
		}
	}
}

func (n *node) collect(ctx context.Context, first *protocol.BackEnd) []*protocol.BackEndHeartbeat {
	batch := []*protocol.BackEndHeartbeat{{BackEnd: first}}
	window := time.NewTimer(heartbeatWindow)
	defer window.Stop()
	for len(batch) < heartbeatBatch {
		select {
		case next := <-n.heartbeats:
			batch = append(batch, &protocol.BackEndHeartbeat{BackEnd: next})
		case <-window.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func (n *node) sendHeartbeats(ctx context.Context, batch []*protocol.BackEndHeartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	// The next heartbeat makes up for a lost one.
	_, _ = n.link.CallCore(ctx, &protocol.Request{Body: &protocol.Request_RelayHeartbeats{
		RelayHeartbeats: &protocol.RelayHeartbeatsRequest{Heartbeats: batch},
	}})
}

// ownSession makes the node the owner of a session. A rejection is retried after
// its retry-after; it returns the number of rejections.
func (n *node) ownSession(ctx context.Context, session, program string) (rejections int, err error) {
	for {
		err := n.attemptToOwn(ctx, session, program)
		rejected := err != nil && failure.From(err).GetOutcome() == protocol.Outcome_NOT_RUN
		if !rejected {
			return rejections, err
		}
		rejections++
		wait := max(time.Duration(failure.From(err).GetRetryAfterMillis())*time.Millisecond, minOwnRetryInterval)
		select {
		case <-ctx.Done():
			return rejections, err
		case <-time.After(wait):
		}
	}
}

func (n *node) attemptToOwn(ctx context.Context, session, program string) error {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	_, err := n.manager.Resolve(ctx, session, program)
	return err
}

func (n *node) stop(ctx context.Context) error {
	failed := n.link.Stop(ctx)
	failed = errors.CombineErrors(failed, n.manager.Stop(ctx))
	n.cancel()
	n.running.Wait()
	n.server.Close()
	n.corePool.Close()
	n.peerPool.Close()
	return failed
}

// coreBytes counts what went between the node and the core.
func (n *node) coreBytes() uint64 { return bytesOf(n.corePool.Counters()) }

// peerBytes counts what went between the node and other nodes, seen from the
// side of the requests.
func (n *node) peerBytes() uint64 { return bytesOf(n.peerPool.Counters()) }

func bytesOf(counters *wire.Counters) uint64 {
	return counters.SentBytes.Load() + counters.ReceivedBytes.Load()
}
