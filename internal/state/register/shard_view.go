package register

import (
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

// ShardView is one store's view of a shard under the current placement. It is immutable.
type ShardView struct {
	Shard uint32
	// Epoch is required in every request for the shard. It is zero until the store has a placement.
	Epoch  uint64
	Role   Role
	Quorum Quorum
	// Placement is the shard's entry in the placement; read-only.
	Placement *protocol.ShardPlacement
}

// NewShardView returns the store's view of a shard of the placement.
func NewShardView(placement *protocol.Placement, shard *protocol.ShardPlacement, store, storageID string) ShardView {
	return ShardView{
		Shard:     shard.GetShard(),
		Epoch:     ShardEpoch(placement, shard),
		Role:      ShardRole(shard, store, storageID),
		Quorum:    NewQuorum(shard),
		Placement: shard,
	}
}

// notRejected is the zero value of a rejection: the request is served.
const notRejected = protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED

// Rejection returns why the replica must reject a request with the epoch, or REPLICA_REFUSAL_UNSPECIFIED when it may
// serve the request.
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

// CopyRejection returns why the shard must not be copied from this replica, or REPLICA_REFUSAL_UNSPECIFIED when it may
// be. Only an active replica under the same epoch may be a source: it stopped voting under older placements before it
// returns its state.
func (v ShardView) CopyRejection(epoch uint64) protocol.ReplicaRefusal {
	if rejection := v.Rejection(epoch); rejection != notRejected {
		return rejection
	}
	if v.Role != RoleActive {
		return protocol.ReplicaRefusal_REPLICA_NOT_READY
	}
	return notRejected
}

// RequiredSources returns how many other replicas of the current set must be read completely, so that every chosen
// value is on at least one of them. With an odd number of replicas this is a majority for both roles: with three
// replicas it is two, so a rebuild needs both other replicas.
func (v ShardView) RequiredSources() int {
	replicas := len(v.Quorum.Current)
	majority := replicas/2 + 1
	if v.Role == RoleRebuilding {
		// The majority of a chosen value may include this store, which lost its data.
		return replicas - majority + 1
	}
	return majority
}

// RequiresReset reports whether a store must discard its state of the shard when this view replaces the previous one,
// which is the zero view at the start of the process. State from an earlier membership may contain proposals that the
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

// NeedsCopy reports whether the placement requires the store to copy the shard.
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

// replicaIdentities returns the members of a shard with their storage ids as one comparable string.
func replicaIdentities(shard *protocol.ShardPlacement) string {
	var text strings.Builder
	for _, replicas := range [][]*protocol.Replica{shard.GetCurrent(), shard.GetNext()} {
		for _, replica := range replicas {
			text.WriteString(replica.GetStore() + "=" + replica.GetStorageId() + " ")
		}
		text.WriteString("| ")
	}
	return text.String()
}
