package statesuite

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	shortestZoneFault = time.Minute
	longestZoneFault  = 4 * time.Minute
	// settleWithin is the time after a fault of zones in which each shard must be whole and spread over the regions again.
	settleWithin = time.Minute
	// calmPauses is how much less load there is once the ordinary faults have ended and a fault of zones goes on.
	calmPauses = 25
)

// zoneFault is the newest fault of whole zones.
type zoneFault struct {
	fault sim.Fault
	ends  time.Duration
	// borne is true when the fleet was whole, a majority of the core's voters stood elsewhere, and each shard had to bear it.
	borne bool
}

func isZoneFault(kind sim.FaultKind) bool {
	return slices.Contains([]sim.FaultKind{sim.FaultZonePartition, sim.FaultZoneOutboundPartition, sim.FaultZoneInboundPartition, sim.FaultZonePowerLoss}, kind)
}

// pause lengthens the pauses of the load once the ordinary faults of a fleet with regions have ended.
func (s *suite) pause(usual time.Duration) time.Duration {
	if len(s.shape.regions) > 0 && s.world.Elapsed() > faultsEnd+maximumFault {
		return usual * calmPauses
	}
	return usual
}

// zoneFaults plans one fault of zones among the ordinary ones, and one after it from which the fleet was whole.
func (s *suite) zoneFaults(random *rand.Rand) []sim.Fault {
	if len(s.shape.regions) == 0 {
		return nil
	}
	first := s.drawZoneFault(random)
	first.At = 8*time.Second + time.Duration(random.Int64N(int64(8*time.Second)))
	second := s.drawZoneFault(random)
	second.At = first.At + first.Duration + sim.FaultTimeout + comeBack + settleWithin
	return []sim.Fault{first, second}
}

