package controlstate

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/placement"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	maxShards   = 65_536
	maxReplicas = 7
)

// editPlacement returns a copy of the placement whose epoch is index. The shards are shared with the current placement:
// editShard copies the ones that change.
func (s *State) editPlacement(index uint64) *protocol.Placement {
	former := s.placement
	return &protocol.Placement{
		Epoch:    index,
		Shards:   slices.Clone(former.GetShards()),
		Emptying: slices.Clone(former.GetEmptying()),
		Emptied:  slices.Clone(former.GetEmptied()),
		Retired:  slices.Clone(former.GetRetired()),
	}
}

// editShard replaces a shard by a copy with the epoch of the placement and returns the copy.
func editShard(edited *protocol.Placement, position int) *protocol.ShardPlacement {
	shard := proto.CloneOf(edited.GetShards()[position])
	shard.Epoch = edited.GetEpoch()
	edited.Shards[position] = shard
	return shard
}

// initializePlacement creates the first placement. It rejects the command until there are enough stores in distinct
// zones, or enough stores if zones may be shared. It changes nothing once there is a placement.
func (s *State) initializePlacement(
	index uint64, command *protocol.InitializePlacementCommand,
) *protocol.CommandResult {
	if len(s.placement.GetShards()) > 0 {
		return accept(s.placement.GetEpoch())
	}
	shards, replicas := command.GetShardCount(), int(command.GetReplicaCount())
	if shards == 0 || shards > maxShards || replicas == 0 || replicas > maxReplicas {
		return reject(codeInvalidOrder, "the numbers of shards and replicas are out of range")
	}
	stores := placement.UsableStores(s.placement, s.membership.GetNodes())
	if command.GetSharedZones() && len(stores) < replicas {
		return reject(codeInvalidOrder, fmt.Sprintf("%d stores are needed, there are %d", replicas, len(stores)))
	}
	if zones := placement.CountZones(stores); zones < replicas && !command.GetSharedZones() {
		return reject(codeInvalidOrder, fmt.Sprintf("stores in %d distinct zones are needed, there are %d", replicas, zones))
	}
	edited := s.editPlacement(index)
	edited.Shards = placement.Initial(stores, placement.InitialSettings{
		Epoch: index, Shards: shards, Replicas: replicas, OverRegions: command.GetOverRegions(),
	})
	s.placement = edited
	return accept(index)
}

// moveShard begins one step of a move: the next replicas are the current ones with one replaced. An empty list cancels
// the move in progress.
func (s *State) moveShard(index uint64, command *protocol.MoveShardCommand) *protocol.CommandResult {
	position := int(command.GetShard())
	if position >= len(s.placement.GetShards()) {
		return reject(codeNotFound, fmt.Sprintf("there is no shard %d", position), fault("shard", "is unknown"))
	}
	shard := s.placement.GetShards()[position]
	if command.GetExpectedEpoch() != shard.GetEpoch() {
		return reject(codeChangeInProgress, "the shard changed meanwhile",
			fault("expected_epoch", fmt.Sprintf("the shard's epoch is %d", shard.GetEpoch())))
	}
	if len(command.GetNext()) == 0 {
		return s.cancelMove(index, position)
	}
	if len(shard.GetNext()) > 0 {
		return reject(codeChangeInProgress, "the shard is being moved")
	}
	next, rejection := s.nextReplicas(index, shard, command.GetNext())
	if rejection != nil {
		return rejection
	}
	edited := s.editPlacement(index)
	editShard(edited, position).Next = next
	s.placement = edited
	return accept(index)
}

func (s *State) cancelMove(index uint64, position int) *protocol.CommandResult {
	if len(s.placement.GetShards()[position].GetNext()) == 0 {
		return accept(s.placement.GetEpoch())
	}
	edited := s.editPlacement(index)
	editShard(edited, position).Next = nil
	s.finishEmptying(edited)
	s.placement = edited
	return accept(index)
}

