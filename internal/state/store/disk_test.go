package store_test

import (
	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store"
)

// requestFrom sends an operation to one store only, while the clock advances. It returns the result, or the failure
// with which the operation was rejected before it began.
func (f *fleet) requestFrom(
	name string, operation *protocol.LedgerOperation,
) (result *protocol.LedgerResult, rejection *failure.Error) {
	GinkgoHelper()
	operation.PlacementEpoch = f.shardEpoch(operation)
	result = f.await(func() (*protocol.LedgerResult, error) {
		ctx, cancel := boundedContext()
		defer cancel()
		response, err := (&network{fleet: f}).Call(ctx, name,
			&protocol.Request{Body: &protocol.Request_Ledger{Ledger: operation}})
		if errors.As(err, &rejection) {
			return nil, nil
		}
		return response.GetLedger(), err
	})
	return result, rejection
}

func (f *fleet) serving(name string) bool { return f.running(name).Serving() }

// replaced reports whether a store other than the previous one serves.
func (f *fleet) replaced(name string, previous *store.Store) bool {
	current := f.running(name).Running()
	return current != nil && current != previous
}

func (f *fleet) expectNotReplaced(name string) {
	GinkgoHelper()
	Expect(f.members[name].failure).NotTo(Receive(), "the supervisor of store %s reported a fatal error", name)
}

var _ = Describe("a store whose disk fails", func() {
	It("given a full disk, then the store rejects requests, stays up, and serves all turns once there is space", func() {
		f := newFleet("a", "b", "c")
		p := f.program("p")
		for range 20 {
			p.takeTurn()
		}
		disk := f.members["a"].disk
		disk.SetCapacity(disk.Used())
		f.until(func() bool {
			p.takeTurn()
			return !f.serving("a")
		})
		_, rejection := f.requestFrom("a", p.reserve())
		Expect(rejection).To(HaveOccurred())
		Expect(rejection.Code()).To(Equal(failure.Unavailable))
		Expect(rejection.Failure.GetOutcome()).To(Equal(protocol.Outcome_NOT_RUN))
		for range 20 {
			p.takeTurn()
		}
		Expect(f.serving("a")).To(BeFalse())
		f.expectNotReplaced("a")

		disk.SetCapacity(0)
		f.until(func() bool { return f.serving("a") && f.placementApplied() })
		f.setPartitioned("b", true)
		for range 20 {
			p.takeTurn()
		}
		p.expectRetained()
		f.expectNotReplaced("a")
	})

	It("given a disk that repeatedly runs full, then nothing acknowledged is lost", func() {
		f := newFleet("a", "b", "c")
		p := f.program("p")
		for round := range 6 {
			name := f.names[round%len(f.names)]
			disk := f.members[name].disk
			disk.SetCapacity(disk.Used() + int64(round)*97)
			f.until(func() bool {
				p.takeTurn()
				return !f.serving(name)
			})
			disk.SetCapacity(0)
			f.until(func() bool { return f.serving(name) && f.placementApplied() })
			f.expectNotReplaced(name)
		}
		for _, cut := range f.names {
			f.setPartitioned(cut, true)
			p.expectRetained()
			f.setPartitioned(cut, false)
		}
	})

	It("given one failed sync, then the store is reopened from its disk; given another, the process ends", func() {
		f := newFleet("a", "b", "c")
		p := f.program("p")
		p.takeTurn()
		failing := f.running("a").Running()
		f.members["a"].disk.FailSyncs(0, 1)
		// The store is down for only one second of the fleet's clock, which this loop may miss.
		f.until(func() bool {
			p.takeTurn()
			return f.replaced("a", failing) && f.placementApplied()
		})
		f.expectNotReplaced("a")
		f.setPartitioned("c", true)
		p.takeTurn()
		p.expectRetained()
		f.setPartitioned("c", false)

		f.members["a"].disk.FailSyncs(0, 1)
		f.until(func() bool {
			p.takeTurn()
			return len(f.members["a"].failure) == 1
		})
		Expect(f.serving("a")).To(BeFalse())
	})

	It("given a disk that stalls, then the store answers requests that need no sync, and resumes with the disk", func() {
		f := newFleet("a", "b", "c")
		p := f.program("p")
		p.takeTurn()
		disk := f.members["a"].disk
		disk.StallSyncs()
		DeferCleanup(disk.ResumeSyncs)
		f.until(func() bool {
			p.takeTurn()
			return disk.Counters().StalledSyncs > 0
		})
		for range 10 {
			p.takeTurn()
		}
		Expect(f.running("a").Status().GetRegisters()).To(BeNumerically(">", 0))
		Expect(f.serving("a")).To(BeTrue())

		disk.ResumeSyncs()
		f.setPartitioned("b", true)
		for range 10 {
			p.takeTurn()
		}
		p.expectRetained()
		f.expectNotReplaced("a")
	})
})
