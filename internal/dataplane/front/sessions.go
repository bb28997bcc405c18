package front

import (
	"container/list"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/front/commandloop"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// maxHistoryBytes bounds the conversations that one owner keeps in memory.
	maxHistoryBytes = 64 << 20
	// maxRecentEvents bounds the events kept of turns that ended, for readers that come back.
	maxRecentEvents = 100_000
	recentTurnTTL   = time.Minute
	sessionBytes    = 512
)

type sessionKey struct {
	session string
	program string
}

// sessionState is what the owner holds of one session. The ledger stays the
// only truth: everything here may be dropped at any time.
type sessionState struct {
	key sessionKey
	// tenant, incarnation and epoch are those of the claim; an epoch of zero is no claim.
	tenant      string
	incarnation uint64
	epoch       uint64
	// lastTurn is the turn that history leads up to; empty when there is no history at hand.
	lastTurn      string
	history       []*protocol.Item
	historyTokens uint64
	historyBytes  int
	lastBackEnd   string
	live          *liveTurn
	used          *list.Element
}

// claim is a session's epoch as claimed by this process.
type claim struct {
	epoch uint64
	known bool
}

// sessions owns the owner's caches.
type sessions struct {
	*commandloop.Loop
	clock      Clock
	bySession  map[string]map[string]*sessionState
	recency    *list.List
	bytes      int
	recent     map[string]*list.Element
	ended      *list.List
	endedTotal int
}

type endedTurn struct {
	turn   *liveTurn
	events int
	at     time.Time
}

func newSessions(clock Clock) *sessions {
	return &sessions{
		Loop: commandloop.New(), clock: clock,
		bySession: make(map[string]map[string]*sessionState), recency: list.New(),
		recent: make(map[string]*list.Element), ended: list.New(),
	}
}

func (s *sessions) state(key sessionKey) *sessionState {
	programs := s.bySession[key.session]
	if programs == nil {
		programs = make(map[string]*sessionState)
		s.bySession[key.session] = programs
	}
	state := programs[key.program]
	if state == nil {
		state = &sessionState{key: key}
		state.used = s.recency.PushFront(state)
		programs[key.program] = state
		s.bytes += sessionBytes
	}
	s.recency.MoveToFront(state.used)
	return state
}

func (s *sessions) find(key sessionKey) *sessionState {
	return s.bySession[key.session][key.program]
}

// begin puts a turn under way in its session. It returns another turn instead
// when one is under way already, or when this one was completed lately.
func (s *sessions) begin(key sessionKey, turn *liveTurn) (current *liveTurn, begun bool) {
	s.Do(func() {
		state := s.state(key)
		if state.live != nil {
			current = state.live
			return
		}
		if element := s.recent[turn.turnID]; element != nil && element.Value.(*endedTurn).turn.last().GetCompleted() != nil {
			current = element.Value.(*endedTurn).turn
			return
		}
		state.live, current, begun = turn, turn, true
	})
	return current, begun
}

// finish takes a turn out of its session and keeps its events for a while.
func (s *sessions) finish(key sessionKey, turn *liveTurn) {
	s.Post(func() {
		if state := s.find(key); state != nil && state.live == turn {
			state.live = nil
		}
		s.retainEnded(turn)
		s.evict()
	})
}

func (s *sessions) retainEnded(turn *liveTurn) {
	entry := &endedTurn{turn: turn, events: turn.size(), at: s.clock.Now()}
	if former := s.recent[turn.turnID]; former != nil {
		s.evictEnded(former)
	}
	s.recent[turn.turnID] = s.ended.PushBack(entry)
	s.endedTotal += entry.events
	for s.ended.Len() > 0 {
		oldest := s.ended.Front()
		entry := oldest.Value.(*endedTurn)
		if s.endedTotal <= maxRecentEvents && s.clock.Now().Sub(entry.at) <= recentTurnTTL {
			return
		}
		s.evictEnded(oldest)
	}
}

func (s *sessions) evictEnded(element *list.Element) {
	entry := element.Value.(*endedTurn)
	s.ended.Remove(element)
	s.endedTotal -= entry.events
	delete(s.recent, entry.turn.turnID)
}

