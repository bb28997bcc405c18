package schedulesim_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/schedule/schedulesim"
)

// standard is a fleet of twelve servers under a hundred turns a second from ten front nodes.
func standard(seed uint64) schedulesim.Options {
	return schedulesim.Options{
		Seed: seed, Servers: 12, Fronts: 10, Load: 1,
		Engine: schedulesim.EngineSpec{
			Slots: 24, Queue: 72, CacheTokens: 220_000, StepTime: 5470 * time.Microsecond, PerRequest: 12 * time.Microsecond,
			PerThousand: 23 * time.Microsecond, PromptRate: 38.7, Chunk: 2048,
		},
		Programs: []schedulesim.ProgramSpec{
			{
				Name: "short", PerSecond: 17.8, Rank: 1, Turns: 3, MostTurns: 6, SharedTokens: 2560, InputTokens: 1030, OutputTokens: 34,
				Pause: 250 * time.Millisecond, SubAgents: 0.05, SubAgentCount: 3, SubAgentTurns: 2,
			},
			{
				Name: "long", PerSecond: 5, Rank: 0, Turns: 7, MostTurns: 14, SharedTokens: 2560, InputTokens: 514, OutputTokens: 34,
				Pause: 250 * time.Millisecond, SubAgents: 0.25, SubAgentCount: 3, SubAgentTurns: 2,
			},
		},
		Length: 24 * time.Second, Rest: 12 * time.Second, SamplesPerSecond: 4,
	}
}

var algorithms = []protocol.SchedulingAlgorithm{
	protocol.SchedulingAlgorithm_EXPECTED_FIRST_TOKEN,
	protocol.SchedulingAlgorithm_PREFIX_AFFINITY,
	protocol.SchedulingAlgorithm_LEAST_LOADED,
	protocol.SchedulingAlgorithm_POWER_OF_TWO,
	protocol.SchedulingAlgorithm_ROUND_ROBIN,
}

type scenario struct {
	name   string
	change func(*schedulesim.Options)
}

var scenarios = []scenario{
	{"quiet", func(*schedulesim.Options) {}},
	{"burst", func(o *schedulesim.Options) { o.Burst = schedulesim.Burst{From: 8 * time.Second, For: 4 * time.Second, Factor: 2.1} }},
	{"release", func(o *schedulesim.Options) {
		o.Release = schedulesim.Release{From: 6 * time.Second, Gap: time.Second, Share: 0.45}
	}},
	{"slow", func(o *schedulesim.Options) {
		o.Slow = schedulesim.Slow{From: 6 * time.Second, For: 10 * time.Second, Servers: 2, Factor: 6}
	}},
	{"high load", func(o *schedulesim.Options) { o.Load = 1.6 }},
	{"high load, burst", func(o *schedulesim.Options) {
		o.Load = 1.6
		o.Burst = schedulesim.Burst{From: 8 * time.Second, For: 4 * time.Second, Factor: 2.1}
	}},
}

const seeds = 3

// TestCompare prints the table of docs/POLICIES.md.
func TestCompare(t *testing.T) {
	if testing.Short() {
		t.Skip("a comparison for the documentation")
	}
	var table strings.Builder
	for _, scenario := range scenarios {
		for _, algorithm := range algorithms {
			share, first, median, twice, utilized, preempted, turns := 0.0, 0.0, 0.0, 0.0, 0.0, 0, 0
			kinds := map[string]float64{}
			for seed := range uint64(seeds) {
				options := standard(seed + 1)
				options.Algorithm = algorithm
				scenario.change(&options)
				result := schedulesim.Play(options)
				share += result.Share() / seeds
				first += result.Quantile(0.95).Seconds() * 1000 / seeds
				median += result.Quantile(0.5).Seconds() * 1000 / seeds
				twice += float64(result.ReadTwice) / float64(result.Turns) / seeds
				utilized += result.Utilized / seeds
				preempted += result.Preempted
				turns += result.Turns / seeds
				for kind, inAim := range result.ByKind {
					kinds[kind] += inAim / seeds
				}
			}
			fmt.Fprintf(&table, "| %s | `%s` | %.3f | %.3f | %.3f | %.0f | %.0f | %.0f | %.2f | %d %d\n", scenario.name, algorithm,
				share, kinds["short"], kinds["long"], median, first, twice, utilized, preempted, turns)
		}
	}
	t.Log("\n" + table.String())
}
