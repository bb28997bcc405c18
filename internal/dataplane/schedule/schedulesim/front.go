package schedulesim

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/promptcache"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
)

const (
	// reportDelay is the age of a load report when it arrives.
	reportDelay = 100 * time.Millisecond
	// reportTTL is how long a load report is used.
	reportTTL = 2 * time.Second
)

// serverState is what a front node records of one server.
type serverState struct {
	engine        *engine
	inFlight      uint32
	waiting       uint32
	pendingTokens uint64
	// issuedAt has the times at which the requests without a first token were sent.
	issuedAt []time.Duration
	slowness schedule.Slowness
	report   loadReport
}

// loadReport is a server's load, with the front node's own waiting requests when it was taken.
type loadReport struct {
	takenAt         time.Duration
	received        bool
	running, queued int
	usedTokens      uint64
	waiting         uint32
}

// front is one front node, which chooses servers with only its own information.
type front struct {
	fleet    *fleet
	name     string
	zone     string
	random   *rand.Rand
	cache    *promptcache.Model
	profile  schedule.ProfileEstimator
	servers  map[string]*serverState
	sequence uint64
}

func newFront(fleet *fleet, name, zone string, random *rand.Rand) *front {
	f := &front{
		fleet: fleet, name: name, zone: zone, random: random, cache: promptcache.New(), servers: make(
			map[string]*serverState,
		),
	}
	f.cache.SetFronts(fleet.options.Fronts)
	return f
}

// updateView adds the servers that have been started.
func (f *front) updateView() {
	for _, server := range f.fleet.engines {
		if f.servers[server.id] == nil {
			f.servers[server.id] = &serverState{engine: server}
			f.cache.SetCapacity(server.id, server.spec.CacheTokens)
		}
	}
}

// requestReport requests a load report from one of two random servers: the one whose last report is older.
func (f *front) requestReport() {
	servers := f.fleet.engines
	chosen, other := f.servers[servers[f.random.IntN(len(servers))].id], f.servers[servers[f.random.IntN(len(servers))].id]
	if other.report.takenAt < chosen.report.takenAt {
		chosen = other
	}
	running, queued := chosen.engine.requestCounts()
	report := loadReport{
		takenAt: f.fleet.timeline.now, received: true, running: running, queued: queued,
		usedTokens: chosen.engine.usedTokens(), waiting: chosen.waiting,
	}
	f.fleet.timeline.after(reportDelay, func() {
		chosen.report = report
		f.cache.SetCapacity(
			chosen.engine.id, chosen.engine.spec.CacheTokens-min(chosen.engine.spec.CacheTokens, report.usedTokens),
		)
	})
}

// receiveLoad records the load that a server reports with the head of an answer.
func (f *front) receiveLoad(state *serverState) {
	if !f.fleet.options.LoadOnAnswers || f.fleet.options.isDisabled(AnswerLoads) {
		return
	}
	running, queued := state.engine.requestCounts()
	state.report = loadReport{
		takenAt: f.fleet.timeline.now, received: true, running: running, queued: queued, usedTokens: state.report.usedTokens,
		waiting: state.waiting,
	}
}

// slownessFactor returns the server's slowness, from its answers and from the requests that wait for one.
func (s *serverState) slownessFactor(profile schedule.Profile, timeline *timeline) float64 {
	if len(s.issuedAt) == 0 {
		return s.slowness.Factor(timeline.clock())
	}
	expected := profile.FirstToken(s.pendingTokens + uint64(profile.MeanPrompt))
	return s.slowness.FactorWhileWaiting(expected, timeline.now-slices.Min(s.issuedAt), timeline.clock())
}

// recordSent records that a request was sent.
func (s *serverState) recordSent(tokens uint64, issuedAt time.Duration) {
	s.inFlight++
	s.waiting++
	s.pendingTokens += tokens
	s.issuedAt = append(s.issuedAt, issuedAt)
}

// recordFirstToken records that a request got its first token or was rejected.
func (s *serverState) recordFirstToken(tokens uint64, issuedAt time.Duration) {
	s.waiting--
	s.pendingTokens -= tokens
	index := slices.Index(s.issuedAt, issuedAt)
	s.issuedAt = slices.Delete(s.issuedAt, index, index+1)
}

