// Package ownershipsuite runs the session directory, the lease holder and the
// ledger's decision code of a fleet of front nodes in the simulator, under
// kills, freezes, cuts, losses, restarts, herds and drains, and checks the rules
// of session ownership (source: design page, session directory; the three
// invariants are those of dotnet/orleans issue 2656).
//
// What is real: the lease holder, the ring, the directory and the decisions of
// the ledger. What is a model: the core (one machine that grants leases and
// orders views; its replication has a suite of its own), the ledger's store (one
// machine), back ends, callers, and a small owner that runs turns.
package ownershipsuite

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// Spans of a run.
const (
	faultsBegin = 5 * time.Second
	faultsEnd   = 40 * time.Second
	// quietTime is how long the run goes on after the last fault.
	quietTime = 25 * time.Second
	// convergenceBound is how long an invariant may be broken after the last disturbance.
	convergenceBound = 12 * time.Second
	sampleInterval   = 200 * time.Millisecond
)

// Options of one run; zero values stand for the defaults.
type Options struct {
	// Fronts is the number of front nodes; default 9, in three zones.
	Fronts int
	// Sessions is the number of sessions under way; default 36.
	Sessions int
	// FaultCount is the number of faults drawn; default 10, negative for none.
	FaultCount int
	// Faults replaces the schedule drawn from the seed, when not nil.
	Faults []sim.Fault
	// Policy is the recovery policy; default salvage with settle-then-yield.
	Policy directory.Policy
	// RollingStops has this many front nodes stop gently, one each RollingInterval, from 12 s on.
	RollingStops int
	// QuietNetwork loses, repeats and slows no message.
	QuietNetwork bool
	// ResolveBound is how long an owner may take to be found; zero for no rule about it.
	ResolveBound time.Duration
	// Mutation breaks the code on purpose, to show that a rule bites.
	Mutation Mutation
	Trace    io.Writer
}

func (o Options) withDefaults() Options {
	if o.Fronts == 0 {
		o.Fronts = 9
	}
	if o.Sessions == 0 {
		o.Sessions = 36
	}
	if o.FaultCount == 0 {
		o.FaultCount = 10
	}
	if o.Policy.BatchSize == 0 {
		o.Policy.BatchSize = directory.DefaultBatchSize
	}
	if o.Policy.RetryDelay == 0 {
		o.Policy.RetryDelay = directory.DefaultRetryDelay
	}
	return o
}

func (o Options) network() sim.NetworkOptions {
	if !o.QuietNetwork {
		return sim.NetworkOptions{}
	}
	return sim.NetworkOptions{LostOneIn: -1, RepeatedOneIn: -1, SlowOneIn: -1}
}

// Report is what one run found.
type Report struct {
	sim.Report
	// Convergence is the longest time that each invariant of the directory was
	// broken after the last fault, heal or change of membership.
	Convergence map[string]time.Duration
	// Turns settled, calls finished, answers to callers that were no success.
	Turns, Calls, Refused int
	// Lapses counts front nodes that lost authority, Rebuilt sessions that were claimed by a new owner or incarnation.
	Lapses, Rebuilt int
	// Resolves are the times that the front nodes took to find an owner, in order of length; Unresolved could not.
	Resolves   []time.Duration
	Unresolved int
	// Drains are the times from a stop to the end of the process.
	Drains []time.Duration
	// Yields counts sessions given up by reason.
	Yields map[directory.YieldReason]int
}

const (
	coreAddress    sim.Address = "core"
	ledgerAddress  sim.Address = "ledger"
	backEndAddress sim.Address = "back-end"
	callerAddress  sim.Address = "callers"
	relayAddress   sim.Address = "relay"
)

// suite is one run.
type suite struct {
	world   *sim.World
	options Options
	core    *coreState
	ledger  *ledgerState
	rules   *rules
	callers *callers
	fronts  []sim.Address
	// disturbed is the true time of the last fault, heal or change of membership.
	disturbed time.Duration
	// healed is when the last fault ends.
	healed time.Duration
	report Report
	// meter measures traffic; nil outside measurements.
	meter *meter
	// rings by view version, shared by the fronts of the run.
	views map[uint64]directory.View
}

// Run runs the suite once; the same seed and options give the same run.
func Run(seed int64, options Options) Report {
	options = options.withDefaults()
	world := sim.NewWorld(seed, sim.Options{Trace: options.Trace, Network: options.network()})
	s := &suite{
		world: world, options: options, core: newCoreState(), ledger: newLedgerState(),
		views: make(map[uint64]directory.View),
	}
	s.report.Yields = make(map[directory.YieldReason]int)
	s.rules = newRules(s)
	s.addMachines()
	faults := options.Faults
	if faults == nil && options.FaultCount > 0 {
		faults = s.drawFaults()
	}
	s.scheduleFaults(faults)
	world.After(0, s.sample)
	world.RunUntil(s.healed + quietTime)
	if !world.Violated() {
		s.rules.atTheEnd()
	}
	slices.Sort(s.report.Resolves)
	s.report.Report = world.Report()
	s.report.Convergence = s.rules.convergence()
	return s.report
}

