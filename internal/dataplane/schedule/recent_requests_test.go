package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

// serviceTime is how long a call takes: at one each 1.2 ms, a third of the slots of 40 servers are taken.
const serviceTime = 100 * time.Millisecond

// callFleet is many front nodes that send calls to servers, each with its own information.
type callFleet struct {
	random  *rand.Rand
	now     time.Time
	zones   int
	servers []schedule.Candidate
	// recent are the calls of each front node at each server; nil countsRecent none.
	recent [][]schedule.RecentRequests
	got    []int
}

func newCallFleet(fronts, servers, zones int) *callFleet {
	f := &callFleet{
		random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1_000_000, 0), zones: zones, got: make([]int, servers),
	}
	for number := range servers {
		f.servers = append(f.servers, schedule.Candidate{
			ID: fmt.Sprintf("server-%03d", number), Zone: fmt.Sprintf("z%d", number%zones), Capacity: 6, Weight: 1,
		})
	}
	for range fronts {
		f.recent = append(f.recent, make([]schedule.RecentRequests, servers))
	}
	return f
}

// call sends one call of an object through a front node.
func (f *callFleet) call(front int, object string, countsRecent bool) {
	candidates := append([]schedule.Candidate(nil), f.servers...)
	for number := range candidates {
		if countsRecent {
			candidates[number].RecentCalls = f.recent[front][number].Count(f.now)
		}
	}
	decision := schedule.Choose(schedule.Request{
		Algorithm: protocol.SchedulingAlgorithm_EXPECTED_FIRST_TOKEN, AffinityKey: object,
		Front: fmt.Sprintf("front-%03d", front), Zone: fmt.Sprintf("z%d", front%f.zones),
		Profile:        schedule.Profile{ServiceTime: serviceTime},
		FrontsAtServer: float64(len(f.recent)*min(schedule.DefaultSubsetSize, len(f.servers))) / float64(len(f.servers)),
	}, candidates, f.random)
	for number := range candidates {
		if candidates[number].ID == decision.Chosen {
			f.recent[front][number].Add(f.now)
			f.got[number]++
		}
	}
}

// busiest is the calls of the server that got most, by the mean.
func (f *callFleet) busiest() float64 {
	sum, most := 0, 0
	for _, got := range f.got {
		sum += got
		most = max(most, got)
	}
	return float64(most) * float64(len(f.got)) / float64(sum)
}

// simulate sends calls of objects, a few of which are frequent, through random front nodes. Without recent counts the
// busiest server gets about what it got on the large deployments: 4.1 to 4.5 times the mean.
func (f *callFleet) simulate(calls int, countsRecent bool) float64 {
	objects := rand.NewZipf(f.random, 1.1, 1, 200)
	for range calls {
		f.now = f.now.Add(1200 * time.Microsecond)
		f.call(f.random.IntN(len(f.recent)), fmt.Sprintf("object-%d", objects.Uint64()), countsRecent)
	}
	return f.busiest()
}

func TestObjectsThatManyCallsConcernAreSpreadOverServersByManyFrontNodes(t *testing.T) {
	const calls, most = 40_000, 1.6
	without, with := newCallFleet(264, 40, 7).simulate(calls, false), newCallFleet(264, 40, 7).simulate(calls, true)
	t.Logf(
		"busiest of 40 servers before 264 front nodes: %.2f times the mean, %.2f with the count of recent calls",
		without, with,
	)
	if with > most || without < most {
		t.Errorf("want at most %.1f, and more without", most)
	}
}

func TestFrontNodeWithFewCallsStaysWithAnObjectsServer(t *testing.T) {
	f := newCallFleet(1, 16, 1)
	for number := range 64 {
		f.now = f.now.Add(time.Second)
		f.call(0, fmt.Sprintf("object-%d", number%16), true)
	}
	before := append([]int(nil), f.got...)
	f.call(0, "object-3", true)
	f.call(0, "object-3", true)
	moved := 0
	for number := range before {
		if f.got[number] > before[number] {
			moved++
		}
	}
	if moved != 1 {
		t.Errorf("two calls of one object went to %d servers", moved)
	}
}
