package store_test

import (
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// retention is far longer than the fleet's clock advances during any wait: fleet.until advances it by 50 ms for each
	// check, so that on this clock a wait for a turn that only the scrub copies takes ten minutes, and a slow wait hours.
	retention = 30 * 24 * time.Hour
	// retentionTwelfth is the unit by which specs advance the clock within retention, and the least time left for waits.
	retentionTwelfth = retention / 12
	// minRetention is the shortest retention that a session may have.
	minRetention = 2 * time.Minute
)

// advanceInSteps advances the clock by a duration in small steps.
func (f *fleet) advanceInSteps(wait time.Duration) {
	GinkgoHelper()
	deadline := f.clock.Now().Add(wait)
	f.until(func() bool { return !f.clock.Now().Before(deadline) })
}

// turnCounts returns the number of turns that each running store has.
func (f *fleet) turnCounts() []uint64 {
	var counts []uint64
	for _, name := range f.names {
		if running := f.running(name); running != nil {
			counts = append(counts, running.Status().GetTurns())
		}
	}
	return counts
}

// awaitTurns waits until every running store has that many turns: a commit is acknowledged once a majority has it.
func (f *fleet) awaitTurns(turns uint64) {
	GinkgoHelper()
	f.until(func() bool {
		return !slices.ContainsFunc(f.turnCounts(), func(count uint64) bool { return count != turns })
	})
}

// writeUntilSnapshot takes turns of a program until a store has written a new snapshot of its registers.
func (f *fleet) writeUntilSnapshot(name string, busy *program) {
	GinkgoHelper()
	before := f.members[name].disk.Files("data/registers")
	f.until(func() bool {
		busy.takeTurn()
		now := f.members[name].disk.Files("data/registers")
		return hasSnapshot(now) && !slices.Contains(now, before[0])
	})
}

// expectRetainedOnBAndCNearExpiry reads all turns from stores b and c shortly before the retention of the last turn
// ends, which is long after that of the first turn would have ended.
func (p *program) expectRetainedOnBAndCNearExpiry() {
	GinkgoHelper()
	p.fleet.clock.advance(10 * retentionTwelfth)
	p.fleet.advanceInSteps(2 * time.Minute)
	p.fleet.setPartitioned("a", true)
	p.expectRetained()
}

func newFindTurn(turn string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{Body: &protocol.LedgerOperation_FindTurn{FindTurn: &protocol.FindTurn{TurnId: turn}}}
}

var _ = Describe("a chain of turns with a short retention", func() {
	It("is retained in full as long as its last turn, and then removed by every store", func() {
		f := newFleet("a", "b", "c")
		p := f.programWithRetention("p", retention)
		p.takeTurn()
		f.awaitTurns(1)
		f.clock.advance(11 * retentionTwelfth)
		p.takeTurn()
		f.awaitTurns(2)
		f.clock.advance(10 * retentionTwelfth)
		f.advanceInSteps(2 * time.Minute)
		p.expectRetained()
		Expect(f.turnCounts()).To(HaveEach(BeEquivalentTo(2)))
		f.clock.advance(2 * retentionTwelfth)
		f.until(func() bool {
			// Each check costs a read, so the clock advances further for each than it does in until.
			f.clock.advance(time.Second)
			return f.do(p.readTurns(p.last())).GetStatus() == missing
		})
		f.awaitTurns(0)
	})

	It("is retained in full by a store that receives the first turn from the scrub only", func() {
		f := newFleet("a", "b", "c")
		p := f.programWithRetention("p", retention)
		f.setPartitioned("c", true)
		p.takeTurn()
		f.setPartitioned("c", false)
		f.awaitTurns(1)
		f.clock.advance(11 * retentionTwelfth)
		p.takeTurn()
		f.awaitTurns(2)
		p.expectRetainedOnBAndCNearExpiry()
	})

	It("is retained in full when all stores lose power meanwhile", func() {
		f := newFleet("a", "b", "c")
		p := f.programWithRetention("p", retention)
		p.takeTurn()
		f.clock.advance(11 * retentionTwelfth)
		p.takeTurn()
		f.clock.advance(8 * retentionTwelfth)
		f.advanceInSteps(2 * time.Minute)
		for _, name := range f.names {
			f.stopOne(name, true)
		}
		for _, name := range f.names {
			f.restart(name)
		}
		f.until(f.placementApplied)
		p.expectRetained()
	})

	It("is retained in full by a store that was down when it began", func() {
		f := newFleet("a", "b", "c")
		p := f.programWithRetention("p", retention)
		f.setPartitioned("c", true)
		p.takeTurn()
		p.takeTurn()
		f.setPartitioned("c", false)
		f.clock.advance(11 * retentionTwelfth)
		p.takeTurn()
		f.until(func() bool { return f.members["c"].store.Status().GetTurns() == 3 })
		p.expectRetainedOnBAndCNearExpiry()
	})

	It("is retained in full by a store that copied it", func() {
		f := newFleet("a", "b", "c")
		p := f.programWithRetention("p", retention)
		p.takeTurn()
		f.clock.advance(11 * retentionTwelfth)
		p.takeTurn()
		f.clock.advance(5 * retentionTwelfth)
		f.loseDisk("c")
		f.until(f.allReplicasActive)
		f.loseDisk("b")
		f.until(f.allReplicasActive)
		f.stopOne("a", true)
		p.expectRetained()
	})

	It("is retained longer by a turn of another program", func() {
		f := newFleet("a", "b", "c")
		older := f.programWithRetention("older", retention)
		older.takeTurn()
		older.takeTurn()
		f.clock.advance(11 * retentionTwelfth)
		later := &program{fleet: f, name: "later", retention: retention, previousProgram: "older", previousTurn: older.last()}
		later.claim("front-2")
		later.takeTurn()
		later.takeTurn()
		f.clock.advance(10 * retentionTwelfth)
		f.advanceInSteps(2 * time.Minute)
		later.expectRetained()
		result := f.do(later.readTurns(later.last()))
		Expect(result.GetLastTurn()).To(BeEmpty())
		Expect(result.GetTurns()[1].GetPreviousProgram()).To(Equal("older"))
		history := f.do(older.readTurns(older.last()))
		Expect(history.GetStatus()).To(Equal(ok))
		Expect(history.GetTurns()).To(HaveLen(2))
	})
})

