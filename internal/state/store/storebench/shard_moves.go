package storebench

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
)

// moveShard starts the move of one shard from one store to another.
func (c *fixedCore) moveShard(shard uint32, from string, to *protocol.Node) {
	c.changeShard(shard, func(placed *protocol.ShardPlacement) bool {
		placed.Next = nil
		for _, replica := range placed.GetCurrent() {
			if replica.GetStore() != from {
				placed.Next = append(placed.Next, proto.CloneOf(replica))
				continue
			}
			placed.Next = append(placed.Next, &protocol.Replica{
				Store: to.GetName(), StorageId: to.GetStorageId(), State: protocol.ReplicaState_REPLICA_REBUILDING,
			})
		}
		return true
	})
}

// shardCopied completes the move or the rebuild of a shard whose new replica is complete.
func (c *fixedCore) shardCopied(copied *protocol.ShardCopiedRequest) {
	c.changeShard(copied.GetShard(), func(placed *protocol.ShardPlacement) bool {
		for _, replica := range placed.GetCurrent() {
			if replica.GetStore() == copied.GetStore() && replica.GetStorageId() == copied.GetStorageId() &&
				replica.GetState() == protocol.ReplicaState_REPLICA_REBUILDING {
				replica.State = protocol.ReplicaState_REPLICA_ACTIVE
				return true
			}
		}
		for _, replica := range placed.GetNext() {
			if replica.GetStore() == copied.GetStore() && replica.GetStorageId() == copied.GetStorageId() {
				replica.State = protocol.ReplicaState_REPLICA_ACTIVE
				placed.Current, placed.Next = placed.GetNext(), nil
				return true
			}
		}
		return false
	})
}

// changeShard publishes a placement in which change was applied to a copy of one shard. If change
// returns false, nothing is published.
func (c *fixedCore) changeShard(shard uint32, change func(*protocol.ShardPlacement) bool) {
	c.changing.Lock()
	defer c.changing.Unlock()
	view := c.View()
	placement := &protocol.Placement{Shards: append([]*protocol.ShardPlacement(nil), view.Placement.GetShards()...)}
	changed := proto.CloneOf(placement.GetShards()[shard])
	if !change(changed) {
		return
	}
	placement.Shards[shard] = changed
	c.publish(&corelink.View{Membership: view.Membership, Placement: placement}, []*protocol.ShardPlacement{changed})
}

// movingCount returns the number of shards that are being moved.
func (c *fixedCore) movingCount() int {
	count := 0
	for _, placed := range c.View().Placement.GetShards() {
		if len(placed.GetNext()) > 0 {
			count++
		}
	}
	return count
}
