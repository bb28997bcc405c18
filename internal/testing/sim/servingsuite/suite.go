package servingsuite

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// Spans of a run.
const (
	daysBegin = 4 * time.Second
	daysEnd   = 18 * time.Second
	// backWithin is how long after the last fault every front node must serve again.
	backWithin = 12 * time.Second
	// steadyRest is how long steady traffic goes on after the last fault.
	steadyRest = 6 * time.Second
)

// Sizes of the fleet.
const (
	frontCount     = 3
	modelCount     = 6
	modelCapacity  = 4
	toolCount      = 3
	toolCapacity   = 6
	zoneCount      = 3
	longestPartial = 4
)

// Rare losses stop a stream in silence, as a connection does whose peer is gone.
const streamLostOneIn = 4000

const (
	coreAddress     sim.Address = "core"
	ledgerAddress   sim.Address = "ledger"
	callerAddress   sim.Address = "callers"
	operatorAddress sim.Address = "operators"
)

// Report is what one run found.
type Report struct {
	sim.Report
	Counts map[Count]int
}

// suite is one run.
type suite struct {
	world     *sim.World
	options   Options
	core      *coreState
	ledger    *ledgerState
	rules     *rules
	callers   *callers
	fronts    []sim.Address
	models    []sim.Address
	tools     []sim.Address
	algorithm protocol.SchedulingAlgorithm
	moods     map[sim.Address]mood
	counts    map[Count]int
	lastRun   uint64
	// healed is when the last fault ends.
	healed time.Duration
	// frozen are the times during which machines stand still, by machine.
	frozen map[sim.Address][]span
}

type span struct{ from, until time.Duration }

// Run runs the suite once; the same seed and options give the same run.
func Run(seed int64, options Options) Report {
	s := runSuite(seed, options)
	return Report{Report: s.world.Report(), Counts: s.counts}
}

// runSuite makes a run and leaves it at its end.
func runSuite(seed int64, options Options) *suite {
	if len(options.Kinds) == 0 {
		options.Kinds = Kinds()
	}
	network := sim.NetworkOptions{LostOneIn: streamLostOneIn}
	world := sim.NewWorld(seed, sim.Options{Trace: options.Trace, Network: network})
	s := &suite{
		world: world, options: options, core: newCoreState(), ledger: newLedgerState(),
		moods: make(map[sim.Address]mood), counts: make(map[Count]int), frozen: make(map[sim.Address][]span),
	}
	s.algorithm = algorithms[world.Random("algorithm").IntN(len(algorithms))]
	s.rules = newRules(s)
	s.addMachines()
	s.planDays()
	world.RunUntil(s.healed + backWithin + time.Second)
	if !world.Violated() {
		s.rules.atTheEnd()
	}
	return s
}

var algorithms = []protocol.SchedulingAlgorithm{
	protocol.SchedulingAlgorithm_PREFIX_AFFINITY, protocol.SchedulingAlgorithm_LEAST_LOADED,
	protocol.SchedulingAlgorithm_POWER_OF_TWO, protocol.SchedulingAlgorithm_EXPECTED_FIRST_TOKEN,
}

// Runner is Run for sim.Search: the options are the same for every seed but for the schedule.
func Runner(options Options) sim.Run {
	return func(seed int64, faults []sim.Fault) sim.Report {
		options := options
		options.Faults = faults
		return Run(seed, options).Report
	}
}

func (s *suite) addMachines() {
	s.world.AddMachine(coreAddress, "zone-1", s.buildCore)
	s.world.AddMachine(ledgerAddress, "zone-1", s.buildLedger)
	s.models = s.addFleet("model", modelCount, s.buildServer(modelGroup, modelCapacity))
	s.tools = s.addFleet("tool", toolCount, s.buildServer(toolGroup, toolCapacity))
	s.fronts = s.addFleet("front", frontCount, s.buildFront)
	s.world.AddMachine(callerAddress, "zone-1", s.buildCallers)
	if s.has(KindOrders) || s.has(KindServers) {
		s.world.AddMachine(operatorAddress, "zone-1", s.buildOperators)
	}
}

func (s *suite) addFleet(name string, count int, build sim.Builder) []sim.Address {
	var addresses []sim.Address
	for place := range count {
		address := sim.Address(fmt.Sprintf("%s-%d", name, place+1))
		addresses = append(addresses, address)
		s.world.AddMachine(address, fmt.Sprintf("zone-%d", place%zoneCount+1), build)
	}
	return addresses
}

func (s *suite) has(kind Kind) bool { return slices.Contains(s.options.Kinds, kind) }

// attemptID names one machine of a call, unlike all others of the run.
func (s *suite) attemptID(f *front) string {
	return fmt.Sprintf("%s.%d.%d", f.name, f.environment.Incarnation(), f.attempts)
}

// tokensOf is how many tokens the answer to a request has, the same at every server.
func (s *suite) tokensOf(requestID string) int {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(requestID))
	const least, spread = 3, 7
	return least + int(sum.Sum64()%spread)
}

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	return slices.Sorted(maps.Keys(values))
}
