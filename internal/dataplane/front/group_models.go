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
	mutex  sync.Mutex
	fronts int
	groups map[string]*groupModel
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
	return &groupModels{fronts: 1, groups: make(map[string]*groupModel)}
}

func (m *groupModels) group(name string) *groupModel {
	held := m.groups[name]
	if held == nil {
		held = &groupModel{cache: promptcache.New(), servers: make(map[string]*serverModel)}
		held.cache.SetFronts(m.fronts)
		m.groups[name] = held
	}
	return held
}

func (g *groupModel) server(id string) *serverModel {
	held := g.servers[id]
	if held == nil {
		held = &serverModel{}
		g.servers[id] = held
	}
	return held
}

// update brings the models into line with the servers that there are.
func (m *groupModels) update(servers *backEnds, fronts int, cacheTokens func(group string) uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.fronts = fronts
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
		room := cacheTokens(name)
		if room == 0 {
			continue
		}
		model := m.group(name)
		for _, server := range members {
			if model.servers[server.id()] == nil {
				model.server(server.id())
				model.cache.Resize(server.id(), room)
			}
		}
	}
}

// reported takes a server's own word on its memory in.
func (m *groupModels) reported(group, server string, used, total uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	held := model.server(server)
	held.waitingAtReport = held.waiting
	if total > 0 {
		model.cache.Resize(server, total-min(total, used))
	}
}

// toldLoad notes that a server told its load with an answer.
func (m *groupModels) toldLoad(group, server string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	held := m.group(group).server(server)
	held.waitingAtReport = held.waiting
}

// complete adds to a decision what is known of its prompt and of the candidates.
func (m *groupModels) complete(request *schedule.Request, group string, prompt promptcache.Prompt, candidates []schedule.Candidate, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	for at := range candidates {
		candidate := &candidates[at]
		held := model.server(candidate.ID)
		candidate.Waiting, candidate.PendingTokens = held.waiting, held.pendingTokens
		candidate.WaitingAtReport = held.waitingAtReport
		candidate.CachedTokens = model.cache.Cached(candidate.ID, prompt)
		candidate.Slowness = held.slowness.Factor(now)
	}
	request.Profile = model.profile.Profile()
	request.PromptTokens, request.SharedTokens = prompt.Tokens(), model.cache.Shared(prompt)
}

// sentTurn is a turn on its way at a server.
type sentTurn struct {
	models   *groupModels
	group    string
	server   string
	own      uint64
	ahead    uint64
	issuedAt time.Time
	firstAt  time.Time
	tokens   uint64
	waiting  bool
}

// sent notes that a turn goes to a server.
func (m *groupModels) sent(group, server string, prompt promptcache.Prompt, now time.Time) *sentTurn {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	held := model.server(server)
	own := prompt.Tokens() - model.cache.Cached(server, prompt)
	issued := &sentTurn{
		models: m, group: group, server: server, own: own, ahead: held.pendingTokens, issuedAt: now, waiting: true,
	}
	model.cache.Sent(server, prompt, now)
	held.waiting++
	held.pendingTokens += own
	return issued
}

// sentStep notes that the prompt of a generation of a training step goes to a server, and gives how much of it is cached there.
func (m *groupModels) sentStep(group, server string, prompt promptcache.Prompt, now time.Time) (cached uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	cached = model.cache.Cached(server, prompt)
	model.cache.Sent(server, prompt, now)
	return cached
}

// firstToken notes that the server has begun to generate.
func (t *sentTurn) firstToken(now time.Time) {
	m := t.models
	m.mutex.Lock()
	defer m.mutex.Unlock()
	t.stopWaiting()
	t.firstAt = now
	model := m.group(t.group)
	took := now.Sub(t.issuedAt)
	model.server(t.server).slowness.Observe(model.profile.Profile().FirstToken(t.own+t.ahead), took, now)
	model.profile.ObserveFirstToken(t.own, t.ahead, took)
}

// stopWaiting needs the models' mutex.
func (t *sentTurn) stopWaiting() {
	if !t.waiting {
		return
	}
	t.waiting = false
	held := t.models.group(t.group).server(t.server)
	held.waiting -= min(held.waiting, 1)
	held.pendingTokens -= min(held.pendingTokens, t.own)
}

// ended notes the end of the turn at the server; whole says that all of its output came.
func (t *sentTurn) ended(whole bool, now time.Time) {
	m := t.models
	m.mutex.Lock()
	defer m.mutex.Unlock()
	t.stopWaiting()
	if !whole || t.firstAt.IsZero() {
		return
	}
	model := m.group(t.group)
	passed := now.Sub(t.firstAt)
	model.server(t.server).slowness.Observe(time.Duration(t.tokens)*model.profile.Profile().StepTime, passed, now)
	model.profile.ObserveOutput(t.tokens, passed)
}

// called notes how long a call without a prompt took at a server.
func (m *groupModels) called(group, server string, took time.Duration, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	model := m.group(group)
	model.server(server).slowness.Observe(model.profile.Profile().ServiceTime, took, now)
	model.profile.ObserveService(took)
}

// promptOf gives the parts of a request's prompt as servers cache them.
func promptOf(routed *protocol.HttpRequest) promptcache.Prompt {
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
