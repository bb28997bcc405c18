package heartbeats

import "github.com/rosestand/rosestand/internal/controlplane/controlstate"

// Changes answers for one batch which back ends changed after a version of the view, looking each version up once. It
// belongs to one goroutine.
type Changes struct {
	view      *controlstate.View
	byVersion map[uint64]changedBackEnds
}

// changedBackEnds are the back ends that changed after a version; all of them when the version is not in the history
// any more.
type changedBackEnds struct {
	ids       map[string]bool
	inHistory bool
}

// NewChanges answers from one view.
func NewChanges(view *controlstate.View) *Changes {
	return &Changes{view: view, byVersion: map[uint64]changedBackEnds{}}
}

// Since reports whether a back end changed after a version, or may have since the version is too old.
func (c *Changes) Since(version uint64, id string) bool {
	changed, known := c.byVersion[version]
	if !known {
		changed.ids, changed.inHistory = c.view.BackEndsChangedSince(version)
		c.byVersion[version] = changed
	}
	return !changed.inHistory || changed.ids[id]
}
