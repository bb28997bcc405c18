package statesuite

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	minZoneFaultDuration = time.Minute
	maxZoneFaultDuration = 4 * time.Minute
	// repairBound bounds the time after a zone fault until each shard has all replicas, spread over the regions.
	repairBound = time.Minute
	// lowLoadFactor lengthens the intervals of the load once the ordinary faults have ended and a zone fault continues.
	lowLoadFactor = 25
)

// zoneFault is the newest applied zone fault.
type zoneFault struct {
	fault sim.Fault
	ends  time.Duration
	// tolerable is true when the fleet was complete, a majority of the core's voters is elsewhere and the shards tolerate
	// it.
	tolerable bool
}

func isZoneFault(kind sim.FaultKind) bool {
	return slices.Contains([]sim.FaultKind{
		sim.FaultZonePartition, sim.FaultZoneOutboundPartition,
		sim.FaultZoneInboundPartition, sim.FaultZonePowerLoss,
	}, kind)
}

// loadInterval lengthens the intervals of the load once the ordinary faults of a fleet with regions have ended.
func (s *suite) loadInterval(interval time.Duration) time.Duration {
	if len(s.shape.regions) > 0 && s.world.Elapsed() > faultsEnd+maxFaultDuration {
		return interval * lowLoadFactor
	}
	return interval
}

// zoneFaults plans one zone fault among the ordinary faults, and another one when the fleet has recovered.
func (s *suite) zoneFaults(random *rand.Rand) []sim.Fault {
	if len(s.shape.regions) == 0 {
		return nil
	}
	first := s.drawZoneFault(random)
	first.At = 8*time.Second + time.Duration(random.Int64N(int64(8*time.Second)))
	second := s.drawZoneFault(random)
	second.At = first.At + first.Duration + sim.FaultTimeout + recoveryBound + repairBound
	return []sim.Fault{first, second}
}

func (s *suite) drawZoneFault(random *rand.Rand) sim.Fault {
	regions := []string{"north", "east", "west"}
	random.Shuffle(len(regions), func(i, j int) { regions[i], regions[j] = regions[j], regions[i] })
	spread := int64(maxZoneFaultDuration - minZoneFaultDuration)
	fault := sim.Fault{Duration: minZoneFaultDuration + time.Duration(random.Int64N(spread))}
	fault.Targets = targetsOf(s.shape.zonesIn(regions[0]))
	partitions := []sim.FaultKind{sim.FaultZonePartition, sim.FaultZoneOutboundPartition, sim.FaultZoneInboundPartition}
	switch random.IntN(6) {
	case 0, 1, 2:
		fault.Kind = partitions[random.IntN(len(partitions))]
	case 3:
		fault.Kind = partitions[random.IntN(len(partitions))]
		fault.Peers = targetsOf(s.shape.zonesIn(regions[1]))
	case 4:
		fault.Kind = sim.FaultZonePowerLoss
	case 5:
		fault.Kind, fault.Targets = sim.FaultZonePowerLoss, fault.Targets[:1]
	}
	return fault
}

func targetsOf(zones []string) []sim.Address {
	var targets []sim.Address
	for _, zone := range zones {
		targets = append(targets, sim.InZone(zone))
	}
	return targets
}

// mayApplyZoneFault allows a zone fault at any time among the ordinary faults, and later only when the fleet tolerates
// it.
func (s *suite) mayApplyZoneFault(fault sim.Fault) bool {
	tolerable := s.coreComplete() && s.storesComplete() && !s.replacingMember &&
		s.votersIn(sim.ZonesOf(fault.Targets)) <= s.shape.voters/2 && s.shardsTolerate(fault)
	if !tolerable && s.world.Elapsed() > faultsEnd {
		return false
	}
	now := s.world.Elapsed()
	s.zoneFault = zoneFault{fault: fault, ends: now + fault.Duration, tolerable: tolerable}
	return true
}

