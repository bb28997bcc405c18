package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/protocol"
)

// threeClasses are all classes, most urgent first.
var threeClasses = []protocol.Priority{urgent, interactive, probe}

// arrivals is how many tickets of each class come in a second, or in all.
type arrivals map[protocol.Priority]float64

// workingQueue is a queue with four slots, one of which is given back every 25 ms.
type workingQueue struct {
	*tickets
	random *rand.Rand
	now    time.Time
	leave  time.Time
}

func newWorkingQueue(seed uint64) *workingQueue {
	return &workingQueue{
		tickets: newTickets(256, 2*time.Second, 4), random: rand.New(rand.NewPCG(seed, 6)), now: start, leave: start,
	}
}

// offer lets tickets come for a while and returns the first and the last of them.
func (w *workingQueue) offer(lasts time.Duration, offered arrivals) (first, last uint64) {
	total := 0.0
	for _, class := range threeClasses {
		total += offered[class]
	}
	shares := []float64{offered[urgent] / total, offered[interactive] / total, offered[probe] / total}
	for end := w.now.Add(lasts); w.now.Before(end); w.now = w.now.Add(interArrivalTime(w.random, total)) {
		w.releaseSlots()
		last = w.enter(pick(w.random, shares, threeClasses...), "a", 1, w.now)
		if first == 0 {
			first = last
		}
	}
	return first, last
}

func (w *workingQueue) releaseSlots() {
	for ; w.leave.Before(w.now); w.leave = w.leave.Add(25 * time.Millisecond) {
		if w.queue.InFlight() > 0 {
			w.record(w.queue.Leave(w.leave))
		}
	}
}

func TestStarvedClassCatchesUpWithoutPassingMoreUrgentOnes(t *testing.T) {
	const seeds = 20
	ran, arrived := arrivals{}, arrivals{}
	for seed := range uint64(seeds) {
		w := newWorkingQueue(seed)
		w.offer(20*time.Second, arrivals{urgent: 60, interactive: 20, probe: 100})
		burst := arrivals{urgent: 30, interactive: 60, probe: 30}
		w.offer(time.Second, burst)
		first, last := w.offer(2*time.Second, burst)
		w.offer(3*time.Second, arrivals{urgent: 1})
		for id := first; id <= last; id++ {
			arrived[w.classOf[id].Class]++
			if w.verdicts[id].Verdict == limit.Run {
				ran[w.classOf[id].Class]++
			}
		}
	}
	lesser, greater := ran[probe]/arrived[probe], ran[interactive]/arrived[interactive]
	all := (ran[urgent] + ran[interactive] + ran[probe]) / (arrived[urgent] + arrived[interactive] + arrived[probe])
	t.Logf("probes %.3f, interactive %.3f, all %.3f", lesser, greater, all)
	if lesser > greater+0.03 {
		t.Errorf("probes that starved are served %.3f, interactive tickets %.3f", lesser, greater)
	}
	if lesser < all/4 {
		t.Errorf("probes are served %.3f, all %.3f", lesser, all)
	}
}

// interArrivalTime draws the time between two arrivals of a Poisson process.
func interArrivalTime(random *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
}