// candidates returns the servers of the fleet as seen by this front node.
func (f *front) candidates(prompt promptcache.Prompt) []schedule.Candidate {
	candidates := make([]schedule.Candidate, 0, len(f.fleet.engines))
	for _, server := range f.fleet.engines {
		state := f.servers[server.id]
		candidate := schedule.Candidate{
			ID: server.id, Zone: server.zone, Draining: server.draining, Capacity: uint32(server.spec.Slots), Weight: 1,
			InFlight: state.inFlight, Waiting: state.waiting, PendingTokens: state.pendingTokens,
			CachedTokens: f.cache.Cached(server.id, prompt), CacheTokens: server.spec.CacheTokens,
			Slowness: state.slownessFactor(f.profile.Profile(), f.fleet.timeline),
		}
		if age := f.fleet.timeline.now - state.report.takenAt; state.report.received && age < reportTTL {
			candidate.Running, candidate.Queued = uint32(state.report.running), uint32(state.report.queued)
			candidate.UsedTokens, candidate.ReportAge = state.report.usedTokens, age
			candidate.WaitingAtReport = state.report.waiting
		}
		f.fleet.options.disableInCandidate(&candidate)
		candidates = append(candidates, candidate)
	}
	return candidates
}

// turnRequest is one turn that a front node issues, with the callbacks for its progress.
type turnRequest struct {
	conversation *conversation
	rank         uint32
	prompt       promptcache.Prompt
	output       uint64
	// avoid has the servers that rejected the turn.
	avoid   []string
	onFirst func()
	onDone  func()
	onFail  func()
}

// maxSends is the maximum number of servers that a turn is sent to.
const maxSends = 3

// choose chooses the server of one turn.
func (f *front) choose(turn turnRequest) *serverState {
	f.sequence++
	request := schedule.Request{
		Algorithm: f.fleet.options.Algorithm, Front: f.name, Zone: f.zone,
		SubsetSize:  cmp.Or(f.fleet.options.SubsetSize, uint32(len(f.fleet.engines))),
		AffinityKey: turn.conversation.program.name, LastServer: turn.conversation.lastServer, Avoid: turn.avoid,
		Sequence:     f.sequence,
		PromptTokens: turn.prompt.Tokens(), SharedTokens: f.cache.Shared(turn.prompt), OutputTokens: turn.output,
		Profile: f.profile.Profile(),
	}
	f.fleet.options.disableInRequest(&request)
	return f.servers[schedule.Choose(request, f.candidates(turn.prompt), f.random).Chosen]
}

// issue sends a turn to the server that the policy chooses, and to another if that one is full.
func (f *front) issue(turn turnRequest) {
	state := f.choose(turn)
	if state == nil || len(turn.avoid) >= maxSends {
		turn.onFail()
		return
	}
	timeline := f.fleet.timeline
	own := turn.prompt.Tokens() - f.cache.Cached(state.engine.id, turn.prompt)
	ahead := state.pendingTokens
	issued := timeline.now
	f.cache.RecordSent(state.engine.id, turn.prompt, timeline.clock())
	state.recordSent(own, issued)
	request := &generation{prompt: turn.prompt, output: turn.output, rank: turn.rank}
	first := time.Duration(0)
	request.onFirst = func() {
		state.recordFirstToken(own, issued)
		f.receiveLoad(state)
		first = timeline.now
		state.slowness.Observe(f.profile.Profile().FirstToken(own+ahead), first-issued, timeline.clock())
		f.profile.ObserveFirstToken(own, ahead, first-issued)
		turn.onFirst()
	}
	request.onDone = func() {
		state.inFlight--
		expected := time.Duration(turn.output) * f.profile.Profile().StepTime
		state.slowness.Observe(expected, timeline.now-first, timeline.clock())
		f.profile.ObserveOutput(turn.output, timeline.now-first)
		turn.conversation.lastServer = state.engine.id
		turn.onDone()
	}
	timeline.after(networkTime/2, func() {
		if state.engine.submit(request) {
			return
		}
		state.inFlight--
		state.recordFirstToken(own, issued)
		turn.avoid = append(turn.avoid, state.engine.id)
		f.issue(turn)
	})
}
