package sessions

import (
	"container/list"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/front/commandloop"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// DefaultMaxHistoryBytes limits the estimated size of the cached sessions and their conversations unless the cache is
	// given another limit.
	DefaultMaxHistoryBytes = 64 << 20
	// maxRecentEvents limits the number of events retained for ended turns, whose readers may reconnect; recentTurnTTL
	// limits how long they are retained.
	maxRecentEvents = 100_000
	recentTurnTTL   = time.Minute
	// sessionBytes is the estimated size of one cached session without its history.
	sessionBytes = 512
)

// Key identifies a session of a program.
type Key struct {
	Session string
	Program string
}

// sessionState is the cached state of one session at its owner. The ledger is authoritative, so all of it except a turn
// in progress may be dropped at any time.
type sessionState struct {
	key Key
	// tenant, incarnation and epoch describe the session's claim; an epoch of zero means that there is none.
	tenant      string
	incarnation uint64
	epoch       uint64
	// lastTurn is the last turn of history; empty when no history is cached.
	lastTurn       string
	history        []*protocol.Item
	historyTokens  uint64
	historyBytes   int
	lastBackEnd    string
	inProgress     *TurnLog
	recencyElement *list.Element
}

// Claim is the epoch of a session that this process claimed; Known is false when it has claimed none.
type Claim struct {
	Epoch uint64
	Known bool
}

// Clock returns the current time.
type Clock interface{ Now() time.Time }

// Cache holds the sessions that this front node owns, and the logs of turns that are in progress or ended recently. The
// loop's goroutine owns its tables; its methods are safe for concurrent use and do nothing once it is stopped.
type Cache struct {
	loop  *commandloop.Loop
	clock Clock
	// maxHistoryBytes limits bytes.
	maxHistoryBytes int
	bySession       map[string]map[string]*sessionState
	recency         *list.List
	bytes           int
	ended           map[string]*list.Element
	endedOrder      *list.List
	endedEvents     int
}

type endedTurn struct {
	turn    *TurnLog
	events  int
	endedAt time.Time
}

// NewCache returns an empty cache of at most so many bytes and starts its goroutine, which Stop ends.
func NewCache(clock Clock, maxHistoryBytes int) *Cache {
	return &Cache{
		loop: commandloop.New(), clock: clock, maxHistoryBytes: maxHistoryBytes,
		bySession: make(map[string]map[string]*sessionState), recency: list.New(),
		ended: make(map[string]*list.Element), endedOrder: list.New(),
	}
}

// Stop ends the cache's goroutine.
func (s *Cache) Stop() { s.loop.Stop() }

// state returns the state of a session, which it creates if there is none, and marks it as the most recently used.
func (s *Cache) state(key Key) *sessionState {
	programs := s.bySession[key.Session]
	if programs == nil {
		programs = make(map[string]*sessionState)
		s.bySession[key.Session] = programs
	}
	state := programs[key.Program]
	if state == nil {
		state = &sessionState{key: key}
		state.recencyElement = s.recency.PushFront(state)
		programs[key.Program] = state
		s.bytes += sessionBytes
	}
	s.recency.MoveToFront(state.recencyElement)
	return state
}

func (s *Cache) find(key Key) *sessionState {
	return s.bySession[key.Session][key.Program]
}

// Begin registers a turn as the one in progress in its session and returns it. If another turn is in progress, or the
// same turn was completed recently, it returns the log of that one instead and begun is false. The log is nil once the
// cache is stopped.
func (s *Cache) Begin(key Key, turn *TurnLog) (current *TurnLog, begun bool) {
	s.loop.Do(func() {
		state := s.state(key)
		if state.inProgress != nil {
			current = state.inProgress
			return
		}
		if element := s.ended[turn.TurnID]; element != nil && element.Value.(*endedTurn).turn.last().GetCompleted() != nil {
			current = element.Value.(*endedTurn).turn
			return
		}
		state.inProgress, current, begun = turn, turn, true
	})
	return current, begun
}