// findTurn finds a turn under way or lately ended by its id.
func (s *sessions) findTurn(key sessionKey, turnID string) (live *liveTurn) {
	s.Do(func() {
		if state := s.find(key); state != nil && state.live != nil && state.live.turnID == turnID {
			live = state.live
			return
		}
		if element := s.recent[turnID]; element != nil {
			live = element.Value.(*endedTurn).turn
		}
	})
	return live
}

// findClaim returns the epoch claimed for a session under this incarnation.
func (s *sessions) findClaim(key sessionKey, tenant string, incarnation uint64) (current claim) {
	s.Do(func() {
		state := s.find(key)
		if state != nil && state.epoch > 0 && state.tenant == tenant && state.incarnation == incarnation {
			current = claim{epoch: state.epoch, known: true}
		}
	})
	return current
}

// recordClaim remembers an epoch.
func (s *sessions) recordClaim(key sessionKey, tenant string, incarnation, epoch uint64) {
	s.Post(func() {
		state := s.state(key)
		state.tenant, state.incarnation, state.epoch = tenant, incarnation, epoch
	})
}

// cachedHistory is a conversation up to one turn.
type cachedHistory struct {
	items  []*protocol.Item
	tokens uint64
	known  bool
}

func (s *sessions) findHistory(key sessionKey, lastTurn string) (history cachedHistory) {
	s.Do(func() {
		state := s.find(key)
		if state != nil && state.lastTurn == lastTurn && lastTurn != "" {
			history = cachedHistory{items: state.history, tokens: state.historyTokens, known: true}
		}
	})
	return history
}

// recordCommit moves a session's history on by one kept turn.
func (s *sessions) recordCommit(key sessionKey, retained *protocol.Turn, before []*protocol.Item) {
	s.Post(func() {
		state := s.state(key)
		items := make([]*protocol.Item, 0, len(before)+len(retained.GetInput())+len(retained.GetOutput()))
		items = append(append(append(items, before...), retained.GetInput()...), retained.GetOutput()...)
		s.bytes -= state.historyBytes
		state.history, state.historyTokens = items, retained.GetHistoryTokens()
		state.historyBytes = itemBytes(items)
		s.bytes += state.historyBytes
		state.lastTurn, state.lastBackEnd = retained.GetId(), retained.GetBackEnd()
		s.evict()
	})
}

func itemBytes(items []*protocol.Item) int {
	total := 0
	for _, item := range items {
		total += len(item.GetText()) + len(item.GetData()) + len(item.GetRole()) + sessionBytes/4
	}
	return total
}

// lastBackEnd names the server of the session's last turn, if it is known.
func (s *sessions) lastBackEnd(key sessionKey) (last string) {
	s.Do(func() {
		if state := s.find(key); state != nil {
			last = state.lastBackEnd
		}
	})
	return last
}

// forget drops what is held of a session of one program, except a turn under way.
func (s *sessions) forget(key sessionKey) {
	s.Post(func() { s.drop(s.find(key)) })
}

// yielded drops a session that this front node gave up.
func (s *sessions) yielded(session string) {
	s.Post(func() {
		for _, state := range s.bySession[session] {
			s.drop(state)
		}
	})
}

func (s *sessions) drop(state *sessionState) {
	if state == nil {
		return
	}
	s.bytes -= state.historyBytes
	state.epoch, state.lastTurn, state.history, state.historyBytes = 0, "", nil, 0
	if state.live != nil {
		return
	}
	s.bytes -= sessionBytes
	s.recency.Remove(state.used)
	programs := s.bySession[state.key.session]
	delete(programs, state.key.program)
	if len(programs) == 0 {
		delete(s.bySession, state.key.session)
	}
}

// evict drops the sessions used longest ago while the cache is over its bound.
func (s *sessions) evict() {
	for element := s.recency.Back(); element != nil && s.bytes > maxHistoryBytes; {
		state := element.Value.(*sessionState)
		element = element.Prev()
		if state.live == nil {
			s.drop(state)
		}
	}
}
