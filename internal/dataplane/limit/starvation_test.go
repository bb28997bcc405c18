package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/protocol"
)

// allClasses are ordered from the most to the least urgent.
var allClasses = []protocol.Priority{urgent, interactive, probe}

// arrivals is a number of tickets by class, per second or in total.
type arrivals map[protocol.Priority]float64

// servedQueue is a queue with four slots, one of which is released every 25 ms.
type servedQueue struct {
	*tickets
	random *rand.Rand
	now    time.Time
	// nextLeave is when the next slot is released.
	nextLeave time.Time
}

func newServedQueue(seed uint64) *servedQueue {
	return &servedQueue{
		tickets: newTickets(256, 2*time.Second, 4), random: rand.New(rand.NewPCG(seed, 6)), now: start, nextLeave: start,
	}
}

// offer enters tickets for a while and returns the ids of the first and the last of them.
func (w *servedQueue) offer(duration time.Duration, offered arrivals) (first, last uint64) {
	total := 0.0
	for _, class := range allClasses {
		total += offered[class]
	}
	shares := []float64{offered[urgent] / total, offered[interactive] / total, offered[probe] / total}
	for end := w.now.Add(duration); w.now.Before(end); w.now = w.now.Add(interArrivalTime(w.random, total)) {
		w.releaseSlots()
		last = w.enter(pick(w.random, shares, allClasses...), "a", 1, w.now)
		if first == 0 {
			first = last
		}
	}
	return first, last
}

// releaseSlots releases the slots that are due by now.
func (w *servedQueue) releaseSlots() {
	for ; w.nextLeave.Before(w.now); w.nextLeave = w.nextLeave.Add(25 * time.Millisecond) {
		if w.queue.InFlight() > 0 {
			w.record(w.queue.Leave(w.nextLeave))
		}
	}
}

func TestStarvedClassCatchesUpWithoutOvertakingMoreUrgentOnes(t *testing.T) {
	const seeds = 20
	ran, arrived := arrivals{}, arrivals{}
	for seed := range uint64(seeds) {
		w := newServedQueue(seed)
		w.offer(20*time.Second, arrivals{urgent: 60, interactive: 20, probe: 100})
		burst := arrivals{urgent: 30, interactive: 60, probe: 30}
		w.offer(time.Second, burst)
		first, last := w.offer(2*time.Second, burst)
		w.offer(3*time.Second, arrivals{urgent: 1})
		for id := first; id <= last; id++ {
			arrived[w.entered[id].Class]++
			if w.verdicts[id].Verdict == limit.Run {
				ran[w.entered[id].Class]++
			}
		}
	}
	probeShare, interactiveShare := ran[probe]/arrived[probe], ran[interactive]/arrived[interactive]
	allShare := (ran[urgent] + ran[interactive] + ran[probe]) / (arrived[urgent] + arrived[interactive] + arrived[probe])
	t.Logf("share that ran: probes %.3f, interactive %.3f, all %.3f", probeShare, interactiveShare, allShare)
	if probeShare > interactiveShare+0.03 {
		t.Errorf("%.3f of the probes, which starved before, ran, more than the %.3f of interactive tickets", probeShare,
			interactiveShare)
	}
	if probeShare < allShare/4 {
		t.Errorf("%.3f of the probes ran, less than a quarter of the %.3f of all tickets", probeShare, allShare)
	}
}

// interArrivalTime draws the time between two arrivals of a Poisson process.
func interArrivalTime(random *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
}
