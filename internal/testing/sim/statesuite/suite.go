package statesuite

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// Numbers of machines.
const (
	coreCount     = 5
	storeCount    = 5
	frontCount    = 3
	operatorCount = 3
)

func frontAddress(number int) sim.Address {
	return sim.Address(fmt.Sprintf("%s%d", RoleFront, number+1))
}

// suite is one run: the world, the oracle, what was acknowledged to callers, and the rules.
type suite struct {
	options Options
	world   *sim.World
	rules   ruleSet
	counts  Counts
	// loadStopped ends the load before the final reads.
	loadStopped    bool
	newestViewRead uint64
	newestBundle   uint64
	cores, stores  int

	oracle                               *oracle
	coreRepair, storeRepair              repairTracker
	acknowledgedState                    acknowledgedState
	everythingRestarted, replacingMember bool
	idle                                 bool
	shape                                fleetShape
	zoneFault                            zoneFault
	regionCoverage                       regionCoverage
	probeRound                           int
	messageLossUntil                     time.Duration
	// coreLossDetectable is when the missing contact of the last core member with a lost disk is detectable.
	coreLossDetectable time.Duration
	reachableSince     map[sim.Address]contact
	inForce            map[sim.Address]*protocol.Configuration
	signOffKeys        []signOffKey
	removedMembers     map[uint64]bool
	memberOrders       []acknowledgedMember

	appliedEntries                     map[uint64]appliedEntry
	votes                              map[memberTerm]uint64
	bundles                            *history[uint64]
	registers                          *history[string]
	observedIDs                        map[string]bool
	acknowledgedOrders                 []acknowledgedOrder
	retainedTurns                      []turnName
	executedRequests, rejectedRequests map[string]bool
	issueCounts                        map[string]int
	deliveredTokens                    map[string]uint64
}

// Counts are how often a run exercised parts of the recovery code.
type Counts struct {
	snapshots, installed, membershipChanges, moves, copies, losses   int
	deltas, retired, memberOrders, lateAdditions, handovers, changes int
}

// Run simulates one seed; it is deterministic in seed and options.
func Run(seed int64, options Options) sim.Report {
	s := newSuite(seed, options.withDefaults())
	s.makeSignOffKeys()
	s.addMachines()
	s.observeLater()
	faults := s.options.Faults
	if faults == nil {
		faults = s.generateFaults()
	}
	s.world.Schedule(faults)
	if s.world.RunUntil(faultsEnd + maxFaultDuration) {
		s.runZoneFaults(faults)
	}
	if !s.world.Violated() {
		s.awaitRecovery()
	}
	if !s.world.Violated() {
		s.readAcknowledged()
	}
	if !s.world.Violated() {
		s.checkHistories()
		s.checkSameState()
	}
	s.world.Tracef("counts: %+v", s.counts)
	return s.world.Report()
}

func newSuite(seed int64, options Options) *suite {
	s := &suite{
		options: options, shape: shapeOf(options.Shape),
		oracle: newOracle(), reachableSince: map[sim.Address]contact{}, inForce: map[sim.Address]*protocol.Configuration{},
		removedMembers: map[uint64]bool{},
		appliedEntries: map[uint64]appliedEntry{}, votes: map[memberTerm]uint64{}, bundles: newHistory[uint64](),
		registers:   newHistory[string](),
		observedIDs: map[string]bool{}, executedRequests: map[string]bool{}, rejectedRequests: map[string]bool{},
		issueCounts: map[string]int{}, deliveredTokens: map[string]uint64{},
	}
	s.world = sim.NewWorld(seed, sim.Options{
		Trace: options.Trace, MayApply: s.mayApply, Replace: s.replaceMachine,
		Network: s.shape.network,
	})
	s.rules = newRuleSet(s.world, s.shape)
	return s
}

func (s *suite) addMachines() {
	for number := range s.shape.cores {
		s.addCore(s.shape.zoneOf(number), number == 0)
	}
	for number := range s.shape.stores {
		s.addStore(s.shape.zoneOf(number))
	}
	for number := range frontCount {
		s.world.AddMachine(frontAddress(number), s.shape.zoneOf(number), s.buildFront)
	}
	for number := range operatorCount {
		s.world.AddMachine(sim.Address(fmt.Sprintf("operator-%d", number+1)), s.shape.zoneOf(number), s.buildOperator)
	}
}

func (s *suite) addCore(zone string, founder bool) sim.Address {
	s.cores++
	address := sim.Address(fmt.Sprintf("%s%d", RoleCore, s.cores))
	s.world.AddMachine(address, zone, s.buildCore(founder))
	return address
}

func (s *suite) addStore(zone string) {
	s.stores++
	s.world.AddMachine(sim.Address(fmt.Sprintf("%s%d", RoleStore, s.stores)), zone, s.buildStore)
}

// replaceMachine adds an empty machine at a new address in the place of a removed one.
func (s *suite) replaceMachine(removed *sim.Machine) {
	switch {
	case isRole(removed.Address(), RoleCore):
		s.addCore(removed.Zone(), false)
	case isRole(removed.Address(), RoleStore):
		s.addStore(removed.Zone())
	}
}

func (s *suite) coreAddresses() []sim.Address { return s.addresses(RoleCore) }

