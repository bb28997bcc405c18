package directory

import (
	"cmp"
	"slices"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Front is one front node of a view. A draining one holds no partition and
// accepts no new sessions, but still owns what it has not yielded.
type Front struct {
	ring.Member
	Draining bool
	// FreshStart is true while the process has reported that it has owned no session since its start.
	FreshStart bool
}

// View is one version of the membership as far as the directory needs it. It
// is immutable, so that directories and goroutines may share it.
type View struct {
	Version uint64
	fronts  []Front
	byName  map[string]Front
	ring    *ring.Ring
	// virtualNodes is the number of virtual nodes of each member on the ring.
	virtualNodes int
}

// NewView builds a view of front nodes; their order does not matter.
func NewView(version uint64, fronts []Front, virtualNodes int) View {
	return View{}.next(version, fronts, virtualNodes)
}

// next builds the same view as NewView from this one, reusing its ring where that does not change.
func (v View) next(version uint64, fronts []Front, virtualNodes int) View {
	view := View{
		Version: version, fronts: slices.Clone(fronts), byName: make(map[string]Front, len(fronts)),
		virtualNodes: virtualNodes,
	}
	slices.SortFunc(view.fronts, func(a, b Front) int { return cmp.Compare(a.Name, b.Name) })
	members := make([]ring.Member, 0, len(fronts))
	for _, front := range view.fronts {
		view.byName[front.Name] = front
		if !front.Draining {
			members = append(members, front.Member)
		}
	}
	view.ring = ring.Next(v.ring, members, virtualNodes)
	return view
}

// ViewFromMembership builds a view of the front nodes of a membership view.
func ViewFromMembership(membership *protocol.MembershipView, virtualNodes int) View {
	return View{}.NextFromMembership(membership, virtualNodes)
}

// NextFromMembership builds the same view as ViewFromMembership from an earlier one; members that did not change cost
// little.
func (v View) NextFromMembership(membership *protocol.MembershipView, virtualNodes int) View {
	var fronts []Front
	for _, node := range membership.GetNodes() {
		if node.GetKind() != protocol.NodeKind_FRONT {
			continue
		}
		member := ring.Member{Name: node.GetName(), Address: node.GetAddress(), Incarnation: node.GetIncarnation()}
		fronts = append(fronts, Front{Member: member, Draining: node.GetDraining(), FreshStart: node.GetOwnedNothing()})
	}
	return v.next(membership.GetVersion(), fronts, virtualNodes)
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

// Holder is the name of the front node that holds a session's registration; empty on an empty ring.
func (v View) Holder(session string) string {
	member, _ := v.holder(ring.Key(session))
	return member.Name
}

// without is the view without the suspects, given as incarnations by name.
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
