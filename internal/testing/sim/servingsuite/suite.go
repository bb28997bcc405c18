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

// Times of a run.
const (
	faultsBegin = 4 * time.Second
	faultsEnd   = 18 * time.Second
	// recoveryBound is how long after the last fault every front node must serve again.
	recoveryBound = 12 * time.Second
	// steadyLoadTail is how long steady traffic continues after the last fault.
	steadyLoadTail = 6 * time.Second
)

// Sizes of the fleet.
const (
	frontCount    = 3
	modelCount    = 6
	modelCapacity = 4
	toolCount     = 3
	toolCapacity  = 6
	zoneCount     = 3
)

// streamLostOneIn: one frame in so many is lost, which stops its stream.
const streamLostOneIn = 4000

const (
	coreAddress     sim.Address = "core"
	ledgerAddress   sim.Address = "ledger"
	callerAddress   sim.Address = "callers"
	operatorAddress sim.Address = "operators"
)

// Report is the result of one run.
type Report struct {
	sim.Report
	// Counts are the effects of the run.
	Counts map[Count]int
}

// suite is one run.
type suite struct {
	world         *sim.World
	options       Options
	core          *coreState
	ledger        *ledgerState
	rules         *rules
	callers       *callers
	fronts        []sim.Address
	models        []sim.Address
	tools         []sim.Address
	algorithm     protocol.SchedulingAlgorithm
	faultModes    map[sim.Address]faultMode
	counts        map[Count]int
	lastExecution uint64
	// faultsOver is when the last fault ends.
	faultsOver time.Duration
	// frozen are the times during which machines are frozen, by machine.
	frozen map[sim.Address][]timeRange
}

type timeRange struct{ from, until time.Duration }

// Run runs the suite once; it is deterministic in seed and options.
func Run(seed int64, options Options) Report {
	s := runSuite(seed, options)
	return Report{Report: s.world.Report(), Counts: s.counts}
}

// runSuite runs a suite to its end and returns it.
func runSuite(seed int64, options Options) *suite {
	if len(options.Scenarios) == 0 {
		options.Scenarios = Scenarios()
	}
	network := sim.NetworkOptions{LostOneIn: streamLostOneIn}
	world := sim.NewWorld(seed, sim.Options{Trace: options.Trace, Network: network})
	s := &suite{
		world: world, options: options, core: newCoreState(), ledger: newLedgerState(),
		faultModes: make(map[sim.Address]faultMode), counts: make(map[Count]int), frozen: make(map[sim.Address][]timeRange),
	}
	s.algorithm = algorithms[world.Random("algorithm").IntN(len(algorithms))]
	s.rules = newRules(s)
	s.addMachines()
	s.planRun()
	world.RunUntil(s.faultsOver + recoveryBound + time.Second)
	if !world.Violated() {
		s.rules.checkAtEnd()
	}
	return s
}

var algorithms = []protocol.SchedulingAlgorithm{
	protocol.SchedulingAlgorithm_PREFIX_AFFINITY, protocol.SchedulingAlgorithm_LEAST_LOADED,
	protocol.SchedulingAlgorithm_POWER_OF_TWO, protocol.SchedulingAlgorithm_EXPECTED_FIRST_TOKEN,
}

// Runner adapts Run to sim.Search: only the schedule differs between the runs.
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
	if s.enabled(ScenarioOperatorOrders) || s.enabled(ScenarioServerFaults) {
		s.world.AddMachine(operatorAddress, "zone-1", s.buildOperators)
	}
}

func (s *suite) addFleet(name string, count int, build sim.Builder) []sim.Address {
	var addresses []sim.Address
	for index := range count {
		address := sim.Address(fmt.Sprintf("%s-%d", name, index+1))
		addresses = append(addresses, address)
		s.world.AddMachine(address, fmt.Sprintf("zone-%d", index%zoneCount+1), build)
	}
	return addresses
}

func (s *suite) enabled(kind Scenario) bool { return slices.Contains(s.options.Scenarios, kind) }

// attemptID names one attempt of a call, uniquely within the run.
func (s *suite) attemptID(f *front) string {
	return fmt.Sprintf("%s.%d.%d", f.name, f.environment.Incarnation(), f.attempts)
}

// expectedTokens is the number of tokens of the answer to a request, the same at every server.
func (s *suite) expectedTokens(requestID string) int {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(requestID))
	const minimum, spread = 3, 7
	return minimum + int(sum.Sum64()%spread)
}

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	return slices.Sorted(maps.Keys(values))
}
