package controlstate

import (
	"fmt"
	"slices"

	"github.com/rosestand/rosestand/internal/controlplane/placement"
	"github.com/rosestand/rosestand/internal/protocol"
)

// emptyStore marks a store as emptying, so that all its shards are moved to other stores.
func (s *State) emptyStore(index uint64, command *protocol.EmptyStoreCommand) *protocol.CommandResult {
	store := command.GetStore()
	switch {
	case slices.Contains(s.placement.GetEmptying(), store), slices.Contains(s.placement.GetEmptied(),
		store), isRetiredName(s.placement, store):
		return accept(s.placement.GetEpoch())
	case findNode(s.membership, store).GetKind() != protocol.NodeKind_STORE && !placement.HasReplica(s.placement, store):
		return reject(codeNotFound, fmt.Sprintf("there is no store %q", store), fault("store", "is unknown"))
	}
	remaining := s.remainingStores(store)
	if len(remaining) < int(command.GetStoresToKeep()) {
		return reject(codeTooFewStores, fmt.Sprintf("without %q there would be %d stores, %d are needed", store,
			len(remaining), command.GetStoresToKeep()),
			fault("store", "is needed"))
	}
	if command.GetKeepSpread() {
		if rejection := s.checkSpread(store, remaining); rejection != nil {
			return rejection
		}
	}
	edited := s.editPlacement(index)
	edited.Emptying = append(edited.Emptying, store)
	slices.Sort(edited.Emptying)
	s.finishEmptying(edited)
	s.placement = edited
	return accept(index)
}

// remainingStores returns the names of the stores that can have shards once a store is empty: the present ones and the
// absent ones that still have a replica of a shard.
func (s *State) remainingStores(leaving string) map[string]bool {
	remaining := map[string]bool{}
	for _, node := range s.membership.GetNodes() {
		if node.GetKind() == protocol.NodeKind_STORE {
			remaining[node.GetName()] = true
		}
	}
	for _, shard := range s.placement.GetShards() {
		for _, replica := range shard.GetCurrent() {
			remaining[replica.GetStore()] = true
		}
	}
	for _, store := range slices.Concat(s.placement.GetEmptying(), s.placement.GetEmptied()) {
		delete(remaining, store)
	}
	delete(remaining, leaving)
	return remaining
}

// finishEmptying marks an emptying store as emptied once it has no replica and no shard has a rebuilding one.
func (s *State) finishEmptying(edited *protocol.Placement) {
	pending := edited.Emptying[:0]
	for _, store := range edited.Emptying {
		if placement.HasReplica(edited, store) || placement.IsRebuilding(edited) {
			pending = append(pending, store)
			continue
		}
		edited.Emptied = append(edited.Emptied, store)
	}
	edited.Emptying = pending
	slices.Sort(edited.Emptied)
}

// retireStore permanently removes an emptied store: a node with its data folder is never granted a lease again.
func (s *State) retireStore(index uint64, store string) *protocol.CommandResult {
	position, emptied := slices.BinarySearch(s.placement.GetEmptied(), store)
	if !emptied {
		if isRetiredName(s.placement, store) {
			return accept(s.placement.GetEpoch())
		}
		return reject(codeStoreNotEmptied, fmt.Sprintf("store %q is not acknowledged as empty", store),
			fault("store", "must be emptied first"))
	}
	node := findNode(s.membership, store)
	edited := s.editPlacement(index)
	edited.Emptied = slices.Delete(edited.Emptied, position, position+1)
	edited.Retired = append(edited.Retired, &protocol.Replica{Store: store, StorageId: node.GetStorageId()})
	s.placement = edited
	if node != nil {
		s.removeNode(index, &protocol.RemoveNodeCommand{Name: store, Incarnation: node.GetIncarnation(), Reason: "retired"})
	}
	return accept(index)
}

func isRetiredName(table *protocol.Placement, store string) bool {
	return placement.FindReplica(table.GetRetired(), store) != nil
}

// isRetired reports whether the node runs on a retired data folder. A store that was absent when it was retired has no
// storage id on record and is matched by its name alone.
func (s *State) isRetired(node *protocol.Node) bool {
	for _, retired := range s.placement.GetRetired() {
		sameFolder := retired.GetStorageId() == "" || retired.GetStorageId() == node.GetStorageId()
		if retired.GetStore() == node.GetName() && sameFolder {
			return true
		}
	}
	return false
}
