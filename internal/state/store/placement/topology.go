package placement

import (
	"slices"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/register"
)

// Topology is an immutable summary of a view: the stores that serve each shard and the addresses of stores.
type Topology struct {
	// Epoch is the epoch of the placement; zero until the current placement has been received.
	Epoch uint64
	// Shards are indexed by shard number.
	Shards []register.ShardView
	// Addresses contains the addresses of the live stores, by name.
	Addresses map[string]string
}

// newTopology reads the placement and the stores' addresses from a view. Unless the view is fresh,
// that is, read since the start, the topology has no shards, since the placement may be
// superseded.
func newTopology(view *corelink.View, self *protocol.Node, fresh bool) *Topology {
	topology := &Topology{Addresses: map[string]string{}}
	for _, node := range view.Membership.GetNodes() {
		if node.GetKind() == protocol.NodeKind_STORE {
			topology.Addresses[node.GetName()] = node.GetAddress()
		}
	}
	if !fresh || view.Placement == nil {
		return topology
	}
	topology.Epoch = view.Placement.GetEpoch()
	topology.Shards = make([]register.ShardView, len(view.Placement.GetShards()))
	for _, placed := range view.Placement.GetShards() {
		if int(placed.GetShard()) >= len(topology.Shards) {
			continue
		}
		shard := register.NewShardView(view.Placement, placed, self.GetName(), self.GetStorageId())
		topology.Shards[placed.GetShard()] = shard
	}
	return topology
}

// Shard returns the view of a shard. If there is no such shard the view has no replicas.
func (t *Topology) Shard(shard uint32) register.ShardView {
	if int(shard) < len(t.Shards) {
		return t.Shards[shard]
	}
	return register.ShardView{Shard: shard}
}

// ShardOf returns the view of a program's shard.
func (t *Topology) ShardOf(program string) register.ShardView {
	return t.Shard(ledger.ShardOf(program, len(t.Shards)))
}

// Stores returns the names of all stores that have a replica, except one, in a fixed order.
func (t *Topology) Stores(except string) []string {
	var stores []string
	for _, view := range t.Shards {
		for _, store := range view.Quorum.Members() {
			if store != except && !slices.Contains(stores, store) {
				stores = append(stores, store)
			}
		}
	}
	return stores
}
