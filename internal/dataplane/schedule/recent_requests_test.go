package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

// serviceTime is how long a call takes: with a call every 1.2 ms, a third of the slots of 40 servers are occupied.
const serviceTime = 100 * time.Millisecond

// callFleet is many front nodes that send calls to servers, each with its own information.
type callFleet struct {
	random  *rand.Rand
	now     time.Time
	zones   int
	servers []schedule.Candidate
	// recent counts the recent calls of each front node at each server.
	recent [][]schedule.RecentRequests
	// received counts the calls at each server.
	received []int
}

func newCallFleet(fronts, servers, zones int) *callFleet {
	f := &callFleet{
		random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1_000_000, 0), zones: zones, received: make([]int, servers),
	}
	for i := range servers {
		f.servers = append(f.servers, schedule.Candidate{
			ID: fmt.Sprintf("server-%03d", i), Zone: fmt.Sprintf("z%d", i%zones), Capacity: 6, Weight: 1,
		})
	}
	for range fronts {
		f.recent = append(f.recent, make([]schedule.RecentRequests, servers))
	}
	return f
}

// call sends one call that concerns an object through a front node, with recent calls counted or not.
func (f *callFleet) call(front int, object string, countsRecent bool) {
	candidates := append([]schedule.Candidate(nil), f.servers...)
	for i := range candidates {
		if countsRecent {
			candidates[i].RecentCalls = f.recent[front][i].Count(f.now)
		}
	}
	decision := schedule.Choose(schedule.Request{
		Algorithm: protocol.SchedulingAlgorithm_EXPECTED_FIRST_TOKEN, AffinityKey: object,
		Front: fmt.Sprintf("front-%03d", front), Zone: fmt.Sprintf("z%d", front%f.zones),
		Profile:        schedule.Profile{ServiceTime: serviceTime},
		FrontsAtServer: float64(len(f.recent)*min(schedule.DefaultSubsetSize, len(f.servers))) / float64(len(f.servers)),
	}, candidates, f.random)
	for i := range candidates {
		if candidates[i].ID == decision.Chosen {
			f.recent[front][i].Add(f.now)
			f.received[i]++
		}
	}
}

// busiest returns the largest number of calls at a server divided by the mean.
func (f *callFleet) busiest() float64 {
	sum, most := 0, 0
	for _, calls := range f.received {
		sum += calls
		most = max(most, calls)
	}
	return float64(most) * float64(len(f.received)) / float64(sum)
}

// simulate sends calls that concern objects, a few of them frequent, through random front nodes. Without recent counts
// the busiest server gets about as many as it got on the large deployments: 4.1 to 4.5 times the mean.
func (f *callFleet) simulate(calls int, countsRecent bool) float64 {
	objects := rand.NewZipf(f.random, 1.1, 1, 200)
	for range calls {
		f.now = f.now.Add(1200 * time.Microsecond)
		f.call(f.random.IntN(len(f.recent)), fmt.Sprintf("object-%d", objects.Uint64()), countsRecent)
	}
	return f.busiest()
}

func TestCallsOfFrequentObjectsAreSpreadOverServersByManyFrontNodes(t *testing.T) {
	const calls, most = 40_000, 1.6
	without, with := newCallFleet(264, 40, 7).simulate(calls, false), newCallFleet(264, 40, 7).simulate(calls, true)
	t.Logf(
		"busiest of 40 servers with 264 front nodes: %.2f times the mean, %.2f with the count of recent calls",
		without, with,
	)
	if with > most || without < most {
		t.Errorf("busiest server: %.2f times the mean with recent calls counted, want at most %.1f; %.2f without, want more",
			with, most, without)
	}
}

func TestFrontNodeWithFewCallsStaysWithAnObjectsServer(t *testing.T) {
	f := newCallFleet(1, 16, 1)
	for i := range 64 {
		f.now = f.now.Add(time.Second)
		f.call(0, fmt.Sprintf("object-%d", i%16), true)
	}
	before := append([]int(nil), f.received...)
	f.call(0, "object-3", true)
	f.call(0, "object-3", true)
	used := 0
	for i := range before {
		if f.received[i] > before[i] {
			used++
		}
	}
	if used != 1 {
		t.Errorf("two calls of one object went to %d servers, want 1", used)
	}
}