var _ = Describe("a turn whose program is not known", func() {
	It("is found on any store, and reported missing only when a majority of each shard lacks it", func() {
		f := newFleet("a", "b", "c", "d")
		f.move(2, "a", "d")
		f.until(f.allReplicasActive)
		var turns []string
		for _, name := range []string{"p1", "p2", "p3", "p4", "p5", "p6"} {
			p := f.program(name)
			p.takeTurn()
			turns = append(turns, p.last())
		}
		for _, turn := range turns {
			result := f.do(newFindTurn(turn))
			Expect(result.GetStatus()).To(Equal(ok))
			Expect(result.GetTurns()).To(HaveLen(1))
			Expect(result.GetTurns()[0].GetId()).To(Equal(turn))
		}
		Expect(f.do(newFindTurn("turn_unknown")).GetStatus()).To(Equal(missing))
		f.setPartitioned("a", true)
		Expect(f.do(newFindTurn("turn_unknown")).GetStatus()).To(Equal(missing))
		f.setPartitioned("b", true)
		Expect(f.request("c", shortTimeout, newFindTurn("turn_unknown")).GetStatus()).To(Equal(unavailable))
	})

	It("is never reported missing by stores that lost it with their disks", func() {
		f := newFleet("a", "b", "c")
		p := f.program("p")
		f.setPartitioned("c", true)
		p.takeTurn()
		f.setPartitioned("c", false)
		f.loseDisk("a")
		Expect(f.request("c", shortTimeout, newFindTurn(p.last())).GetStatus()).NotTo(Equal(missing))
		f.until(f.allReplicasActive)
		Expect(f.do(newFindTurn(p.last())).GetStatus()).To(Equal(ok))
	})
})

var _ = Describe("an idle program", func() {
	It("is removed from memory and disk after its retention, with its calls, while others stay", func() {
		f := newFleet("a", "b", "c")
		idle, lasting := f.programWithRetention("idle", minRetention), f.program("lasting")
		idle.takeTurn()
		lasting.takeTurn()
		Expect(f.do(idle.beginCall("call")).GetStatus()).To(Equal(ok))
		// An acknowledged change is on a majority, which may not include store a yet.
		f.until(func() bool { return f.members["a"].store.Status().GetRegisters() == 3 })
		f.clock.advance(5 * time.Minute)
		f.until(func() bool { return f.members["a"].store.Status().GetRegisters() == 2 })
		f.clock.advance(10 * time.Minute)
		f.until(func() bool { return f.members["a"].store.Status().GetRegisters() == 1 })
		f.clock.advance(time.Hour)
		f.advanceInSteps(time.Minute)
		lasting.expectRetained()
		idle.claim("front-2")
		Expect(idle.epoch).To(BeEquivalentTo(1))
	})

	It("does not reappear from a store that was down when it was removed and created again", func() {
		f := newFleet("a", "b", "c")
		p := f.programWithRetention("p", minRetention)
		for range 20 {
			p.takeTurn()
		}
		f.stopOne("c", false)
		f.clock.advance(20 * time.Minute)
		f.until(func() bool {
			return f.members["a"].store.Status().GetRegisters() == 0 && f.members["b"].store.Status().GetRegisters() == 0
		})
		busy := f.program("busy")
		busy.padding = strings.Repeat("x", 1000)
		// The store that proposes is restarted last, so that its ballots start over.
		for _, name := range []string{"b", "a"} {
			// A message delayed in terms of the fast clock may have recreated the register, until it is removed again.
			f.until(func() bool {
				f.advanceInSteps(time.Minute)
				f.writeUntilSnapshot(name, busy)
				f.stopOne(name, false)
				f.restart(name)
				f.until(f.placementApplied)
				return f.members[name].store.Status().GetRegisters() == 1
			})
		}
		f.until(f.placementApplied)
		recreated := f.programWithRetention("p", minRetention)
		recreated.requests = 100
		recreated.takeTurn()
		f.restart("c")
		f.stopOne("b", false)
		// The clock slows down so that store c does not remove the expired register on its own.
		f.clockSpeedup = 1
		recreated.expectRetained()
		recreated.takeTurn()
		record := f.do(&protocol.LedgerOperation{Program: "p", Body: &protocol.LedgerOperation_ReadProgram{}}).GetProgram()
		Expect(record.GetSettled()).To(BeEquivalentTo(7 * 2))
	})
})
