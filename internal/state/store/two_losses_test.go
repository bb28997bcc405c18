package store_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
)

const (
	// replicasForTwoLosses keep a majority when two of them are away.
	replicasForTwoLosses = 5
	twoLossesRounds      = 6
	turnsWhileAway       = 5
	turnsBetweenLosses   = 4
)

// storeLoss is a way to lose a store and to bring it back.
type storeLoss struct {
	name       string
	begin, end func(d *badDay, store string)
}

var storeLosses = []storeLoss{
	{
		"killed", func(d *badDay, store string) { d.fleet.stopOne(store, false) },
		func(d *badDay, store string) { d.fleet.restart(store) },
	},
	{
		"power lost", func(d *badDay, store string) { d.fleet.stopOne(store, true) },
		func(d *badDay, store string) { d.fleet.restart(store) },
	},
	{
		"disk lost", func(d *badDay, store string) { d.fleet.stopOne(store, true) },
		func(d *badDay, store string) { d.fleet.restartEmpty(store) },
	},
	{"cut off", beginCut, endCut},
	{
		"frozen", func(d *badDay, store string) { d.fleet.setStale(store, true); d.fleet.freeze(store) },
		func(d *badDay, store string) { d.fleet.thaw(store); d.comeBack(store) },
	},
}

func beginCut(d *badDay, store string) {
	d.fleet.setStale(store, true)
	d.fleet.setCut(store, true)
}

func endCut(d *badDay, store string) {
	d.fleet.setCut(store, false)
	d.comeBack(store)
}

// comeBack lets a store that was away hear of the newest placement, after it was asked under the one before.
func (d *badDay) comeBack(store string) {
	GinkgoHelper()
	d.askStale(store)
	d.fleet.setStale(store, false)
	d.fleet.publish()
	d.releaseDoubtful()
}

// releaseDoubtful takes back what may have been reserved, as a front node does.
func (d *badDay) releaseDoubtful() {
	GinkgoHelper()
	for _, operation := range d.doubtful {
		reserve := operation.GetReserveTurn()
		release := &protocol.LedgerOperation{Program: operation.GetProgram(), Body: &protocol.LedgerOperation_ReleaseTurn{ReleaseTurn: &protocol.ReleaseTurn{
			RequestId: reserve.GetRequestId(), Session: reserve.GetSession(), Epoch: reserve.GetEpoch(),
		}}}
		Expect(d.fleet.do(release).GetStatus()).To(Equal(ok), d.history)
	}
	d.doubtful = nil
}

func newDayOfTwoLosses(seed uint64) *badDay {
	unwrapped := func(_ string, filesystem storage.Filesystem) storage.Filesystem { return filesystem }
	return newBadDayOn(newFleetOf(replicasForTwoLosses, unwrapped, "a", "b", "c", "d", "e", "f"), seed)
}

// loseTwo loses two stores at once, in the same way or in two, while programs take turns.
func (d *badDay) loseTwo(provoked map[string]int) {
	GinkgoHelper()
	names := d.random.Perm(replicasForTwoLosses)[:2]
	chosen := []storeLoss{storeLosses[d.random.IntN(len(storeLosses))], storeLosses[d.random.IntN(len(storeLosses))]}
	for each, place := range names {
		d.note("%s: %s", d.fleet.names[place], chosen[each].name)
		provoked[chosen[each].name]++
		chosen[each].begin(d, d.fleet.names[place])
	}
	for range turnsWhileAway {
		d.takeTurn()
		d.lookUp()
	}
	away := []string{d.fleet.names[names[0]], d.fleet.names[names[1]]}
	for each, place := range names {
		// Until the others act under the placement that came with the first return, they rightly serve the one before.
		d.fleet.until(func() bool { return d.fleet.inForceBut(away[each:]...) })
		chosen[each].end(d, d.fleet.names[place])
	}
	for range turnsBetweenLosses {
		d.takeTurn()
		d.lookUp()
	}
	d.fleet.until(func() bool { return d.fleet.whole() && d.fleet.inForce() })
}

// loseAllAndTwoDisks takes the power of all stores and the disks of two.
func (d *badDay) loseAllAndTwoDisks() {
	GinkgoHelper()
	d.note("power of all, disks of two")
	for _, name := range d.fleet.names {
		d.fleet.stopOne(name, true)
	}
	empty := d.random.Perm(replicasForTwoLosses)[:2]
	for place, name := range d.fleet.names {
		if place == empty[0] || place == empty[1] {
			d.fleet.restartEmpty(name)
		} else {
			d.fleet.restart(name)
		}
	}
	d.fleet.until(func() bool { return d.fleet.whole() && d.fleet.inForce() })
}

var _ = Describe("stores that lose two at once", func() {
	provoked := map[string]int{}
	for seed := range uint64(6) {
		It(fmt.Sprintf("keep what they acknowledged, seed %d", seed), func() {
			day := newDayOfTwoLosses(seed)
			for range twoLossesRounds {
				day.loseTwo(provoked)
			}
			day.loseAllAndTwoDisks()
			for _, p := range day.programs {
				if len(p.turns) > 0 {
					p.expectKept()
				}
			}
			for _, kind := range storeLosses {
				if seed == 5 {
					Expect(provoked[kind.name]).To(BeNumerically(">=", 6), kind.name)
				}
			}
		})
	}
})
