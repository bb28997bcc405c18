package core

import "time"

// leaseTable holds the leases that this leader granted. It lives in memory
// only: a new leader knows none of them and so ends nobody's lease before one
// whole length has passed. It is part of the owner and knows no clock.
type leaseTable struct {
	length time.Duration
	// floor is the earliest time at which any lease may end.
	floor   time.Time
	entries map[string]*lease
}

type lease struct {
	incarnation uint64
	expires     time.Time
	// ending is true once the removal was proposed; the lease is not renewed any more.
	ending bool
	// proposing is true while the proposal of the removal has not returned.
	proposing bool
	retryAt   time.Time
	// backEnds is the version of the back-end view that the node has in force.
	backEnds uint64
	// inForce is what the node last said to have in force, for operators.
	inForce versions
}

// versions is a copy of the sections' versions.
type versions struct {
	configuration, membership, backEnds, placement uint64
}

func newLeaseTable(length time.Duration) *leaseTable {
	return &leaseTable{length: length, entries: map[string]*lease{}}
}

// reset forgets all leases and gives everyone a whole length from now.
func (t *leaseTable) reset(now time.Time) {
	t.entries = map[string]*lease{}
	t.floor = now.Add(t.length)
}

// extend gives everyone a whole length from now, after this process itself was stalled.
func (t *leaseTable) extend(now time.Time) { t.floor = now.Add(t.length) }

// renew counts a lease from the time at which its holder was heard, and never shortens it; it reports false when the lease is
// being ended.
func (t *leaseTable) renew(key string, incarnation uint64, heard time.Time) bool {
	entry := t.entry(key, incarnation)
	if entry.ending {
		return false
	}
	if ends := heard.Add(t.length); ends.After(entry.expires) {
		entry.expires = ends
	}
	return true
}

// entry finds or makes the entry of an incarnation.
func (t *leaseTable) entry(key string, incarnation uint64) *lease {
	held := t.entries[key]
	if held == nil || held.incarnation != incarnation {
		held = &lease{incarnation: incarnation}
		t.entries[key] = held
	}
	return held
}

// find returns the entry of an incarnation or nil.
func (t *leaseTable) find(key string, incarnation uint64) *lease {
	if held := t.entries[key]; held != nil && held.incarnation == incarnation {
		return held
	}
	return nil
}

// expiry is when the lease of an incarnation ends unless it is renewed.
func (t *leaseTable) expiry(key string, incarnation uint64) time.Time {
	if held := t.find(key, incarnation); held != nil && held.expires.After(t.floor) {
		return held.expires
	}
	return t.floor
}

// beginEnding reports whether the removal of an expired lease is to be proposed now.
func (t *leaseTable) beginEnding(key string, incarnation uint64, now time.Time) bool {
	if now.Before(t.expiry(key, incarnation)) {
		return false
	}
	entry := t.entry(key, incarnation)
	if entry.proposing || (entry.ending && now.Before(entry.retryAt)) {
		return false
	}
	entry.ending, entry.proposing = true, true
	entry.retryAt = now.Add(endingRetry)
	return true
}

// proposed notes that the proposal of a removal has returned, with whatever result.
func (t *leaseTable) proposed(key string, incarnation uint64) {
	if held := t.find(key, incarnation); held != nil {
		held.proposing = false
	}
}

// sweep forgets leases whose holder is not in the view any more. One whose
// removal is being proposed stays: a later join must not come before it.
func (t *leaseTable) sweep(present func(key string) (incarnation uint64, found bool)) {
	for key, held := range t.entries {
		incarnation, found := present(key)
		if !held.proposing && (!found || incarnation != held.incarnation) {
			delete(t.entries, key)
		}
	}
}

// ended forgets the lease of an incarnation.
func (t *leaseTable) ended(key string, incarnation uint64) {
	if t.find(key, incarnation) != nil {
		delete(t.entries, key)
	}
}
