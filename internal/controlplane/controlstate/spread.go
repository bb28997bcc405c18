package controlstate

import "github.com/rosestand/rosestand/internal/protocol"

// spread knows where the stores stand and how far the replicas of a shard are to be apart.
type spread struct {
	zones, regions map[string]string
	// overRegions is true when the usable stores stand in as many regions as a shard has replicas.
	overRegions bool
}

// newSpread takes the stores that may take shards, all nodes that are known, and the number of replicas of a shard.
func newSpread(usable, nodes []*protocol.Node, replicas int) *spread {
	s := &spread{zones: map[string]string{}, regions: map[string]string{}}
	for _, node := range nodes {
		if node.GetKind() == protocol.NodeKind_STORE {
			s.zones[node.GetName()], s.regions[node.GetName()] = node.GetZone(), node.GetRegion()
		}
	}
	s.overRegions = replicas > 1 && countRegions(usable) >= replicas
	return s
}

// pick chooses among stores not yet taken: a region of its own first where there are regions enough, then a zone of
// its own, then the least load, then the name.
func (s *spread) pick(stores []*protocol.Node, held []*protocol.Replica, loads map[string]int) *protocol.Node {
	var best *protocol.Node
	bestShares := 0
	for _, store := range stores {
		if findReplica(held, store.GetName()) != nil {
			continue
		}
		shares := s.shares(held, store.GetName())
		if best == nil || shares < bestShares || (shares == bestShares && loads[store.GetName()] < loads[best.GetName()]) {
			best, bestShares = store, shares
		}
	}
	return best
}

// shares is 0 for a store apart from all replicas, 1 in a shared zone, 2 or 3 in a shared region.
func (s *spread) shares(held []*protocol.Replica, store string) int {
	shares := 0
	if s.overRegions && taken(s.regions, held, store) {
		shares += 2
	}
	if taken(s.zones, held, store) {
		shares++
	}
	return shares
}

// keepsRegions reports whether the replicas stand in as many known regions after the move as before.
func (s *spread) keepsRegions(replicas []*protocol.Replica, leaving, target string) bool {
	before, after := map[string]bool{}, map[string]bool{s.regions[target]: true}
	for _, replica := range replicas {
		region, known := s.regions[replica.GetStore()]
		if !known {
			continue
		}
		before[region] = true
		if replica.GetStore() != leaving {
			after[region] = true
		}
	}
	return len(after) >= len(before)
}

// taken reports whether a replica stands in the same place as the store.
func taken(places map[string]string, replicas []*protocol.Replica, store string) bool {
	for _, replica := range replicas {
		if place, known := places[replica.GetStore()]; known && place == places[store] {
			return true
		}
	}
	return false
}

// replicaCount is the number of replicas of each shard; zero before the first placement.
func replicaCount(placement *protocol.Placement) int {
	if len(placement.GetShards()) == 0 {
		return 0
	}
	return len(placement.GetShards()[0].GetCurrent())
}

func countRegions(stores []*protocol.Node) int {
	regions := map[string]bool{}
	for _, store := range stores {
		regions[store.GetRegion()] = true
	}
	return len(regions)
}

// CountStoreZones gives the number of distinct zones with a store that may take shards.
func CountStoreZones(placement *protocol.Placement, nodes []*protocol.Node) int {
	return countZones(UsableStores(placement, nodes))
}

func countZones(stores []*protocol.Node) int {
	zones := map[string]bool{}
	for _, store := range stores {
		zones[store.GetZone()] = true
	}
	return len(zones)
}