func (s *suite) drawZoneFault(random *rand.Rand) sim.Fault {
	regions := []string{"north", "east", "west"}
	random.Shuffle(len(regions), func(i, j int) { regions[i], regions[j] = regions[j], regions[i] })
	fault := sim.Fault{Duration: shortestZoneFault + time.Duration(random.Int64N(int64(longestZoneFault-shortestZoneFault)))}
	fault.Targets = targetsOf(s.shape.zonesIn(regions[0]))
	cuts := []sim.FaultKind{sim.FaultZonePartition, sim.FaultZoneOutboundPartition, sim.FaultZoneInboundPartition}
	switch random.IntN(6) {
	case 0, 1, 2:
		fault.Kind = cuts[random.IntN(len(cuts))]
	case 3:
		fault.Kind = cuts[random.IntN(len(cuts))]
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

// mayStrikeZones lets a fault of zones strike at any time among the ordinary ones, and later only when the fleet can bear it.
func (s *suite) mayStrikeZones(fault sim.Fault) bool {
	borne := s.coreWhole() && s.storesWhole() && !s.swapping &&
		s.votersIn(sim.ZonesOf(fault.Targets)) <= s.shape.voters/2 && s.shardsMustBear(fault)
	if !borne && s.world.Elapsed() > faultsEnd {
		return false
	}
	now := s.world.Elapsed()
	s.zoneFault = zoneFault{fault: fault, ends: now + fault.Duration, borne: borne}
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

// passZoneFaults runs through the faults of zones and looks during each, and after it, who is served.
func (s *suite) passZoneFaults(faults []sim.Fault) {
	for _, planned := range faults {
		if !isZoneFault(planned.Kind) {
			continue
		}
		for s.zoneFault.fault.At != planned.At && s.world.Elapsed() < planned.At+sim.FaultTimeout {
			if !s.world.RunUntil(s.world.Elapsed() + sim.FaultRetryInterval) {
				return
			}
		}
		if s.zoneFault.fault.At == planned.At && !s.passZoneFault() {
			return
		}
	}
}

func (s *suite) passZoneFault() bool {
	struck := s.zoneFault
	served := s.frontsOutside(sim.ZonesOf(struck.fault.Targets))
	if len(struck.fault.Peers) > 0 {
		// Of two regions that are cut from each other the one without the leader may lose the core; the third reaches both.
		served = s.frontsOutside(sim.ZonesOf(slices.Concat(struck.fault.Targets, struck.fault.Peers)))
	}
	if !struck.borne {
		served = nil
	}
	middle := s.world.Elapsed() + (struck.ends-s.world.Elapsed())/2
	return s.mustServe(s.rules.servedElsewhere, served) &&
		s.world.RunUntil(max(middle, s.world.Elapsed())) && s.mustServe(s.rules.servedElsewhere, served) &&
		s.world.RunUntil(max(struck.ends, s.world.Elapsed())) && s.mustServe(s.rules.servedAfterHealing, s.frontsOutside(nil)) && s.mustSettle()
}

func (s *suite) frontsOutside(zones []string) []sim.Address {
	return slices.DeleteFunc(s.addresses(RoleFront), func(address sim.Address) bool {
		return slices.Contains(zones, s.world.Machine(address).Zone())
	})
}

// mustServe has each of some front nodes change a register in every shard and read from the core.
func (s *suite) mustServe(rule *sim.Rule, fronts []sim.Address) bool {
	if len(fronts) == 0 {
		return true
	}
	rule.Provoke()
	begun := s.world.Elapsed()
	s.probeRounds++
	left := map[string]bool{}
	for _, address := range fronts {
		for shard := range uint32(shardCount) {
			name := fmt.Sprintf("%s at shard %d", address, shard)
			left[name] = true
			program := newProgramIn(shard, fmt.Sprintf("cut-%d-%s", s.probeRounds, address))
			s.probeFrom(address, program, func() { delete(left, name) })
		}
		name := fmt.Sprintf("%s at the core", address)
		left[name] = true
		s.probeCoreFrom(address, func() { delete(left, name) })
	}
	for end := begun + comeBack; s.world.Elapsed() < end && len(left) > 0; {
		if !s.world.RunUntil(s.world.Elapsed() + 100*time.Millisecond) {
			return false
		}
	}
	if len(left) > 0 {
		rule.Violatef("not served for %s from %s on, with %s: %v", comeBack, begun, s.zoneFault.fault, sortedKeys(left))
	}
	return len(left) == 0
}

func newProgramIn(shard uint32, prefix string) string {
	for number := 0; ; number++ {
		if name := fmt.Sprintf("%s-%d", prefix, number); ledger.ShardOf(name, shardCount) == shard {
			return name
		}
	}
}

func (s *suite) probeFrom(address sim.Address, program string, done func()) {
	again := func() { s.world.After(scriptPause, func() { s.probeFrom(address, program, done) }) }
	prober, runs := s.world.Machine(address).Process().(*front)
	if !runs {
		again()
		return
	}
	open := operationOf(program)
	open.Body = &protocol.LedgerOperation_OpenProgram{OpenProgram: &protocol.OpenProgram{Tenant: "tenant", Budget: 1}}
	prober.apply(open, func(result *protocol.LedgerResult) {
		if result.GetStatus() == protocol.LedgerStatus_LEDGER_OK {
			done()
			return
		}
		again()
	})
}

func (s *suite) probeCoreFrom(address sim.Address, done func()) {
	again := func() { s.world.After(scriptPause, func() { s.probeCoreFrom(address, done) }) }
	prober, runs := s.world.Machine(address).Process().(*front)
	if !runs {
		again()
		return
	}
	prober.link.call(coreRead{}, operatorPatience, func(answer any) {
		if _, read := answer.(readReply); read {
			done()
			return
		}
		again()
	})
}

// mustSettle waits until core and stores are whole and each shard stands in as many regions as it has replicas.
func (s *suite) mustSettle() bool {
	s.rules.spreadAgain.Provoke()
	for end := s.world.Elapsed() + settleWithin; s.world.Elapsed() < end; {
		if s.coreWhole() && s.storesWhole() && s.spread() {
			return true
		}
		if !s.world.RunUntil(s.world.Elapsed() + 100*time.Millisecond) {
			return false
		}
	}
	s.rules.spreadAgain.Violatef("core whole %v, stores whole %v, spread %v %s after %s",
		s.coreWhole(), s.storesWhole(), s.spread(), settleWithin, s.zoneFault.fault)
	return false
}
