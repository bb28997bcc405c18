package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Front is one front node of a view. A draining one holds no partition and
// takes no session in, but still owns what it has not given up.
type Front struct {
	ring.Member
	Draining bool
	// OwnedNothing says that the process had owned no session when it last described itself.
	FreshStart bool
}

// View is one version of the membership as far as the directory needs it. It
// is immutable and may be shared between directories.
type View struct {
	Version uint64
	fronts  []Front
	byName  map[string]Front
	ring    *ring.Ring
	// virtualPlaces is the number of places of each member on the ring.
	virtualNodes int
}

// NewView builds a view of front nodes; their order does not matter.
func NewView(version uint64, fronts []Front, virtualPlaces int) View {
	return View{}.next(version, fronts, virtualPlaces)
}

// next builds the same view as NewView from this one, whose ring it takes over where it does not change.
func (v View) next(version uint64, fronts []Front, virtualPlaces int) View {
	view := View{Version: version, fronts: slices.Clone(fronts), byName: make(map[string]Front, len(fronts)), virtualNodes: virtualPlaces}
	slices.SortFunc(view.fronts, func(a, b Front) int { return cmp.Compare(a.Name, b.Name) })
	members := make([]ring.Member, 0, len(fronts))
	for _, front := range view.fronts {
		view.byName[front.Name] = front
		if !front.Draining {
			members = append(members, front.Member)
		}
	}
	view.ring = ring.Next(v.ring, members, virtualPlaces)
	return view
}

// ViewOf builds a view of the front nodes of a membership view.
func ViewFromMembership(membership *protocol.MembershipView, virtualPlaces int) View {
	return View{}.NextFromMembership(membership, virtualPlaces)
}

// NextOf builds the same view as ViewOf from an earlier one, at a cost that the members that did not change have little part in.
func (v View) NextFromMembership(membership *protocol.MembershipView, virtualPlaces int) View {
	var fronts []Front
	for _, node := range membership.GetNodes() {
		if node.GetKind() != protocol.NodeKind_FRONT {
			continue
		}
		member := ring.Member{Name: node.GetName(), Address: node.GetAddress(), Incarnation: node.GetIncarnation()}
		fronts = append(fronts, Front{Member: member, Draining: node.GetDraining(), FreshStart: node.GetOwnedNothing()})
	}
	return v.next(membership.GetVersion(), fronts, virtualPlaces)
}

// Ring is the partition ring of the view.
func (v View) Ring() *ring.Ring { return v.ring }

// Fronts lists the front nodes by name. The caller must not change it.
func (v View) Fronts() []Front { return v.fronts }

// Has reports whether the node is in the view under this incarnation.
func (v View) Has(name string, incarnation uint64) bool {
	front, found := v.byName[name]
	return found && front.Incarnation == incarnation
}

// Holder is the name of the front node that holds a session's registration, empty on an empty ring.
func (v View) Holder(session string) string {
	member, _ := v.holder(ring.Key(session))
	return member.Name
}

// without is the view without the members that are suspect, under the incarnations given.
func (v View) without(suspects map[string]uint64) View {
	if len(suspects) == 0 {
		return v
	}
	fronts := slices.DeleteFunc(slices.Clone(v.fronts), func(front Front) bool {
		incarnation, found := suspects[front.Name]
		return found && incarnation == front.Incarnation
	})
	return v.next(v.Version, fronts, v.virtualNodes)
}

// holder is the member that holds a key; false on an empty ring.
func (v View) holder(key uint64) (ring.Member, bool) {
	if v.ring == nil {
		return ring.Member{}, false
	}
	return v.ring.Holder(key)
}

// Policy is how the directory recovers, as the bundle in force says.
type Policy struct {
	EndSessions       bool
	HigherViewVersion bool
	BatchSize         int
	RetryDelay        time.Duration
}

// Starting values of a policy.
const (
	DefaultBatchSize  = 256
	DefaultRetryDelay = 25 * time.Millisecond
)

// PolicyOf reads the policy of a bundle; nil gives the starting values.
func NewPolicy(recovery *protocol.RecoveryPolicy) Policy {
	policy := Policy{
		EndSessions:       recovery.GetSalvageMode() == protocol.SalvageMode_END_SESSIONS,
		HigherViewVersion: recovery.GetDuplicateResolution() == protocol.DuplicateResolution_HIGHER_VIEW_VERSION,
		BatchSize:         int(recovery.GetSalvageBatchSize()),
		RetryDelay:        time.Duration(recovery.GetSalvageRetryMillis()) * time.Millisecond,
	}
	if policy.BatchSize == 0 {
		policy.BatchSize = DefaultBatchSize
	}
	if policy.RetryDelay == 0 {
		policy.RetryDelay = DefaultRetryDelay
	}
	return policy
}

// viewChanged adopts a newer view; what was suspected of a member that left or came back is void.
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

// putInForce puts the view without the suspects in force: what this node gained begins to settle, what
// it lost is handed off, and its own sessions whose holder changed are salvaged.
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

// ringBefore is the ring that a view is compared with. A node that had no view
// yet takes the others' ring for it, since that is what it joins; a former
// holder that knows of more changes says so with its completion.
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

// dropGonePeers ends the state kept for nodes that left or came back under
// another incarnation, and begins anew what waits for an answer of theirs or of a suspect.
func (d *Directory) dropRemovedPeers() {
	for name, peer := range d.peers {
		if !d.membership.Has(name, peer.member.Incarnation) {
			delete(d.peers, name)
		}
	}
	for _, running := range d.resolutions {
		asked := d.calls[running.call]
		if asked == nil {
			continue
		}
		member := asked.peer.member
		if d.peers[member.Name] != asked.peer || d.isSuspect(member.Name, member.Incarnation) {
			running.ambiguous = running.ambiguous || asked.registers
			delete(d.calls, running.call)
			running.call = 0
		}
	}
}

// wakeDebtors looks at the peers to which completion is owed under the view just adopted.
func (d *Directory) schedulePendingCompletions() {
	for _, each := range d.peers {
		if each.pendingCompletion > 0 {
			d.schedule(each)
		}
	}
}

// oweCompletion notes each member that waits for this node before it calls a
// gained range complete. A range that a living holder gave up is complete with
// that holder's word; one whose holder was lost needs the word of every node that may own sessions.
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

// ownedNothing reports whether this process has owned no session and the view says so, so that nobody waits for its word.
func (d *Directory) isFreshStart() bool {
	return !d.hasOwned && d.view.byName[d.self.Name].FreshStart
}

// becomeAwaited registers this node's sessions anew with the first view that shows that it owns any: who gained a range
// under an earlier view did not wait for its word.
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

// settlingPartOf reports whether this node itself still waits for registrations in a part of the range.
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
