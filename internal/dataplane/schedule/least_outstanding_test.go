package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

// A step keeps a number of programs busy: each begins its next generation when
// the last one has ended. One generation in ten is a long one, the others are short.
const (
	spreadServers  = 8
	spreadSlots    = 32
	busyPrograms   = 160
	longShare      = 0.1
	longPrompt     = 6000
	longOutput     = 4000
	shortPrompt    = 300
	shortOutput    = 120
	differingSizes = 0.5
	// serverRate is in tokens a second.
	serverRate  = 4200.0
	tick        = 0.05
	ticks       = 4000
	settledTick = 200
)

// simulatedGeneration is one at a server, with the tokens that are left of it.
type simulatedGeneration struct{ left float64 }

// simulatedServer works on all its generations at the same time.
type simulatedServer struct{ generations []simulatedGeneration }

func (s *simulatedServer) outstanding() float64 {
	total := 0.0
	for _, generation := range s.generations {
		total += generation.left
	}
	return total
}

// advance shares the server's rate equally between its generations.
func (s *simulatedServer) advance(seconds float64) {
	for work := seconds * serverRate; work > 0 && len(s.generations) > 0; {
		part := work / float64(len(s.generations))
		var left []simulatedGeneration
		for _, generation := range s.generations {
			done := min(part, generation.left)
			work -= done
			if generation.left > done {
				left = append(left, simulatedGeneration{left: generation.left - done})
			}
		}
		if len(left) == len(s.generations) {
			work = 0
		}
		s.generations = left
	}
}

// drawWork draws a long or a short generation.
func drawWork(random *rand.Rand) schedule.StepWork {
	size := 1 - differingSizes/2 + differingSizes*random.Float64()
	if random.Float64() < longShare {
		return schedule.StepWork{PromptTokens: uint64(longPrompt * size), OutputTokens: uint64(longOutput * size)}
	}
	return schedule.StepWork{PromptTokens: uint64(shortPrompt * size), OutputTokens: uint64(shortOutput * size)}
}

// simulatedFleet sends the generations of a step to servers by one policy.
type simulatedFleet struct {
	random    *rand.Rand
	algorithm protocol.SchedulingAlgorithm
	byWork    bool
	servers   [spreadServers]simulatedServer
	placed    uint64
}

// issue begins one generation.
func (f *simulatedFleet) issue() {
	f.placed++
	work := drawWork(f.random)
	request := schedule.Request{
		Algorithm: f.algorithm, AffinityKey: fmt.Sprint("r", f.placed), Sequence: f.placed, SubsetSize: spreadServers,
	}
	if f.byWork {
		request.Step = &work
	}
	candidates := make([]schedule.Candidate, 0, spreadServers)
	for at := range f.servers {
		count := uint32(len(f.servers[at].generations))
		candidates = append(candidates, schedule.Candidate{
			ID: fmt.Sprint("s", at), Capacity: spreadSlots, Weight: 1, InFlight: count,
			Steps: count, StepSlots: spreadSlots, StepTokens: uint64(f.servers[at].outstanding()),
		})
	}
	chosen := schedule.Choose(request, candidates, f.random).Chosen
	for at := range f.servers {
		if candidates[at].ID == chosen {
			generation := simulatedGeneration{left: float64(work.PromptTokens + work.OutputTokens)}
			f.servers[at].generations = append(f.servers[at].generations, generation)
		}
	}
}

// inFlight counts the generations at all servers.
func (f *simulatedFleet) inFlight() int {
	total := 0
	for at := range f.servers {
		total += len(f.servers[at].generations)
	}
	return total
}

// spread is the largest outstanding work of a server by the mean of all.
func (f *simulatedFleet) spread() float64 {
	most, total := 0.0, 0.0
	for at := range f.servers {
		outstanding := f.servers[at].outstanding()
		most, total = max(most, outstanding), total+outstanding
	}
	return most / (total / spreadServers)
}

