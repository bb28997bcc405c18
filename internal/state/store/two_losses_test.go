package store_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
)

const (
	// replicasForTwoLosses is the number of replicas of which a majority is left when two are down.
	replicasForTwoLosses = 5
	twoLossesRounds      = 6
	turnsWhileDown       = 5
	turnsBetweenLosses   = 4
)

// storeLoss is a fault that takes a store out of service, and its repair.
type storeLoss struct {
	name       string
	begin, end func(s *faultScenario, store string)
}

var storeLosses = []storeLoss{
	{
		"killed", func(s *faultScenario, store string) { s.fleet.stopOne(store, false) },
		func(s *faultScenario, store string) { s.fleet.restart(store) },
	},
	{
		"power lost", func(s *faultScenario, store string) { s.fleet.stopOne(store, true) },
		func(s *faultScenario, store string) { s.fleet.restart(store) },
	},
	{
		"disk lost", func(s *faultScenario, store string) { s.fleet.stopOne(store, true) },
		func(s *faultScenario, store string) { s.fleet.restartEmpty(store) },
	},
	{"partitioned", beginPartition, endPartition},
	{
		"suspended", func(s *faultScenario, store string) { s.fleet.setStale(store, true); s.fleet.suspend(store) },
		func(s *faultScenario, store string) { s.fleet.resume(store); s.restore(store) },
	},
}

func beginPartition(s *faultScenario, store string) {
	s.fleet.setStale(store, true)
	s.fleet.setPartitioned(store, true)
}

func endPartition(s *faultScenario, store string) {
	s.fleet.setPartitioned(store, false)
	s.restore(store)
}

// restore delivers the latest placement to a store that is reachable again, after requests under the previous one.
func (s *faultScenario) restore(store string) {
	GinkgoHelper()
	s.requestUnderStaleView(store)
	s.fleet.setStale(store, false)
	s.fleet.publish()
	s.releaseUncertain()
}

// releaseUncertain releases reservations of unknown outcome, as a front node does.
func (s *faultScenario) releaseUncertain() {
	GinkgoHelper()
	for _, operation := range s.uncertain {
		reserve := operation.GetReserveTurn()
		release := &protocol.LedgerOperation{
			Program: operation.GetProgram(),
			Body: &protocol.LedgerOperation_ReleaseTurn{ReleaseTurn: &protocol.ReleaseTurn{
				RequestId: reserve.GetRequestId(), Session: reserve.GetSession(), Epoch: reserve.GetEpoch(),
			}},
		}
		Expect(s.fleet.do(release).GetStatus()).To(Equal(ok), s.history)
	}
	s.uncertain = nil
}

func newTwoLossesScenario(seed uint64) *faultScenario {
	unwrapped := func(_ string, filesystem storage.Filesystem) storage.Filesystem { return filesystem }
	return newFaultScenarioOn(newFleetWithReplicas(replicasForTwoLosses, unwrapped, "a", "b", "c", "d", "e", "f"), seed)
}

// loseTwo loses two stores at once, each by a random fault, while programs take turns, and repairs both.
func (s *faultScenario) loseTwo(lossCounts map[string]int) {
	GinkgoHelper()
	lost := s.random.Perm(replicasForTwoLosses)[:2]
	losses := []storeLoss{storeLosses[s.random.IntN(len(storeLosses))], storeLosses[s.random.IntN(len(storeLosses))]}
	for i, number := range lost {
		s.record("%s: %s", s.fleet.names[number], losses[i].name)
		lossCounts[losses[i].name]++
		losses[i].begin(s, s.fleet.names[number])
	}
	for range turnsWhileDown {
		s.takeTurn()
		s.findTurn()
	}
	down := []string{s.fleet.names[lost[0]], s.fleet.names[lost[1]]}
	for i, number := range lost {
		// Until the other stores apply the placement published with the first repair, they correctly serve the previous one.
		s.fleet.until(func() bool { return s.fleet.placementAppliedExcept(down[i:]...) })
		losses[i].end(s, s.fleet.names[number])
	}
	for range turnsBetweenLosses {
		s.takeTurn()
		s.findTurn()
	}
	s.fleet.until(func() bool { return s.fleet.allReplicasActive() && s.fleet.placementApplied() })
}

// loseAllAndTwoDisks cuts the power of all stores and loses the disks of two.
func (s *faultScenario) loseAllAndTwoDisks() {
	GinkgoHelper()
	s.record("power loss of all stores, disk loss of two")
	for _, name := range s.fleet.names {
		s.fleet.stopOne(name, true)
	}
	empty := s.random.Perm(replicasForTwoLosses)[:2]
	for number, name := range s.fleet.names {
		if number == empty[0] || number == empty[1] {
			s.fleet.restartEmpty(name)
		} else {
			s.fleet.restart(name)
		}
	}
	s.fleet.until(func() bool { return s.fleet.allReplicasActive() && s.fleet.placementApplied() })
}

var _ = Describe("a fleet that loses two stores at once", func() {
	lossCounts := map[string]int{}
	for seed := range uint64(6) {
		It(fmt.Sprintf("keeps what it acknowledged, seed %d", seed), func() {
			scenario := newTwoLossesScenario(seed)
			for range twoLossesRounds {
				scenario.loseTwo(lossCounts)
			}
			scenario.loseAllAndTwoDisks()
			for _, p := range scenario.programs {
				if len(p.turns) > 0 {
					p.expectRetained()
				}
			}
			for _, kind := range storeLosses {
				if seed == 5 {
					Expect(lossCounts[kind.name]).To(BeNumerically(">=", 6), kind.name)
				}
			}
		})
	}
})
