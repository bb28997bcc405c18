package backends

import (
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/promptcache"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Models holds this front node's estimates for the servers of each group: the prompts in their caches, the prompt
// tokens that they still have to prefill, and their speed. The mutex guards all fields.
type Models struct {
	mutex      sync.Mutex
	frontNodes int
	groups     map[string]*groupModel
}

// groupModel holds the estimates for one group; the mutex of Models guards it.
type groupModel struct {
	cache   *promptcache.Model
	profile schedule.ProfileEstimator
	servers map[string]*serverModel
}

// serverModel counts the turns that this front node has in flight to one server, and estimates the server's speed.
type serverModel struct {
	// waiting is the number of turns without a first token, pendingTokens the number of their prompt tokens that are
	// not in the server's cache.
	waiting       uint32
	pendingTokens uint64
	slowness      schedule.Slowness
	// waitingAtReport is the value of waiting when the server last reported its load.
	waitingAtReport uint32
}

// NewModels returns models without any group.
func NewModels() *Models {
	return &Models{frontNodes: 1, groups: make(map[string]*groupModel)}
}

func (m *Models) group(name string) *groupModel {
	model := m.groups[name]
	if model == nil {
		model = &groupModel{cache: promptcache.New(), servers: make(map[string]*serverModel)}
		model.cache.SetFronts(m.frontNodes)
		m.groups[name] = model
	}
	return model
}

func (g *groupModel) server(id string) *serverModel {
	model := g.servers[id]
	if model == nil {
		model = &serverModel{}
		g.servers[id] = model
	}
	return model
}

// Update adds models of new servers and removes those of servers that left the set. cacheTokens returns the cache size
// of a group's servers, or zero for a group whose servers have no cache.
func (m *Models) Update(servers *Set, frontNodes int, cacheTokens func(group string) uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.frontNodes = frontNodes
	for name, model := range m.groups {
		model.cache.SetFronts(frontNodes)
		model.cache.Retain(func(server string) bool { return servers.ByID[server] != nil })
		for id := range model.servers {
			if servers.ByID[id] == nil {
				delete(model.servers, id)
			}
		}
		if len(servers.ByGroup[name]) == 0 {
			delete(m.groups, name)
		}
	}
	for name, members := range servers.ByGroup {
		capacity := cacheTokens(name)
		if capacity == 0 {
			continue
		}
		model := m.group(name)
		for _, server := range members {
			if model.servers[server.ID()] == nil {
				model.server(server.ID())
				model.cache.SetCapacity(server.ID(), capacity)
			}
		}
	}
}

// RecordReport records that a load report arrived, with the used and total tokens of the server's cache.
func (m *Models) RecordReport(group, server string, used, total uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	load := model.server(server)
	load.waitingAtReport = load.waiting
	if total > 0 {
		model.cache.SetCapacity(server, total-min(total, used))
	}
}

// RecordAnswerLoad records that the server reported its load in an answer.
func (m *Models) RecordAnswerLoad(group, server string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	load := m.group(group).server(server)
	load.waitingAtReport = load.waiting
}

// annotate fills in the estimates for a scheduling decision: the request's prompt tokens and the group's speed profile,
// and each candidate's waiting turns, cached tokens and slowness.
func (m *Models) annotate(
	request *schedule.Request, group string, prompt promptcache.Prompt, candidates []schedule.Candidate, now time.Time,
) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	for i := range candidates {
		candidate := &candidates[i]
		load := model.server(candidate.ID)
		candidate.Waiting, candidate.PendingTokens = load.waiting, load.pendingTokens
		candidate.WaitingAtReport = load.waitingAtReport
		candidate.CachedTokens = model.cache.Cached(candidate.ID, prompt)
		candidate.Slowness = load.slowness.Factor(now)
	}
	request.Profile = model.profile.Profile()
	request.PromptTokens, request.SharedTokens = prompt.Tokens(), model.cache.Shared(prompt)
}

