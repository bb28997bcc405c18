package schedulesim_test

import (
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/schedule/schedulesim"
	"github.com/rosestand/rosestand/internal/protocol"
)

// standardOptions returns a fleet of twelve servers and ten front nodes with a hundred turns per second.
func standardOptions(seed uint64) schedulesim.Options {
	return schedulesim.Options{
		Seed: seed, Servers: 12, Fronts: 10, Load: 1,
		Engine: schedulesim.EngineSpec{
			Slots: 24, Queue: 72, CacheTokens: 220_000, StepTime: 5470 * time.Microsecond, PerRequest: 12 * time.Microsecond,
			PerThousand: 23 * time.Microsecond, PromptRate: 38.7, Chunk: 2048,
		},
		Programs: []schedulesim.ProgramSpec{
			{
				Name: "short", PerSecond: 17.8, Rank: 1, Turns: 3, MaxTurns: 6, SharedTokens: 2560, InputTokens: 1030,
				OutputTokens: 34,
				ThinkTime:    250 * time.Millisecond, SubAgents: 0.05, SubAgentCount: 3, SubAgentTurns: 2,
			},
			{
				Name: "long", PerSecond: 5, Rank: 0, Turns: 7, MaxTurns: 14, SharedTokens: 2560, InputTokens: 514, OutputTokens: 34,
				ThinkTime: 250 * time.Millisecond, SubAgents: 0.25, SubAgentCount: 3, SubAgentTurns: 2,
			},
		},
		Length: 24 * time.Second, GracePeriod: 12 * time.Second, SamplesPerSecond: 1,
	}
}

// variant is a policy as it is deployed: with or without digests.
type variant struct {
	name      string
	algorithm protocol.SchedulingAlgorithm
	digests   time.Duration
}

var variants = []variant{
	{"EXPECTED_FIRST_TOKEN", protocol.SchedulingAlgorithm_EXPECTED_FIRST_TOKEN, time.Second},
	{"without_digests", protocol.SchedulingAlgorithm_EXPECTED_FIRST_TOKEN, 0},
	{"PREFIX_AFFINITY", protocol.SchedulingAlgorithm_PREFIX_AFFINITY, 0},
	{"LEAST_LOADED", protocol.SchedulingAlgorithm_LEAST_LOADED, 0},
	{"POWER_OF_TWO", protocol.SchedulingAlgorithm_POWER_OF_TWO, 0},
	{"ROUND_ROBIN", protocol.SchedulingAlgorithm_ROUND_ROBIN, 0},
}

// scenario is a change to the standard options.
type scenario struct {
	name   string
	change func(*schedulesim.Options)
}

var burst = schedulesim.Burst{From: 8 * time.Second, For: 4 * time.Second, Factor: 2.1}

var scenarios = []scenario{
	{"quiet", func(*schedulesim.Options) {}},
	{"burst", func(o *schedulesim.Options) { o.Burst = burst }},
	{"release", func(o *schedulesim.Options) {
		o.Release = schedulesim.Release{From: 6 * time.Second, Gap: time.Second, Share: 0.45}
	}},
	{"slow", func(o *schedulesim.Options) {
		o.Slow = schedulesim.Slow{From: 6 * time.Second, For: 10 * time.Second, Servers: 2, Factor: 6}
	}},
	{"stall", func(o *schedulesim.Options) {
		o.Slow = schedulesim.Slow{From: 6 * time.Second, For: 4 * time.Second, Servers: 2, Factor: 200}
	}},
	{"high_load", func(o *schedulesim.Options) { o.Load = 1.6 }},
	{"high_load_burst", func(o *schedulesim.Options) { o.Load, o.Burst = 1.6, burst }},
	{"double_load", func(o *schedulesim.Options) { o.Load = 2 }},
	{"longer_programs", longerPrograms},
	{"longer_programs_slow_burst", func(o *schedulesim.Options) {
		longerPrograms(o)
		o.Load, o.Burst = 1.6, burst
		o.Slow = schedulesim.Slow{From: 6 * time.Second, For: 10 * time.Second, Servers: 2, Factor: 4}
	}},
	{"sixty_servers", func(o *schedulesim.Options) { o.Load, o.Servers, o.Fronts = 8, 60, 30 }},
	{
		"sixty_servers_subset_16",
		func(o *schedulesim.Options) { o.Load, o.Servers, o.Fronts, o.SubsetSize = 8, 60, 30, 16 },
	},
}

// longerPrograms sets larger batches, slower engines and programs of up to 22 turns.
func longerPrograms(o *schedulesim.Options) {
	o.Engine = schedulesim.EngineSpec{
		Slots: 64, Queue: 192, CacheTokens: 252_000, StepTime: 6730 * time.Microsecond, PerRequest: 22 * time.Microsecond,
		PerThousand: 7 * time.Microsecond, PromptRate: 30.6, Chunk: 1024,
	}
	long := &o.Programs[1]
	long.PerSecond, long.Turns, long.MaxTurns, long.SubAgents = 4, 11, 22, 0.15
	for i := range o.Programs {
		o.Programs[i].ThinkTime = 150 * time.Millisecond
	}
}

func simulate(scenario scenario, variant variant, seed uint64) *schedulesim.Result {
	options := standardOptions(seed)
	options.Algorithm, options.Digests = variant.algorithm, variant.digests
	scenario.change(&options)
	return schedulesim.Simulate(options)
}

// BenchmarkPolicies measures the figures in docs/POLICIES.md: the means of three seeds.
func BenchmarkPolicies(b *testing.B) {
	const seeds = 3
	for _, scenario := range scenarios {
		for _, variant := range variants {
			b.Run(scenario.name+"/"+variant.name, func(b *testing.B) {
				inTime, firstToken, repeated := 0.0, 0.0, 0.0
				for range b.N {
					inTime, firstToken, repeated = 0, 0, 0
					for seed := range uint64(seeds) {
						result := simulate(scenario, variant, seed+1)
						inTime += result.Share() / seeds
						firstToken += result.Quantile(0.95).Seconds() * 1000 / seeds
						repeated += float64(result.RepeatedTokens) / float64(result.Turns) / seeds
					}
				}
				b.ReportMetric(inTime, "programs_in_time")
				b.ReportMetric(firstToken, "p95_first_token_ms")
				b.ReportMetric(repeated, "tokens_read_twice/turn")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
