// Package storebench measures the program ledger on three stores in one process, with TCP
// connections over 127.0.0.1 and synced files. Only the core is simulated.
package storebench

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledgerclient"
	"github.com/rosestand/rosestand/internal/state/store"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// shardCount is the number of shards of a cluster by default.
const shardCount = 64

// replicaCount is the number of replicas of a shard by default.
const replicaCount = 3

var clusterKey = []byte("storebench cluster key")

// fleet is a set of stores with a simulated core. Only one goroutine may start and stop the stores.
type fleet struct {
	core   *fixedCore
	stores []*node
	pool   *wire.Pool
	client *ledgerclient.Client
}

// node is one store with its listener and its connections.
type node struct {
	self     *protocol.Node
	store    *store.Store
	server   *wire.Server
	pool     *wire.Pool
	registry *prometheus.Registry
}

// startFleet starts stores with data folders under folder. The first replicaCount stores have
// replicas of all shards.
func startFleet(folder string, stores int) (*fleet, error) {
	f := &fleet{core: &fixedCore{}, pool: wire.NewPool(wire.PoolOptions{Key: clusterKey, Node: "bench"})}
	f.core.view.Store(&corelink.View{})
	for number := range stores {
		started, err := f.startNode(folder, number)
		if err != nil {
			return nil, errors.CombineErrors(err, f.stop())
		}
		f.stores = append(f.stores, started)
	}
	f.core.publishInitial(f.nodes())
	for _, started := range f.stores {
		f.core.subscribe(started.store.ViewChanged)
	}
	f.client = ledgerclient.New(f.pool, f.core.View, ledgerclient.Options{})
	return f, nil
}

// withFleet starts stores with their data in a temporary folder under folder, runs a measurement
// on them and stops them.
func withFleet(folder string, stores int, measure func(f *fleet, data string) error) error {
	data, err := os.MkdirTemp(folder, "storebench-")
	if err != nil {
		return errors.Wrap(err, "make data folder")
	}
	defer func() { _ = os.RemoveAll(data) }()
	f, err := startFleet(data, stores)
	if err != nil {
		return err
	}
	return errors.CombineErrors(measure(f, data), f.stop())
}

func (f *fleet) startNode(folder string, number int) (*node, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	name := fmt.Sprintf("store-%d", number+1)
	opened, err := datafolder.Open(storage.OSFilesystem{}, filepath.Join(folder, name), store.DefaultSegmentBytes)
	if err != nil {
		return nil, errors.CombineErrors(err, listener.Close())
	}
	started := &node{
		self: &protocol.Node{
			Name: name, Kind: protocol.NodeKind_STORE, Incarnation: 1,
			Address: listener.Addr().String(),
		},
		pool:     wire.NewPool(wire.PoolOptions{Key: clusterKey, Node: name}),
		registry: prometheus.NewRegistry(),
	}
	started.store, err = store.New(store.Options{
		Self:       started.self,
		Caller:     started.pool,
		Core:       f.core,
		Logger:     log.New(io.Discard),
		Registerer: started.registry,
		Seed:       uint64(number),
	}, opened)
	if err != nil {
		return nil, errors.CombineErrors(err, listener.Close())
	}
	started.server = wire.NewServer(listener, started.store, wire.ServerOptions{Key: clusterKey})
	started.store.Start()
	started.server.Start()
	return started, nil
}

func (f *fleet) nodes() []*protocol.Node {
	var nodes []*protocol.Node
	for _, started := range f.stores {
		nodes = append(nodes, started.self)
	}
	return nodes
}

func (f *fleet) stop() error {
	f.pool.Close()
	var err error
	for _, started := range f.stores {
		started.server.Close()
		err = errors.CombineErrors(err, started.store.Stop())
		started.pool.Close()
	}
	return err
}

// fixedCore simulates a core: every lease is valid, the placement is in memory, and reports of
// copied shards complete moves and rebuilds as in a real core.
type fixedCore struct {
	view atomic.Pointer[corelink.View]

	// changing is locked while a placement is derived from the previous one.
	changing sync.Mutex

	// mutex guards the following fields.
	mutex       sync.Mutex
	subscribers []func()
	epoch       uint64
}

// View implements store.Core.
func (c *fixedCore) View() *corelink.View { return c.view.Load() }

// Ready implements store.Core.
func (c *fixedCore) Ready() bool { return true }

// LocateCore implements store.Core.
func (c *fixedCore) LocateCore() *protocol.LocateCoreResponse { return &protocol.LocateCoreResponse{} }

// CallCore implements store.Core: it acknowledges the report of a copied shard.
func (c *fixedCore) CallCore(_ context.Context, request *protocol.Request) (*protocol.Response, error) {
	if copied := request.GetShardCopied(); copied != nil {
		c.shardCopied(copied)
	}
	return &protocol.Response{Body: &protocol.Response_ShardCopied{ShardCopied: &protocol.ShardCopiedResponse{}}}, nil
}

func (c *fixedCore) subscribe(changed func()) {
	c.mutex.Lock()
	c.subscribers = append(c.subscribers, changed)
	c.mutex.Unlock()
	changed()
}

func (c *fixedCore) publishInitial(nodes []*protocol.Node) {
	placement := &protocol.Placement{}
	for shard := range uint32(shardCount) {
		placed := &protocol.ShardPlacement{Shard: shard}
		for offset := range replicaCount {
			node := nodes[(int(shard)+offset)%replicaCount]
			placed.Current = append(placed.Current, &protocol.Replica{
				Store: node.GetName(), StorageId: node.GetStorageId(), State: protocol.ReplicaState_REPLICA_ACTIVE,
			})
		}
		placement.Shards = append(placement.Shards, placed)
	}
	c.publish(&corelink.View{
		Membership: &protocol.MembershipView{Version: 1, Nodes: nodes},
		Placement:  placement,
	}, placement.GetShards())
}

// publish makes a view the current one, under the next epoch, which it also sets for the shards that changed.
func (c *fixedCore) publish(view *corelink.View, changed []*protocol.ShardPlacement) {
	c.mutex.Lock()
	c.epoch++
	view.Placement.Epoch = c.epoch
	for _, shard := range changed {
		shard.Epoch = c.epoch
	}
	subscribers := append([]func(){}, c.subscribers...)
	c.view.Store(view)
	c.mutex.Unlock()
	for _, notify := range subscribers {
		notify()
	}
}
