package statesuite

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// partWithin is the time in which the planner must have spread each shard once stores that may hold shards stand in as
// many regions as a shard has replicas. It is less than sim.FaultPatience, so that a fault waits for it and is not left out.
const partWithin = 10 * time.Second

// regionCover tells since when stores that may hold shards run in as many regions as a shard has replicas.
type regionCover struct {
	complete bool
	since    time.Duration
}

func (c *regionCover) observe(complete bool, now time.Duration) {
	if complete && !c.complete {
		c.since = now
	}
	c.complete = complete
}

// demandsSpread reports that the planner has had the time to spread each shard.
func (c *regionCover) demandsSpread(now time.Duration) bool {
	return c.complete && now-c.since >= partWithin
}

func (s *suite) observeRegions(now time.Duration) {
	if len(s.shape.regions) > 0 {
		s.regionCover.observe(len(s.usableStoreRegions()) >= replicaCount, now)
	}
}

// usableStoreRegions are the regions with a running store that no operator has ordered to be emptied. They are those of the
// machines, whatever the stores say of themselves.
func (s *suite) usableStoreRegions() map[string]bool {
	regions := map[string]bool{}
	leader := s.leader()
	if leader == nil {
		return regions
	}
	placement := leader.state.View().Placement
	leaving := slices.Concat(placement.GetEmptying(), placement.GetEmptied())
	for _, machine := range s.world.Machines() {
		if _, runs := machine.Process().(*storeProcess); runs && !slices.Contains(leaving, string(machine.Address())) {
			regions[s.shape.regions[machine.Zone()]] = true
		}
	}
	return regions
}

// shardsMustBear says that a fault of zones must leave each shard served: it leaves each a majority of its replicas, or
// the planner has had the time to see to that. Without usable stores in enough regions, as when operators emptied all
// stores of one, two replicas of a shard have to share a region, and no placement bears the loss of that one.
func (s *suite) shardsMustBear(fault sim.Fault) bool {
	// Zones that are cut only from some others are still reached by the rest.
	if len(fault.Peers) > 0 || s.regionCover.demandsSpread(s.world.Elapsed()) {
		return true
	}
	zones := sim.ZonesOf(fault.Targets)
	for _, shard := range s.leader().state.View().Placement.GetShards() {
		if s.replicasIn(shard, zones) > replicaCount/2 {
			return false
		}
	}
	return true
}

func (s *suite) replicasIn(shard *protocol.ShardPlacement, zones []string) int {
	count := 0
	for _, replica := range shard.GetCurrent() {
		if slices.Contains(zones, s.world.Machine(sim.Address(replica.GetStore())).Zone()) {
			count++
		}
	}
	return count
}

// spread reports whether each shard stands in as many regions as it has replicas.
func (s *suite) spread() bool {
	leader := s.leader()
	if leader == nil {
		return false
	}
	for _, shard := range leader.state.View().Placement.GetShards() {
		regions := map[string]bool{}
		for _, replica := range shard.GetCurrent() {
			regions[s.shape.regions[s.world.Machine(sim.Address(replica.GetStore())).Zone()]] = true
		}
		if len(regions) < replicaCount {
			return false
		}
	}
	return true
}
