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
type hedgeBudget struct {
	mutex sync.Mutex
	// heard is when each replica last carried a change out.
	lastChange map[string]time.Time
	tokens     float64
	refilledAt time.Time
}

func newHedgeBudget(now time.Time) *hedgeBudget {
	return &hedgeBudget{lastChange: map[string]time.Time{}, tokens: hedgeBurst, refilledAt: now}
}

// note remembers that a replica carried a change out.
func (h *hedgeBudget) recordChange(address string, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.lastChange[address] = now
}

// heardSince reports whether a replica carried a change out after a time: it is slow then, and not away.
func (h *hedgeBudget) changedSince(address string, since time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.lastChange[address].After(since)
}

// take reports whether one more hedge is in the budget.
func (h *hedgeBudget) allow(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.tokens = min(hedgeBurst, h.tokens+now.Sub(h.refilledAt).Seconds()*hedgesPerSecond)
	h.refilledAt = now
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}
