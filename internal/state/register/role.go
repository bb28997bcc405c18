package register

import "github.com/rosestand/rosestand/internal/protocol"

// Role is the role of a store in a shard under the current placement.
type Role int

const (
	// RoleNone has no replica of the shard.
	RoleNone Role = iota
	// RoleRebuilding lost its data and does not vote until it is copied again.
	RoleRebuilding
	// RoleJoining votes from the start, in addition to a majority of the current replicas, but cannot yet prove that a
	// value does not exist.
	RoleJoining
	// RoleActive votes and is a source of copies.
	RoleActive
)

// ShardRole returns the role of a store in a shard. If the placement has another storage id for the store, the store
// has lost the data that the placement relies on.
func ShardRole(placement *protocol.ShardPlacement, store, storageID string) Role {
	if replica := findReplica(placement.GetCurrent(), store); replica != nil {
		if replica.GetStorageId() != storageID || replica.GetState() == protocol.ReplicaState_REPLICA_REBUILDING {
			return RoleRebuilding
		}
		return RoleActive
	}
	if replica := findReplica(placement.GetNext(), store); replica != nil && replica.GetStorageId() == storageID {
		return RoleJoining
	}
	return RoleNone
}

func findReplica(replicas []*protocol.Replica, store string) *protocol.Replica {
	for _, replica := range replicas {
		if replica.GetStore() == store {
			return replica
		}
	}
	return nil
}

// ShardEpoch returns the epoch that requests for the shard must have: the shard's own epoch, or that of the placement
// for shards without one.
func ShardEpoch(placement *protocol.Placement, shard *protocol.ShardPlacement) uint64 {
	if shard.GetEpoch() != 0 {
		return shard.GetEpoch()
	}
	return placement.GetEpoch()
}

// Votes reports whether a store in this role may answer prepare and accept requests.
func (r Role) Votes() bool { return r == RoleActive || r == RoleJoining }
