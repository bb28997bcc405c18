package directory

import (
	"cmp"
	"slices"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Front is one front node of a view. A draining node holds no partition and accepts no new sessions, but still owns the
// sessions that it has not yielded.
type Front struct {
	ring.Member
	Draining bool
	// FreshStart is true while the process reports that it has owned no session since its start.
	FreshStart bool
}

// View is one version of the membership, reduced to what the directory needs. It is immutable, so that directories and
// goroutines may share it.
type View struct {
	Version uint64
	fronts  []Front
	byName  map[string]Front
	ring    *ring.Ring
	// virtualNodes is the number of virtual nodes of each member on the ring.
	virtualNodes int
}

// NewView returns a view of the front nodes, in any order.
func NewView(version uint64, fronts []Front, virtualNodes int) View {
	return View{}.next(version, fronts, virtualNodes)
}

// next returns the same view as NewView, reusing the unchanged parts of this view's ring.
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

// ViewFromMembership returns a view of the front nodes of a membership view.
func ViewFromMembership(membership *protocol.MembershipView, virtualNodes int) View {
	return View{}.NextFromMembership(membership, virtualNodes)
}

// NextFromMembership returns the same view as ViewFromMembership, reusing the unchanged parts of an earlier view, so
// that members that did not change cost little.
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

// Ring returns the partition ring of the view.
func (v View) Ring() *ring.Ring { return v.ring }

// Fronts returns the front nodes in the order of their names. The caller must not modify the slice.
func (v View) Fronts() []Front { return v.fronts }

// Has reports whether the node is in the view under the given incarnation.
func (v View) Has(name string, incarnation uint64) bool {
	front, found := v.byName[name]
	return found && front.Incarnation == incarnation
}

// Holder returns the name of the front node that holds a session's registration; empty on an empty ring.
func (v View) Holder(session string) string {
	member, _ := v.holder(ring.Key(session))
	return member.Name
}

// without returns the view without the suspects, which map names to incarnations.
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

// holder returns the member that holds a key; false on an empty ring.
func (v View) holder(key uint64) (ring.Member, bool) {
	if v.ring == nil {
		return ring.Member{}, false
	}
	return v.ring.Holder(key)
}
