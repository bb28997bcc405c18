package directory

import (
	"github.com/rosestand/rosestand/internal/dataplane/ring"
)

// viewChanged adopts a newer membership; suspicions of members that left or returned under another incarnation end.
func (d *Directory) viewChanged(next View) {
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

// applyView puts the membership without the suspects in force: ranges gained begin their transfer, ranges
// lost are handed off, and own sessions whose holder changed are salvaged.
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
	d.retarget()
	d.schedulePendingCompletions()
	d.restartResolves()
}

// previousRing is the ring that the view in force is compared with. For a node that had no view
// yet it is the ring of the others, which it joins; a former
// holder that knows of more changes reports partial knowledge with its completion.
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

// dropRemovedPeers drops the state of nodes that left or returned under
// another incarnation, and restarts what waits for an answer of theirs or of a suspect.
func (d *Directory) dropRemovedPeers() {
	for name, peer := range d.peers {
		if !d.membership.Has(name, peer.member.Incarnation) {
			delete(d.peers, name)
		}
	}
	for _, running := range d.resolutions {
		inFlight := d.calls[running.call]
		if inFlight == nil {
			continue
		}
		member := inFlight.peer.member
		if d.peers[member.Name] != inFlight.peer || d.isSuspect(member.Name, member.Incarnation) {
			running.ambiguous = running.ambiguous || inFlight.registers
			delete(d.calls, running.call)
			running.call = 0
		}
	}
}

// schedulePendingCompletions schedules the peers with a pending completion, since it may be due under the view just
// adopted.
func (d *Directory) schedulePendingCompletions() {
	for _, each := range d.peers {
		if each.pendingCompletion > 0 {
			d.schedule(each)
		}
	}
}

// markPendingCompletions marks each member that awaits this node's completion before its
// transfer is complete. For a range of a holder that is alive that holder's completion is
// enough; one whose holder was lost needs the completion of every node that may own sessions.
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

// isFreshStart reports whether this process has owned no session and the view says so, so that no node awaits its
// completion.
func (d *Directory) isFreshStart() bool {
	return !d.hasOwned && d.view.byName[d.self.Name].FreshStart
}

// reregisterAfterFreshStart registers this node's sessions again with the first view that shows that it owns any:
// nodes that gained a range under an earlier view did not await its completion.
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

// alive reports whether a member is in the view under the same incarnation.
func (d *Directory) alive(member ring.Member) bool {
	return member.Name != "" && d.view.Has(member.Name, member.Incarnation)
}

// isTransferringPartOf reports whether this node itself still awaits registrations in a part of the range.
func (d *Directory) isTransferringPartOf(moved ring.Range) bool {
	for _, each := range d.transfers {
		for _, gained := range each.ranges {
			if gained.Contains(moved.Through) || moved.Contains(gained.Through) {
				return true
			}
		}
	}
	return false
}
