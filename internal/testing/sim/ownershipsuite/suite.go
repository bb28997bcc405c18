// Package ownershipsuite runs the session directory, the lease holder and the
// ledger's decision code of a fleet of front nodes in the simulator, under
// crashes, freezes, partitions, message loss, restarts and drains, and checks the rules
// of session ownership (source: docs/SALVAGE.md; the three
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
	"github.com/rosestand/rosestand/internal/testing/sim/ledgermodel"
)

// Times of a run.
const (
	faultsBegin = 5 * time.Second
	faultsEnd   = 40 * time.Second
	// recoveryTime is how long the run continues after the last fault.
	recoveryTime = 25 * time.Second
	// convergenceBound is how long an eventual invariant may be violated after the last disturbance.
	convergenceBound = 12 * time.Second
	sampleInterval   = 200 * time.Millisecond
)

// Options of one run; zero values stand for the defaults.
type Options struct {
	// Fronts is the number of front nodes; default 9, in three zones.
	Fronts int
	// Sessions is the number of concurrent sessions; default 36.
	Sessions int
	// FaultCount is the number of faults drawn; default 10, negative for none.
	FaultCount int
	// Faults replaces the schedule drawn from the seed, when not nil.
	Faults []sim.Fault
	// Policy is the recovery policy; default salvage with settle-then-yield.
	Policy directory.Policy
	// RollingDrains drains this many front nodes, one each RollingDrainInterval, from 12 s on.
	RollingDrains int
	// ReliableNetwork loses, duplicates and slows no message.
	ReliableNetwork bool
	// ResolveBound bounds the time to find an owner; zero for no such rule.
	ResolveBound time.Duration
	// Mutation is the defect to put in, to show that a rule detects it; default none.
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
	if !o.ReliableNetwork {
		return sim.NetworkOptions{}
	}
	return sim.NetworkOptions{LostOneIn: -1, RepeatedOneIn: -1, SlowOneIn: -1}
}

// Report is the result of one run.
type Report struct {
	sim.Report
	// Convergence is the maximum time that each invariant of the directory was violated after the last fault, heal
	// or change of membership.
	Convergence map[string]time.Duration
	// Turns committed, calls finished, and answers to callers that were no success.
	Turns, Calls, Rejections int
	// LostLeases counts front nodes that lost authority, Claims the sessions that a new owner or incarnation claimed.
	LostLeases, Claims int
	// Resolves are the times to find an owner, in ascending order; Unresolved counts the failures to find one.
	Resolves   []time.Duration
	Unresolved int
	// Drains are the times from the begin of a drain to the end of the process.
	Drains []time.Duration
	// Yields counts yielded sessions by reason.
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
	ledger  *ledgermodel.Ledger
	rules   *rules
	callers *callers
	fronts  []sim.Address
	// lastDisturbance is the true time of the last fault, heal or change of membership.
	lastDisturbance time.Duration
	// faultsOver is when the last fault ends.
	faultsOver time.Duration
	report     Report
	// meter measures traffic; nil outside measurements.
	meter *trafficMeter
	// views are the directory's views by version, shared by the front nodes of the run.
	views map[uint64]directory.View
}

// Run runs the suite once; it is deterministic in seed and options.
func Run(seed int64, options Options) Report {
	options = options.withDefaults()
	world := sim.NewWorld(seed, sim.Options{Trace: options.Trace, Network: options.network()})
	s := &suite{
		world: world, options: options, core: newCoreState(), ledger: ledgermodel.New(),
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
	world.After(0, s.checkInvariants)
	world.RunUntil(s.faultsOver + recoveryTime)
	if !world.Violated() {
		s.rules.checkAtEnd()
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
	s.faultsOver = faultsBegin
	for _, fault := range faults {
		s.faultsOver = max(s.faultsOver, fault.At+fault.Duration)
		s.world.After(fault.At, s.recordDisturbance)
		s.world.After(fault.At+fault.Duration, s.recordDisturbance)
	}
	s.world.Schedule(faults)
	if s.options.FaultCount >= 0 {
		s.scheduleDrains()
	}
	s.scheduleRollingDrains()
	s.world.After(s.faultsOver, s.probeFleet)
}

const (
	rollingDrainsBegin = 12 * time.Second
	// RollingDrainInterval is the time between two drains of a rolling restart.
	RollingDrainInterval = 1200 * time.Millisecond
)

// scheduleRollingDrains drains front nodes one after the other.
func (s *suite) scheduleRollingDrains() {
	for i := range s.options.RollingDrains {
		at := rollingDrainsBegin + time.Duration(i)*RollingDrainInterval
		s.scheduleDrain(s.fronts[i%len(s.fronts)], at)
	}
}

// scheduleDrain drains a front node at a time; the machine starts it again.
func (s *suite) scheduleDrain(target sim.Address, at time.Duration) {
	s.world.After(at, func() {
		if f, running := s.world.Machine(target).Process().(*front); running {
			f.beginDrain()
		}
	})
	s.faultsOver = max(s.faultsOver, at+drainGrace+time.Second)
}

// scheduleDrains drains two front nodes at random times during the faults.
func (s *suite) scheduleDrains() {
	random := s.world.Random("drains")
	for range 2 {
		at := faultsBegin + time.Duration(random.Int64N(int64(faultsEnd-faultsBegin)))
		target := s.fronts[random.IntN(len(s.fronts))]
		s.scheduleDrain(target, at)
	}
}

func (s *suite) recordDisturbance() { s.lastDisturbance = s.world.Elapsed() }

// liveFronts returns the processes that run and are not frozen.
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

// viewOf returns the directory's view of a membership version, built once for all front nodes.
func (s *suite) viewOf(version uint64) directory.View {
	view, known := s.views[version]
	if !known {
		view = directory.ViewFromMembership(s.core.membership(), ring.DefaultVirtualNodes)
		s.views[version] = view
	}
	return view
}

// Runner adapts Run to sim.Search: only the schedule differs between the runs.
func Runner(options Options) sim.Run {
	return func(seed int64, faults []sim.Fault) sim.Report {
		options := options
		options.Faults = faults
		return Run(seed, options).Report
	}
}