func (s *suite) votersIn(zones []string) int {
	configuration, _ := s.leader().node.Configuration()
	count := 0
	for _, id := range consensus.Voters(configuration) {
		if slices.Contains(zones, consensus.Member(configuration, id).GetZone()) {
			count++
		}
	}
	return count
}

// runZoneFaults runs through the zone faults and checks during and after each that requests are served.
func (s *suite) runZoneFaults(faults []sim.Fault) {
	for _, planned := range faults {
		if !isZoneFault(planned.Kind) {
			continue
		}
		for s.zoneFault.fault.At != planned.At && s.world.Elapsed() < planned.At+sim.FaultTimeout {
			if !s.world.RunUntil(s.world.Elapsed() + sim.FaultRetryInterval) {
				return
			}
		}
		if s.zoneFault.fault.At == planned.At && !s.runZoneFault() {
			return
		}
	}
}

func (s *suite) runZoneFault() bool {
	current := s.zoneFault
	served := s.frontsOutside(sim.ZonesOf(current.fault.Targets))
	if len(current.fault.Peers) > 0 {
		// Of two partitioned regions the one without the leader may lose the core; the third is connected to both.
		served = s.frontsOutside(sim.ZonesOf(slices.Concat(current.fault.Targets, current.fault.Peers)))
	}
	if !current.tolerable {
		served = nil
	}
	middle := s.world.Elapsed() + (current.ends-s.world.Elapsed())/2
	return s.mustServe(s.rules.servedDuringZoneFault, served) &&
		s.world.RunUntil(max(middle, s.world.Elapsed())) && s.mustServe(s.rules.servedDuringZoneFault, served) &&
		s.world.RunUntil(max(current.ends, s.world.Elapsed())) && s.mustServe(s.rules.servedAfterZoneFault,
		s.frontsOutside(nil)) && s.mustRepair()
}

func (s *suite) frontsOutside(zones []string) []sim.Address {
	return slices.DeleteFunc(s.addresses(RoleFront), func(address sim.Address) bool {
		return slices.Contains(zones, s.world.Machine(address).Zone())
	})
}

// mustServe has each given front node change a register in every shard and read from the core.
func (s *suite) mustServe(rule *sim.Rule, fronts []sim.Address) bool {
	if len(fronts) == 0 {
		return true
	}
	rule.Provoke()
	begun := s.world.Elapsed()
	s.probeRound++
	unserved := map[string]bool{}
	for _, address := range fronts {
		for shard := range uint32(shardCount) {
			name := fmt.Sprintf("%s at shard %d", address, shard)
			unserved[name] = true
			program := programIn(shard, fmt.Sprintf("cut-%d-%s", s.probeRound, address))
			s.probeShardFrom(address, program, func() { delete(unserved, name) })
		}
		name := fmt.Sprintf("%s at the core", address)
		unserved[name] = true
		s.probeCoreFrom(address, func() { delete(unserved, name) })
	}
	if !s.runUntil(begun+recoveryBound, func() bool { return len(unserved) == 0 }) {
		return false
	}
	if len(unserved) > 0 {
		rule.Violatef("not served for %s from %s on, with %s: %v", recoveryBound, begun, s.zoneFault.fault,
			sortedKeys(unserved))
	}
	return len(unserved) == 0
}

// mustRepair waits until core and stores are complete and the replicas of each shard are in different regions.
func (s *suite) mustRepair() bool {
	s.rules.spreadAfterZoneFault.Provoke()
	for end := s.world.Elapsed() + repairBound; s.world.Elapsed() < end; {
		if s.coreComplete() && s.storesComplete() && s.spread() {
			return true
		}
		if !s.world.RunUntil(s.world.Elapsed() + 100*time.Millisecond) {
			return false
		}
	}
	s.rules.spreadAfterZoneFault.Violatef("core complete %v, stores complete %v, spread %v %s after %s",
		s.coreComplete(), s.storesComplete(), s.spread(), repairBound, s.zoneFault.fault)
	return false
}