// nextReplicas returns the next replicas of a shard for a proposed set. It rejects the set unless it has as many
// replicas as the current one, exactly one of them new, and a majority of active replicas that can vote at once.
func (s *State) nextReplicas(
	index uint64, shard *protocol.ShardPlacement, proposed []*protocol.Replica,
) ([]*protocol.Replica, *protocol.CommandResult) {
	if len(proposed) != len(shard.GetCurrent()) {
		return nil, reject(codeInvalidOrder, "the number of replicas must stay the same", fault("next", "has another length"))
	}
	next := make([]*protocol.Replica, 0, len(proposed))
	added, active := 0, 0
	for i, replica := range proposed {
		path := fmt.Sprintf("next[%d].store", i)
		if placement.FindReplica(next, replica.GetStore()) != nil {
			return nil, reject(codeInvalidOrder, "a store is named twice", fault(path, "is named twice"))
		}
		if current := placement.FindReplica(shard.GetCurrent(), replica.GetStore()); current != nil {
			next = append(next, current)
			if current.GetState() == protocol.ReplicaState_REPLICA_ACTIVE {
				active++
			}
			continue
		}
		node := findNode(s.membership, replica.GetStore())
		if node.GetKind() != protocol.NodeKind_STORE || !placement.IsUsable(s.placement, node) {
			return nil, reject(codeInvalidOrder, "the store cannot take a shard",
				fault(path, "is not a store that can take a shard"))
		}
		added++
		// A joining replica has this state until it is copied, but votes from the start. Stores distinguish it from
		// a rebuilding one by the list that contains it (register.ShardRole).
		next = append(next, &protocol.Replica{
			Store: node.GetName(), StorageId: node.GetStorageId(),
			State: protocol.ReplicaState_REPLICA_REBUILDING, RebuildingSince: index,
		})
	}
	if added != 1 {
		return nil, reject(codeInvalidOrder, "a step replaces exactly one replica", fault("next", "must have one new store"))
	}
	if active <= len(next)/2 {
		return nil, reject(codeChangeInProgress, "the replicas that stay are no majority yet",
			fault("next", "too many replicas are rebuilding"))
	}
	return next, nil
}

// rebuildLostReplicas marks the replicas of a store that joins with another data folder as rebuilding. Replicas of a
// current set do not vote until they are copied; replicas of a next set join again and vote.
func (s *State) rebuildLostReplicas(index uint64, node *protocol.Node) {
	var edited *protocol.Placement
	for position, shard := range s.placement.GetShards() {
		if !hasOtherStorage(shard.GetCurrent(), node) && !hasOtherStorage(shard.GetNext(), node) {
			continue
		}
		if edited == nil {
			edited = s.editPlacement(index)
		}
		replaced := editShard(edited, position)
		markRebuilding(replaced.GetCurrent(), node, index)
		markRebuilding(replaced.GetNext(), node, index)
	}
	if edited != nil {
		s.placement = edited
	}
}

func hasOtherStorage(replicas []*protocol.Replica, node *protocol.Node) bool {
	replica := placement.FindReplica(replicas, node.GetName())
	return replica != nil && replica.GetStorageId() != node.GetStorageId()
}

func markRebuilding(replicas []*protocol.Replica, node *protocol.Node, index uint64) {
	if hasOtherStorage(replicas, node) {
		replica := placement.FindReplica(replicas, node.GetName())
		replica.StorageId = node.GetStorageId()
		replica.State = protocol.ReplicaState_REPLICA_REBUILDING
		replica.RebuildingSince = index
	}
}

// shardCopied marks a replica as active. A rebuilt replica votes again. A joining replica already votes, and its move
// ends.
func (s *State) shardCopied(index uint64, command *protocol.ShardCopiedCommand) *protocol.CommandResult {
	position := int(command.GetShard())
	if position >= len(s.placement.GetShards()) {
		return reject(codeNotFound, fmt.Sprintf("there is no shard %d", position), fault("shard", "is unknown"))
	}
	shard := s.placement.GetShards()[position]
	replica := placement.FindReplica(shard.GetNext(), command.GetStore())
	if replica == nil {
		replica = placement.FindReplica(shard.GetCurrent(), command.GetStore())
	}
	switch {
	case replica == nil || replica.GetStorageId() != command.GetStorageId():
		return reject(codeInvalidOrder, "the store holds no such replica", fault("storage_id", "is not that of a replica"))
	case replica.GetState() == protocol.ReplicaState_REPLICA_ACTIVE:
		return accept(s.placement.GetEpoch())
	case command.GetEpoch() < replica.GetRebuildingSince():
		return reject(codeInvalidOrder, "the copy began before the replica was to rebuild; copy again",
			fault("epoch", fmt.Sprintf("must be at least %d", replica.GetRebuildingSince())))
	}
	edited := s.editPlacement(index)
	moved := editShard(edited, position)
	markActive(moved.GetCurrent(), command.GetStore())
	markActive(moved.GetNext(), command.GetStore())
	if moveComplete(moved) {
		moved.Current, moved.Next = moved.GetNext(), nil
	}
	s.finishEmptying(edited)
	s.placement = edited
	return accept(index)
}

func markActive(replicas []*protocol.Replica, store string) {
	if replica := placement.FindReplica(replicas, store); replica != nil {
		replica.State = protocol.ReplicaState_REPLICA_ACTIVE
		replica.RebuildingSince = 0
	}
}

// moveComplete reports whether the shard is being moved and every replica that the move adds has been copied.
func moveComplete(shard *protocol.ShardPlacement) bool {
	for _, replica := range shard.GetNext() {
		if placement.FindReplica(shard.GetCurrent(),
			replica.GetStore()) == nil && replica.GetState() != protocol.ReplicaState_REPLICA_ACTIVE {
			return false
		}
	}
	return len(shard.GetNext()) > 0
}
