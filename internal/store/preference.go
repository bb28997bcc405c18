package store

import (
	"cmp"
	"slices"
	"time"
)

const (
	// usualGain is the weight of one answer in the usual time of a store's answers.
	usualGain = 0.05
	// firstUsual is the usual time before anything was measured.
	firstUsual = 5 * time.Millisecond
	// patienceFactor is the multiple of its usual time in which a store should answer before others are asked in its place.
	patienceFactor = 4
	// leastPatience covers a sync that others wait for too, longestPatience bounds what a store that turns slow may cost.
	leastPatience   = 15 * time.Millisecond
	longestPatience = 100 * time.Millisecond
	// slowTime is how long a store that did not answer in time is asked last. After it one request finds out
	// whether it answers again.
	slowTime = time.Second
)

// preference orders the replicas of a shard for rounds that begin with a majority: this store, whose answer costs
// nothing, the others in the order of the placement, and last those that did not answer in time a moment ago or
// that have no lease. All proposers of a shard so prefer the same replicas.
func (p *peers) preference(members []string) []string {
	now := p.store.options.Clock.Now()
	self := p.store.options.Self.GetName()
	addresses := p.store.watch.current.Load().addresses
	p.mutex.Lock()
	defer p.mutex.Unlock()
	place := func(store string) int {
		switch {
		case now.Before(p.lane(store).slowUntil):
			return 2
		case store == self:
			return 0
		case addresses[store] == "":
			return 2
		default:
			return 1
		}
	}
	ordered := slices.Clone(members)
	slices.SortStableFunc(ordered, func(a, b string) int { return cmp.Compare(place(a), place(b)) })
	return ordered
}

// patience is how long the answers of some stores are awaited before others are asked as well.
func (p *peers) patience(stores []string) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	longest := time.Duration(0)
	for _, store := range stores {
		if store != p.store.options.Self.GetName() {
			longest = max(longest, cmp.Or(p.lane(store).usual, firstUsual))
		}
	}
	return min(max(patienceFactor*longest, leastPatience), longestPatience)
}

// noteAnswer takes the time of an answer in.
func (p *peers) noteAnswer(store string, took time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	to := p.lane(store)
	if to.usual == 0 {
		to.usual = firstUsual
	}
	to.usual += time.Duration(usualGain * float64(min(took, longestPatience)-to.usual))
}

// noteSlow has stores that did not answer in time asked last for a while.
func (s *Store) noteSlow(stores []string) {
	s.metrics.widened.Inc()
	until := s.options.Clock.Now().Add(slowTime)
	s.peers.mutex.Lock()
	defer s.peers.mutex.Unlock()
	for _, store := range stores {
		s.peers.lane(store).slowUntil = until
	}
}

// after runs a step on the group's goroutine once the time has passed.
func (g *group) after(wait time.Duration, step func()) {
	g.store.options.Clock.AfterFunc(wait, func() { g.mailbox.post(step) })
}
