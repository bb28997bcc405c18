package statesuite

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// The machines of a run.
const (
	coreCount     = 5
	storeCount    = 5
	frontCount    = 3
	operatorCount = 3
)

func frontAddress(number int) sim.Address {
	return sim.Address(fmt.Sprintf("%s%d", RoleFront, number+1))
}

// suite is one run: the world, what was promised to callers, and the rules that compare.
type suite struct {
	options Options
	world   *sim.World
	rules   ruleSet
	counts  Counts
	// stopping ends the load before the final reads.
	stopping       bool
	newestViewRead uint64
	newestBundle   uint64
	cores, stores  int

	oracle                  *oracle
	coreRepair, storeRepair repair
	told                    told
	restarted, swapping     bool
	resting                 bool
	shape                   fleetShape
	zoneFault               zoneFault
	regionCover             regionCover
	probeRounds             int
	lossyUntil              time.Duration
	// coreLossSeen is when the last lost core disk can no longer be mistaken for a member that is there.
	coreLossSeen   time.Duration
	reachable      map[sim.Address]reached
	inForce        map[sim.Address]*protocol.Configuration
	signOffKeys    []signOffKey
	removedMembers map[uint64]bool
	memberOrders   []acknowledgedMember

	applied      map[uint64]appliedEntry
	votes        map[memberTerm]uint64
	bundles      *history[uint64]
	lists        *history[string]
	seenIDs      map[string]bool
	acknowledged []acknowledgedOrder
	keptTurns    []turnName
	ran, refused map[string]bool
	issued       map[string]int
	delivered    map[string]uint64
}

// Counts say how much of the recovery code a run went through.
type Counts struct {
	snapshots, installed, membershipChanges, moves, copies, losses   int
	deltas, retired, memberOrders, lateAdditions, handovers, changes int
}

// Run simulates one seed.
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
	if s.world.RunUntil(faultsEnd + maximumFault) {
		s.passZoneFaults(faults)
	}
	if !s.world.Violated() {
		s.comeBack()
	}
	if !s.world.Violated() {
		s.readFinally()
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
		oracle: newOracle(), reachable: map[sim.Address]reached{}, inForce: map[sim.Address]*protocol.Configuration{},
		removedMembers: map[uint64]bool{},
		applied:        map[uint64]appliedEntry{}, votes: map[memberTerm]uint64{}, bundles: newHistory[uint64](), lists: newHistory[string](),
		seenIDs: map[string]bool{}, ran: map[string]bool{}, refused: map[string]bool{},
		issued: map[string]int{}, delivered: map[string]uint64{},
	}
	s.world = sim.NewWorld(seed, sim.Options{Trace: options.Trace, MayApply: s.mayApply, Replace: s.replace, Network: s.shape.network})
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

// replace puts an empty machine at a new address in the place of one that is gone.
func (s *suite) replace(gone *sim.Machine) {
	switch {
	case isRole(gone.Address(), RoleCore):
		s.addCore(gone.Zone(), false)
	case isRole(gone.Address(), RoleStore):
		s.addStore(gone.Zone())
	}
}

func (s *suite) coreAddresses() []sim.Address { return s.addresses(RoleCore) }

// generateFaults draws a schedule; each fault strikes machines of one role, so that cuts split it.
func (s *suite) generateFaults() []sim.Fault {
	var groups [][]sim.Address
	for _, role := range s.options.Roles {
		groups = append(groups, s.addresses(role))
	}
	random := s.world.Random("faults")
	faults := sim.GenerateSchedule(random, sim.Plan{
		Kinds: s.options.Kinds, Groups: groups,
		Count: s.options.FaultCount, Begin: faultsBegin, End: faultsEnd,
		MinimumDuration: minimumFault, MaximumDuration: s.options.LongestFault,
	})
	if !s.options.Plain {
		faults = append(faults, s.secondLosses(random, faults)...)
		faults = append(faults, restartOfEverything(random))
		faults = append(faults, s.zoneFaults(random)...)
		slices.SortStableFunc(faults, func(a, b sim.Fault) int { return cmp.Compare(a.At, b.At) })
	}
	return faults
}

// secondLosses plans, for each loss of a disk, the loss of another disk of the same role (of a store when a front node
// has the first). mayApply holds it back until the first loss is repaired and lets it come at once then.
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
			At: first.At + secondLossAfter, Kind: sim.FaultDiskLoss, Targets: others[random.IntN(len(others)):][:1], Duration: minimumFault,
		})
	}
	return second
}

