package views

import "slices"

// MinRetainedChanges is the minimum number of changes that a history retains. It
// covers a few days of restarts in a fleet of 330 nodes, and one restart of all of them.
const MinRetainedChanges = 2048

// History records which names changed at which version, so that a delta can be
// made from any version that it covers. It is not safe for concurrent use; Copy
// returns a copy that other goroutines may read.
type History struct {
	// oldestVersion is the oldest version that deltas can be made from.
	oldestVersion uint64
	changes       []change
}

type change struct {
	version uint64
	name    string
}

// NewHistory returns a history that covers no version before the given one.
func NewHistory(version uint64) History { return History{oldestVersion: version} }

// Add records that names changed at a version, which must not be lower than that of any earlier call.
func (h *History) Add(version uint64, names ...string) {
	if len(h.changes)+len(names) > 2*MinRetainedChanges {
		h.discardOldest(len(h.changes) - MinRetainedChanges)
	}
	for _, name := range names {
		h.changes = append(h.changes, change{version: version, name: name})
	}
}

// discardOldest discards at least count changes. It discards all changes of a version
// or none, because deltas from a partly covered version would be incomplete.
func (h *History) discardOldest(count int) {
	if count <= 0 {
		return
	}
	h.oldestVersion = h.changes[count-1].version
	for count < len(h.changes) && h.changes[count].version == h.oldestVersion {
		count++
	}
	h.changes = append(make([]change, 0, 2*MinRetainedChanges), h.changes[count:]...)
}

// Copy returns a snapshot of the history. It shares memory with the original, but
// later additions to the original do not appear in it.
func (h *History) Copy() History {
	return History{oldestVersion: h.oldestVersion, changes: slices.Clip(h.changes)}
}

// Since returns the set of names that changed after a version, and reports false
// if the history does not cover that version.
func (h *History) Since(version uint64) (map[string]bool, bool) {
	if version < h.oldestVersion {
		return nil, false
	}
	names := map[string]bool{}
	for i := len(h.changes) - 1; i >= 0 && h.changes[i].version > version; i-- {
		names[h.changes[i].name] = true
	}
	return names, true
}
