package store_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	scenarioSteps    = 120
	scenarioPrograms = 5
	// findsAfterLoss is the number of turns looked up while a store that lost its disk is rebuilt.
	findsAfterLoss = 20
)

// faultScenario injects faults, chosen by a seed, into one store at a time while programs take
// turns. The next fault may follow as soon as all replicas are active again, but not earlier.
type faultScenario struct {
	fleet    *fleet
	random   *rand.Rand
	programs []*program
	// acknowledged maps each acknowledged turn to its program.
	acknowledged map[string]*program
	// turnOrder lists the acknowledged turns, oldest first.
	turnOrder []string
	// uncertain lists reservations whose outcome is unknown; they may still take effect.
	uncertain []*protocol.LedgerOperation
	// faulty is the store that is down, empty when none is.
	faulty string
	log    []string
}

func newFaultScenario(seed uint64) *faultScenario {
	return newFaultScenarioOn(newFleet("a", "b", "c", "d"), seed)
}

func newFaultScenarioOn(stores *fleet, seed uint64) *faultScenario {
	scenario := &faultScenario{
		fleet:        stores,
		random:       rand.New(rand.NewPCG(seed, 11)),
		acknowledged: map[string]*program{},
	}
	for number := range scenarioPrograms {
		scenario.programs = append(scenario.programs, scenario.fleet.program(fmt.Sprintf("p%d", number)))
	}
	return scenario
}

func (s *faultScenario) record(format string, arguments ...any) {
	s.log = append(s.log, fmt.Sprintf(format, arguments...))
}

func (s *faultScenario) history() string { return fmt.Sprint(s.log) }

// takeTurn takes a turn of a random program, which must succeed.
func (s *faultScenario) takeTurn() {
	GinkgoHelper()
	p := s.programs[s.random.IntN(len(s.programs))]
	reserved := s.fleet.do(p.reserve()).GetStatus()
	Expect(reserved).To(Equal(ok), s.history)
	operation := p.commit()
	Expect(s.fleet.do(operation).GetStatus()).To(Equal(ok), s.history)
	turn := operation.GetSettleTurn().GetTurn().GetId()
	p.turns = append(p.turns, turn)
	s.acknowledged[turn] = p
	s.turnOrder = append(s.turnOrder, turn)
}

// findTurn requests an acknowledged turn from one store, by its program and by its id alone. The store may be unable to
// answer, but must not report the turn as missing.
func (s *faultScenario) findTurn() {
	GinkgoHelper()
	if len(s.turnOrder) == 0 {
		return
	}
	turn := s.turnOrder[s.random.IntN(len(s.turnOrder))]
	name := s.fleet.names[s.random.IntN(len(s.fleet.names))]
	if s.fleet.running(name) == nil || s.fleet.isPartitioned(name) || s.fleet.isSuspended(name) {
		return
	}
	for _, operation := range []*protocol.LedgerOperation{s.acknowledged[turn].readTurns(turn), newFindTurn(turn)} {
		Expect(s.fleet.attemptOnce(name, operation).GetStatus()).NotTo(Equal(missing),
			"store %s reports the acknowledged turn %s as missing: %s", name, turn, s.history())
	}
}

// injectFault begins a random fault in a random store or moves a shard. While a store is down, it moves a shard away
// from that store.
func (s *faultScenario) injectFault() {
	if s.faulty != "" && s.fleet.allReplicasActive() {
		s.moveFrom(s.faulty)
		return
	}
	if s.faulty != "" || !s.fleet.allReplicasActive() || !s.fleet.placementApplied() {
		return
	}
	name := s.fleet.names[s.random.IntN(len(s.fleet.names))]
	switch s.random.IntN(6) {
	case 5:
		s.record("suspend %s", name)
		s.fleet.setStale(name, true)
		s.fleet.suspend(name)
		s.faulty = name
	case 0:
		s.record("partition %s", name)
		s.fleet.setStale(name, true)
		s.fleet.setPartitioned(name, true)
		s.faulty = name
	case 1:
		s.record("kill %s", name)
		s.fleet.stopOne(name, false)
		s.faulty = name
	case 2:
		s.record("power loss of %s", name)
		s.fleet.stopOne(name, true)
		s.faulty = name
	case 3:
		s.record("disk loss of %s", name)
		s.fleet.loseDisk(name)
		for range findsAfterLoss {
			s.findTurn()
		}
	default:
		s.move()
	}
}

// move moves one replica of a random shard to the store that has none.
func (s *faultScenario) move() {
	shard := uint32(s.random.IntN(shardCount))
	placed := s.fleet.View().Placement.GetShards()[shard]
	spare := s.fleet.unplacedStore(placed)
	from := placed.GetCurrent()[s.random.IntN(len(placed.GetCurrent()))].GetStore()
	s.record("move shard %d from %s to %s", shard, from, spare)
	s.fleet.move(shard, from, spare)
}

