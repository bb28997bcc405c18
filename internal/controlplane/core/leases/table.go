// Package leases tracks the leases that the leader of the core granted to nodes
// and back ends. Tables are kept in memory only: a new leader starts without
// leases, and so expires none before its full duration has passed.
//
// The package does no I/O and reads no clock. A Table is not safe for concurrent
// use; the goroutine that owns the control plane's leader tables uses it.
package leases

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// removalRetryInterval is the shortest time between two proposals of the same removal.
const removalRetryInterval = time.Second

// Holder identifies one incarnation of a node or back end.
type Holder struct {
	Name        string
	Incarnation uint64
}

// NodeHolder returns the Holder of a node.
func NodeHolder(node *protocol.Node) Holder {
	return Holder{Name: node.GetName(), Incarnation: node.GetIncarnation()}
}

// BackEndHolder returns the Holder of a back end.
func BackEndHolder(backEnd *protocol.BackEnd) Holder {
	return Holder{Name: backEnd.GetId(), Incarnation: backEnd.GetIncarnation()}
}

// Versions are the versions of the sections that are active on a node.
type Versions struct {
	Configuration, Membership, BackEnds, Placement uint64
}

// Lease is the state of one holder's lease on the leader.
type Lease struct {
	incarnation uint64
	expiresAt   time.Time
	// removing is true once the removal of the holder was proposed; the lease is no longer renewed then.
	removing bool
	// proposalInFlight is true until the proposal of the removal returns.
	proposalInFlight bool
	nextAttempt      time.Time
	active           Versions
}

// Removing reports whether the removal of the holder was proposed.
func (l *Lease) Removing() bool { return l.removing }

// InForce returns the highest versions that the holder has reported as active.
func (l *Lease) InForce() Versions { return l.active }

// Acknowledge records the versions that the holder reports as active; a lower version than the recorded one is ignored.
func (l *Lease) Acknowledge(reported *protocol.ControlVersions) {
	l.active = Versions{
		Configuration: max(l.active.Configuration, reported.GetConfiguration()),
		Membership:    max(l.active.Membership, reported.GetMembership()),
		BackEnds:      max(l.active.BackEnds, reported.GetBackEnds()),
		Placement:     max(l.active.Placement, reported.GetPlacement()),
	}
}

// Table holds the leases of one kind of holder, keyed by name. It is not safe for concurrent use.
type Table struct {
	duration time.Duration
	// floor is the earliest time at which any lease may expire.
	floor   time.Time
	entries map[string]*Lease
}

// NewTable returns an empty table of leases of that duration.
func NewTable(duration time.Duration) *Table {
	return &Table{duration: duration, entries: map[string]*Lease{}}
}

// Reset removes all leases and grants every holder the full duration from now; a new leader calls it.
func (t *Table) Reset(now time.Time) {
	t.entries = map[string]*Lease{}
	t.floor = now.Add(t.duration)
}

// Extend grants every holder the full duration from now. It is called after this process itself was stalled.
func (t *Table) Extend(now time.Time) { t.floor = now.Add(t.duration) }

// Renew extends a lease to its full duration after the last contact with its holder, and
// never shortens it. It returns false if the holder is being removed.
func (t *Table) Renew(holder Holder, lastContact time.Time) bool {
	lease := t.findOrAdd(holder)
	if lease.removing {
		return false
	}
	if expiresAt := lastContact.Add(t.duration); expiresAt.After(lease.expiresAt) {
		lease.expiresAt = expiresAt
	}
	return true
}

func (t *Table) findOrAdd(holder Holder) *Lease {
	lease := t.entries[holder.Name]
	if lease == nil || lease.incarnation != holder.Incarnation {
		lease = &Lease{incarnation: holder.Incarnation}
		t.entries[holder.Name] = lease
	}
	return lease
}

// Find returns the lease of a holder, or nil.
func (t *Table) Find(holder Holder) *Lease {
	if lease := t.entries[holder.Name]; lease != nil && lease.incarnation == holder.Incarnation {
		return lease
	}
	return nil
}

// Expiry returns when the lease of a holder expires unless it is renewed. For a holder that has not contacted this
// leader, it is the end of the duration granted by Reset or Extend.
func (t *Table) Expiry(holder Holder) time.Time {
	if lease := t.Find(holder); lease != nil && lease.expiresAt.After(t.floor) {
		return lease.expiresAt
	}
	return t.floor
}

// LastRenewal returns when the lease of a holder was last renewed or granted by this leader.
func (t *Table) LastRenewal(holder Holder) time.Time { return t.Expiry(holder).Add(-t.duration) }

// BeginRemoval reports whether the removal of a holder is to be proposed now: its lease has expired, no proposal is in
// flight, and the retry interval has passed since the last one. If so, it records the proposal as in flight.
func (t *Table) BeginRemoval(holder Holder, now time.Time) bool {
	if now.Before(t.Expiry(holder)) {
		return false
	}
	lease := t.findOrAdd(holder)
	if lease.proposalInFlight || (lease.removing && now.Before(lease.nextAttempt)) {
		return false
	}
	lease.removing, lease.proposalInFlight = true, true
	lease.nextAttempt = now.Add(removalRetryInterval)
	return true
}

// EndProposal records that the proposal of a removal returned, whether it succeeded or not.
func (t *Table) EndProposal(holder Holder) {
	if lease := t.Find(holder); lease != nil {
		lease.proposalInFlight = false
	}
}

// DropAbsent removes the leases of holders that are no longer in the view. A lease whose removal is in flight is kept,
// so that a later join of the holder cannot overtake the removal.
func (t *Table) DropAbsent(current func(name string) (incarnation uint64, exists bool)) {
	for name, lease := range t.entries {
		incarnation, exists := current(name)
		if !lease.proposalInFlight && (!exists || incarnation != lease.incarnation) {
			delete(t.entries, name)
		}
	}
}

// Remove removes the lease of a holder.
func (t *Table) Remove(holder Holder) {
	if t.Find(holder) != nil {
		delete(t.entries, holder.Name)
	}
}

// Status describes a lease at a point in time.
type Status struct {
	Holder Holder
	// Remaining is the time until the lease expires unless it is renewed; negative after it has expired.
	Remaining time.Duration
	InForce   Versions
}

// Status returns the status of a holder's lease, also for a holder that has not contacted this leader.
func (t *Table) Status(holder Holder, now time.Time) Status {
	status := Status{Holder: holder, Remaining: t.Expiry(holder).Sub(now)}
	if lease := t.Find(holder); lease != nil {
		status.InForce = lease.active
	}
	return status
}
