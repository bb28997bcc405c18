package ledgerclient

import (
	"github.com/rosestand/rosestand/internal/corelink"
	"github.com/rosestand/rosestand/internal/ledger"
	"github.com/rosestand/rosestand/internal/protocol"
)

// target is one replica to try.
type target struct {
	address string
	epoch   uint64
}

// targets gives the live replicas for an operation in the order in which they are tried. All
// fronts agree on the order, so that one store proposes for a program.
func (c *Client) targets(operation *protocol.LedgerOperation) []target {
	view := c.view()
	shards := view.Placement.GetShards()
	if len(shards) == 0 {
		return nil
	}
	shard := findShard(view.Placement, ledger.ShardOf(placedBy(operation), len(shards)))
	epoch := shard.GetEpoch()
	if epoch == 0 {
		epoch = view.Placement.GetEpoch()
	}
	var targets []target
	for _, address := range c.suspects.last(c.liveReplicas(view, shard)) {
		targets = append(targets, target{address: address, epoch: epoch})
	}
	return targets
}

// placedBy gives the text whose shard serves the operation. Any store can look for a turn whose program is not known.
func placedBy(operation *protocol.LedgerOperation) string {
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