// restartOfEverything plans that all processes end at one moment, with or without what they did not sync.
func restartOfEverything(random *rand.Rand) sim.Fault {
	kinds := []sim.FaultKind{sim.FaultCrash, sim.FaultPowerLoss}
	return sim.Fault{
		At: restartAt, Kind: kinds[random.IntN(len(kinds))], Duration: minimumFault,
		Targets: []sim.Address{sim.AllWithPrefix(string(RoleCore)), sim.AllWithPrefix(string(RoleStore)), sim.AllWithPrefix(string(RoleFront))},
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

// comeBack waits until an order and a change of a register in every shard succeed.
func (s *suite) comeBack() {
	s.rules.serviceReturns.Provoke()
	begun := s.world.Elapsed()
	returned := 0
	for shard := range uint32(shardCount) {
		s.probe(programIn(shard), func() { returned++ })
	}
	s.probeCore(func() { returned++ })
	for end := begun + comeBack; s.world.Elapsed() < end && returned < shardCount+1; {
		if !s.world.RunUntil(s.world.Elapsed() + 100*time.Millisecond) {
			return
		}
	}
	if returned < shardCount+1 {
		s.rules.serviceReturns.Violatef("%d of %d services answer %s after the last fault", returned, shardCount+1, comeBack)
	}
}

// programIn names a program whose records lie in a shard.
func programIn(shard uint32) string {
	for number := 0; ; number++ {
		name := fmt.Sprintf("probe-%d", number)
		if ledger.ShardOf(name, shardCount) == shard {
			return name
		}
	}
}

// someFront is a front that runs; all do once the faults have ended.
func (s *suite) someFront(number int) *front {
	process, _ := s.world.Machine(frontAddress(number % frontCount)).Process().(*front)
	return process
}

// probe opens a program until that is acknowledged.
func (s *suite) probe(name string, done func()) {
	prober := s.someFront(len(name))
	if prober == nil {
		s.world.After(scriptPause, func() { s.probe(name, done) })
		return
	}
	open := operationOf(name)
	open.Body = &protocol.LedgerOperation_OpenProgram{OpenProgram: &protocol.OpenProgram{Tenant: "tenant", Budget: 1}}
	prober.apply(open, func(result *protocol.LedgerResult) {
		if result.GetStatus() == protocol.LedgerStatus_LEDGER_OK {
			done()
			return
		}
		s.world.After(scriptPause, func() { s.probe(name, done) })
	})
}

func (s *suite) probeCore(done func()) {
	prober := s.someFront(0)
	if prober == nil {
		s.world.After(scriptPause, func() { s.probeCore(done) })
		return
	}
	prober.link.read(operatorPatience, func(view *controlstate.View) {
		if view != nil {
			done()
			return
		}
		s.world.After(scriptPause, func() { s.probeCore(done) })
	})
}

// readFinally looks for everything that was acknowledged.
func (s *suite) readFinally() {
	s.stopping = true
	prober := s.someFront(0)
	if prober == nil {
		s.rules.serviceReturns.Violatef("no front runs after the last fault")
		return
	}
	s.world.RunUntil(s.world.Elapsed() + time.Second)
	// An acknowledged order that is not answered any more counts as lost, as does a kept turn.
	unanswered := map[string]bool{}
	for _, order := range s.acknowledged {
		name := "order " + order.command.GetOrderId()
		unanswered[name] = true
		prober.link.order(order.command, finalReads, func(result *protocol.CommandResult) {
			if result != nil {
				delete(unanswered, name)
				s.rules.ordersKept.Check(sameResult(result, order.result), "%s came back as %v", name, result)
			}
		})
	}
	for _, turn := range s.keptTurns {
		name := "turn " + turn.id
		unanswered[name] = true
		s.readUntilAnswered(prober, turn, func() { delete(unanswered, name) })
	}
	if s.world.RunUntil(s.world.Elapsed()+finalReads) && len(unanswered) > 0 {
		names := sortedKeys(unanswered)
		s.rules.serviceReturns.Violatef("%d of %d reads are not answered, the first for %s",
			len(names), len(s.acknowledged)+len(s.keptTurns), names[0])
	}
}

func (s *suite) readUntilAnswered(prober *front, turn turnName, done func()) {
	prober.readTurn(turn, func(status protocol.LedgerStatus) {
		if status == protocol.LedgerStatus_LEDGER_OK || status == protocol.LedgerStatus_LEDGER_TURN_MISSING {
			done()
			return
		}
		s.world.After(scriptPause, func() { s.readUntilAnswered(prober, turn, done) })
	})
}

func (s *suite) noteList(list string, ids []string, appended *recorded, began time.Duration) {
	now := s.world.Elapsed()
	for _, id := range ids {
		s.seenIDs[id] = true
	}
	if appended != nil {
		s.lists.end(appended, nil, now)
		id := appended.input.(appendID).id
		s.rules.registers.Check(slices.Contains(ids, id), "%s is answered without the id %s just appended", list, id)
	}
	// The list in an answer is also what a read in the same time would have seen.
	read := s.lists.begin(list, readList{}, began)
	s.lists.end(read, strings.Join(ids, listSeparator), now)
}

// ReplayCommand is the command that runs one seed with a trace.
func ReplayCommand(seed int64) string {
	return fmt.Sprintf("rosestand-lab sim --suite state --seed %d --seeds 1 --trace", seed)
}