// Finish removes an ended turn from its session and retains its events for readers that reconnect.
func (s *Cache) Finish(key Key, turn *TurnLog) {
	s.loop.Post(func() {
		if state := s.find(key); state != nil && state.inProgress == turn {
			state.inProgress = nil
		}
		s.retainEnded(turn)
		s.evict()
	})
}

func (s *Cache) retainEnded(turn *TurnLog) {
	entry := &endedTurn{turn: turn, events: turn.size(), endedAt: s.clock.Now()}
	if former := s.ended[turn.TurnID]; former != nil {
		s.evictEnded(former)
	}
	s.ended[turn.TurnID] = s.endedOrder.PushBack(entry)
	s.endedEvents += entry.events
	for s.endedOrder.Len() > 0 {
		oldest := s.endedOrder.Front()
		entry := oldest.Value.(*endedTurn)
		if s.endedEvents <= maxRecentEvents && s.clock.Now().Sub(entry.endedAt) <= recentTurnTTL {
			return
		}
		s.evictEnded(oldest)
	}
}

func (s *Cache) evictEnded(element *list.Element) {
	entry := element.Value.(*endedTurn)
	s.endedOrder.Remove(element)
	s.endedEvents -= entry.events
	delete(s.ended, entry.turn.TurnID)
}

// FindTurn returns the log of a turn that is in progress or ended recently, or nil when there is none.
func (s *Cache) FindTurn(key Key, turnID string) (log *TurnLog) {
	s.loop.Do(func() {
		if state := s.find(key); state != nil && state.inProgress != nil && state.inProgress.TurnID == turnID {
			log = state.inProgress
			return
		}
		if element := s.ended[turnID]; element != nil {
			log = element.Value.(*endedTurn).turn
		}
	})
	return log
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

// RecordClaim caches the epoch claimed for a session.
func (s *Cache) RecordClaim(key Key, tenant string, incarnation, epoch uint64) {
	s.loop.Post(func() {
		state := s.state(key)
		state.tenant, state.incarnation, state.epoch = tenant, incarnation, epoch
	})
}

// History is a conversation up to and including one turn; Known is false when it is not cached.
type History struct {
	Items  []*protocol.Item
	Tokens uint64
	Known  bool
}

// FindHistory returns the cached conversation of a session if lastTurn is its last turn.
func (s *Cache) FindHistory(key Key, lastTurn string) (history History) {
	s.loop.Do(func() {
		state := s.find(key)
		if state != nil && state.lastTurn == lastTurn && lastTurn != "" {
			history = History{Items: state.history, Tokens: state.historyTokens, Known: true}
		}
	})
	return history
}

// RecordCommit caches a session's history: the items before a retained turn, followed by those of the turn.
func (s *Cache) RecordCommit(key Key, retained *protocol.Turn, previous []*protocol.Item) {
	s.loop.Post(func() {
		state := s.state(key)
		items := make([]*protocol.Item, 0, len(previous)+len(retained.GetInput())+len(retained.GetOutput()))
		items = append(append(append(items, previous...), retained.GetInput()...), retained.GetOutput()...)
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

// LastBackEnd returns the id of the server of the session's last turn, or "" when it is not cached.
func (s *Cache) LastBackEnd(key Key) (last string) {
	s.loop.Do(func() {
		if state := s.find(key); state != nil {
			last = state.lastBackEnd
		}
	})
	return last
}

// Forget drops the cached state of a session of one program, except a turn in progress.
func (s *Cache) Forget(key Key) {
	s.loop.Post(func() { s.drop(s.find(key)) })
}

// Yield drops a session that this front node no longer owns, in all programs.
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
	if state.inProgress != nil {
		return
	}
	s.bytes -= sessionBytes
	s.recency.Remove(state.recencyElement)
	programs := s.bySession[state.key.Session]
	delete(programs, state.key.Program)
	if len(programs) == 0 {
		delete(s.bySession, state.key.Session)
	}
}

// evict drops the least recently used sessions without a turn in progress while the cache exceeds its limit.
func (s *Cache) evict() {
	for element := s.recency.Back(); element != nil && s.bytes > s.maxHistoryBytes; {
		state := element.Value.(*sessionState)
		element = element.Prev()
		if state.inProgress == nil {
			s.drop(state)
		}
	}
}