// spreadOf simulates the mix and returns the mean spread over time.
func spreadOf(algorithm protocol.SchedulingAlgorithm, byWork bool, seed uint64) float64 {
	fleet := &simulatedFleet{random: rand.New(rand.NewPCG(seed, 1)), algorithm: algorithm, byWork: byWork}
	total := 0.0
	for number := range ticks {
		for fleet.inFlight() < busyPrograms {
			fleet.issue()
		}
		if number >= settledTick {
			total += fleet.spread()
		}
		for at := range fleet.servers {
			fleet.servers[at].advance(tick)
		}
	}
	return total / (ticks - settledTick)
}

func TestLongAndShortGenerationsAreSpreadEvenly(t *testing.T) {
	for seed := range uint64(5) {
		byWork := spreadOf(protocol.SchedulingAlgorithm_LEAST_LOADED, true, seed)
		byCount := spreadOf(protocol.SchedulingAlgorithm_LEAST_LOADED, false, seed)
		inTurn := spreadOf(protocol.SchedulingAlgorithm_ROUND_ROBIN, false, seed)
		t.Logf(
			"seed %d: largest by mean work: %.2f by outstanding work, %.2f least loaded, %.2f round robin", seed, byWork,
			byCount, inTurn,
		)
		if byWork >= byCount || byWork >= inTurn {
			t.Errorf("seed %d: %.2f by outstanding work, %.2f least loaded, %.2f round robin", seed, byWork, byCount, inTurn)
		}
	}
}

func TestGenerationGoesWhereTheLeastWorkIsOutstanding(t *testing.T) {
	work := &schedule.StepWork{PromptTokens: 1000, OutputTokens: 100}
	server := func(id string, change func(*schedule.Candidate)) schedule.Candidate {
		candidate := schedule.Candidate{ID: id, Capacity: 16, Weight: 1, StepSlots: 12}
		change(&candidate)
		return candidate
	}
	cases := map[string]struct {
		first, second func(*schedule.Candidate)
		want          string
	}{
		"fewer tokens of more generations": {
			func(c *schedule.Candidate) { c.InFlight, c.Steps, c.StepTokens = 1, 1, 9000 },
			func(c *schedule.Candidate) { c.InFlight, c.Steps, c.StepTokens = 4, 4, 800 }, "s2",
		},
		"a cached prompt": {
			func(*schedule.Candidate) {},
			func(c *schedule.Candidate) { c.CachedTokens, c.InFlight, c.Steps, c.StepTokens = 900, 1, 1, 500 }, "s2",
		},
		"reported load of others": {
			func(c *schedule.Candidate) { c.Running = 3 },
			func(c *schedule.Candidate) { c.InFlight, c.Steps, c.StepTokens = 1, 1, 100 }, "s2",
		},
		"own generations in a report": {
			func(c *schedule.Candidate) { c.Running, c.StepsAtReport, c.StepTokens = 5, 5, 100 },
			func(c *schedule.Candidate) { c.InFlight, c.Steps, c.StepTokens = 1, 1, 300 }, "s1",
		},
		"twice the slots": {
			func(c *schedule.Candidate) { c.InFlight, c.Steps, c.StepTokens = 1, 1, 1000 },
			func(c *schedule.Candidate) { c.Capacity, c.InFlight, c.Steps, c.StepTokens = 64, 1, 1, 2000 }, "s2",
		},
		"no slot for a step": {
			func(c *schedule.Candidate) { c.StepSlots = 0 },
			func(c *schedule.Candidate) { c.InFlight, c.Steps, c.StepTokens = 2, 2, 5000 }, "s2",
		},
		"draining": {
			func(c *schedule.Candidate) { c.Draining = true },
			func(c *schedule.Candidate) { c.InFlight, c.Steps, c.StepTokens = 2, 2, 5000 }, "s2",
		},
	}
	for name, c := range cases {
		candidates := []schedule.Candidate{server("s1", c.first), server("s2", c.second)}
		if got := schedule.Choose(schedule.Request{Step: work}, candidates, nil).Chosen; got != c.want {
			t.Errorf("%s: %s, not %s", name, got, c.want)
		}
	}
}
