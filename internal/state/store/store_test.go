package store_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
)

const (
	ok           = protocol.LedgerStatus_LEDGER_OK
	fenced       = protocol.LedgerStatus_LEDGER_FENCED
	missing      = protocol.LedgerStatus_LEDGER_TURN_MISSING
	unavailable  = protocol.LedgerStatus_LEDGER_UNAVAILABLE
	shortTimeout = 300 * time.Millisecond
)

var _ = Describe("a fleet of stores", func() {
	It("given committed turns, when every store loses power at once, then every acknowledged turn is retained", func() {
		f := newFleet("a", "b", "c")
		programs := []*program{f.program("p1"), f.program("p2"), f.program("p3")}
		for range 5 {
			for _, p := range programs {
				p.takeTurn()
			}
		}
		for _, name := range f.names {
			f.stopOne(name, true)
		}
		for _, name := range f.names {
			f.restart(name)
		}
		for _, p := range programs {
			p.expectRetained()
			p.takeTurn()
		}
	})

	It("given long logs, then snapshots replace them, and a restart reads everything back", func() {
		f := newFleet("a", "b", "c")
		p := f.program("p")
		p.padding = strings.Repeat("x", 4000)
		for range 100 {
			p.takeTurn()
		}
		f.until(func() bool {
			return hasSnapshot(f.members["a"].disk.Files("data/registers")) &&
				hasSnapshot(f.members["a"].disk.Files("data/turns"))
		})
		for range 20 {
			p.takeTurn()
		}
		for _, name := range f.names {
			f.stopOne(name, true)
		}
		for _, name := range f.names {
			f.restart(name)
			f.until(func() bool { return f.members[name].store.Status().GetTurns() == 120 })
		}
		p.takeTurn()
		record := f.do(&protocol.LedgerOperation{Program: p.name, Body: &protocol.LedgerOperation_ReadProgram{}}).GetProgram()
		Expect(record.GetSettled()).To(BeEquivalentTo(7 * 121))
	})

	It("given one store down, then turns continue, and reads repair the store after its return", func() {
		f := newFleet("a", "b", "c")
		p := f.program("p")
		f.stopOne("a", true)
		p.takeTurn()
		p.takeTurn()
		f.restart("a")
		f.stopOne("b", false)
		p.expectRetained()
		f.until(func() bool { return f.members["a"].store.Status().GetTurns() == 2 })
		Expect(f.members["a"].store.Status().GetRepaired()).To(BeNumerically(">=", 2))
	})

	It("given a store that missed changes, when it scrubs, then it has them without being read", func() {
		f := newFleet("a", "b", "c")
		f.setPartitioned("c", true)
		for number := range 6 {
			f.program(fmt.Sprintf("p%d", number)).takeTurn()
		}
		f.setPartitioned("c", false)
		Expect(f.members["c"].store.Status().GetTurns()).To(BeZero())
		go f.members["c"].store.Running().ScrubOnce()
		f.until(func() bool {
			status := f.members["c"].store.Status()
			return status.GetTurns() == 6 && status.GetRegisters() == 6
		})
	})

	It("given a lost disk, when it is rebuilt and a second disk is lost right after, then nothing is lost", func() {
		f := newFleet("a", "b", "c")
		var programs []*program
		for number := range 8 {
			p := f.program(fmt.Sprintf("p%d", number))
			p.takeTurn()
			p.takeTurn()
			programs = append(programs, p)
		}
		for _, lost := range []string{"a", "b", "c", "a"} {
			before := f.members[lost].self.GetStorageId()
			f.loseDisk(lost)
			Expect(f.members[lost].self.GetStorageId()).NotTo(Equal(before))
			f.until(f.allReplicasActive)
			programs[0].takeTurn()
		}
		for _, p := range programs {
			p.expectRetained()
		}
	})

	It("given an emptied store and one partitioned, then it does not vote and answers unavailable, never missing", func() {
		f := newFleet("a", "b", "c")
		p := f.program("p")
		p.takeTurn()
		f.setPartitioned("b", true)
		f.loseDisk("a")
		f.until(f.placementApplied)
		Expect(f.request("c", shortTimeout, p.reserve()).GetStatus()).To(Equal(unavailable))
		Expect(f.request("c", shortTimeout, p.readTurns("turn_never")).GetStatus()).To(Equal(unavailable))
		p.requests--
		f.setPartitioned("b", false)
		f.until(f.allReplicasActive)
		p.takeTurn()
		p.expectRetained()
	})

	It("given a turn that no store has, then it is reported missing only while a majority answers", func() {
		f := newFleetWithLongTimeouts("a", "b", "c")
		p := f.program("p")
		p.takeTurn()
		Expect(f.do(p.readTurns("turn_never")).GetStatus()).To(Equal(missing))
		f.setPartitioned("b", true)
		Expect(f.request("a", awaitTimeout, p.readTurns("turn_never")).GetStatus()).To(Equal(missing))
		f.setPartitioned("c", true)
		Expect(f.request("a", shortTimeout, p.readTurns("turn_never")).GetStatus()).To(Equal(unavailable))
	})

	It("given writers, when every shard moves from one store to another, then no acknowledged turn is lost", func() {
		f := newFleet("a", "b", "c", "d")
		var programs []*program
		for number := range 6 {
			programs = append(programs, f.program(fmt.Sprintf("p%d", number)))
		}
		var stopWriters atomic.Bool
		var writers sync.WaitGroup
		for _, p := range programs {
			writers.Go(func() {
				defer GinkgoRecover()
				for !stopWriters.Load() && len(p.turns) < 200 {
					p.takeTurn()
				}
			})
		}
		for shard := range uint32(shardCount) {
			f.move(shard, "a", "d")
			f.until(f.allReplicasActive)
		}
		stopWriters.Store(true)
		writers.Wait()
		f.until(func() bool { return f.members["a"].store.Status().GetRegisters() == 0 })
		f.stopOne("a", false)
		f.stopOne("b", false)
		f.restart("b")
		for _, p := range programs {
			p.expectRetained()
		}
	})

	It("given an operation sent under an older placement, then it is rejected with the current epoch", func() {
		f := newFleet("a", "b", "c")
		p := f.program("p")
		shard := ledger.ShardOf("p", shardCount)
		oldEpoch := f.View().Placement.GetShards()[shard].GetEpoch()
		f.loseDisk("c")
		f.until(func() bool { return f.allReplicasActive() && f.placementApplied() })
		operation := p.reserve()
		operation.PlacementEpoch = oldEpoch
		currentEpoch := f.View().Placement.GetShards()[shard].GetEpoch()
		f.until(func() bool {
			response, err := (&network{fleet: f}).Call(GinkgoT().Context(), "a",
				&protocol.Request{Body: &protocol.Request_Ledger{Ledger: operation}})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.GetLedger().GetStatus()).To(Equal(protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT))
			return response.GetLedger().GetPlacementEpoch() == currentEpoch
		})
	})

	It("given syncs that keep failing, then the store stops and acknowledges nothing", func() {
		f := newFleet("a", "b", "c")
		p := f.program("p")
		f.setPartitioned("b", true)
		f.members["a"].disk.FailSyncs(0, 1000)
		// The fleet's clock advances while an operation is awaited, so an operation may expire before it begins.
		f.until(func() bool {
			result, refused := f.requestFrom("a", p.reserve())
			if refused != nil {
				Expect(refused.Code()).To(Equal(failure.Unavailable))
			} else {
				Expect(result.GetStatus()).To(Equal(unavailable))
			}
			return len(f.members["a"].failure) == 1
		})
	})

	It("given turns past their retention, then their segments are removed and they are reported missing", func() {
		f := newFleet("a", "b", "c")
		p := f.program("p")
		for range 400 {
			p.takeTurn()
		}
		segments := func() int { return len(listSegments(f.members["a"].disk.Files("data/turns"))) }
		Expect(segments()).To(BeNumerically(">", 2))
		f.clock.advance(ledger.DefaultRetention + 10*time.Minute)
		f.until(func() bool { return segments() == 1 })
		f.until(func() bool { return f.do(p.readTurns(p.last())).GetStatus() == missing })
	})
})

