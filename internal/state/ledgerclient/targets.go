package ledgerclient

import (
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// target is one replica to try, or another front node that tries them.
type target struct {
	address string
	epoch   uint64
	relay   bool
}

// targets gives the live replicas for an operation in the order in which they are tried. All
// fronts agree on the order, so that one store proposes for a program. While none of them answers
// this front node, other front nodes come first, unless replicas are to be asked directly.
func (c *Client) targets(operation *protocol.LedgerOperation, directly bool) []target {
	view := c.view()
	shards := view.Placement.GetShards()
	if len(shards) == 0 {
		return nil
	}
	shard := findShard(view.Placement, c.shardOf(operation))
	epoch := shard.GetEpoch()
	if epoch == 0 {
		epoch = view.Placement.GetEpoch()
	}
	var targets []target
	if !directly && c.replicaOutages.isOut(c.shardOf(operation), time.Now()) {
		for _, address := range c.suspects.sortLast(c.relayAddresses()) {
			targets = append(targets, target{address: address, relay: true})
		}
	}
	for _, address := range c.suspects.sortLast(c.liveReplicas(view, shard)) {
		targets = append(targets, target{address: address, epoch: epoch})
	}
	return targets
}

// shardOf is the shard that serves an operation.
func (c *Client) shardOf(operation *protocol.LedgerOperation) uint32 {
	return ledger.ShardOf(shardKey(operation), c.shardCount())
}

// placedBy gives the text whose shard serves the operation. Any store can look for a turn whose program is not known.
func shardKey(operation *protocol.LedgerOperation) string {
	if find := operation.GetFindTurn(); find != nil {
		return find.GetTurnId()
	}
	return operation.GetProgram()
}

func findShard(placement *protocol.Placement, shard uint32) *protocol.ShardPlacement {
	for _, placed := range placement.GetShards() {
		if placed.GetShard() == shard {
			return placed
		}
	}
	return nil
}

// liveReplicas gives the addresses of the current replicas that have a lease,
// those that are rebuilt last.
func (c *Client) liveReplicas(view *corelink.View, shard *protocol.ShardPlacement) []string {
	addresses := map[string]string{}
	for _, node := range view.Membership.GetNodes() {
		if node.GetKind() == protocol.NodeKind_STORE {
			addresses[node.GetName()] = node.GetAddress()
		}
	}
	var live, rebuilding []string
	for _, replica := range shard.GetCurrent() {
		address, known := addresses[replica.GetStore()]
		switch {
		case !known:
		case replica.GetState() == protocol.ReplicaState_REPLICA_REBUILDING:
			rebuilding = append(rebuilding, address)
		default:
			live = append(live, address)
		}
	}
	return append(live, rebuilding...)
}