// IssuedTurn is a turn in flight to a server. It is not safe for concurrent use.
type IssuedTurn struct {
	models         *Models
	group          string
	server         string
	uncachedTokens uint64
	tokensAhead    uint64
	issuedAt       time.Time
	firstTokenAt   time.Time
	tokens         uint64
	waiting        bool
}

// RecordSent records that a turn is sent to a server.
func (m *Models) RecordSent(group, server string, prompt promptcache.Prompt, now time.Time) *IssuedTurn {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	load := model.server(server)
	uncached := prompt.Tokens() - model.cache.Cached(server, prompt)
	issued := &IssuedTurn{
		models: m, group: group, server: server, uncachedTokens: uncached, tokensAhead: load.pendingTokens,
		issuedAt: now, waiting: true,
	}
	model.cache.RecordSent(server, prompt, now)
	load.waiting++
	load.pendingTokens += uncached
	return issued
}

// RecordStepSent records that the prompt of a generation of a training step is sent to a server. It returns how many of
// its tokens the server has cached.
func (m *Models) RecordStepSent(group, server string, prompt promptcache.Prompt, now time.Time) (cached uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	cached = model.cache.Cached(server, prompt)
	model.cache.RecordSent(server, prompt, now)
	return cached
}

// RecordTokens counts output tokens; the first ones end the wait for the first token.
func (t *IssuedTurn) RecordTokens(count uint64, now time.Time) {
	if t.tokens == 0 {
		t.recordFirstToken(now)
	}
	t.tokens += count
}

// recordFirstToken ends the wait for the first token and records how long it took.
func (t *IssuedTurn) recordFirstToken(now time.Time) {
	m := t.models
	m.mutex.Lock()
	defer m.mutex.Unlock()
	t.stopWaiting()
	t.firstTokenAt = now
	model := m.group(t.group)
	took := now.Sub(t.issuedAt)
	model.server(t.server).slowness.Observe(model.profile.Profile().FirstToken(t.uncachedTokens+t.tokensAhead), took, now)
	model.profile.ObserveFirstToken(t.uncachedTokens, t.tokensAhead, took)
}

// stopWaiting removes the turn from the server's waiting turns; the caller holds the mutex of Models.
func (t *IssuedTurn) stopWaiting() {
	if !t.waiting {
		return
	}
	t.waiting = false
	load := t.models.group(t.group).server(t.server)
	load.waiting -= min(load.waiting, 1)
	load.pendingTokens -= min(load.pendingTokens, t.uncachedTokens)
}

// Finish ends the turn. complete is set when all of its output was received; only then is its duration recorded.
func (t *IssuedTurn) Finish(complete bool, now time.Time) {
	m := t.models
	m.mutex.Lock()
	defer m.mutex.Unlock()
	t.stopWaiting()
	if !complete || t.firstTokenAt.IsZero() {
		return
	}
	model := m.group(t.group)
	elapsed := now.Sub(t.firstTokenAt)
	model.server(t.server).slowness.Observe(time.Duration(t.tokens)*model.profile.Profile().StepTime, elapsed, now)
	model.profile.ObserveOutput(t.tokens, elapsed)
}

// RecordCall records the duration of a call, which has no prompt, at a server.
func (m *Models) RecordCall(group, server string, took time.Duration, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	model.server(server).slowness.Observe(model.profile.Profile().ServiceTime, took, now)
	model.profile.ObserveService(took)
}

// RequestPrompt returns the parts of a request's prompt as servers cache them, or nil when the request names no parts.
func RequestPrompt(routed *protocol.HttpRequest) promptcache.Prompt {
	parts := routed.GetPromptParts()
	if len(parts) == 0 {
		return nil
	}
	builder := promptcache.NewPromptBuilder(routed.GetGroup(), len(parts))
	for _, part := range parts {
		builder.Add(part.GetId(), part.GetTokens())
	}
	return builder.Prompt()
}
