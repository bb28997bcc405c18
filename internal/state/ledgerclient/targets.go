package ledgerclient

import (
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/register"
)

// target is the receiver of an attempt: a replica, or another front node that relays to replicas.
type target struct {
	address string
	// epoch is the placement epoch to send with the operation; zero for relays, which send their own.
	epoch   uint64
	isRelay bool
}

// targets returns the targets of an operation in the order of attempts. The live replicas are in the same order on all
// front nodes, so that one store proposes for a program. While no replica answers this front node, relays precede them,
// unless replicasOnly is set.
func (c *Client) targets(operation *protocol.LedgerOperation, replicasOnly bool) []target {
	view := c.view()
	shards := view.Placement.GetShards()
	if len(shards) == 0 {
		return nil
	}
	shard := findShard(view.Placement, c.shardOf(operation))
	epoch := register.ShardEpoch(view.Placement, shard)
	var targets []target
	if !replicasOnly && c.replicaOutages.isDown(c.shardOf(operation), time.Now()) {
		for _, address := range c.suspects.sortLast(c.relayAddresses()) {
			targets = append(targets, target{address: address, isRelay: true})
		}
	}
	for _, address := range c.suspects.sortLast(c.liveReplicas(view, shard)) {
		targets = append(targets, target{address: address, epoch: epoch})
	}
	return targets
}

// shardOf returns the shard that serves an operation.
func (c *Client) shardOf(operation *protocol.LedgerOperation) uint32 {
	return ledger.ShardOf(shardKey(operation), c.shardCount())
}

// shardKey returns the key that determines the shard of an operation. Any store can find a turn whose program is
// unknown, so such an operation is sharded by the turn.
func shardKey(operation *protocol.LedgerOperation) string {
	if find := operation.GetFindTurn(); find != nil {
		return find.GetTurnId()
	}
	return operation.GetProgram()
}

func findShard(placement *protocol.Placement, shard uint32) *protocol.ShardPlacement {
	for _, candidate := range placement.GetShards() {
		if candidate.GetShard() == shard {
			return candidate
		}
	}
	return nil
}

// liveReplicas returns the addresses of the current replicas whose store has a lease, with rebuilding ones last.
func (c *Client) liveReplicas(view *corelink.View, shard *protocol.ShardPlacement) []string {
	addresses := map[string]string{}
	for _, node := range view.Membership.GetNodes() {
		if node.GetKind() == protocol.NodeKind_STORE {
			addresses[node.GetName()] = node.GetAddress()
		}
	}
	var live, rebuilding []string
	for _, replica := range shard.GetCurrent() {
		address, ok := addresses[replica.GetStore()]
		switch {
		case !ok:
		case replica.GetState() == protocol.ReplicaState_REPLICA_REBUILDING:
			rebuilding = append(rebuilding, address)
		default:
			live = append(live, address)
		}
	}
	return append(live, rebuilding...)
}
