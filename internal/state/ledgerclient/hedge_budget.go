package ledgerclient

import (
	"sync"
	"time"
)

const (
	// hedgeBurst and hedgesPerSecond bound how often a second replica is asked while one is silent. Stores that are
	// overloaded get no more than that on top; each hedge makes two stores propose for one program.
	hedgeBurst      = 64
	hedgesPerSecond = 20
)

// hedges decides whether a silent replica is reason enough to ask another one.
type hedges struct {
	mutex sync.Mutex
	// heard is when each replica last carried a change out.
	heard  map[string]time.Time
	tokens float64
	at     time.Time
}

func newHedges(now time.Time) *hedges {
	return &hedges{heard: map[string]time.Time{}, tokens: hedgeBurst, at: now}
}

// note remembers that a replica carried a change out.
func (h *hedges) note(address string, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.heard[address] = now
}

// heardSince reports whether a replica carried a change out after a time: it is slow then, and not away.
func (h *hedges) heardSince(address string, since time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.heard[address].After(since)
}

// take reports whether one more hedge is in the budget.
func (h *hedges) take(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.tokens = min(hedgeBurst, h.tokens+now.Sub(h.at).Seconds()*hedgesPerSecond)
	h.at = now
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}
