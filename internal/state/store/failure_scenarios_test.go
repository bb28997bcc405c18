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
	badDaySteps    = 120
	badDayPrograms = 5
	// lookUpsAfterLoss are made while the store that lost its disk is rebuilt.
	lookUpsAfterLoss = 20
)

// badDay breaks one store at a time, as a seed says, while programs take turns. The next store breaks
// only when the one before is whole again, as soon as that.
type badDay struct {
	fleet    *fleet
	random   *rand.Rand
	programs []*program
	// kept holds each acknowledged turn with its program.
	kept    map[string]*program
	ordered []string
	// doubtful holds reservations without a clear answer, which may still be made.
	doubtful []*protocol.LedgerOperation
	// broken is the store that is away, empty when none is.
	broken string
	log    []string
}

func newBadDay(seed uint64) *badDay { return newBadDayOn(newFleet("a", "b", "c", "d"), seed) }

func newBadDayOn(stores *fleet, seed uint64) *badDay {
	day := &badDay{
		fleet:  stores,
		random: rand.New(rand.NewPCG(seed, 11)),
		kept:   map[string]*program{},
	}
	for number := range badDayPrograms {
		day.programs = append(day.programs, day.fleet.program(fmt.Sprintf("p%d", number)))
	}
	return day
}

func (d *badDay) note(format string, arguments ...any) {
	d.log = append(d.log, fmt.Sprintf(format, arguments...))
}

func (d *badDay) history() string { return fmt.Sprint(d.log) }

// takeTurn lets a program go on; it may be refused when no majority is there.
func (d *badDay) takeTurn() {
	GinkgoHelper()
	p := d.programs[d.random.IntN(len(d.programs))]
	reserved := d.fleet.do(p.reserve()).GetStatus()
	Expect(reserved).To(Equal(ok), d.history)
	operation := p.settle()
	Expect(d.fleet.do(operation).GetStatus()).To(Equal(ok), d.history)
	turn := operation.GetSettleTurn().GetTurn().GetId()
	p.turns = append(p.turns, turn)
	d.kept[turn] = p
	d.ordered = append(d.ordered, turn)
}

// lookUp asks one store for a kept turn, in two ways. It may be unable to tell, but must not deny it.
func (d *badDay) lookUp() {
	GinkgoHelper()
	if len(d.ordered) == 0 {
		return
	}
	turn := d.ordered[d.random.IntN(len(d.ordered))]
	name := d.fleet.names[d.random.IntN(len(d.fleet.names))]
	if d.fleet.running(name) == nil || d.fleet.isCut(name) || d.fleet.isFrozen(name) {
		return
	}
	for _, operation := range []*protocol.LedgerOperation{d.kept[turn].readTurns(turn), find(turn)} {
		Expect(d.fleet.tryOne(name, operation).GetStatus()).NotTo(Equal(missing), "%s denies %s: %s", name, turn, d.history())
	}
}

// breakOne breaks a store in one of several ways.
func (d *badDay) breakOne() {
	if d.broken != "" && d.fleet.whole() {
		d.moveOff(d.broken)
		return
	}
	if d.broken != "" || !d.fleet.whole() || !d.fleet.inForce() {
		return
	}
	name := d.fleet.names[d.random.IntN(len(d.fleet.names))]
	switch d.random.IntN(6) {
	case 5:
		d.note("freeze %s", name)
		d.fleet.setStale(name, true)
		d.fleet.freeze(name)
		d.broken = name
	case 0:
		d.note("cut %s", name)
		d.fleet.setStale(name, true)
		d.fleet.setCut(name, true)
		d.broken = name
	case 1:
		d.note("kill %s", name)
		d.fleet.stopOne(name, false)
		d.broken = name
	case 2:
		d.note("power %s", name)
		d.fleet.stopOne(name, true)
		d.broken = name
	case 3:
		d.note("disk %s", name)
		d.fleet.loseDisk(name)
		for range lookUpsAfterLoss {
			d.lookUp()
		}
	default:
		d.move()
	}
}

// move replaces one replica of a shard by a store that has none of it.
func (d *badDay) move() {
	shard := uint32(d.random.IntN(shardCount))
	placed := d.fleet.View().Placement.GetShards()[shard]
	spare := d.fleet.spareOf(placed)
	from := placed.GetCurrent()[d.random.IntN(len(placed.GetCurrent()))].GetStore()
	d.note("move %d from %s to %s", shard, from, spare)
	d.fleet.move(shard, from, spare)
}

