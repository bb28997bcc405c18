package register

import (
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

// ShardView is one shard as the placement in force assigns it to one store. It is immutable.
type ShardView struct {
	Shard uint32
	// Epoch must be named by every request about the shard; zero before a placement is known.
	Epoch  uint64
	Role   Role
	Quorum Quorum
	// Placement is the entry of the placement; read-only.
	Placement *protocol.ShardPlacement
}

// NewShardView returns a shard of the placement as the named store must see it.
func NewShardView(placement *protocol.Placement, placed *protocol.ShardPlacement, store, storageID string) ShardView {
	return ShardView{
		Shard:     placed.GetShard(),
		Epoch:     ShardEpoch(placement, placed),
		Role:      ShardRole(placed, store, storageID),
		Quorum:    NewQuorum(placed),
		Placement: placed,
	}
}

// notRejected is the zero value of a rejection: the request is served.
const notRejected = protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED

// Rejection returns why the replica must not serve a request that names an epoch; REPLICA_REFUSAL_UNSPECIFIED when it
// may serve it.
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

// CopyRejection returns why a shard must not be copied from this replica; REPLICA_REFUSAL_UNSPECIFIED when it may be.
// Only a complete replica under the same epoch is a source: it stopped voting under older placements before it shows
// its state.
func (v ShardView) CopyRejection(epoch uint64) protocol.ReplicaRefusal {
	if rejection := v.Rejection(epoch); rejection != notRejected {
		return rejection
	}
	if v.Role != RoleActive {
		return protocol.ReplicaRefusal_REPLICA_NOT_READY
	}
	return notRejected
}

// RequiredSources is how many other replicas of the current set must be read completely so that every chosen value is
// on one of them. For an odd number of replicas both cases are a majority: of three, two others, so that a rebuild
// needs both of them.
func (v ShardView) RequiredSources() int {
	replicas := len(v.Quorum.Current)
	majority := replicas/2 + 1
	if v.Role == RoleRebuilding {
		// A majority may have included this store, which lost its data.
		return replicas - majority + 1
	}
	return majority
}

// RequiresReset reports whether a store must discard its state of the shard when this view follows the previous one,
// which is the zero view at the start of a process. State of an earlier membership may contain proposals that the
// replicas of this one never promised to reject.
func (v ShardView) RequiresReset(previous ShardView) bool {
	switch v.Role {
	case RoleActive:
		return false
	case RoleNone:
		return true
	}
	if previous.Role != v.Role {
		return true
	}
	if v.Role == RoleJoining && v.Placement.GetEpoch() != 0 {
		return previous.Epoch != v.Epoch
	}
	return replicaIdentities(previous.Placement) != replicaIdentities(v.Placement)
}

// NeedsCopy reports whether the placement waits for the store to copy the shard.
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

// replicaIdentities returns the members of a shard with their storage ids as one comparable text.
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
