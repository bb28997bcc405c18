package controlstate

import (
	"github.com/rosestand/rosestand/internal/controlplane/views"
	"github.com/rosestand/rosestand/internal/protocol"
)

// MembershipDelta returns the changes of the membership after a known version; nil when the receiver needs the full
// snapshot. The checksum is that of the membership of this view.
func (v *View) MembershipDelta(known, checksum uint64) *protocol.MembershipDelta {
	return views.MembershipDelta(v.Membership, &v.nodeHistory, known, checksum)
}

// BackEndDelta returns the changes of the back ends after a known version; nil when the receiver needs the full
// snapshot. The checksum is that of the back ends of this view.
func (v *View) BackEndDelta(known, checksum uint64) *protocol.BackEndDelta {
	return views.BackEndDelta(v.BackEnds, &v.backEndHistory, known, checksum)
}

// PlacementDelta returns the changes of the placement after a known epoch; nil when the receiver needs the full
// snapshot. The checksum is that of the placement of this view.
func (v *View) PlacementDelta(known, checksum uint64) *protocol.PlacementDelta {
	return views.PlacementDelta(v.Placement, known, checksum)
}

// BackEndsChangedSince returns the ids of the back ends that were changed, added or removed after a version of the
// back-end view. It reports false when the history does not reach back to that version.
func (v *View) BackEndsChangedSince(version uint64) (ids map[string]bool, known bool) {
	return v.backEndHistory.Since(version)
}