func (s *suite) addMachines() {
	s.world.AddMachine(coreAddress, "zone-1", s.buildCore)
	s.world.AddMachine(ledgerAddress, "zone-1", s.buildLedger)
	s.world.AddMachine(backEndAddress, "zone-1", s.buildBackEnd)
	s.world.AddMachine(relayAddress, "zone-1", s.buildRelay)
	for i := range s.options.Fronts {
		address := sim.Address(fmt.Sprintf("front-%d", i+1))
		s.fronts = append(s.fronts, address)
		s.world.AddMachine(address, fmt.Sprintf("zone-%d", i%3+1), s.buildFront)
	}
	if s.options.Sessions > 0 {
		s.world.AddMachine(callerAddress, "zone-1", s.buildCallers)
	}
}

func (s *suite) drawFaults() []sim.Fault {
	random := s.world.Random("faults")
	plan := sim.Plan{
		Kinds: []sim.FaultKind{
			sim.FaultCrash, sim.FaultCrash, sim.FaultPowerLoss, sim.FaultFreeze, sim.FaultFreeze,
			sim.FaultPartition, sim.FaultOutboundPartition, sim.FaultInboundPartition, sim.FaultMessageLoss,
		},
		Groups: [][]sim.Address{s.fronts},
		Count:  s.options.FaultCount,
		Begin:  faultsBegin, End: faultsEnd - 10*time.Second,
		MinimumDuration: 100 * time.Millisecond, MaximumDuration: 22 * time.Second,
	}
	faults := sim.GenerateSchedule(random, plan)
	shared := sim.Plan{
		Kinds:  []sim.FaultKind{sim.FaultFreeze, sim.FaultPartition, sim.FaultInboundPartition, sim.FaultOutboundPartition},
		Groups: [][]sim.Address{{coreAddress}, {ledgerAddress}},
		Count:  2,
		Begin:  faultsBegin, End: faultsEnd - 10*time.Second,
		MinimumDuration: 100 * time.Millisecond, MaximumDuration: 8 * time.Second,
	}
	return append(faults, sim.GenerateSchedule(random, shared)...)
}

func (s *suite) scheduleFaults(faults []sim.Fault) {
	s.healed = faultsBegin
	for _, fault := range faults {
		s.healed = max(s.healed, fault.At+fault.Duration)
		s.world.After(fault.At, s.disturb)
		s.world.After(fault.At+fault.Duration, s.disturb)
	}
	s.world.Schedule(faults)
	if s.options.FaultCount >= 0 {
		s.scheduleDrains()
	}
	s.scheduleRollingStops()
	s.world.After(s.healed, s.callersProbe)
}

const (
	rollingBegin = 12 * time.Second
	// RollingInterval is the time between two stops of a rolling restart.
	RollingInterval = 1200 * time.Millisecond
)

// scheduleRollingStops stops front nodes gently one after the other.
func (s *suite) scheduleRollingStops() {
	for i := range s.options.RollingStops {
		at := rollingBegin + time.Duration(i)*RollingInterval
		s.stopGently(s.fronts[i%len(s.fronts)], at)
	}
}

// stopGently has a front node drain; the machine starts it again.
func (s *suite) stopGently(target sim.Address, at time.Duration) {
	s.world.After(at, func() {
		if f, running := s.world.Machine(target).Process().(*front); running {
			f.beginDrain()
		}
	})
	s.healed = max(s.healed, at+drainGrace+time.Second)
}

// scheduleDrains stops two front nodes gently in the middle of everything.
func (s *suite) scheduleDrains() {
	random := s.world.Random("drains")
	for range 2 {
		at := faultsBegin + time.Duration(random.Int64N(int64(faultsEnd-faultsBegin)))
		target := s.fronts[random.IntN(len(s.fronts))]
		s.stopGently(target, at)
	}
}

func (s *suite) disturb() { s.disturbed = s.world.Elapsed() }

// liveFronts are the processes that run and are not frozen.
func (s *suite) liveFronts() []*front {
	var live []*front
	for _, address := range s.fronts {
		machine := s.world.Machine(address)
		if f, running := machine.Process().(*front); running && !machine.Frozen() {
			live = append(live, f)
		}
	}
	return live
}

// viewOf builds the directory's view of a membership version once for all front nodes.
func (s *suite) viewOf(version uint64) directory.View {
	view, known := s.views[version]
	if !known {
		view = directory.ViewFromMembership(s.core.membership(), ring.DefaultVirtualNodes)
		s.views[version] = view
	}
	return view
}

// Runner is Run for sim.Search: the options are the same for every seed but for the schedule.
func Runner(options Options) sim.Run {
	return func(seed int64, faults []sim.Fault) sim.Report {
		options := options
		options.Faults = faults
		return Run(seed, options).Report
	}
}
