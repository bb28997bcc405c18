package store

import (
	"slices"
	"sync/atomic"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
)

// topology is an immutable digest of the view in force.
type topology struct {
	epoch     uint64
	shards    []register.ShardView
	addresses map[string]string
}

// topologyOf reads placement and store addresses from a view. Until the view
// was read fresh since the start, it holds no shard: an old placement could be in force no more.
func topologyOf(view *corelink.View, self *protocol.Node, ready bool) *topology {
	made := &topology{addresses: map[string]string{}}
	for _, node := range view.Membership.GetNodes() {
		if node.GetKind() == protocol.NodeKind_STORE {
			made.addresses[node.GetName()] = node.GetAddress()
		}
	}
	if !ready || view.Placement == nil {
		return made
	}
	made.epoch = view.Placement.GetEpoch()
	made.shards = make([]register.ShardView, len(view.Placement.GetShards()))
	for _, placed := range view.Placement.GetShards() {
		if int(placed.GetShard()) >= len(made.shards) {
			continue
		}
		made.shards[placed.GetShard()] = register.NewShardView(view.Placement, placed, self.GetName(), self.GetStorageId())
	}
	return made
}

// shard gives the view of a shard; one without replicas when there is no such shard.
func (t *topology) shard(shard uint32) register.ShardView {
	if int(shard) < len(t.shards) {
		return t.shards[shard]
	}
	return register.ShardView{Shard: shard}
}

// members names every store that holds a replica but one, in a fixed order.
func (t *topology) members(but string) []string {
	var members []string
	for _, view := range t.shards {
		for _, store := range view.Quorum.Members() {
			if store != but && !slices.Contains(members, store) {
				members = append(members, store)
			}
		}
	}
	return members
}

// placementWatch publishes the topology in force to every goroutine.
type placementWatch struct {
	core    Core
	self    *protocol.Node
	fresh   atomic.Bool
	current atomic.Pointer[topology]
}

func newPlacementWatch(core Core, self *protocol.Node) *placementWatch {
	w := &placementWatch{core: core, self: self}
	w.current.Store(&topology{addresses: map[string]string{}})
	return w
}

// refresh reads the view; it reports whether the placement changed. It is
// called from one goroutine only.
func (w *placementWatch) refresh() (current *topology, changed bool) {
	ready := w.fresh.Load()
	if !ready && w.core.Ready() {
		ready = true
		w.fresh.Store(true)
	}
	before := w.current.Load()
	after := topologyOf(w.core.View(), w.self, ready)
	if after.epoch < before.epoch {
		return before, false
	}
	w.current.Store(after)
	return after, after.epoch != before.epoch
}
