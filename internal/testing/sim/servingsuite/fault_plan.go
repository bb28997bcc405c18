package servingsuite

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

// Sizes of bad days.
const (
	burstCount      = 3
	burstRequests   = 220
	herdCount       = 2
	herdRequests    = 260
	moodCount       = 8
	shortestMood    = time.Second
	longestMood     = 5 * time.Second
	releaseInterval = 1500 * time.Millisecond
	processFaults   = 5
	coreFaults      = 2
	serverFaults    = 4
	storeFaults     = 3
	quickRestarts   = 4
	shortestFault   = 100 * time.Millisecond
	longestFault    = 5 * time.Second
	// shortestRestart bounds restarts that are over before front nodes know of them.
	shortestRestart = 150 * time.Millisecond
	// burstTail is how long a burst keeps the fleet busy.
	burstTail = 4 * time.Second
)

// planDays plans the run before it begins, so that a failing run can be shrunk to the faults that matter.
func (s *suite) planDays() {
	s.healed = daysBegin
	faults := s.options.Faults
	if faults == nil {
		faults = s.drawFaults()
	}
	s.planFaults(faults)
	if s.has(KindBursts) {
		s.planBursts()
	}
	if s.has(KindServers) {
		s.planMoods()
	}
	s.world.After(s.healed, s.probe)
	s.world.After(s.healed+backWithin, func() { s.rules.serviceIsBack() })
}

func (s *suite) drawFaults() []sim.Fault {
	random := s.world.Random("faults")
	var faults []sim.Fault
	planUpTo := func(longest time.Duration, count int, group []sim.Address, kinds ...sim.FaultKind) {
		faults = append(faults, sim.GenerateSchedule(random, sim.Plan{
			Kinds: kinds, Groups: [][]sim.Address{group}, Count: count, Begin: daysBegin, End: daysEnd,
			MinimumDuration: shortestFault, MaximumDuration: longest,
		})...)
	}
	plan := func(count int, group []sim.Address, kinds ...sim.FaultKind) {
		planUpTo(longestFault, count, group, kinds...)
	}
	cuts := []sim.FaultKind{sim.FaultPartition, sim.FaultOutboundPartition, sim.FaultInboundPartition}
	if s.has(KindServers) {
		plan(serverFaults, s.models, sim.FaultCrash, sim.FaultPowerLoss, sim.FaultFreeze)
		planUpTo(shortestRestart, quickRestarts, s.models, sim.FaultCrash)
		plan(1, s.tools, sim.FaultCrash, sim.FaultFreeze)
	}
	if s.has(KindProcesses) {
		plan(processFaults, s.fronts, append(cuts, sim.FaultCrash, sim.FaultPowerLoss, sim.FaultFreeze, sim.FaultFreeze)...)
		plan(coreFaults, []sim.Address{coreAddress}, append(cuts, sim.FaultCrash, sim.FaultFreeze)...)
	}
	if s.has(KindStores) {
		plan(storeFaults, []sim.Address{ledgerAddress}, append(cuts, sim.FaultCrash, sim.FaultFreeze)...)
	}
	return faults
}

// planFaults counts the faults as they come and notes which machines stand still.
func (s *suite) planFaults(faults []sim.Fault) {
	for _, fault := range faults {
		s.healed = max(s.healed, fault.At+fault.Duration)
		s.world.After(fault.At, func() { s.countFault(fault) })
		if fault.Kind != sim.FaultFreeze {
			continue
		}
		for _, target := range fault.Targets {
			s.frozen[target] = append(s.frozen[target], span{from: fault.At, until: fault.At + fault.Duration})
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

// stoodStill says whether a machine was frozen at any time between two moments.
func (s *suite) stoodStill(address sim.Address, from, until time.Duration) bool {
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
		at := momentBetween(random, daysBegin, daysEnd)
		s.healed = max(s.healed, at+burstTail)
		s.world.After(at, func() {
			s.count(Bursts)
			s.callers.burst(burstRequests, false)
		})
	}
	for range herdCount {
		at := momentBetween(random, daysBegin, daysEnd)
		s.healed = max(s.healed, at+burstTail)
		s.world.After(at, func() {
			s.count(UrgentHerds)
			s.callers.burst(herdRequests, true)
		})
	}
}

// planMoods has servers misbehave for a while each, and once a whole group at the same time.
func (s *suite) planMoods() {
	random := s.world.Random("moods")
	servers := append(append([]sim.Address(nil), s.models...), s.tools...)
	moods := []mood{moodGrey, moodForgetful, moodLate, moodFlapping}
	for place := range moodCount {
		target := servers[random.IntN(len(servers))]
		at := momentBetween(random, daysBegin, daysEnd)
		s.planMood(target, moods[place%len(moods)], at, momentBetween(random, shortestMood, longestMood))
	}
	at := momentBetween(random, daysBegin, daysEnd)
	s.world.After(at, func() { s.count(GreyGroups) })
	for _, target := range s.models {
		s.planMood(target, moodGrey, at, shortestMood)
	}
}

// planMood has one server misbehave from a moment on for a while.
func (s *suite) planMood(target sim.Address, chosen mood, at, lasts time.Duration) {
	s.healed = max(s.healed, at+lasts)
	s.world.After(at, func() { s.moods[target] = chosen })
	s.world.After(at+lasts, func() {
		if s.moods[target] == chosen {
			s.moods[target] = moodGood
		}
	})
}

// probe asks every front node for service once the machines are back.
func (s *suite) probe() {
	for _, address := range s.fronts {
		s.callers.probe(address, ledgeredTurn)
		s.callers.probe(address, recordedCall)
	}
}
