package placement

import "github.com/rosestand/rosestand/internal/protocol"

// spread holds the failure domains of the stores, and whether the replicas of a shard must be in distinct regions.
type spread struct {
	zones, regions map[string]string
	// distinctRegions is true when the usable stores are in at least as many regions as a shard has replicas.
	distinctRegions bool
}

// newSpread returns the spread for the stores that may take shards, all nodes of the membership view, and the number of
// replicas of a shard.
func newSpread(usable, nodes []*protocol.Node, replicas int) *spread {
	s := &spread{zones: map[string]string{}, regions: map[string]string{}}
	for _, node := range nodes {
		if node.GetKind() == protocol.NodeKind_STORE {
			s.zones[node.GetName()], s.regions[node.GetName()] = node.GetZone(), node.GetRegion()
		}
	}
	s.distinctRegions = replicas > 1 && countRegions(usable) >= replicas
	return s
}

// choose returns a store without a replica, or nil when there is none. It prefers a store in a region without a replica
// where there are enough regions, then one in a zone without a replica, then the least loaded, then the first in order.
func (s *spread) choose(stores []*protocol.Node, replicas []*protocol.Replica, loads map[string]int) *protocol.Node {
	var best *protocol.Node
	minOverlap := 0
	for _, store := range stores {
		if FindReplica(replicas, store.GetName()) != nil {
			continue
		}
		overlap := s.overlap(replicas, store.GetName())
		if best == nil || overlap < minOverlap || (overlap == minOverlap && loads[store.GetName()] < loads[best.GetName()]) {
			best, minOverlap = store, overlap
		}
	}
	return best
}

// overlap ranks the failure domains that a store shares with the replicas: 0 for none, 1 for a zone, 2 for a region, 3
// for both. Regions count only where there are enough of them.
func (s *spread) overlap(replicas []*protocol.Replica, store string) int {
	overlap := 0
	if s.distinctRegions && sharesDomain(s.regions, replicas, store) {
		overlap += 2
	}
	if sharesDomain(s.zones, replicas, store) {
		overlap++
	}
	return overlap
}

// preservesRegions reports whether the replicas are in at least as many known regions after a move as before.
func (s *spread) preservesRegions(replicas []*protocol.Replica, leaving, target string) bool {
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

// sharesDomain reports whether one of the replicas is in the same failure domain as the store.
func sharesDomain(domains map[string]string, replicas []*protocol.Replica, store string) bool {
	for _, replica := range replicas {
		if domain, known := domains[replica.GetStore()]; known && domain == domains[store] {
			return true
		}
	}
	return false
}
