package backends

import (
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/promptcache"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Models hold what this front node learned of the servers of each group: the prompts in their caches, the
// prompt tokens that they still have to prefill, and how fast they are. The mutex guards all of it.
type Models struct {
	mutex      sync.Mutex
	frontNodes int
	groups     map[string]*groupModel
}

// groupModel is the part of one group; the mutex of Models guards it.
type groupModel struct {
	cache   *promptcache.Model
	profile schedule.ProfileEstimator
	servers map[string]*serverModel
}

// serverModel is what this front node has in flight to one server, and how fast that is.
type serverModel struct {
	// waiting counts the turns without a first token, pendingTokens the tokens of their prompts that are
	// not in the cache.
	waiting       uint32
	pendingTokens uint64
	slowness      schedule.Slowness
	// waitingAtReport is waiting as it was when the server last reported its load.
	waitingAtReport uint32
}

// NewModels makes models without any group.
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

// Update adds models of new servers and removes those of former ones. cacheTokens is the cache size of a
// group's servers; zero is a group whose servers have no cache.
func (m *Models) Update(servers *Set, fronts int, cacheTokens func(group string) uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.frontNodes = fronts
	for name, model := range m.groups {
		model.cache.SetFronts(fronts)
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

// RecordReport records a load report with the state of the server's cache, in tokens.
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

// RecordAnswerLoad records that an answer carried the server's load.
func (m *Models) RecordAnswerLoad(group, server string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	load := m.group(group).server(server)
	load.waitingAtReport = load.waiting
}

// annotate adds to a decision what is known of its prompt and of the candidates.
func (m *Models) annotate(
	request *schedule.Request, group string, prompt promptcache.Prompt, candidates []schedule.Candidate, now time.Time,
) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	for at := range candidates {
		candidate := &candidates[at]
		load := model.server(candidate.ID)
		candidate.Waiting, candidate.PendingTokens = load.waiting, load.pendingTokens
		candidate.WaitingAtReport = load.waitingAtReport
		candidate.CachedTokens = model.cache.Cached(candidate.ID, prompt)
		candidate.Slowness = load.slowness.Factor(now)
	}
	request.Profile = model.profile.Profile()
	request.PromptTokens, request.SharedTokens = prompt.Tokens(), model.cache.Shared(prompt)
}

// IssuedTurn is a turn in flight to a server. One goroutine uses it.
type IssuedTurn struct {
	models         *Models
	group          string
	server         string
	uncachedTokens uint64
	tokensAhead    uint64
	issuedAt       time.Time
	firstAt        time.Time
	tokens         uint64
	waiting        bool
}

// RecordSent records that a turn goes to a server.
func (m *Models) RecordSent(group, server string, prompt promptcache.Prompt, now time.Time) *IssuedTurn {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	load := model.server(server)
	own := prompt.Tokens() - model.cache.Cached(server, prompt)
	issued := &IssuedTurn{
		models: m, group: group, server: server, uncachedTokens: own, tokensAhead: load.pendingTokens,
		issuedAt: now, waiting: true,
	}
	model.cache.RecordSent(server, prompt, now)
	load.waiting++
	load.pendingTokens += own
	return issued
}

// RecordStepSent records that the prompt of a generation of a training step goes to a server; it returns
// how many of its tokens are cached there.
func (m *Models) RecordStepSent(group, server string, prompt promptcache.Prompt, now time.Time) (cached uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	cached = model.cache.Cached(server, prompt)
	model.cache.RecordSent(server, prompt, now)
	return cached
}

// RecordTokens counts output; the first shows that the server has begun to generate.
func (t *IssuedTurn) RecordTokens(count uint64, now time.Time) {
	if t.tokens == 0 {
		t.recordFirstToken(now)
	}
	t.tokens += count
}

// recordFirstToken ends the wait for the first token.
func (t *IssuedTurn) recordFirstToken(now time.Time) {
	m := t.models
	m.mutex.Lock()
	defer m.mutex.Unlock()
	t.stopWaiting()
	t.firstAt = now
	model := m.group(t.group)
	took := now.Sub(t.issuedAt)
	model.server(t.server).slowness.Observe(model.profile.Profile().FirstToken(t.uncachedTokens+t.tokensAhead), took, now)
	model.profile.ObserveFirstToken(t.uncachedTokens, t.tokensAhead, took)
}

// stopWaiting ends the wait for the first token; the caller holds the models' mutex.
func (t *IssuedTurn) stopWaiting() {
	if !t.waiting {
		return
	}
	t.waiting = false
	load := t.models.group(t.group).server(t.server)
	load.waiting -= min(load.waiting, 1)
	load.pendingTokens -= min(load.pendingTokens, t.uncachedTokens)
}

// Finish ends the turn at the server; complete reports that all of its output came.
func (t *IssuedTurn) Finish(complete bool, now time.Time) {
	m := t.models
	m.mutex.Lock()
	defer m.mutex.Unlock()
	t.stopWaiting()
	if !complete || t.firstAt.IsZero() {
		return
	}
	model := m.group(t.group)
	passed := now.Sub(t.firstAt)
	model.server(t.server).slowness.Observe(time.Duration(t.tokens)*model.profile.Profile().StepTime, passed, now)
	model.profile.ObserveOutput(t.tokens, passed)
}

// RecordCall records how long a call, which has no prompt, took at a server.
func (m *Models) RecordCall(group, server string, took time.Duration, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	model.server(server).slowness.Observe(model.profile.Profile().ServiceTime, took, now)
	model.profile.ObserveService(took)
}

// RequestPrompt returns the parts of a request's prompt as servers cache them; nil when it names none.
func RequestPrompt(routed *protocol.HttpRequest) promptcache.Prompt {
	parts := routed.GetPromptParts()
	if len(parts) == 0 {
		return nil
	}
	chain := promptcache.NewPromptBuilder(routed.GetGroup(), len(parts))
	for _, part := range parts {
		chain.Add(part.GetId(), part.GetTokens())
	}
	return chain.Prompt()
}
