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
	// SharedTokens is the length of the prefix that programs share, InputTokens the mean length of a turn's own input.
	SharedTokens uint32
	InputTokens  float64
	// OutputTokens is the mean number of tokens that a turn generates.
	OutputTokens float64
	// ThinkTime is the mean time between two turns, including tool calls.
	ThinkTime time.Duration
	// SubAgents is the share of programs that start sub-agents once, SubAgentCount how many of them and SubAgentTurns
	// the number of turns of each.
	SubAgents     float64
	SubAgentCount int
	SubAgentTurns int
}

const (
	// sharedPrefixes is the number of different shared prefixes, whose frequencies follow a power law with the exponent
	// sharedPrefixSkew.
	sharedPrefixes   = 3
	sharedPrefixSkew = 0.7
	sizeSigma        = 0.7
	// networkTime is the time that a turn spends outside the servers.
	networkTime = 26 * time.Millisecond
	// noSubAgents is the turn after which sub-agents start in a conversation that has none.
	noSubAgents = -1
	// A program's latency target is its time on idle servers times targetFactor plus targetMargin.
	targetFactor = 2.5
	targetMargin = 200 * time.Millisecond
)

// program is the state of one program.
type program struct {
	spec     *ProgramSpec
	name     string
	started  time.Duration
	deadline time.Duration
	// unloadedTime is the time that the program takes on idle servers, computed from its plan.
	unloadedTime time.Duration
	failed       bool
}

// conversation is the state of one session: the program's own or a sub-agent's.
type conversation struct {
	program    *program
	session    string
	front      *front
	lastServer string
	segments   []promptSegment
	onDone     func()
}

type promptSegment struct {
	id     string
	tokens uint32
}

// turnPlan has the random values of one turn, which are drawn before any server is chosen.
type turnPlan struct {
	input     uint32
	output    uint64
	thinkTime time.Duration
	subAgents []*conversationPlan
}

// conversationPlan is the plan of a complete conversation. Planning ahead lets policies be compared on the same
// programs.
type conversationPlan struct {
	turns []turnPlan
}

// planConversation draws the plan of a conversation, which starts sub-agents after one turn.
func planConversation(spec *ProgramSpec, random *rand.Rand, turns, subAgentsAfter int) *conversationPlan {
	plan := &conversationPlan{}
	for i := range turns {
		turn := turnPlan{
			input:     uint32(lognormal(random, spec.InputTokens, sizeSigma, 5*spec.InputTokens)),
			output:    uint64(lognormal(random, spec.OutputTokens, 0.8, 4*spec.OutputTokens)),
			thinkTime: time.Duration(lognormal(random, float64(spec.ThinkTime), 0.6, 4*float64(spec.ThinkTime))),
		}
		if i == subAgentsAfter {
			for range spec.SubAgentCount {
				turn.subAgents = append(turn.subAgents, planConversation(spec, random, spec.SubAgentTurns, noSubAgents))
			}
		}
		plan.turns = append(plan.turns, turn)
	}
	return plan
}

// planProgram draws the plan of a program's own conversation, with its sub-agents.
func planProgram(spec *ProgramSpec, random *rand.Rand) *conversationPlan {
	turns := max(int(math.Round(lognormal(random, spec.Turns, 0.4, float64(spec.MaxTurns)))), 1)
	subAgentsAfter := noSubAgents
	if random.Float64() < spec.SubAgents {
		subAgentsAfter = random.IntN(turns)
	}
	return planConversation(spec, random, turns, subAgentsAfter)
}

// lognormal draws from the lognormal distribution with that mean and that sigma of the logarithm. The value is bounded
// below by 1 and above by the limit.
func lognormal(random *rand.Rand, mean, sigma, limit float64) float64 {
	return max(1, min(limit, mean*math.Exp(random.NormFloat64()*sigma-sigma*sigma/2)))
}

// drawSharedPrefix draws one of the shared prefixes.
func drawSharedPrefix(spec *ProgramSpec, random *rand.Rand) promptSegment {
	weights, total := [sharedPrefixes]float64{}, 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -sharedPrefixSkew)
		total += weights[i]
	}
	drawn := random.Float64() * total
	for i, weight := range weights {
		if drawn -= weight; drawn < 0 {
			return promptSegment{id: spec.Name + strconv.Itoa(i), tokens: spec.SharedTokens}
		}
	}
	return promptSegment{id: spec.Name + "0", tokens: spec.SharedTokens}
}

// unloadedTime returns the time of a conversation on idle servers that have cached all earlier turns.
func (p *conversationPlan) unloadedTime(engine EngineSpec) time.Duration {
	total := time.Duration(0)
	for i, turn := range p.turns {
		total += networkTime + time.Duration(float64(turn.input)/engine.PromptRate*float64(time.Millisecond))
		total += time.Duration(turn.output) * (engine.StepTime + engine.PerRequest)
		maxSubAgent := time.Duration(0)
		for _, sub := range turn.subAgents {
			maxSubAgent = max(maxSubAgent, sub.unloadedTime(engine))
		}
		total += maxSubAgent
		if i+1 < len(p.turns) {
			total += turn.thinkTime
		}
	}
	return total
}
