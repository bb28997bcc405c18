package register

import (
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

// ShardView is what the placement in force says to one store about one shard.
type ShardView struct {
	Shard uint32
	// Epoch must be named by every request about the shard; zero before a placement is known.
	Epoch  uint64
	Role   Role
	Quorum Quorum
	// Placed is the entry of the placement. It is not changed.
	Placement *protocol.ShardPlacement
}

// ViewOf reads an entry of the placement as the named store must.
func NewShardView(placement *protocol.Placement, placed *protocol.ShardPlacement, store, storageID string) ShardView {
	return ShardView{
		Shard:     placed.GetShard(),
		Epoch:     ShardEpoch(placement, placed),
		Role:      ShardRole(placed, store, storageID),
		Quorum:    NewQuorum(placed),
		Placement: placed,
	}
}

const notRejected = protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED

// Refusal tells why a replica may not answer a request that names an epoch;
// REPLICA_REFUSAL_UNSPECIFIED when it may.
func (v ShardView) Rejection(epoch uint64) protocol.ReplicaRefusal {
	switch {
	case v.Epoch == 0:
		return protocol.ReplicaRefusal_REPLICA_NOT_READY
	case v.Epoch != epoch:
		return protocol.ReplicaRefusal_REPLICA_WRONG_PLACEMENT
	case !v.Role.Votes():
		return protocol.ReplicaRefusal_REPLICA_NOT_READY
	default:
		return notRejected
	}
}

// CopyRefusal tells why a shard may not be copied from this replica. Only a
// complete one under the same epoch counts: it has stopped to vote under older
// placements before it shows what it holds.
func (v ShardView) CopyRejection(epoch uint64) protocol.ReplicaRefusal {
	if rejection := v.Rejection(epoch); rejection != notRejected {
		return rejection
	}
	if v.Role != RoleActive {
		return protocol.ReplicaRefusal_REPLICA_NOT_READY
	}
	return notRejected
}

// SourcesNeeded is how many other replicas of the current set must be read in
// full so that everything ever chosen is among what they hold.
func (v ShardView) RequiredSources() int {
	replicas := len(v.Quorum.Current)
	majority := replicas/2 + 1
	if v.Role == RoleRebuilding {
		// A majority may have included this store, which forgot.
		return replicas - majority + 1
	}
	return majority
}

// StartsEmpty reports whether a store must forget what it holds of the shard
// when this view follows the one before. What is left of an earlier membership
// may hold proposals that the replicas of today never promised away. The view
// before is the zero view at the start of a process.
func (v ShardView) RequiresReset(before ShardView) bool {
	switch v.Role {
	case RoleActive:
		return false
	case RoleNone:
		return true
	}
	if before.Role != v.Role {
		return true
	}
	if v.Role == RoleJoining && v.Placement.GetEpoch() != 0 {
		return before.Epoch != v.Epoch
	}
	return replicaIdentities(before.Placement) != replicaIdentities(v.Placement)
}

// WaitsForCopy reports whether the placement waits for the store to copy the shard.
func (v ShardView) NeedsCopy(store, storageID string) bool {
	switch v.Role {
	case RoleJoining:
		return true
	case RoleRebuilding:
		return findReplica(v.Placement.GetCurrent(), store).GetStorageId() == storageID
	default:
		return false
	}
}

func replicaIdentities(placed *protocol.ShardPlacement) string {
	var text strings.Builder
	for _, replicas := range [][]*protocol.Replica{placed.GetCurrent(), placed.GetNext()} {
		for _, replica := range replicas {
			text.WriteString(replica.GetStore() + "=" + replica.GetStorageId() + " ")
		}
		text.WriteString("| ")
	}
	return text.String()
}
