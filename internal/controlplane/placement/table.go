package placement

import (
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// FindReplica returns the replica on a store, or nil when there is none.
func FindReplica(replicas []*protocol.Replica, store string) *protocol.Replica {
	for _, replica := range replicas {
		if replica.GetStore() == store {
			return replica
		}
	}
	return nil
}

// HasReplica reports whether a store has a replica of any shard, or is the target of a move in progress.
func HasReplica(table *protocol.Placement, store string) bool {
	for _, shard := range table.GetShards() {
		if FindReplica(shard.GetCurrent(), store) != nil || FindReplica(shard.GetNext(), store) != nil {
			return true
		}
	}
	return false
}

// ReplicaCount returns the number of replicas of each shard, or zero before the first placement.
func ReplicaCount(table *protocol.Placement) int {
	if len(table.GetShards()) == 0 {
		return 0
	}
	return len(table.GetShards()[0].GetCurrent())
}

// IsRebuilding reports whether a replica of any shard is rebuilding.
func IsRebuilding(table *protocol.Placement) bool {
	for _, shard := range table.GetShards() {
		for _, replica := range shard.GetCurrent() {
			if replica.GetState() == protocol.ReplicaState_REPLICA_REBUILDING {
				return true
			}
		}
	}
	return false
}

// UsableStores returns the stores that may take shards, in the order of nodes.
func UsableStores(table *protocol.Placement, nodes []*protocol.Node) []*protocol.Node {
	var stores []*protocol.Node
	for _, node := range nodes {
		if IsUsable(table, node) {
			stores = append(stores, node)
		}
	}
	return stores
}

// IsUsable reports whether a node is a store that may take shards.
func IsUsable(table *protocol.Placement, node *protocol.Node) bool {
	return node.GetKind() == protocol.NodeKind_STORE && !node.GetDraining() &&
		!slices.Contains(table.GetEmptying(), node.GetName()) &&
		!slices.Contains(table.GetEmptied(), node.GetName())
}

// CountZones returns the number of distinct zones of the stores.
func CountZones(stores []*protocol.Node) int {
	zones := map[string]bool{}
	for _, store := range stores {
		zones[store.GetZone()] = true
	}
	return len(zones)
}

func countRegions(stores []*protocol.Node) int {
	regions := map[string]bool{}
	for _, store := range stores {
		regions[store.GetRegion()] = true
	}
	return len(regions)
}
