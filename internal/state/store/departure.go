package store

import (
	"context"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/controlplane/departure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// storeFleet is what a store that stops knows of the fleet by the core's views. It implements departure.Fleet.
type storeFleet struct {
	link *corelink.Link
}

// Dependents implements departure.Fleet.
func (f *storeFleet) Dependents() []*protocol.Node {
	return departure.Select(f.link.View().Membership.GetNodes(), departure.IsFront)
}

// Others implements departure.Fleet.
func (f *storeFleet) Others(context.Context) departure.Others {
	view := f.link.View()
	return otherStores(f.link.Self().GetName(), view.Membership.GetNodes(), view.Placement)
}

// otherStores reports on the stores beside self. Every other store that keeps a shard must have a lease and its data,
// and no store with a smaller name may drain, so that stores that are stopped at the same time leave in turn.
func otherStores(self string, nodes []*protocol.Node, placement *protocol.Placement) departure.Others {
	present := map[string]bool{self: true}
	inTurn := true
	for _, node := range nodes {
		if node.GetKind() != protocol.NodeKind_STORE {
			continue
		}
		present[node.GetName()] = true
		if node.GetDraining() && node.GetName() < self {
			inTurn = false
		}
	}
	complete := true
	for _, shard := range placement.GetShards() {
		kept := false
		for _, replica := range shard.GetCurrent() {
			kept = kept || replica.GetStore() == self
			if !present[replica.GetStore()] || isRebuilding(replica) {
				complete = false
			}
		}
		if kept && !hasMajorityWithoutOne(len(shard.GetCurrent())) {
			return departure.OthersTooFew
		}
	}
	if !complete || !inTurn {
		return departure.OthersIncomplete
	}
	return departure.OthersSuffice
}

func isRebuilding(replica *protocol.Replica) bool {
	return replica.GetState() == protocol.ReplicaState_REPLICA_REBUILDING
}

// hasMajorityWithoutOne reports whether a group of a size has a majority after the loss of one member.
func hasMajorityWithoutOne(size int) bool { return size-1 > size/2 }