// generateFaults draws a schedule; each fault has targets of one role, so that partitions split it.
func (s *suite) generateFaults() []sim.Fault {
	var groups [][]sim.Address
	for _, role := range s.options.Roles {
		groups = append(groups, s.addresses(role))
	}
	random := s.world.Random("faults")
	faults := sim.GenerateSchedule(random, sim.Plan{
		Kinds: s.options.Kinds, Groups: groups,
		Count: s.options.FaultCount, Begin: faultsBegin, End: faultsEnd,
		MinimumDuration: minFaultDuration, MaximumDuration: s.options.MaxFaultDuration,
	})
	if !s.options.Plain {
		faults = append(faults, s.secondLosses(random, faults)...)
		faults = append(faults, fullRestart(random))
		faults = append(faults, s.zoneFaults(random)...)
		slices.SortStableFunc(faults, func(a, b sim.Fault) int { return cmp.Compare(a.At, b.At) })
	}
	return faults
}

// secondLosses plans, for each loss of a disk, the loss of another disk of the same role (of a store when the first is
// a front node's). mayApply defers it until the first loss is repaired.
func (s *suite) secondLosses(random *rand.Rand, faults []sim.Fault) []sim.Fault {
	var second []sim.Fault
	for _, first := range faults {
		if !isLoss(first.Kind) {
			continue
		}
		role := RoleStore
		if isRole(first.Targets[0], RoleCore) {
			role = RoleCore
		}
		others := slices.DeleteFunc(s.addresses(role), func(address sim.Address) bool { return address == first.Targets[0] })
		second = append(second, sim.Fault{
			At: first.At + secondLossDelay, Kind: sim.FaultDiskLoss, Targets: others[random.IntN(len(others)):][:1],
			Duration: minFaultDuration,
		})
	}
	return second
}

// fullRestart plans that all processes end at once, with or without losing what they did not sync.
func fullRestart(random *rand.Rand) sim.Fault {
	kinds := []sim.FaultKind{sim.FaultCrash, sim.FaultPowerLoss}
	return sim.Fault{
		At: fullRestartAt, Kind: kinds[random.IntN(len(kinds))], Duration: minFaultDuration,
		Targets: []sim.Address{
			sim.AllWithPrefix(string(RoleCore)), sim.AllWithPrefix(string(RoleStore)),
			sim.AllWithPrefix(string(RoleFront)),
		},
	}
}

func (s *suite) addresses(role Role) []sim.Address {
	var addresses []sim.Address
	for _, machine := range s.world.Machines() {
		if isRole(machine.Address(), role) {
			addresses = append(addresses, machine.Address())
		}
	}
	return addresses
}

func isRole(address sim.Address, role Role) bool {
	return strings.HasPrefix(string(address), string(role))
}

// readAcknowledged reads everything that was acknowledged.
func (s *suite) readAcknowledged() {
	s.loadStopped = true
	prober := s.someFront(0)
	if prober == nil {
		s.rules.serviceRecovers.Violatef("no front runs after the last fault")
		return
	}
	s.world.RunUntil(s.world.Elapsed() + time.Second)
	// An acknowledged order that is not answered counts as lost, as does a retained turn.
	unanswered := map[string]bool{}
	for _, order := range s.acknowledgedOrders {
		name := "order " + order.command.GetOrderId()
		unanswered[name] = true
		prober.link.order(order.command, finalReadTime, func(result *protocol.CommandResult) {
			if result != nil {
				delete(unanswered, name)
				s.rules.ordersIdempotent.Check(sameResult(result, order.result), "%s came back as %v", name, result)
			}
		})
	}
	for _, turn := range s.retainedTurns {
		name := "turn " + turn.id
		unanswered[name] = true
		s.readUntilAnswered(prober, turn, func() { delete(unanswered, name) })
	}
	if s.world.RunUntil(s.world.Elapsed()+finalReadTime) && len(unanswered) > 0 {
		names := sortedKeys(unanswered)
		s.rules.serviceRecovers.Violatef("%d of %d reads are not answered, the first for %s",
			len(names), len(s.acknowledgedOrders)+len(s.retainedTurns), names[0])
	}
}

func (s *suite) readUntilAnswered(prober *front, turn turnName, done func()) {
	prober.readTurn(turn, func(status protocol.LedgerStatus) {
		if status == protocol.LedgerStatus_LEDGER_OK || status == protocol.LedgerStatus_LEDGER_TURN_MISSING {
			done()
			return
		}
		s.world.After(scriptInterval, func() { s.readUntilAnswered(prober, turn, done) })
	})
}

func (s *suite) recordList(list string, ids []string, appended *operationRecord, began time.Duration) {
	now := s.world.Elapsed()
	for _, id := range ids {
		s.observedIDs[id] = true
	}
	if appended != nil {
		s.registers.end(appended, nil, now)
		id := appended.input.(appendID).id
		s.rules.registersLinearizable.Check(slices.Contains(ids, id), "%s is answered without the id %s just appended", list,
			id)
	}
	// The list in an answer is also the result of a read at the same time.
	read := s.registers.begin(list, readList{}, began)
	s.registers.end(read, strings.Join(ids, listSeparator), now)
}

// ReplayCommand returns the command that runs one seed with a trace.
func ReplayCommand(seed int64) string {
	return fmt.Sprintf("rosestand-lab sim --suite state --seed %d --seeds 1 --trace", seed)
}
