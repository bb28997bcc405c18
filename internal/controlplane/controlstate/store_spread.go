package controlstate

import (
	"fmt"

	"github.com/rosestand/rosestand/internal/controlplane/placement"
	"github.com/rosestand/rosestand/internal/protocol"
)

// checkSpread rejects the emptying of a store when the replicas of a shard can be in distinct zones, or in distinct
// regions, with the store but not without it. It returns nil when the order may be accepted, which includes a spread
// that is not possible with the store either, and a store that is absent.
func (s *State) checkSpread(leaving string, remaining map[string]bool) *protocol.CommandResult {
	store, replicas := findNode(s.membership, leaving), placement.ReplicaCount(s.placement)
	if store == nil {
		return nil
	}
	zones, regions, absent := s.failureDomains(remaining)
	// The zone of an absent store is unknown. Each absent store counts as a zone of its own, so that an order is not
	// rejected because another store restarts.
	if left := len(zones) + absent; !zones[store.GetZone()] && left == replicas-1 {
		return rejectLastStore("zone", store, left, replicas)
	}
	// Absent stores count as one region before the store is emptied, and as none after it: the stores of a partitioned
	// region are absent together, possibly for a long time.
	before := len(regions) + 1 + min(absent, 1)
	if left := len(regions); !regions[store.GetRegion()] && left < replicas && before >= replicas {
		return rejectLastStore("region", store, left, replicas)
	}
	return nil
}

// failureDomains returns the zones and regions of the stores that are present, and the number of absent ones.
func (s *State) failureDomains(stores map[string]bool) (zones, regions map[string]bool, absent int) {
	zones, regions, absent = map[string]bool{}, map[string]bool{}, len(stores)
	for _, node := range s.membership.GetNodes() {
		if stores[node.GetName()] {
			zones[node.GetZone()], regions[node.GetRegion()] = true, true
			absent--
		}
	}
	return zones, regions, absent
}

func rejectLastStore(domain string, store *protocol.Node, remaining, needed int) *protocol.CommandResult {
	message := fmt.Sprintf("%q is the last store of its %s: without it there would be stores in %d, %d are needed",
		store.GetName(), domain, remaining, needed)
	return reject(codeTooFewStores, message, fault("store", "is needed"))
}
