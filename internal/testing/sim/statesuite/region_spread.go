package statesuite

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// spreadBound bounds the time in which the planner spreads each shard once usable stores run in as many regions as a
// shard has replicas. It is less than sim.FaultTimeout, so that a fault waits for it and is not skipped.
const spreadBound = 10 * time.Second

// regionCoverage is since when usable stores run in as many regions as a shard has replicas.
type regionCoverage struct {
	complete bool
	since    time.Duration
}

func (c *regionCoverage) observe(complete bool, now time.Duration) {
	if complete && !c.complete {
		c.since = now
	}
	c.complete = complete
}

// demandsSpread reports whether the planner has had the time to spread each shard.
func (c *regionCoverage) demandsSpread(now time.Duration) bool {
	return c.complete && now-c.since >= spreadBound
}

func (s *suite) observeRegionCoverage(now time.Duration) {
	if len(s.shape.regions) > 0 {
		s.regionCoverage.observe(len(s.usableStoreRegions()) >= replicaCount, now)
	}
}

// usableStoreRegions returns the regions with a running store that no operator has ordered to be emptied, by the zones
// of the machines, not by what the stores report.
func (s *suite) usableStoreRegions() map[string]bool {
	regions := map[string]bool{}
	leader := s.leader()
	if leader == nil {
		return regions
	}
	placement := leader.state.View().Placement
	excluded := slices.Concat(placement.GetEmptying(), placement.GetEmptied())
	for _, machine := range s.world.Machines() {
		if _, runs := machine.Process().(*storeProcess); runs && !slices.Contains(excluded, string(machine.Address())) {
			regions[s.shape.regions[machine.Zone()]] = true
		}
	}
	return regions
}

// shardsTolerate reports whether each shard must stay available during a zone fault: the fault leaves it a majority of
// its replicas, or the planner has had the time to ensure that. Without usable stores in enough regions, as when
// operators emptied all stores of one, two replicas of a shard share a region, and no placement tolerates the loss of
// that one.
func (s *suite) shardsTolerate(fault sim.Fault) bool {
	// Zones that are partitioned only from some others are still connected to the rest.
	if len(fault.Peers) > 0 || s.regionCoverage.demandsSpread(s.world.Elapsed()) {
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

// spread reports whether the replicas of each shard are in different regions.
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
