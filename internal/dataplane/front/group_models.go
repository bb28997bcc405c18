package front

import (
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/promptcache"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

// groupModels hold what this front node learned of the servers of each group:
// what they keep in their caches, what they have still to read, and how fast they are.
type groupModels struct {
	mutex      sync.Mutex
	frontNodes int
	groups     map[string]*groupModel
}

// groupModel is the part of one group; it belongs to the mutex of groupModels.
type groupModel struct {
	cache   *promptcache.Model
	profile schedule.ProfileEstimator
	servers map[string]*serverModel
}

// serverModel is what this front node has at one server, and how fast that is.
type serverModel struct {
	// waiting counts the turns without a first token, pendingTokens what of their prompts is to be read.
	waiting       uint32
	pendingTokens uint64
	slowness      schedule.Slowness
	// waitingAtReport is waiting as it was when the server last told its load.
	waitingAtReport uint32
}

func newGroupModels() *groupModels {
	return &groupModels{frontNodes: 1, groups: make(map[string]*groupModel)}
}

func (m *groupModels) group(name string) *groupModel {
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

// update brings the models into line with the servers that there are.
func (m *groupModels) update(servers *backEnds, fronts int, cacheTokens func(group string) uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.frontNodes = fronts
	for name, model := range m.groups {
		model.cache.SetFronts(fronts)
		model.cache.Retain(func(server string) bool { return servers.byID[server] != nil })
		for id := range model.servers {
			if servers.byID[id] == nil {
				delete(model.servers, id)
			}
		}
		if len(servers.byGroup[name]) == 0 {
			delete(m.groups, name)
		}
	}
	for name, members := range servers.byGroup {
		capacity := cacheTokens(name)
		if capacity == 0 {
			continue
		}
		model := m.group(name)
		for _, server := range members {
			if model.servers[server.id()] == nil {
				model.server(server.id())
				model.cache.Resize(server.id(), capacity)
			}
		}
	}
}

// recordReport takes a server's own word on its memory in.
func (m *groupModels) recordReport(group, server string, used, total uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	load := model.server(server)
	load.waitingAtReport = load.waiting
	if total > 0 {
		model.cache.Resize(server, total-min(total, used))
	}
}

// recordAnswerLoad notes that a server told its load with an answer.
func (m *groupModels) recordAnswerLoad(group, server string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	load := m.group(group).server(server)
	load.waitingAtReport = load.waiting
}

// annotate adds to a decision what is known of its prompt and of the candidates.
func (m *groupModels) annotate(request *schedule.Request, group string, prompt promptcache.Prompt, candidates []schedule.Candidate, now time.Time) {
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

// issuedTurn is a turn on its way at a server.
type issuedTurn struct {
	models         *groupModels
	group          string
	server         string
	uncachedTokens uint64
	tokensAhead    uint64
	issuedAt       time.Time
	firstAt        time.Time
	tokens         uint64
	waiting        bool
}

// recordSent notes that a turn goes to a server.
func (m *groupModels) recordSent(group, server string, prompt promptcache.Prompt, now time.Time) *issuedTurn {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	load := model.server(server)
	own := prompt.Tokens() - model.cache.Cached(server, prompt)
	issued := &issuedTurn{
		models: m, group: group, server: server, uncachedTokens: own, tokensAhead: load.pendingTokens, issuedAt: now, waiting: true,
	}
	model.cache.RecordSent(server, prompt, now)
	load.waiting++
	load.pendingTokens += own
	return issued
}

// recordStepSent notes that the prompt of a generation of a training step goes to a server, and gives how much of it is cached there.
func (m *groupModels) recordStepSent(group, server string, prompt promptcache.Prompt, now time.Time) (cached uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	cached = model.cache.Cached(server, prompt)
	model.cache.RecordSent(server, prompt, now)
	return cached
}

// recordFirstToken notes that the server has begun to generate.
func (t *issuedTurn) recordFirstToken(now time.Time) {
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

// stopWaiting needs the models' mutex.
func (t *issuedTurn) stopWaiting() {
	if !t.waiting {
		return
	}
	t.waiting = false
	load := t.models.group(t.group).server(t.server)
	load.waiting -= min(load.waiting, 1)
	load.pendingTokens -= min(load.pendingTokens, t.uncachedTokens)
}

// finish notes the end of the turn at the server; whole says that all of its output came.
func (t *issuedTurn) finish(complete bool, now time.Time) {
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

// recordCall notes how long a call without a prompt took at a server.
func (m *groupModels) recordCall(group, server string, took time.Duration, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	model.server(server).slowness.Observe(model.profile.Profile().ServiceTime, took, now)
	model.profile.ObserveService(took)
}

// requestPrompt gives the parts of a request's prompt as servers cache them.
func requestPrompt(routed *protocol.HttpRequest) promptcache.Prompt {
	parts := routed.GetPromptParts()
	if len(parts) == 0 {
		return nil
	}
	chain := promptcache.NewChain(routed.GetGroup(), len(parts))
	for _, part := range parts {
		chain.Add(part.GetId(), part.GetTokens())
	}
	return chain.Prompt()
}
