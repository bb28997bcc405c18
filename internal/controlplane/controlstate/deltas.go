package controlstate

import (
	"github.com/rosestand/rosestand/internal/controlplane/views"
	"github.com/rosestand/rosestand/internal/protocol"
)

// MembershipDelta gives what a holder of the known version lacks; nil when it
// needs the full snapshot. Checksum is that of this view.
func (v *View) MembershipDelta(known, checksum uint64) *protocol.MembershipDelta {
	return views.MembershipDelta(v.Membership, &v.nodeHistory, known, checksum)
}

// BackEndDelta gives what a holder of the known version lacks; nil when it needs the full snapshot.
func (v *View) BackEndDelta(known, checksum uint64) *protocol.BackEndDelta {
	return views.BackEndDelta(v.BackEnds, &v.backEndHistory, known, checksum)
}

// PlacementDelta gives what a holder of the known epoch lacks; nil when it needs the full snapshot.
func (v *View) PlacementDelta(known, checksum uint64) *protocol.PlacementDelta {
	return views.PlacementDelta(v.Placement, known, checksum)
}

// BackEndsChangedSince lists the ids of back ends that changed, were added or were removed after a version of the
// back-end view; it reports false when the version is not in the history any more.
func (v *View) BackEndsChangedSince(version uint64) (ids map[string]bool, known bool) {
	return v.backEndHistory.Since(version)
}
