package schedulesim

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

// ProgramSpec describes one kind of program.
type ProgramSpec struct {
	Name string
	// PerSecond is the rate of new programs over the complete fleet.
	PerSecond float64
	// Rank is the priority of its turns; 0 is the highest.
	Rank uint32
	// Turns is the mean number of turns and MaxTurns the maximum.
	Turns    float64
	MaxTurns int
	// SharedTokens is the length of the prefix that programs share, InputTokens the mean of a turn's own input.
	SharedTokens uint32
	InputTokens  float64
	// OutputTokens is the mean that a turn generates.
	OutputTokens float64
	// ThinkTime is the mean time between two turns, tools included.
	ThinkTime time.Duration
	// SubAgents is the share of programs that once start sub-agents with turns of their own, SubAgentCount how many.
	SubAgents     float64
	SubAgentCount int
	SubAgentTurns int
}

const (
	// sharedPrefixes is the number of different shared prefixes, chosen with falling frequency.
	sharedPrefixes = 3
	sharedSkew     = 0.7
	sizeSigma      = 0.7
	// networkTime is the time that a turn spends outside of servers.
	networkTime = 26 * time.Millisecond
	// noFork is the turn after which a conversation without sub-agents starts some.
	noFork = -1
	// targetFactor and targetMargin give a program's latency target from its time on idle servers.
	targetFactor = 2.5
	targetMargin = 200 * time.Millisecond
)

// program is one program in progress.
type program struct {
	spec     *ProgramSpec
	name     string
	started  time.Duration
	deadline time.Duration
	// unloadedTime is the time on idle servers, computed from the plan.
	unloadedTime time.Duration
	failed       bool
}

// conversation is the turns of one session: the program's own or a sub-agent's.
type conversation struct {
	program  *program
	session  string
	front    *front
	last     string
	segments []promptSegment
	done     func()
}

type promptSegment struct {
	id     string
	tokens uint32
}

// turnPlan is one turn with all its random values, drawn before any server is chosen.
type turnPlan struct {
	input     uint32
	output    uint64
	thinkTime time.Duration
	subAgents []*conversationPlan
}

// conversationPlan is the plan of a complete conversation, so that policies are compared on the same programs.
type conversationPlan struct {
	turns []turnPlan
}

func planConversation(spec *ProgramSpec, random *rand.Rand, turns, forkAfter int) *conversationPlan {
	plan := &conversationPlan{}
	for at := range turns {
		turn := turnPlan{
			input:     uint32(lognormal(random, spec.InputTokens, sizeSigma, 5*spec.InputTokens)),
			output:    uint64(lognormal(random, spec.OutputTokens, 0.8, 4*spec.OutputTokens)),
			thinkTime: time.Duration(lognormal(random, float64(spec.ThinkTime), 0.6, 4*float64(spec.ThinkTime))),
		}
		if at == forkAfter {
			for range spec.SubAgentCount {
				turn.subAgents = append(turn.subAgents, planConversation(spec, random, spec.SubAgentTurns, noFork))
			}
		}
		plan.turns = append(plan.turns, turn)
	}
	return plan
}

func planProgram(spec *ProgramSpec, random *rand.Rand) *conversationPlan {
	turns := max(int(math.Round(lognormal(random, spec.Turns, 0.4, float64(spec.MaxTurns)))), 1)
	forkAfter := noFork
	if random.Float64() < spec.SubAgents {
		forkAfter = random.IntN(turns)
	}
	return planConversation(spec, random, turns, forkAfter)
}

// lognormal draws from the distribution with the mean and the sigma of its logarithm, bounded to 1 and the limit.
func lognormal(random *rand.Rand, mean, sigma, limit float64) float64 {
	return max(1, min(limit, mean*math.Exp(random.NormFloat64()*sigma-sigma*sigma/2)))
}

// drawSharedPrefix draws one of the shared prefixes.
func drawSharedPrefix(spec *ProgramSpec, random *rand.Rand) promptSegment {
	weights, total := [sharedPrefixes]float64{}, 0.0
	for at := range weights {
		weights[at] = math.Pow(float64(at+1), -sharedSkew)
		total += weights[at]
	}
	drawn := random.Float64() * total
	for at, weight := range weights {
		if drawn -= weight; drawn < 0 {
			return promptSegment{id: spec.Name + strconv.Itoa(at), tokens: spec.SharedTokens}
		}
	}
	return promptSegment{id: spec.Name + "0", tokens: spec.SharedTokens}
}

// unloadedTime is the time of a conversation on idle servers that have cached all that it repeats.
func (p *conversationPlan) unloadedTime(engine EngineSpec) time.Duration {
	total := time.Duration(0)
	for at, turn := range p.turns {
		total += networkTime + time.Duration(float64(turn.input)/engine.PromptRate*float64(time.Millisecond))
		total += time.Duration(turn.output) * (engine.StepTime + engine.PerRequest)
		maxSubAgent := time.Duration(0)
		for _, sub := range turn.subAgents {
			maxSubAgent = max(maxSubAgent, sub.unloadedTime(engine))
		}
		total += maxSubAgent
		if at+1 < len(p.turns) {
			total += turn.thinkTime
		}
	}
	return total
}
