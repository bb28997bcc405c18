package placement

import "github.com/rosestand/rosestand/internal/protocol"

// InitialSettings configure the first placement.
type InitialSettings struct {
	// Epoch is the initial epoch of each shard.
	Epoch    uint64
	Shards   uint32
	Replicas int
	// OverRegions places the replicas of a shard in distinct regions where there are enough.
	OverRegions bool
}

// Initial places all shards on stores, evenly and spread over failure domains. There must be at least as many stores as
// replicas of a shard.
func Initial(stores []*protocol.Node, settings InitialSettings) []*protocol.ShardPlacement {
	loads := map[string]int{}
	spread := newSpread(stores, stores, settings.Replicas)
	spread.distinctRegions = spread.distinctRegions && settings.OverRegions
	shards := make([]*protocol.ShardPlacement, 0, settings.Shards)
	for number := range settings.Shards {
		shard := &protocol.ShardPlacement{Shard: number, Epoch: settings.Epoch}
		for range settings.Replicas {
			store := spread.choose(stores, shard.GetCurrent(), loads)
			loads[store.GetName()]++
			shard.Current = append(shard.Current, &protocol.Replica{
				Store: store.GetName(), StorageId: store.GetStorageId(), State: protocol.ReplicaState_REPLICA_ACTIVE,
			})
		}
		shards = append(shards, shard)
	}
	return shards
}
