package servingsuite

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

// Numbers and sizes of faults and bursts.
const (
	burstCount           = 3
	burstRequests        = 220
	urgentBurstCount     = 2
	urgentBurstRequests  = 260
	faultModeCount       = 8
	minFaultModeDuration = time.Second
	maxFaultModeDuration = 5 * time.Second
	releaseInterval      = 1500 * time.Millisecond
	processFaults        = 5
	coreFaults           = 2
	serverFaults         = 4
	storeFaults          = 3
	quickRestarts        = 4
	minFaultDuration     = 100 * time.Millisecond
	maxFaultDuration     = 5 * time.Second
	// maxQuickRestart bounds restarts that are over before front nodes detect them.
	maxQuickRestart = 150 * time.Millisecond
	// burstTail is how long a burst keeps the fleet loaded.
	burstTail = 4 * time.Second
)

// planRun plans the run before it begins, so that the schedule of a failing run can be shrunk.
func (s *suite) planRun() {
	s.faultsOver = faultsBegin
	faults := s.options.Faults
	if faults == nil {
		faults = s.drawFaults()
	}
	s.scheduleFaults(faults)
	if s.enabled(ScenarioBursts) {
		s.planBursts()
	}
	if s.enabled(ScenarioServerFaults) {
		s.planFaultModes()
	}
	s.world.After(s.faultsOver, s.probe)
	s.world.After(s.faultsOver+recoveryBound, func() { s.rules.checkRecovery() })
}

func (s *suite) drawFaults() []sim.Fault {
	random := s.world.Random("faults")
	var faults []sim.Fault
	drawUpTo := func(maxDuration time.Duration, count int, group []sim.Address, kinds ...sim.FaultKind) {
		faults = append(faults, sim.GenerateSchedule(random, sim.Plan{
			Kinds: kinds, Groups: [][]sim.Address{group}, Count: count, Begin: faultsBegin, End: faultsEnd,
			MinimumDuration: minFaultDuration, MaximumDuration: maxDuration,
		})...)
	}
	draw := func(count int, group []sim.Address, kinds ...sim.FaultKind) {
		drawUpTo(maxFaultDuration, count, group, kinds...)
	}
	partitions := []sim.FaultKind{sim.FaultPartition, sim.FaultOutboundPartition, sim.FaultInboundPartition}
	if s.enabled(ScenarioServerFaults) {
		draw(serverFaults, s.models, sim.FaultCrash, sim.FaultPowerLoss, sim.FaultFreeze)
		drawUpTo(maxQuickRestart, quickRestarts, s.models, sim.FaultCrash)
		draw(1, s.tools, sim.FaultCrash, sim.FaultFreeze)
	}
	if s.enabled(ScenarioProcessFaults) {
		draw(processFaults, s.fronts, append(partitions, sim.FaultCrash, sim.FaultPowerLoss, sim.FaultFreeze,
			sim.FaultFreeze)...)
		draw(coreFaults, []sim.Address{coreAddress}, append(partitions, sim.FaultCrash, sim.FaultFreeze)...)
	}
	if s.enabled(ScenarioStoreFaults) {
		draw(storeFaults, []sim.Address{ledgerAddress}, append(partitions, sim.FaultCrash, sim.FaultFreeze)...)
	}
	return faults
}

// scheduleFaults schedules and counts the faults and records when machines are frozen.
func (s *suite) scheduleFaults(faults []sim.Fault) {
	for _, fault := range faults {
		s.faultsOver = max(s.faultsOver, fault.At+fault.Duration)
		s.world.After(fault.At, func() { s.countFault(fault) })
		if fault.Kind != sim.FaultFreeze {
			continue
		}
		for _, target := range fault.Targets {
			s.frozen[target] = append(s.frozen[target], timeRange{from: fault.At, until: fault.At + fault.Duration})
		}
	}
	s.world.Schedule(faults)
}

func (s *suite) countFault(fault sim.Fault) {
	for _, target := range fault.Targets {
		switch {
		case target == coreAddress:
			s.count(CoreFaults)
		case target == ledgerAddress:
			s.count(StoreFaults)
		case s.isFront(target):
			s.count(FrontFaults)
		case fault.Kind != sim.FaultFreeze:
			s.count(ServersCrashed)
		}
	}
}

func (s *suite) isFront(address sim.Address) bool {
	return slices.Contains(s.fronts, address)
}

// wasFrozen reports whether a machine was frozen at any time between two moments.
func (s *suite) wasFrozen(address sim.Address, from, until time.Duration) bool {
	for _, frozen := range s.frozen[address] {
		if frozen.from <= until && frozen.until >= from {
			return true
		}
	}
	return false
}

func momentBetween(random *rand.Rand, from, until time.Duration) time.Duration {
	return from + time.Duration(random.Int64N(int64(until-from)))
}

func (s *suite) planBursts() {
	random := s.world.Random("bursts")
	for range burstCount {
		s.planBurst(random, Bursts, burstRequests, false)
	}
	for range urgentBurstCount {
		s.planBurst(random, UrgentBursts, urgentBurstRequests, true)
	}
}

func (s *suite) planBurst(random *rand.Rand, effect Count, requests int, urgent bool) {
	at := momentBetween(random, faultsBegin, faultsEnd)
	s.faultsOver = max(s.faultsOver, at+burstTail)
	s.world.After(at, func() {
		s.count(effect)
		s.callers.burst(requests, urgent)
	})
}

// planFaultModes puts single servers into fault modes for a while, and once all model servers at the same time.
func (s *suite) planFaultModes() {
	random := s.world.Random("moods")
	servers := append(append([]sim.Address(nil), s.models...), s.tools...)
	modes := []faultMode{modeGreyFailure, modeAnswerLoss, modeLateAnswers, modeFlapping}
	for index := range faultModeCount {
		target := servers[random.IntN(len(servers))]
		at := momentBetween(random, faultsBegin, faultsEnd)
		s.planFaultMode(target, modes[index%len(modes)], at,
			momentBetween(random, minFaultModeDuration, maxFaultModeDuration))
	}
	at := momentBetween(random, faultsBegin, faultsEnd)
	s.world.After(at, func() { s.count(GreyGroups) })
	for _, target := range s.models {
		s.planFaultMode(target, modeGreyFailure, at, minFaultModeDuration)
	}
}

// planFaultMode puts one server into a fault mode for a while.
func (s *suite) planFaultMode(target sim.Address, mode faultMode, at, duration time.Duration) {
	s.faultsOver = max(s.faultsOver, at+duration)
	s.world.After(at, func() { s.faultModes[target] = mode })
	s.world.After(at+duration, func() {
		if s.faultModes[target] == mode {
			s.faultModes[target] = modeHealthy
		}
	})
}

// probe sends requests to every front node once the last fault is over.
func (s *suite) probe() {
	for _, address := range s.fronts {
		s.callers.probe(address, ledgeredTurn)
		s.callers.probe(address, nonIdempotentCall)
	}
}
