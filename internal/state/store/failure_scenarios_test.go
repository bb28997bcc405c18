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
	// findsAfterLoss are made while the store that lost its disk is rebuilt.
	findsAfterLoss = 20
)

// faultScenario injects a fault into one store at a time, by a seed, while programs take
// turns. The next fault is injected only when the store before is complete again, as soon as that.
type faultScenario struct {
	fleet    *fleet
	random   *rand.Rand
	programs []*program
	// acknowledged maps each acknowledged turn to its program.
	acknowledged map[string]*program
	// turnOrder lists the acknowledged turns, oldest first.
	turnOrder []string
	// uncertain has reservations without a clear answer, which may still be made.
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

// takeTurn continues a program; it may be rejected when there is no majority.
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

// findTurn queries one store for a retained turn, in two ways. It may be unable to answer, but must not deny it.
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
		Expect(s.fleet.attemptOnce(name, operation).GetStatus()).NotTo(Equal(missing), "%s denies %s: %s", name, turn,
			s.history())
	}
}

// injectFault breaks a store in one of several ways.
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
		s.record("power %s", name)
		s.fleet.stopOne(name, true)
		s.faulty = name
	case 3:
		s.record("disk %s", name)
		s.fleet.loseDisk(name)
		for range findsAfterLoss {
			s.findTurn()
		}
	default:
		s.move()
	}
}

// move replaces one replica of a shard by a store that has none of it.
func (s *faultScenario) move() {
	shard := uint32(s.random.IntN(shardCount))
	placed := s.fleet.View().Placement.GetShards()[shard]
	spare := s.fleet.unplacedStore(placed)
	from := placed.GetCurrent()[s.random.IntN(len(placed.GetCurrent()))].GetStore()
	s.record("move %d from %s to %s", shard, from, spare)
	s.fleet.move(shard, from, spare)
}

// moveFrom moves a shard of a store that is down to the one that has none of it.
func (s *faultScenario) moveFrom(down string) {
	for _, placed := range s.fleet.View().Placement.GetShards() {
		spare := s.fleet.unplacedStore(placed)
		if spare != down {
			s.record("move %d from %s, which is away, to %s", placed.GetShard(), down, spare)
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

// requestUnderStaleView queries a store that is back and still has the placement of before, as callers do that
// have it too.
func (s *faultScenario) requestUnderStaleView(name string) {
	GinkgoHelper()
	staleView := s.fleet.viewFor(name)
	for _, turn := range s.turnOrder {
		for _, operation := range []*protocol.LedgerOperation{s.acknowledged[turn].readTurns(turn), newFindTurn(turn)} {
			answer := s.fleet.attemptUnder(name, placedShard(staleView, operation).GetEpoch(), operation)
			Expect(answer.GetStatus()).NotTo(Equal(missing), "stale %s denies %s: %s", name, turn, s.history())
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
		Expect(answer.GetStatus()).NotTo(Equal(ok), "stale %s reserved: %s", name, s.history())
	}
}

// losePower cuts the power of all stores at once.
func (s *faultScenario) losePower() {
	GinkgoHelper()
	s.repairFault()
	s.fleet.until(s.fleet.allReplicasActive)
	s.record("power of all")
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

// attemptOnce queries one store once and counts a failure as no answer.
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
