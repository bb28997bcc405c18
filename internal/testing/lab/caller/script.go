package caller

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/site"
)

// Priorities of requests.
const (
	PriorityUrgent      = "urgent"
	PriorityInteractive = "interactive"
	PriorityProbe       = "probe"
)

// Step is one thing that a conversation does; exactly one field group is set.
type Step struct {
	// Turn: the input, the natural length of the answer and its ceiling.
	Input       string
	MaxOutput   int
	Priority    string
	ReadAfter   bool
	Tool        string
	Object      string
	SubAgent    []Step
	ThinkBefore time.Duration
}

// Conversation is one program's visit as planned before the run.
type Conversation struct {
	Site    site.Name
	Program string
	Model   string
	Zone    int
	Long    bool
	// Budget of the program in tokens.
	Budget uint64
	Steps  []Step
}

// LargestTurn is the largest ceiling of any turn, helpers included.
func (c *Conversation) LargestTurn() int { return largestTurn(c.Steps) }

func largestTurn(steps []Step) int {
	largest := 0
	for _, step := range steps {
		largest = max(largest, step.MaxOutput, largestTurn(step.SubAgent))
	}
	return largest
}

// Shape sets the lengths of what callers say and ask for.
type Shape struct {
	// PreambleWords is the length of the instructions that all conversations of a site share.
	PreambleWords int `json:"preamble_words"`
	InputWords    int `json:"input_words"`
	ReplyTokens   int `json:"reply_tokens"`
	// ThinkMillis is the mean pause before a further turn.
	ThinkMillis int `json:"think_millis"`
	// LongShare is the share of long conversations; the brief says one in five.
	LongShare float64 `json:"long_share"`
	// SmallBudgetShare is the share of programs whose budget runs out on the way.
	SmallBudgetShare float64 `json:"small_budget_share"`
	// ReadShare is the share of turns that are read again after they ended.
	ReadShare float64 `json:"read_share"`
}

// DefaultShape fits a run of some seconds on the small fleet.
func DefaultShape() Shape {
	return Shape{
		PreambleWords: 160, InputWords: 24, ReplyTokens: 32, ThinkMillis: 150,
		LongShare: 0.2, SmallBudgetShare: 0.1, ReadShare: 0.1,
	}
}

const (
	caroniLongTurns = 7
	menonLongTurns  = 11
	longTurnsSpread = 2
	ampleBudget     = 1_000_000
)

// writer makes up conversations from a seeded source.
type writer struct {
	random *rand.Rand
	shape  Shape
	run    string
	count  int
}

func (w *writer) conversation(name site.Name, zones int) Conversation {
	w.count++
	c := Conversation{
		Site:    name,
		Program: fmt.Sprintf("%s-%s-%d-%08x", name, w.run, w.count, w.random.Uint32()),
		Zone:    w.random.IntN(zones),
		Long:    w.random.Float64() < w.shape.LongShare,
		Budget:  ampleBudget,
	}
	if name == site.Caroni {
		c.Model = site.ModelClimateAdvisor
		c.Steps = w.caroni(c.Long)
	} else {
		c.Model = site.ModelBookingAssistant
		c.Steps = w.menon(c.Long)
	}
	c.Steps[0].Input = w.preamble(name) + " " + c.Steps[0].Input
	c.Steps[0].ThinkBefore = 0
	if w.random.Float64() < w.shape.SmallBudgetShare {
		c.Budget = uint64(w.shape.ReplyTokens + w.random.IntN(w.shape.ReplyTokens*2))
	}
	return c
}

func (w *writer) caroni(long bool) []Step {
	if !long {
		return w.turns(1+w.random.IntN(2), PriorityInteractive)
	}
	count := caroniLongTurns - longTurnsSpread + w.random.IntN(2*longTurnsSpread+1)
	var steps []Step
	for i, turn := range w.turns(count, PriorityProbe) {
		steps = append(steps, turn)
		switch i % 4 {
		case 0:
			steps = append(steps, w.call(site.ToolSensors))
		case 1:
			steps = append(steps, Step{SubAgent: append(w.turns(2, PriorityProbe), w.call(site.ToolAlarms))})
		case 2:
			steps = append(steps, w.call(site.ToolAlarms))
		case 3:
			steps = append(steps, w.call(site.ToolValvePlans))
		}
	}
	return steps
}

func (w *writer) menon(long bool) []Step {
	if !long {
		return append(w.turns(1, PriorityInteractive), w.call(site.ToolSeats), w.call(site.ToolCheckIns))
	}
	count := menonLongTurns - longTurnsSpread + w.random.IntN(2*longTurnsSpread+1)
	var steps []Step
	for i, turn := range w.turns(count, PriorityInteractive) {
		steps = append(steps, turn)
		switch i % 4 {
		case 0, 2:
			steps = append(steps, w.call(site.ToolSeats))
		case 1:
			steps = append(steps, w.call(site.ToolCheckIns))
		case 3:
			steps = append(steps, w.call(site.ToolInvoices))
		}
	}
	return steps
}

const urgentShare = 0.05

func (w *writer) turns(count int, priority string) []Step {
	steps := make([]Step, count)
	for i := range steps {
		reply := w.around(w.shape.ReplyTokens)
		chosen := priority
		if w.random.Float64() < urgentShare {
			chosen = PriorityUrgent
		}
		steps[i] = Step{
			Input:       fmt.Sprintf("%s reply:%d", w.words(w.around(w.shape.InputWords)), reply),
			MaxOutput:   reply + w.random.IntN(reply+1),
			Priority:    chosen,
			ReadAfter:   w.random.Float64() < w.shape.ReadShare,
			ThinkBefore: w.think(),
		}
	}
	return steps
}

func (w *writer) call(tool string) Step {
	return Step{Tool: tool, Object: fmt.Sprintf("%s-%016x", tool, w.random.Uint64()), Priority: PriorityInteractive}
}

func (w *writer) think() time.Duration {
	mean := float64(w.shape.ThinkMillis) * float64(time.Millisecond)
	return time.Duration(min(w.random.ExpFloat64(), 4) * mean)
}

// around is an even choice between half and one and a half of the mean.
func (w *writer) around(mean int) int {
	return max(1, mean/2+w.random.IntN(mean+1))
}

func (w *writer) words(count int) string {
	words := make([]string, count)
	for i := range words {
		words[i] = fmt.Sprintf("w%05d", w.random.IntN(100000))
	}
	return strings.Join(words, " ")
}

// preamble is the same for all conversations of a site.
func (w *writer) preamble(name site.Name) string {
	words := make([]string, w.shape.PreambleWords)
	for i := range words {
		words[i] = fmt.Sprintf("%s%04d", name, i)
	}
	return strings.Join(words, " ")
}