var _ = Describe("a non-repeatable call", func() {
	begin := func(p *program, attempt string) *protocol.LedgerOperation {
		return &protocol.LedgerOperation{
			Program: p.name,
			Body: &protocol.LedgerOperation_BeginCall{BeginCall: &protocol.BeginCall{
				RequestId: "call-1", Session: p.name, Epoch: p.epoch, Attempt: attempt, Tool: "valve",
			}},
		}
	}

	It("given an intent, then no other attempt may issue the call and repeats are answered with its outcome", func() {
		f := newFleet("a", "b", "c")
		p := f.program("p")
		Expect(f.do(begin(p, "one")).GetStatus()).To(Equal(ok))
		Expect(f.do(begin(p, "two")).GetStatus()).To(Equal(protocol.LedgerStatus_LEDGER_CALL_UNDER_WAY))
		Expect(f.do(&protocol.LedgerOperation{Program: "p", Body: &protocol.LedgerOperation_FinishCall{
			FinishCall: &protocol.FinishCall{RequestId: "call-1", Attempt: "one", Status: 201},
		}}).GetStatus()).To(Equal(ok))
		repeated := f.do(begin(p, "two"))
		Expect(repeated.GetStatus()).To(Equal(protocol.LedgerStatus_LEDGER_ALREADY_FINISHED))
		Expect(repeated.GetCall().GetStatus()).To(BeEquivalentTo(201))
	})

	It("given a new owner, then the old owner's call is fenced and leaves no intent", func() {
		f := newFleet("a", "b", "c")
		p := f.program("p")
		staleCall := begin(p, "old")
		p.claim("front-2")
		Expect(f.do(staleCall).GetStatus()).To(Equal(fenced))
		Expect(f.do(begin(p, "new")).GetStatus()).To(Equal(ok))
	})

	It("given a claim that arrives while the old owner's intent is written, then the old owner may not issue", func() {
		f := newFleet("a", "b", "c")
		p := f.program("p")
		var once sync.Once
		var claimStatus protocol.LedgerStatus
		f.mutex.Lock()
		f.intercept = func(_ string, request *protocol.Request) {
			if request.GetAccept().GetKey().GetCall() == "" {
				return
			}
			once.Do(func() {
				response, err := (&network{fleet: f}).Call(GinkgoT().Context(), "b",
					&protocol.Request{Body: &protocol.Request_Ledger{
						Ledger: &protocol.LedgerOperation{
							Program: p.name, PlacementEpoch: f.View().Placement.GetShards()[ledger.ShardOf(p.name, shardCount)].GetEpoch(),
							Body: &protocol.LedgerOperation_ClaimSession{ClaimSession: &protocol.ClaimSession{
								Session: p.name, Owner: "front-2", OwnerIncarnation: 1,
							}},
						},
					}})
				if err == nil {
					claimStatus = response.GetLedger().GetStatus()
				}
			})
		}
		f.mutex.Unlock()
		f.setPartitioned("c", true)
		Expect(f.request("a", awaitTimeout, begin(p, "old")).GetStatus()).To(Equal(fenced))
		Expect(claimStatus).To(Equal(ok))
	})
})

