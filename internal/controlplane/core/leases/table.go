// Package leases keeps the leases that a leader of the core granted, to nodes
// and to back ends. A table lives in memory only: a new leader knows no lease
// and so ends none before its full duration has passed.
//
// The package decides and does no I/O. A Table knows no clock and has one owner
// goroutine, that of the control plane's leader tables.
package leases

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// removalRetryInterval is the wait before a removal is proposed again.
const removalRetryInterval = time.Second

// Holder names one incarnation of a node or back end.
type Holder struct {
	Name        string
	Incarnation uint64
}

// NodeHolder is a node as the holder of a lease.
func NodeHolder(node *protocol.Node) Holder {
	return Holder{Name: node.GetName(), Incarnation: node.GetIncarnation()}
}

// BackEndHolder is a back end as the holder of a lease.
func BackEndHolder(backEnd *protocol.BackEnd) Holder {
	return Holder{Name: backEnd.GetId(), Incarnation: backEnd.GetIncarnation()}
}

// Versions are the versions of the sections that a node has in force.
type Versions struct {
	Configuration, Membership, BackEnds, Placement uint64
}

// Lease is what a leader knows of one holder.
type Lease struct {
	incarnation uint64
	expiresAt   time.Time
	// removing is true once the removal was proposed; the lease is not renewed any more.
	removing bool
	// proposalInFlight is true while the proposal of the removal has not returned.
	proposalInFlight bool
	nextAttempt      time.Time
	inForce          Versions
}

// Removing reports whether the removal of the holder was proposed.
func (l *Lease) Removing() bool { return l.removing }

// InForce are the highest versions that the holder has reported to have in force.
func (l *Lease) InForce() Versions { return l.inForce }

// Acknowledge records what the holder reports to have in force; no version steps back.
func (l *Lease) Acknowledge(reported *protocol.ControlVersions) {
	l.inForce = Versions{
		Configuration: max(l.inForce.Configuration, reported.GetConfiguration()),
		Membership:    max(l.inForce.Membership, reported.GetMembership()),
		BackEnds:      max(l.inForce.BackEnds, reported.GetBackEnds()),
		Placement:     max(l.inForce.Placement, reported.GetPlacement()),
	}
}

// Table holds the leases of one kind of holder, by name. It belongs to one goroutine.
type Table struct {
	duration time.Duration
	// floor is the earliest time at which any lease may end.
	floor   time.Time
	entries map[string]*Lease
}

// NewTable makes an empty table of leases of one duration.
func NewTable(duration time.Duration) *Table {
	return &Table{duration: duration, entries: map[string]*Lease{}}
}

// Reset forgets all leases, as a new leader does, and gives every holder the full duration from now.
func (t *Table) Reset(now time.Time) {
	t.entries = map[string]*Lease{}
	t.floor = now.Add(t.duration)
}

// Extend gives every holder the full duration from now, after this process itself was stalled.
func (t *Table) Extend(now time.Time) { t.floor = now.Add(t.duration) }

// Renew extends a lease to its duration after the time at which its holder was
// last in contact, and never shortens it; it reports false when the holder is being removed.
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

// Expiry is when the lease of a holder ends unless it is renewed, also of a holder that this leader has not heard from.
func (t *Table) Expiry(holder Holder) time.Time {
	if lease := t.Find(holder); lease != nil && lease.expiresAt.After(t.floor) {
		return lease.expiresAt
	}
	return t.floor
}

// LastRenewal is when the lease of a holder was last renewed, as far as this leader knows.
func (t *Table) LastRenewal(holder Holder) time.Time { return t.Expiry(holder).Add(-t.duration) }

// BeginRemoval reports whether the removal of a holder whose lease expired is to be proposed now.
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

// EndProposal records that the proposal of a removal returned, with whatever result.
func (t *Table) EndProposal(holder Holder) {
	if lease := t.Find(holder); lease != nil {
		lease.proposalInFlight = false
	}
}

// DropAbsent forgets the leases of holders that are not in the view any more. One whose removal is
// in flight stays, since a later join must not overtake it.
func (t *Table) DropAbsent(current func(name string) (incarnation uint64, exists bool)) {
	for name, lease := range t.entries {
		incarnation, exists := current(name)
		if !lease.proposalInFlight && (!exists || incarnation != lease.incarnation) {
			delete(t.entries, name)
		}
	}
}

// Remove forgets the lease of a holder.
func (t *Table) Remove(holder Holder) {
	if t.Find(holder) != nil {
		delete(t.entries, holder.Name)
	}
}

// Status is what a leader knows of one lease at a time.
type Status struct {
	Holder Holder
	// Remaining is how long the lease lasts unless it is renewed; negative once it expired.
	Remaining time.Duration
	InForce   Versions
}

// Status describes the lease of a holder, also of one that this leader has not heard from.
func (t *Table) Status(holder Holder, now time.Time) Status {
	status := Status{Holder: holder, Remaining: t.Expiry(holder).Sub(now)}
	if lease := t.Find(holder); lease != nil {
		status.InForce = lease.inForce
	}
	return status
}