// moveOff gives a shard of a store that is away to the one that has none of it.
func (d *badDay) moveOff(away string) {
	for _, placed := range d.fleet.View().Placement.GetShards() {
		spare := d.fleet.spareOf(placed)
		if spare != away {
			d.note("move %d from %s, which is away, to %s", placed.GetShard(), away, spare)
			d.fleet.move(placed.GetShard(), away, spare)
			d.fleet.until(d.fleet.whole)
			return
		}
	}
}

func (d *badDay) mendOne() {
	GinkgoHelper()
	if d.broken == "" {
		return
	}
	d.note("mend %s", d.broken)
	if d.fleet.running(d.broken) == nil {
		d.fleet.restart(d.broken)
	} else {
		if d.fleet.isFrozen(d.broken) {
			d.fleet.thaw(d.broken)
		}
		d.fleet.setCut(d.broken, false)
		d.askStale(d.broken)
		d.fleet.setStale(d.broken, false)
		d.fleet.publish()
	}
	d.broken = ""
}

// askStale asks a store that is back and still has the placement of before, as callers do that have it too.
func (d *badDay) askStale(name string) {
	GinkgoHelper()
	old := d.fleet.viewOf(name)
	for _, turn := range d.ordered {
		for _, operation := range []*protocol.LedgerOperation{d.kept[turn].readTurns(turn), find(turn)} {
			answer := d.fleet.tryUnder(name, shardOf(old, operation).GetEpoch(), operation)
			Expect(answer.GetStatus()).NotTo(Equal(missing), "stale %s denies %s: %s", name, turn, d.history())
		}
	}
	for _, p := range d.programs {
		reserve := p.reserve()
		before := shardOf(old, reserve)
		if before.GetEpoch() == d.fleet.epochOf(reserve) {
			continue
		}
		answer := d.fleet.tryUnder(name, before.GetEpoch(), reserve)
		if status := answer.GetStatus(); status == unavailable || status == protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT {
			d.doubtful = append(d.doubtful, reserve)
		}
		Expect(answer.GetStatus()).NotTo(Equal(ok), "stale %s reserved: %s", name, d.history())
	}
}

// powerOff takes the power of all stores at once.
func (d *badDay) powerOff() {
	GinkgoHelper()
	d.mendOne()
	d.fleet.until(d.fleet.whole)
	d.note("power of all")
	for _, name := range d.fleet.names {
		d.fleet.stopOne(name, true)
	}
	for _, name := range d.fleet.names {
		d.fleet.restart(name)
	}
}

func (d *badDay) run() {
	GinkgoHelper()
	for range badDaySteps {
		switch choice := d.random.IntN(20); {
		case choice < 9:
			d.takeTurn()
		case choice < 13:
			d.lookUp()
		case choice < 16:
			d.breakOne()
		case choice < 19:
			d.mendOne()
		default:
			d.powerOff()
		}
	}
	d.mendOne()
	d.fleet.until(d.fleet.whole)
	for _, p := range d.programs {
		if len(p.turns) > 0 {
			p.expectKept()
		}
	}
}

func (f *fleet) isCut(name string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.cut[name]
}

func (f *fleet) spareOf(placed *protocol.ShardPlacement) string {
	for _, name := range f.names {
		holds := false
		for _, replica := range placed.GetCurrent() {
			holds = holds || replica.GetStore() == name
		}
		if !holds {
			return name
		}
	}
	return ""
}

// tryOne asks one store once and takes a failure for no answer.
func (f *fleet) tryOne(name string, operation *protocol.LedgerOperation) *protocol.LedgerResult {
	return f.tryUnder(name, f.epochOf(operation), operation)
}

func (f *fleet) tryUnder(name string, epoch uint64, operation *protocol.LedgerOperation) *protocol.LedgerResult {
	operation = proto.CloneOf(operation)
	operation.PlacementEpoch = epoch
	return f.await(func() (*protocol.LedgerResult, error) {
		ctx, cancel := boundedContext()
		defer cancel()
		response, err := (&network{fleet: f}).Call(ctx, name, &protocol.Request{Body: &protocol.Request_Ledger{Ledger: operation}})
		if err != nil {
			return &protocol.LedgerResult{Status: unavailable}, nil
		}
		return response.GetLedger(), nil
	})
}

var _ = Describe("stores on bad days", func() {
	for seed := range uint64(8) {
		It(fmt.Sprintf("keep what they acknowledged, seed %d", seed), func() { newBadDay(seed).run() })
	}
})
