package placement

import "github.com/rosestand/rosestand/internal/protocol"

// spread knows the failure domains of the stores, and which of them the replicas of a shard must not share.
type spread struct {
	zones, regions map[string]string
	// overRegions is true when the usable stores are in as many regions as a shard has replicas.
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

// choose picks among the stores without a replica: one in a region of its own first where there are enough regions,
// then one in a zone of its own, then that with the least load, then the first.
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

// overlap is 0 for a store apart from all replicas, 1 in a shared zone, 2 or 3 in a shared region.
func (s *spread) overlap(replicas []*protocol.Replica, store string) int {
	overlap := 0
	if s.overRegions && sharesDomain(s.regions, replicas, store) {
		overlap += 2
	}
	if sharesDomain(s.zones, replicas, store) {
		overlap++
	}
	return overlap
}

// preservesRegions reports whether the replicas are in as many known regions after the move as before.
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

// sharesDomain reports whether a replica is in the same failure domain as the store.
func sharesDomain(domains map[string]string, replicas []*protocol.Replica, store string) bool {
	for _, replica := range replicas {
		if domain, known := domains[replica.GetStore()]; known && domain == domains[store] {
			return true
		}
	}
	return false
}
