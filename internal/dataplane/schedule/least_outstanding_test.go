package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

// The simulated training step keeps a number of programs busy: each begins its next generation when the last one has
// ended. One generation in ten is long, the others are short.
const (
	fleetServers  = 8
	serverSlots   = 32
	busyPrograms  = 160
	longShare     = 0.1
	longPrompt    = 6000
	longOutput    = 4000
	shortPrompt   = 300
	shortOutput   = 120
	sizeVariation = 0.5
	// serverRate is in tokens a second.
	serverRate  = 4200.0
	tick        = 0.05
	ticks       = 4000
	warmUpTicks = 200
)

// simulatedGeneration is a generation at a server, with the number of tokens that it has left.
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

// advance works for that many seconds, with the server's rate shared equally between its generations.
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

// drawWork draws the work of a long or a short generation.
func drawWork(random *rand.Rand) schedule.StepWork {
	size := 1 - sizeVariation/2 + sizeVariation*random.Float64()
	if random.Float64() < longShare {
		return schedule.StepWork{PromptTokens: uint64(longPrompt * size), OutputTokens: uint64(longOutput * size)}
	}
	return schedule.StepWork{PromptTokens: uint64(shortPrompt * size), OutputTokens: uint64(shortOutput * size)}
}

// simulatedFleet sends the generations of a training step to servers by one policy.
type simulatedFleet struct {
	random    *rand.Rand
	algorithm protocol.SchedulingAlgorithm
	byWork    bool
	servers   [fleetServers]simulatedServer
	placed    uint64
}

// issue sends one generation to the server that the policy chooses.
func (f *simulatedFleet) issue() {
	f.placed++
	work := drawWork(f.random)
	request := schedule.Request{
		Algorithm: f.algorithm, AffinityKey: fmt.Sprint("r", f.placed), Sequence: f.placed, SubsetSize: fleetServers,
	}
	if f.byWork {
		request.Step = &work
	}
	candidates := make([]schedule.Candidate, 0, fleetServers)
	for i := range f.servers {
		count := uint32(len(f.servers[i].generations))
		candidates = append(candidates, schedule.Candidate{
			ID: fmt.Sprint("s", i), Capacity: serverSlots, Weight: 1, InFlight: count,
			Steps: count, StepSlots: serverSlots, StepTokens: uint64(f.servers[i].outstanding()),
		})
	}
	chosen := schedule.Choose(request, candidates, f.random).Chosen
	for i := range f.servers {
		if candidates[i].ID == chosen {
			generation := simulatedGeneration{left: float64(work.PromptTokens + work.OutputTokens)}
			f.servers[i].generations = append(f.servers[i].generations, generation)
		}
	}
}

// inFlight counts the generations at all servers.
func (f *simulatedFleet) inFlight() int {
	total := 0
	for i := range f.servers {
		total += len(f.servers[i].generations)
	}
	return total
}

// imbalance returns the largest outstanding work of a server divided by the mean of all.
func (f *simulatedFleet) imbalance() float64 {
	largest, total := 0.0, 0.0
	for i := range f.servers {
		outstanding := f.servers[i].outstanding()
		largest, total = max(largest, outstanding), total+outstanding
	}
	return largest / (total / fleetServers)
}

// meanImbalance simulates the mix and returns the mean imbalance over time.
func meanImbalance(algorithm protocol.SchedulingAlgorithm, byWork bool, seed uint64) float64 {
	fleet := &simulatedFleet{random: rand.New(rand.NewPCG(seed, 1)), algorithm: algorithm, byWork: byWork}
	total := 0.0
	for step := range ticks {
		for fleet.inFlight() < busyPrograms {
			fleet.issue()
		}
		if step >= warmUpTicks {
			total += fleet.imbalance()
		}
		for i := range fleet.servers {
			fleet.servers[i].advance(tick)
		}
	}
	return total / (ticks - warmUpTicks)
}

func TestLongAndShortGenerationsAreSpreadEvenly(t *testing.T) {
	for seed := range uint64(5) {
		byWork := meanImbalance(protocol.SchedulingAlgorithm_LEAST_LOADED, true, seed)
		byCount := meanImbalance(protocol.SchedulingAlgorithm_LEAST_LOADED, false, seed)
		roundRobin := meanImbalance(protocol.SchedulingAlgorithm_ROUND_ROBIN, false, seed)
		t.Logf(
			"seed %d: largest work divided by mean: %.2f by outstanding work, %.2f least loaded, %.2f round robin", seed, byWork,
			byCount, roundRobin,
		)
		if byWork >= byCount || byWork >= roundRobin {
			t.Errorf(
				"seed %d: largest work by mean: %.2f by outstanding work, want less than %.2f least loaded and %.2f round robin",
				seed, byWork, byCount, roundRobin,
			)
		}
	}
}

func TestGenerationGoesToTheServerWithTheLeastOutstandingWork(t *testing.T) {
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
			t.Errorf("%s: chose %s, want %s", name, got, c.want)
		}
	}
}