// moveFrom moves one shard of a store that is down to the store that has no replica of it.
func (s *faultScenario) moveFrom(down string) {
	for _, placed := range s.fleet.View().Placement.GetShards() {
		spare := s.fleet.unplacedStore(placed)
		if spare != down {
			s.record("move shard %d from %s, which is down, to %s", placed.GetShard(), down, spare)
			s.fleet.move(placed.GetShard(), down, spare)
			s.fleet.until(s.fleet.allReplicasActive)
			return
		}
	}
}

func (s *faultScenario) repairFault() {
	GinkgoHelper()
	if s.faulty == "" {
		return
	}
	s.record("repair %s", s.faulty)
	if s.fleet.running(s.faulty) == nil {
		s.fleet.restart(s.faulty)
	} else {
		if s.fleet.isSuspended(s.faulty) {
			s.fleet.resume(s.faulty)
		}
		s.fleet.setPartitioned(s.faulty, false)
		s.requestUnderStaleView(s.faulty)
		s.fleet.setStale(s.faulty, false)
		s.fleet.publish()
	}
	s.faulty = ""
}

// requestUnderStaleView sends requests to a store that is reachable again but still has a stale view, as callers with
// the same view do. The store must neither report an acknowledged turn as missing nor reserve one under that view.
func (s *faultScenario) requestUnderStaleView(name string) {
	GinkgoHelper()
	staleView := s.fleet.viewFor(name)
	for _, turn := range s.turnOrder {
		for _, operation := range []*protocol.LedgerOperation{s.acknowledged[turn].readTurns(turn), newFindTurn(turn)} {
			answer := s.fleet.attemptUnder(name, placedShard(staleView, operation).GetEpoch(), operation)
			Expect(answer.GetStatus()).NotTo(Equal(missing),
				"store %s with a stale view reports the acknowledged turn %s as missing: %s", name, turn, s.history())
		}
	}
	for _, p := range s.programs {
		reserve := p.reserve()
		stalePlacement := placedShard(staleView, reserve)
		if stalePlacement.GetEpoch() == s.fleet.shardEpoch(reserve) {
			continue
		}
		answer := s.fleet.attemptUnder(name, stalePlacement.GetEpoch(), reserve)
		if status := answer.GetStatus(); status == unavailable || status == protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT {
			s.uncertain = append(s.uncertain, reserve)
		}
		Expect(answer.GetStatus()).NotTo(Equal(ok), "store %s reserved a turn under a stale placement: %s", name, s.history())
	}
}

// losePower cuts the power of all stores at once.
func (s *faultScenario) losePower() {
	GinkgoHelper()
	s.repairFault()
	s.fleet.until(s.fleet.allReplicasActive)
	s.record("power loss of all stores")
	for _, name := range s.fleet.names {
		s.fleet.stopOne(name, true)
	}
	for _, name := range s.fleet.names {
		s.fleet.restart(name)
	}
}

func (s *faultScenario) run() {
	GinkgoHelper()
	for range scenarioSteps {
		switch choice := s.random.IntN(20); {
		case choice < 9:
			s.takeTurn()
		case choice < 13:
			s.findTurn()
		case choice < 16:
			s.injectFault()
		case choice < 19:
			s.repairFault()
		default:
			s.losePower()
		}
	}
	s.repairFault()
	s.fleet.until(s.fleet.allReplicasActive)
	for _, p := range s.programs {
		if len(p.turns) > 0 {
			p.expectRetained()
		}
	}
}

func (f *fleet) isPartitioned(name string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.partitioned[name]
}

// unplacedStore returns a store without a replica of the shard.
func (f *fleet) unplacedStore(placed *protocol.ShardPlacement) string {
	for _, name := range f.names {
		hasReplica := false
		for _, replica := range placed.GetCurrent() {
			hasReplica = hasReplica || replica.GetStore() == name
		}
		if !hasReplica {
			return name
		}
	}
	return ""
}

// attemptOnce sends an operation to one store once; a failed request counts as unavailable.
func (f *fleet) attemptOnce(name string, operation *protocol.LedgerOperation) *protocol.LedgerResult {
	return f.attemptUnder(name, f.shardEpoch(operation), operation)
}

func (f *fleet) attemptUnder(name string, epoch uint64, operation *protocol.LedgerOperation) *protocol.LedgerResult {
	operation = proto.CloneOf(operation)
	operation.PlacementEpoch = epoch
	return f.await(func() (*protocol.LedgerResult, error) {
		ctx, cancel := boundedContext()
		defer cancel()
		response, err := (&network{fleet: f}).Call(ctx, name,
			&protocol.Request{Body: &protocol.Request_Ledger{Ledger: operation}})
		if err != nil {
			return &protocol.LedgerResult{Status: unavailable}, nil
		}
		return response.GetLedger(), nil
	})
}

var _ = Describe("stores with one fault after another", func() {
	for seed := range uint64(8) {
		It(fmt.Sprintf("keep what they acknowledged, seed %d", seed), func() { newFaultScenario(seed).run() })
	}
})
