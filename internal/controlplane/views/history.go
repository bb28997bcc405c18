package views

import "slices"

// KeptChanges is how many changes of names a history remembers at least: some
// days of restarts at the size of 330 nodes, and a return of all of them.
const KeptChanges = 2048

// History remembers which names changed at which version, so that a delta can
// be made from any version it reaches back to. It is a value: a copy stays as it
// is when the original is added to.
type History struct {
	// floor is the oldest version that deltas can be made from.
	floor   uint64
	changes []change
}

type change struct {
	version uint64
	name    string
}

// NewHistory begins a history with a view of the version given; nothing before it is known.
func NewHistory(version uint64) History { return History{floor: version} }

// Add notes that names changed at a version, which must not be lower than any before.
func (h *History) Add(version uint64, names ...string) {
	if len(h.changes)+len(names) > 2*KeptChanges {
		h.forget(len(h.changes) - KeptChanges)
	}
	for _, name := range names {
		h.changes = append(h.changes, change{version: version, name: name})
	}
}

// forget drops the oldest changes, and with them the rest of the last version dropped.
func (h *History) forget(count int) {
	if count <= 0 {
		return
	}
	h.floor = h.changes[count-1].version
	for count < len(h.changes) && h.changes[count].version == h.floor {
		count++
	}
	h.changes = append(make([]change, 0, 2*KeptChanges), h.changes[count:]...)
}

// Copy returns the history as it is now; adding to the original leaves it alone.
func (h *History) Copy() History {
	return History{floor: h.floor, changes: slices.Clip(h.changes)}
}

// Since lists the names that changed after a version, each once, and reports
// false when the history does not reach back so far.
func (h *History) Since(version uint64) (map[string]bool, bool) {
	if version < h.floor {
		return nil, false
	}
	names := map[string]bool{}
	for i := len(h.changes) - 1; i >= 0 && h.changes[i].version > version; i-- {
		names[h.changes[i].name] = true
	}
	return names, true
}
