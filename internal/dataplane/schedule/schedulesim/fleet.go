package schedulesim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/promptcache"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Options configures a simulation.
type Options struct {
	Seed      uint64
	Algorithm protocol.SchedulingAlgorithm
	Servers   int
	Fronts    int
	Engine    EngineSpec
	Programs  []ProgramSpec
	// Load scales the rates of programs.
	Load float64
	// Length is the time during which programs begin, GracePeriod how long the simulation runs after that.
	Length      time.Duration
	GracePeriod time.Duration
	// SubsetSize is how many of the servers each front node uses; 0 means all.
	SubsetSize uint32
	// SamplesPerSecond is the rate at which one front node requests load reports.
	SamplesPerSecond float64
	// Digests is the interval at which front nodes exchange digests of the servers' caches; 0 means never.
	Digests time.Duration
	// LoadOnAnswers makes servers report their load with the head of each answer.
	LoadOnAnswers bool
	// Zones is the number of zones of servers and front nodes; 0 means defaultZones.
	Zones int
	// Without is the disabled mechanism; empty means none.
	Without Mechanism
	// Burst, Release and Slow are disturbances; a zero value means none.
	Burst   Burst
	Release Release
	Slow    Slow
}

// Burst raises the rate of the first kind of program for a while.
type Burst struct {
	From, For time.Duration
	Factor    float64
}

// Release replaces a share of the servers one by one, as a release of new software does.
type Release struct {
	From, Gap time.Duration
	Share     float64
}

// Slow makes some servers slower for a while.
type Slow struct {
	From, For time.Duration
	Servers   int
	Factor    float64
}

// Result is the result of a simulation of turns.
type Result struct {
	Programs int
	InTarget int
	Late     int
	Failed   int
	// ByKind is the share of programs of each kind that ended within their latency target.
	ByKind map[string]float64
	// FirstTokens are the times to the first token, sorted.
	FirstTokens []time.Duration
	// PrefilledTokens counts the prompt tokens that servers prefilled, RepeatedTokens those of them that some server had
	// prefilled before.
	PrefilledTokens uint64
	RepeatedTokens  uint64
	Preempted       int
	Turns           int
	// kinds counts, by kind, the programs that ended within their latency target and all that ended.
	kinds map[string][2]int
	// prefilledBefore has the prefixes that some server has prefilled.
	prefilledBefore map[uint64]bool
}

// Share returns the share of programs that ended within their latency target.
func (r *Result) Share() float64 { return float64(r.InTarget) / float64(max(r.Programs, 1)) }

// Quantile returns the time to the first token that a share of the turns, from 0 to 1, did not exceed.
func (r *Result) Quantile(share float64) time.Duration {
	if len(r.FirstTokens) == 0 {
		return 0
	}
	return r.FirstTokens[min(int(share*float64(len(r.FirstTokens))), len(r.FirstTokens)-1)]
}

// fleet is the state of a simulation of turns.
type fleet struct {
	options  Options
	timeline *timeline
	engines  []*engine
	fronts   []*front
	result   *Result
	// programRandom draws the programs and their front nodes, and nothing else, so that they are the same for each policy.
	programRandom *rand.Rand
	started       int
	replaced      int
	allEngines    []*engine
}

const defaultZones = 4

// Simulate simulates programs of turns on a fleet of model servers.
func Simulate(options Options) *Result {
	f := &fleet{
		options: options, timeline: &timeline{}, programRandom: rand.New(rand.NewPCG(options.Seed, 1)),
		result: &Result{
			kinds: make(map[string][2]int), prefilledBefore: make(map[uint64]bool), ByKind: make(map[string]float64),
		},
	}
	zones := cmp.Or(options.Zones, defaultZones)
	for i := range options.Servers {
		f.addEngine(fmt.Sprintf("server-%02d", i), fmt.Sprintf("zone-%d", i%zones))
	}
	for i := range options.Fronts {
		random := rand.New(rand.NewPCG(options.Seed, uint64(100+i)))
		f.fronts = append(f.fronts, newFront(f, fmt.Sprintf("front-%d", i), fmt.Sprintf("zone-%d", i%zones), random))
	}
	f.updateViews()
	f.scheduleEvents()
	f.timeline.runUntil(options.Length + options.GracePeriod)
	f.finish()
	return f.result
}

