package directory

import (
	"github.com/rosestand/rosestand/internal/dataplane/ring"
)

// handleViewChanged applies a newer membership, and ends the suspicions of members that left or returned under another
// incarnation.
func (d *Directory) handleViewChanged(next View) {
	if next.Version <= d.membership.Version {
		return
	}
	d.membership = next
	for name, incarnation := range d.suspects {
		if !next.Has(name, incarnation) {
			delete(d.suspects, name)
		}
	}
	d.applyView()
}

// applyView makes the membership without the suspects the current view. The transfers of gained ranges start, lost
// ranges are handed off, and owned sessions whose holder changed are salvaged.
func (d *Directory) applyView() {
	former, next := d.view, d.membership.without(d.suspects)
	d.view = next
	d.viewGeneration++
	changes := ring.Changes(d.previousRing(former), next.ring)
	d.dropRemovedPeers()
	d.dropRemovedOwners()
	d.notifyDisplaced()
	d.updateTransfers(changes)
	d.handOffLost()
	d.salvageReassigned(former)
	d.reregisterAfterFreshStart(former)
	d.markPendingCompletions(changes)
	d.requeueReassigned()
	d.schedulePendingCompletions()
	d.restartResolves()
}

// previousRing returns the ring with which the ring of the current view is compared. For a node without an earlier view
// that is the ring of the other nodes, which it joins; a former holder that has seen more changes reports partial
// knowledge with its completion.
func (d *Directory) previousRing(former View) *ring.Ring {
	if former.Version > 0 {
		return former.ring
	}
	var others []ring.Member
	for _, front := range d.view.fronts {
		if !front.Draining && front.Name != d.self.Name {
			others = append(others, front.Member)
		}
	}
	return ring.Next(d.view.ring, others, d.view.virtualNodes)
}

// dropRemovedPeers drops the state of nodes that left or returned under another incarnation, and discards the calls to
// them and to suspects on which resolutions wait, so that these start again.
func (d *Directory) dropRemovedPeers() {
	for name, peer := range d.peers {
		if !d.membership.Has(name, peer.member.Incarnation) {
			delete(d.peers, name)
		}
	}
	for _, resolution := range d.resolutions {
		inFlight := d.calls[resolution.call]
		if inFlight == nil {
			continue
		}
		member := inFlight.peer.member
		if d.peers[member.Name] != inFlight.peer || d.isSuspect(member.Name, member.Incarnation) {
			resolution.ambiguous = resolution.ambiguous || inFlight.registers
			delete(d.calls, resolution.call)
			resolution.call = 0
		}
	}
}

// schedulePendingCompletions schedules the peers with a pending completion, which may have become due with the new
// view.
func (d *Directory) schedulePendingCompletions() {
	for _, peer := range d.peers {
		if peer.pendingCompletion > 0 {
			d.schedule(peer)
		}
	}
}

// markPendingCompletions marks the members whose transfers await this node's completion. A range whose former holder is
// alive needs only the completion of that holder; one whose holder was lost needs the completion of every node that may
// own sessions.
func (d *Directory) markPendingCompletions(changes []ring.Change) {
	for _, change := range changes {
		if change.To.Name == "" || change.To.Name == d.self.Name {
			continue
		}
		lost := !d.alive(change.From)
		if !d.isSelf(change.From) && (!lost || d.isFreshStart()) {
			continue
		}
		gainer := d.peer(change.To)
		gainer.partialKnowledge = gainer.partialKnowledge || lost || d.isTransferringPartOf(change.Range)
		d.markCompletionPending(gainer)
	}
}

// isFreshStart reports whether this process has owned no session and is marked so in the view, so that no node awaits
// its completion.
func (d *Directory) isFreshStart() bool {
	return !d.hasOwned && d.view.byName[d.self.Name].FreshStart
}

// reregisterAfterFreshStart registers this node's sessions again under the first view that no longer marks it as a
// fresh start: nodes that gained a range under an earlier view did not await its completion.
func (d *Directory) reregisterAfterFreshStart(former View) {
	before, now := former.byName[d.self.Name], d.view.byName[d.self.Name]
	if !before.FreshStart || now.FreshStart {
		return
	}
	for _, name := range sortedKeys(d.owned) {
		if session := d.owned[name]; session.yieldReason == "" {
			d.salvageSession(session)
		}
	}
}

// alive reports whether a member is in the view under its incarnation.
func (d *Directory) alive(member ring.Member) bool {
	return member.Name != "" && d.view.Has(member.Name, member.Incarnation)
}

// isTransferringPartOf reports whether this node itself is still transferring a part of the range.
func (d *Directory) isTransferringPartOf(moved ring.Range) bool {
	for _, transfer := range d.transfers {
		for _, gained := range transfer.ranges {
			if gained.Contains(moved.Through) || moved.Contains(gained.Through) {
				return true
			}
		}
	}
	return false
}
