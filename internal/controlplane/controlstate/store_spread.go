package controlstate

import (
	"fmt"

	"github.com/rosestand/rosestand/internal/protocol"
)

// refuseLostSpread refuses to empty a store when the replicas of a shard can stand in distinct zones, or in distinct
// regions, with it and can't without it. It returns nil when the order may be taken: also where that spread is out of
// reach already, and for a store that is away itself.
func (s *State) refuseLostSpread(leaving string, kept map[string]bool) *protocol.CommandResult {
	store, replicas := findNode(s.membership, leaving), replicaCount(s.placement)
	if store == nil {
		return nil
	}
	zones, regions, away := s.placesOf(kept)
	// Where a store stands that is away is not known. It counts as a zone of its own, so that no order is refused because
	// another store restarts.
	if left := len(zones) + away; !zones[store.GetZone()] && left == replicas-1 {
		return refuseLastOf("zone", store, left, replicas)
	}
	// It doesn't count as a region: the stores of a region that is cut off are away together, and may be for long.
	before := len(regions) + 1 + min(away, 1)
	if left := len(regions); !regions[store.GetRegion()] && left < replicas && before >= replicas {
		return refuseLastOf("region", store, left, replicas)
	}
	return nil
}

// placesOf gives the zones and regions of those stores that are present, and how many are away.
func (s *State) placesOf(stores map[string]bool) (zones, regions map[string]bool, away int) {
	zones, regions, away = map[string]bool{}, map[string]bool{}, len(stores)
	for _, node := range s.membership.GetNodes() {
		if stores[node.GetName()] {
			zones[node.GetZone()], regions[node.GetRegion()] = true, true
			away--
		}
	}
	return zones, regions, away
}

func refuseLastOf(place string, store *protocol.Node, left, needed int) *protocol.CommandResult {
	return refuse(TooFewStores, fmt.Sprintf("%q is the last store of its %s: without it there would be stores in %d, %d are needed",
		store.GetName(), place, left, needed), fault("store", "is needed"))
}
