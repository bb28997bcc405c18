// Package ablation plays a deployment of the scheduling model once with all
// mechanisms and once without each of them, and tells what each is worth there.
package ablation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/dataplane/schedule/schedulesim"
	"github.com/rosestand/rosestand/internal/protocol"
)

// File describes what is played. Unknown fields are refused.
type File struct {
	Name  string   `json:"name"`
	Seeds []uint64 `json:"seeds"`
	// Servers, Fronts and Zones are the sizes of the deployment, SubsetSize the servers of a front node; zero is all.
	Servers    int    `json:"servers"`
	Fronts     int    `json:"fronts"`
	Zones      int    `json:"zones"`
	SubsetSize uint32 `json:"subset_size"`
	// LoadOnAnswers has servers tell their load with each answer.
	LoadOnAnswers bool `json:"load_on_answers"`
	// LengthSeconds is how long programs begin.
	LengthSeconds float64   `json:"length_seconds"`
	Engine        Engine    `json:"engine"`
	Programs      []Program `json:"programs"`
	// Days are played one after the other.
	Days []Day `json:"days"`
}

// Engine is what all model servers have in common.
type Engine struct {
	Slots             int     `json:"slots"`
	Queue             int     `json:"queue"`
	CacheTokens       uint64  `json:"cache_tokens"`
	StepMicros        int     `json:"step_micros"`
	PerRequestMicros  int     `json:"per_request_micros"`
	PerThousandMicros int     `json:"per_thousand_micros"`
	PromptRate        float64 `json:"prompt_tokens_per_milli"`
	Chunk             uint64  `json:"chunk"`
}

// Program is one kind of program.
type Program struct {
	Name            string  `json:"name"`
	PerSecond       float64 `json:"per_second"`
	Rank            uint32  `json:"rank"`
	Turns           float64 `json:"turns"`
	MaxTurns        int     `json:"most_turns"`
	SharedTokens    uint32  `json:"shared_tokens"`
	InputTokens     float64 `json:"input_tokens"`
	OutputTokens    float64 `json:"output_tokens"`
	InterTurnMillis int     `json:"pause_millis"`
	SubAgents       float64 `json:"sub_agents"`
	SubAgentCount   int     `json:"sub_agent_count"`
	SubAgentTurns   int     `json:"sub_agent_turns"`
}

// Day is a load with what goes wrong beside it.
type Day struct {
	Name string `json:"name"`
	// Load scales the rates of programs; zero is 1.
	Load float64 `json:"load"`
	// BurstFactor raises the rate of the first kind of program from a third of the day on, for a sixth of it.
	BurstFactor float64 `json:"burst_factor"`
	// SlowServers are slower by SlowFactor from a quarter of the day on, for half of it.
	SlowServers int     `json:"slow_servers"`
	SlowFactor  float64 `json:"slow_factor"`
	// ReleasedShare of the servers are replaced one after the other.
	ReleasedShare float64 `json:"released_share"`
}

// FieldError says that a field of a file cannot be.
type FieldError struct{ Field, Reason string }

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s %s", e.Field, e.Reason) }

// Load reads and checks a file.
func Load(path string) (*File, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read ablation")
	}
	return Parse(content)
}

// Parse reads and checks the content of a file.
func Parse(content []byte) (*File, error) {
	file := &File{}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(file); err != nil {
		return nil, errors.Wrap(err, "decode ablation")
	}
	return file, file.validate()
}

func (f *File) validate() error {
	for _, each := range []struct {
		field string
		holds bool
	}{
		{"seeds", len(f.Seeds) > 0},
		{"servers", f.Servers > 0},
		{"fronts", f.Fronts > 0},
		{"length_seconds", f.LengthSeconds > 0},
		{"engine.slots", f.Engine.Slots > 0},
		{"engine.prompt_tokens_per_milli", f.Engine.PromptRate > 0},
		{"engine.step_micros", f.Engine.StepMicros > 0},
		{"programs", len(f.Programs) > 0},
		{"days", len(f.Days) > 0},
	} {
		if !each.holds {
			return &FieldError{Field: each.field, Reason: "must be given and above zero"}
		}
	}
	return nil
}

const (
	digestInterval   = time.Second
	samplesPerSecond = 1
	// restShare is how long programs that began may go on, as a part of the day.
	restShare = 0.5
)

// options gives the play of a day without a mechanism.
func (f *File) options(day Day, seed uint64, without schedulesim.Mechanism) schedulesim.Options {
	length := time.Duration(f.LengthSeconds * float64(time.Second))
	options := schedulesim.Options{
		Seed: seed, Algorithm: protocol.SchedulingAlgorithm_EXPECTED_FIRST_TOKEN, Without: without,
		Servers: f.Servers, Fronts: f.Fronts, Zones: f.Zones, SubsetSize: f.SubsetSize, LoadOnAnswers: f.LoadOnAnswers,
		Engine: f.Engine.spec(), Load: day.Load, Length: length, GracePeriod: scaled(length, restShare),
		SamplesPerSecond: samplesPerSecond, Digests: digestInterval,
	}
	if options.Load == 0 {
		options.Load = 1
	}
	for _, program := range f.Programs {
		options.Programs = append(options.Programs, program.spec())
	}
	if day.BurstFactor > 0 {
		options.Burst = schedulesim.Burst{From: length / 3, For: length / 6, Factor: day.BurstFactor}
	}
	if day.SlowServers > 0 {
		options.Slow = schedulesim.Slow{From: length / 4, For: length / 2, Servers: day.SlowServers, Factor: day.SlowFactor}
	}
	if day.ReleasedShare > 0 {
		options.Release = schedulesim.Release{From: length / 4, Gap: length / 24, Share: day.ReleasedShare}
	}
	return options
}

func scaled(length time.Duration, factor float64) time.Duration {
	return time.Duration(float64(length) * factor)
}

func (e *Engine) spec() schedulesim.EngineSpec {
	micros := func(count int) time.Duration { return time.Duration(count) * time.Microsecond }
	return schedulesim.EngineSpec{
		Slots: e.Slots, Queue: e.Queue, CacheTokens: e.CacheTokens, StepTime: micros(e.StepMicros),
		PerRequest: micros(e.PerRequestMicros), PerThousand: micros(e.PerThousandMicros), PromptRate: e.PromptRate,
		Chunk: e.Chunk,
	}
}

func (p *Program) spec() schedulesim.ProgramSpec {
	return schedulesim.ProgramSpec{
		Name: p.Name, PerSecond: p.PerSecond, Rank: p.Rank, Turns: p.Turns, MaxTurns: p.MaxTurns,
		SharedTokens: p.SharedTokens, InputTokens: p.InputTokens, OutputTokens: p.OutputTokens,
		ThinkTime: time.Duration(p.InterTurnMillis) * time.Millisecond,
		SubAgents: p.SubAgents, SubAgentCount: p.SubAgentCount, SubAgentTurns: p.SubAgentTurns,
	}
}