func (f *fleet) addEngine(id, zone string) {
	added := newEngine(f.options.Engine, f.timeline, id, zone)
	added.onPrefill = f.recordPrefill
	f.engines = append(f.engines, added)
	f.allEngines = append(f.allEngines, added)
}

// recordPrefill counts the tokens of a segment that a server prefilled.
func (f *fleet) recordPrefill(segment promptcache.Segment) {
	f.result.PrefilledTokens += uint64(segment.Tokens)
	if f.result.prefilledBefore[segment.Prefix] {
		f.result.RepeatedTokens += uint64(segment.Tokens)
	}
	f.result.prefilledBefore[segment.Prefix] = true
}

func (f *fleet) updateViews() {
	for _, front := range f.fronts {
		front.updateView()
	}
}

// scheduleEvents schedules the programs, the recurring events and the disturbances.
func (f *fleet) scheduleEvents() {
	for i := range f.options.Programs {
		f.scheduleProgram(&f.options.Programs[i], i == 0)
	}
	for i, front := range f.fronts {
		if f.options.isDisabled(LoadSamples) {
			break
		}
		f.every(
			time.Duration(float64(time.Second)/f.options.SamplesPerSecond), time.Duration(i)*time.Millisecond,
			front.requestReport,
		)
	}
	if f.options.Digests > 0 && !f.options.isDisabled(Digests) {
		f.every(f.options.Digests, 0, f.exchangeDigests)
	}
	f.scheduleSlowdown()
	f.scheduleRelease()
}

// every runs a function at an interval until the simulation ends.
func (f *fleet) every(interval, offset time.Duration, run func()) {
	var repeat func()
	repeat = func() {
		run()
		if f.timeline.now < f.options.Length+f.options.GracePeriod {
			f.timeline.after(interval, repeat)
		}
	}
	f.timeline.after(interval+offset, repeat)
}

// exchangeDigests merges the digest of each front node of the last ten seconds at all others.
func (f *fleet) exchangeDigests() {
	since := f.timeline.clock().Add(-10 * time.Second)
	for _, from := range f.fronts {
		digest := from.cache.Digest(since)
		for _, to := range f.fronts {
			if to != from {
				to.cache.Merge(digest)
			}
		}
	}
}

// scheduleSlowdown schedules the time during which some servers are slow.
func (f *fleet) scheduleSlowdown() {
	for i := range f.options.Slow.Servers {
		slow := f.engines[(i*5+2)%len(f.engines)]
		f.timeline.after(f.options.Slow.From, func() { slow.slowness = f.options.Slow.Factor })
		f.timeline.after(f.options.Slow.From+f.options.Slow.For, func() { slow.slowness = 1 })
	}
}

// scheduleRelease schedules the replacement of one server after the other.
func (f *fleet) scheduleRelease() {
	count := int(f.options.Release.Share * float64(len(f.engines)))
	for i := range count {
		f.timeline.after(
			f.options.Release.From+time.Duration(i)*f.options.Release.Gap, func() { f.replace(f.allEngines[i]) },
		)
	}
}

// replace drains a server and adds one with an empty cache after half of the gap.
func (f *fleet) replace(old *engine) {
	old.draining = true
	f.engines = slices.DeleteFunc(slices.Clone(f.engines), func(e *engine) bool { return e == old })
	for _, front := range f.fronts {
		front.cache.Remove(old.id)
	}
	f.timeline.after(f.options.Release.Gap/2, func() {
		f.replaced++
		f.addEngine(fmt.Sprintf("server-new-%02d", f.replaced), old.zone)
		f.updateViews()
	})
}

// scheduleProgram schedules the next program of a kind, at a random time, and after it the following ones.
func (f *fleet) scheduleProgram(spec *ProgramSpec, bursts bool) {
	rate := spec.PerSecond * f.options.Load
	now := f.timeline.now
	if burst := f.options.Burst; bursts && burst.Factor > 0 && now >= burst.From && now < burst.From+burst.For {
		rate *= burst.Factor
	}
	wait := time.Duration(f.programRandom.ExpFloat64() / rate * float64(time.Second))
	if now+wait > f.options.Length {
		return
	}
	f.timeline.after(wait, func() {
		f.beginProgram(spec)
		f.scheduleProgram(spec, bursts)
	})
}

