package core

import "time"

// leaseTable holds the leases that this leader granted. It lives in memory
// only: a new leader knows none of them and so ends nobody's lease before one
// whole length has passed. It is part of the owner and knows no clock.
type leaseTable struct {
	duration time.Duration
	// floor is the earliest time at which any lease may end.
	floor   time.Time
	entries map[string]*lease
}

type lease struct {
	incarnation uint64
	expiresAt   time.Time
	// ending is true once the removal was proposed; the lease is not renewed any more.
	removing bool
	// proposing is true while the proposal of the removal has not returned.
	proposalInFlight bool
	nextAttempt      time.Time
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
	return &leaseTable{duration: length, entries: map[string]*lease{}}
}

// reset forgets all leases and gives everyone a whole length from now.
func (t *leaseTable) reset(now time.Time) {
	t.entries = map[string]*lease{}
	t.floor = now.Add(t.duration)
}

// extend gives everyone a whole length from now, after this process itself was stalled.
func (t *leaseTable) extend(now time.Time) { t.floor = now.Add(t.duration) }

// renew counts a lease from the time at which its holder was heard, and never shortens it; it reports false when the lease is
// being ended.
func (t *leaseTable) renew(key string, incarnation uint64, renewedAt time.Time) bool {
	entry := t.entry(key, incarnation)
	if entry.removing {
		return false
	}
	if expiresAt := renewedAt.Add(t.duration); expiresAt.After(entry.expiresAt) {
		entry.expiresAt = expiresAt
	}
	return true
}

// entry finds or makes the entry of an incarnation.
func (t *leaseTable) entry(key string, incarnation uint64) *lease {
	entry := t.entries[key]
	if entry == nil || entry.incarnation != incarnation {
		entry = &lease{incarnation: incarnation}
		t.entries[key] = entry
	}
	return entry
}

// find returns the entry of an incarnation or nil.
func (t *leaseTable) find(key string, incarnation uint64) *lease {
	if entry := t.entries[key]; entry != nil && entry.incarnation == incarnation {
		return entry
	}
	return nil
}

// expiry is when the lease of an incarnation ends unless it is renewed.
func (t *leaseTable) expiry(key string, incarnation uint64) time.Time {
	if entry := t.find(key, incarnation); entry != nil && entry.expiresAt.After(t.floor) {
		return entry.expiresAt
	}
	return t.floor
}

// beginEnding reports whether the removal of an expired lease is to be proposed now.
func (t *leaseTable) beginRemoval(key string, incarnation uint64, now time.Time) bool {
	if now.Before(t.expiry(key, incarnation)) {
		return false
	}
	entry := t.entry(key, incarnation)
	if entry.proposalInFlight || (entry.removing && now.Before(entry.nextAttempt)) {
		return false
	}
	entry.removing, entry.proposalInFlight = true, true
	entry.nextAttempt = now.Add(removalRetryInterval)
	return true
}

// proposed notes that the proposal of a removal has returned, with whatever result.
func (t *leaseTable) endProposal(key string, incarnation uint64) {
	if entry := t.find(key, incarnation); entry != nil {
		entry.proposalInFlight = false
	}
}

// sweep forgets leases whose holder is not in the view any more. One whose
// removal is being proposed stays: a later join must not come before it.
func (t *leaseTable) sweep(present func(key string) (incarnation uint64, exists bool)) {
	for key, entry := range t.entries {
		incarnation, exists := present(key)
		if !entry.proposalInFlight && (!exists || incarnation != entry.incarnation) {
			delete(t.entries, key)
		}
	}
}

// ended forgets the lease of an incarnation.
func (t *leaseTable) remove(key string, incarnation uint64) {
	if t.find(key, incarnation) != nil {
		delete(t.entries, key)
	}
}
