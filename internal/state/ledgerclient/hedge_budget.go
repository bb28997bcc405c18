package ledgerclient

import (
	"sync"
	"time"
)

const (
	// hedgeBurst and hedgesPerSecond bound the hedges of a client, and thereby the load that hedges add to overloaded
	// stores; each hedge makes two stores propose for one program.
	hedgeBurst      = 64
	hedgesPerSecond = 20
)

// hedgeBudget is a token bucket for hedges. It also records the last change of each replica, which distinguishes a slow
// replica from an unresponsive one.
type hedgeBudget struct {
	mutex sync.Mutex
	// lastChange maps the address of a replica to when it last answered that it carried out a change.
	lastChange map[string]time.Time
	tokens     float64
	refilledAt time.Time
}

func newHedgeBudget(now time.Time) *hedgeBudget {
	return &hedgeBudget{lastChange: map[string]time.Time{}, tokens: hedgeBurst, refilledAt: now}
}

// recordChange records that a replica carried out a change.
func (b *hedgeBudget) recordChange(address string, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.lastChange[address] = now
}

// changedSince reports whether a replica carried out a change after the given time.
func (b *hedgeBudget) changedSince(address string, since time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.lastChange[address].After(since)
}

// allow takes a token for one more hedge. It returns false when there is none.
func (b *hedgeBudget) allow(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(hedgeBurst, b.tokens+now.Sub(b.refilledAt).Seconds()*hedgesPerSecond)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