// beginProgram plans a program and starts its conversation.
func (f *fleet) beginProgram(spec *ProgramSpec) {
	f.started++
	plan := planProgram(spec, f.programRandom)
	p := &program{
		spec: spec, name: fmt.Sprintf("program-%d", f.started), started: f.timeline.now,
		unloadedTime: plan.unloadedTime(f.options.Engine),
	}
	p.deadline = p.started + time.Duration(targetFactor*float64(p.unloadedTime)) + targetMargin
	conversation := &conversation{
		program: p, session: p.name, front: f.fronts[f.programRandom.IntN(len(f.fronts))],
		segments: []promptSegment{drawSharedPrefix(spec, f.programRandom)}, onDone: func() { f.endProgram(p) },
	}
	f.result.Programs++
	f.runTurns(conversation, plan, 0)
}

// endProgram counts a program that ended.
func (f *fleet) endProgram(p *program) {
	kind := f.result.kinds[p.spec.Name]
	kind[1]++
	switch {
	case p.failed:
		f.result.Failed++
	case f.timeline.now <= p.deadline:
		f.result.InTarget++
		kind[0]++
	default:
		f.result.Late++
	}
	f.result.kinds[p.spec.Name] = kind
}

// runTurns runs the turns of a conversation, starting with the given one.
func (f *fleet) runTurns(conversation *conversation, plan *conversationPlan, turn int) {
	if turn == len(plan.turns) || conversation.program.failed {
		conversation.onDone()
		return
	}
	next := plan.turns[turn]
	conversation.extend(turn, next.input)
	issued := f.timeline.now
	f.result.Turns++
	conversation.front.issue(turnRequest{
		conversation: conversation, rank: conversation.program.spec.Rank, prompt: conversation.prompt(),
		output: next.output,
		onFirst: func() {
			f.result.FirstTokens = append(f.result.FirstTokens, f.timeline.now-issued)
		},
		onDone: func() {
			f.timeline.after(networkTime/2, func() {
				f.runSubAgents(conversation, next.subAgents, func() {
					thinkTime := next.thinkTime
					if turn+1 == len(plan.turns) {
						thinkTime = 0
					}
					f.timeline.after(thinkTime, func() { f.runTurns(conversation, plan, turn+1) })
				})
			})
		},
		onFail: func() {
			conversation.program.failed = true
			conversation.onDone()
		},
	})
}

// extend appends the input of a turn to the prompt.
func (c *conversation) extend(turn int, tokens uint32) {
	segment := promptSegment{id: fmt.Sprintf("%s/%d", c.session, turn), tokens: tokens}
	c.segments = append(slices.Clone(c.segments), segment)
}

// prompt returns the prompt of the conversation's next turn.
func (c *conversation) prompt() promptcache.Prompt {
	builder := promptcache.NewPromptBuilder("model", len(c.segments))
	for _, segment := range c.segments {
		builder.Add(segment.id, segment.tokens)
	}
	return builder.Prompt()
}

// runSubAgents runs conversations concurrently that continue the parent's, and calls onDone when all are done.
func (f *fleet) runSubAgents(parent *conversation, plans []*conversationPlan, onDone func()) {
	if len(plans) == 0 {
		onDone()
		return
	}
	running := len(plans)
	for i, plan := range plans {
		subConversation := &conversation{
			program: parent.program, session: fmt.Sprintf("%s.%d.%d", parent.session, len(parent.segments), i),
			front: f.fronts[(f.started+i)%len(f.fronts)], segments: slices.Clone(parent.segments),
		}
		subConversation.onDone = func() {
			if running--; running == 0 {
				onDone()
			}
		}
		f.runTurns(subConversation, plan, 0)
	}
}

// finish computes the figures of the result that depend on the complete simulation.
func (f *fleet) finish() {
	slices.Sort(f.result.FirstTokens)
	for _, engine := range f.allEngines {
		f.result.Preempted += engine.preemptions
	}
	for name, kind := range f.result.kinds {
		f.result.ByKind[name] = float64(kind[0]) / float64(kind[1])
	}
}