var _ = Describe("the data folder of a store", func() {
	DescribeTable("given data that is damaged or removed, then the store starts empty under another storage id",
		func(turns int, damage func(m *member)) {
			f := newFleet("a", "b", "c")
			p := f.program("p")
			// A turn is committed once two stores have retained it. Damage counts as a loss only before a record that was
			// synced later, so this store must sync each turn before the next one: a store that lags writes several in
			// one batch, whose damage looks like a torn write.
			for turn := range turns {
				p.takeTurn()
				f.until(func() bool { return f.running("a").Status().GetTurns() == uint64(turn+1) })
			}
			m := f.members["a"]
			before := m.self.GetStorageId()
			if turns > 50 {
				f.until(func() bool { return hasSnapshot(m.disk.Files("data/registers")) })
			}
			f.stopOne("a", false)
			damage(m)
			folder, err := datafolder.Open(m.disk, "data", segmentBytes)
			Expect(err).NotTo(HaveOccurred())
			Expect(folder.Lost).To(HaveOccurred())
			Expect(folder.StorageID).NotTo(Equal(before))
			Expect(folder.Close()).To(Succeed())
		},
		Entry("a register record", 5,
			func(m *member) { Expect(m.disk.Damage(m.disk.Files("data/registers")[0], 200, 0xff)).To(BeTrue()) }),
		Entry("a turn record", 5,
			func(m *member) { Expect(m.disk.Damage(m.disk.Files("data/turns")[0], 200, 0xff)).To(BeTrue()) }),
		Entry("the register log", 5, func(m *member) { removeAll(m, "data/registers", ".log") }),
		Entry("a register snapshot", 100, func(m *member) {
			Expect(m.disk.Damage(listFiles(m, "data/registers", ".snapshot")[0], 60, 0xff)).To(BeTrue())
		}),
		Entry("all register snapshots", 100, func(m *member) { removeAll(m, "data/registers", ".snapshot") }),
	)
})

func listFiles(m *member, folder, suffix string) []string {
	return slices.DeleteFunc(m.disk.Files(folder), func(file string) bool { return !strings.HasSuffix(file, suffix) })
}

func removeAll(m *member, folder, suffix string) {
	GinkgoHelper()
	for _, file := range listFiles(m, folder, suffix) {
		Expect(m.disk.Remove(file)).To(Succeed())
	}
}

// listSegments returns the segments of a log without its index.
func listSegments(files []string) []string {
	return slices.DeleteFunc(files, func(file string) bool { return !strings.HasSuffix(file, ".log") })
}

func hasSnapshot(files []string) bool {
	return slices.ContainsFunc(files, func(file string) bool { return strings.HasSuffix(file, ".snapshot") })
}
