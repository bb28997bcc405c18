package heartbeats

import "github.com/rosestand/rosestand/internal/controlplane/controlstate"

// Changes determines for one batch which back ends changed after a version of the view; it looks each version up once.
// It is not safe for concurrent use.
type Changes struct {
	view      *controlstate.View
	byVersion map[uint64]changedBackEnds
}

// changedBackEnds are the back ends that changed after a version. If the version is no longer in the history, all back
// ends count as changed.
type changedBackEnds struct {
	ids       map[string]bool
	inHistory bool
}

// NewChanges returns a Changes for one view.
func NewChanges(view *controlstate.View) *Changes {
	return &Changes{view: view, byVersion: map[uint64]changedBackEnds{}}
}

// Since reports whether a back end changed after a version. It also returns true if the version is no longer in the
// history.
func (c *Changes) Since(version uint64, id string) bool {
	changed, known := c.byVersion[version]
	if !known {
		changed.ids, changed.inHistory = c.view.BackEndsChangedSince(version)
		c.byVersion[version] = changed
	}
	return !changed.inHistory || changed.ids[id]
}
