package sessions

import (
	"container/list"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/front/commandloop"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// maxHistoryBytes bounds the conversations in the cache.
	maxHistoryBytes = 64 << 20
	// maxRecentEvents bounds the events retained of turns that ended, for readers that come back.
	maxRecentEvents = 100_000
	recentTurnTTL   = time.Minute
	sessionBytes    = 512
)

// Key names a session of a program.
type Key struct {
	Session string
	Program string
}

// sessionState is what the owner caches of one session. The ledger has the truth: all of it may be dropped
// at any time.
type sessionState struct {
	key Key
	// tenant, incarnation and epoch are those of the claim; an epoch of zero is none.
	tenant      string
	incarnation uint64
	epoch       uint64
	// lastTurn is the turn that history leads up to; empty when no history is cached.
	lastTurn      string
	history       []*protocol.Item
	historyTokens uint64
	historyBytes  int
	lastBackEnd   string
	live          *TurnLog
	used          *list.Element
}

// Claim is a session's epoch as claimed by this process; Known is false without one.
type Claim struct {
	Epoch uint64
	Known bool
}

// Clock tells the time.
type Clock interface{ Now() time.Time }

// Cache has the sessions that this front node owns and the turns in progress or ended recently. The loop's
// goroutine owns its tables; its methods may be called from any goroutine. They do nothing once it is
// stopped.
type Cache struct {
	loop       *commandloop.Loop
	clock      Clock
	bySession  map[string]map[string]*sessionState
	recency    *list.List
	bytes      int
	recent     map[string]*list.Element
	ended      *list.List
	endedTotal int
}

type endedTurn struct {
	turn   *TurnLog
	events int
	at     time.Time
}

// NewCache returns an empty cache and starts its goroutine, which Stop ends.
func NewCache(clock Clock) *Cache {
	return &Cache{
		loop: commandloop.New(), clock: clock,
		bySession: make(map[string]map[string]*sessionState), recency: list.New(),
		recent: make(map[string]*list.Element), ended: list.New(),
	}
}

// Stop ends the store's goroutine.
func (s *Cache) Stop() { s.loop.Stop() }

// state returns the state of a session as the one used last; it makes one when there is none.
func (s *Cache) state(key Key) *sessionState {
	programs := s.bySession[key.Session]
	if programs == nil {
		programs = make(map[string]*sessionState)
		s.bySession[key.Session] = programs
	}
	state := programs[key.Program]
	if state == nil {
		state = &sessionState{key: key}
		state.used = s.recency.PushFront(state)
		programs[key.Program] = state
		s.bytes += sessionBytes
	}
	s.recency.MoveToFront(state.used)
	return state
}

func (s *Cache) find(key Key) *sessionState {
	return s.bySession[key.Session][key.Program]
}

// Begin puts a turn in progress in its session. It returns another turn instead when one is in progress,
// or when the same turn was completed recently; nil once the store is stopped.
func (s *Cache) Begin(key Key, turn *TurnLog) (current *TurnLog, begun bool) {
	s.loop.Do(func() {
		state := s.state(key)
		if state.live != nil {
			current = state.live
			return
		}
		if element := s.recent[turn.TurnID]; element != nil && element.Value.(*endedTurn).turn.last().GetCompleted() != nil {
			current = element.Value.(*endedTurn).turn
			return
		}
		state.live, current, begun = turn, turn, true
	})
	return current, begun
}

// Finish takes a turn out of its session and retains its events for readers that come back.
func (s *Cache) Finish(key Key, turn *TurnLog) {
	s.loop.Post(func() {
		if state := s.find(key); state != nil && state.live == turn {
			state.live = nil
		}
		s.retainEnded(turn)
		s.evict()
	})
}

func (s *Cache) retainEnded(turn *TurnLog) {
	entry := &endedTurn{turn: turn, events: turn.size(), at: s.clock.Now()}
	if former := s.recent[turn.TurnID]; former != nil {
		s.evictEnded(former)
	}
	s.recent[turn.TurnID] = s.ended.PushBack(entry)
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

func (s *Cache) evictEnded(element *list.Element) {
	entry := element.Value.(*endedTurn)
	s.ended.Remove(element)
	s.endedTotal -= entry.events
	delete(s.recent, entry.turn.TurnID)
}

// FindTurn returns a turn in progress, or ended recently, by its id; nil when there is none.
func (s *Cache) FindTurn(key Key, turnID string) (live *TurnLog) {
	s.loop.Do(func() {
		if state := s.find(key); state != nil && state.live != nil && state.live.TurnID == turnID {
			live = state.live
			return
		}
		if element := s.recent[turnID]; element != nil {
			live = element.Value.(*endedTurn).turn
		}
	})
	return live
}

// FindClaim returns the epoch claimed for a session under an incarnation.
func (s *Cache) FindClaim(key Key, tenant string, incarnation uint64) (current Claim) {
	s.loop.Do(func() {
		state := s.find(key)
		if state != nil && state.epoch > 0 && state.tenant == tenant && state.incarnation == incarnation {
			current = Claim{Epoch: state.epoch, Known: true}
		}
	})
	return current
}

// RecordClaim caches an epoch.
func (s *Cache) RecordClaim(key Key, tenant string, incarnation, epoch uint64) {
	s.loop.Post(func() {
		state := s.state(key)
		state.tenant, state.incarnation, state.epoch = tenant, incarnation, epoch
	})
}

// History is a conversation up to one turn; Known is false when it is not cached.
type History struct {
	Items  []*protocol.Item
	Tokens uint64
	Known  bool
}

// FindHistory returns the cached conversation of a session if it ends with a turn.
func (s *Cache) FindHistory(key Key, lastTurn string) (history History) {
	s.loop.Do(func() {
		state := s.find(key)
		if state != nil && state.lastTurn == lastTurn && lastTurn != "" {
			history = History{Items: state.history, Tokens: state.historyTokens, Known: true}
		}
	})
	return history
}

// RecordCommit extends a session's history, which was before, by a retained turn.
func (s *Cache) RecordCommit(key Key, retained *protocol.Turn, before []*protocol.Item) {
	s.loop.Post(func() {
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

// LastBackEnd is the id of the server of the session's last turn; empty when it is not known.
func (s *Cache) LastBackEnd(key Key) (last string) {
	s.loop.Do(func() {
		if state := s.find(key); state != nil {
			last = state.lastBackEnd
		}
	})
	return last
}

// Forget drops what is cached of a session of one program, except a turn in progress.
func (s *Cache) Forget(key Key) {
	s.loop.Post(func() { s.drop(s.find(key)) })
}

// Yield drops a session that this front node no longer owns.
func (s *Cache) Yield(session string) {
	s.loop.Post(func() {
		for _, state := range s.bySession[session] {
			s.drop(state)
		}
	})
}

func (s *Cache) drop(state *sessionState) {
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
	programs := s.bySession[state.key.Session]
	delete(programs, state.key.Program)
	if len(programs) == 0 {
		delete(s.bySession, state.key.Session)
	}
}

// evict drops the sessions used longest ago while the cache exceeds its bound.
func (s *Cache) evict() {
	for element := s.recency.Back(); element != nil && s.bytes > maxHistoryBytes; {
		state := element.Value.(*sessionState)
		element = element.Prev()
		if state.live == nil {
			s.drop(state)
		}
	}
}
