package store_test

import (
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
)

// writesTo counts the values and turns that each store is asked to write by another one.
type writesTo struct {
	mutex  sync.Mutex
	counts map[string]int
}

func (w *writesTo) note(address string, request *protocol.Request) {
	requests := []*protocol.Request{request}
	if batch := request.GetStoreBatch(); batch != nil {
		requests = batch.GetRequests()
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, each := range requests {
		if each.GetAccept() != nil || each.GetKeepTurn() != nil {
			w.counts[address]++
		}
	}
}

// of gives the count of a store and begins anew.
func (w *writesTo) of(name string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	count := w.counts[name]
	w.counts[name] = 0
	return count
}

func (f *fleet) countWrites() *writesTo {
	writes := &writesTo{counts: map[string]int{}}
	f.mutex.Lock()
	f.intercept = writes.note
	f.mutex.Unlock()
	return writes
}

var _ = Describe("a change of a program", func() {
	It("given replicas that answer, then it is sent to as few as make a majority", func() {
		f := newPatientFleet("a", "b", "c")
		// No time passes, so that no answer is late.
		f.pace = 0
		writes := f.countWrites()
		p := f.program("p")
		for range 10 {
			p.takeTurn()
		}
		Expect(writes.of("b")).To(BeNumerically(">=", 20))
		Expect(writes.of("c")).To(BeZero())
		p.expectKept()
	})

	It("given a replica that is silent, then another one takes its place, and is asked first from then on", func() {
		f := newPatientFleet("a", "b", "c")
		writes := f.countWrites()
		p := f.program("p")
		p.takeTurn()
		f.freeze("b")
		p.takeTurn()
		Expect(writes.of("c")).To(BeNumerically(">", 0))
		f.pace = 0
		writes.of("b")
		p.takeTurn()
		Expect(writes.of("c")).To(BeNumerically(">=", 2))
		Expect(writes.of("b")).To(BeZero())
		f.thaw("b")
		p.expectKept()
	})

	It("given a replica that fails at once, then another one takes its place in the same round", func() {
		f := newFleet("a", "b", "c")
		writes := f.countWrites()
		p := f.program("p")
		p.takeTurn()
		f.setCut("b", true)
		for range 5 {
			p.takeTurn()
		}
		Expect(writes.of("c")).To(BeNumerically(">=", 10))
		f.setCut("b", false)
		p.expectKept()
	})

	It("given a majority of which one loses its disk and one its power, then the spared replica serves what was acknowledged", func() {
		f := newFleet("a", "b", "c", "d", "e")
		p := f.program("p")
		for range 10 {
			p.takeTurn()
		}
		f.loseDisk("a")
		f.until(f.inForce)
		f.until(f.whole)
		f.setCut("b", true)
		p.expectKept()
		p.takeTurn()
		p.expectKept()
	})
})
