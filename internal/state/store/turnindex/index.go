package turnindex

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/state/store/hashtree"
)

// Index contains the entries of one shard's retained turns. The zero Index is empty. An Index
// belongs to one goroutine.
type Index struct {
	hashtree.Tree[Key, Entry]
}

// Retains reports whether a turn is in the index and retained at least until a time in Unix seconds.
func (x *Index) Retains(key Key, until uint32) bool {
	entry, found := x.Get(key)
	return found && entry.RetainUntil >= until
}

// WithID returns the entries of all turns of one id, of any program.
func (x *Index) WithID(id string) []Entry {
	var entries []Entry
	hash := xxhash.Sum64String(id)
	for key, entry := range x.After(Key{IDHash: hash}) {
		if key.IDHash != hash {
			break
		}
		entries = append(entries, entry)
	}
	return entries
}

// Extend retains a turn and its predecessors at least until a time in Unix seconds.
func (x *Index) Extend(key Key, until uint32, segments *SegmentExpiry) {
	for !key.IsZero() {
		entry, found := x.Get(key)
		if !found {
			return
		}
		if entry.RetainUntil < until {
			entry.RetainUntil = until
			x.Put(key, entry)
			segments.Record(entry)
		}
		key = entry.Previous
	}
}

// ExtendChains retains every chain for as long as its last turn. Turns copied from another replica
// arrive in any order, so Extend may not have reached all turns of a chain when they were added.
func (x *Index) ExtendChains(segments *SegmentExpiry) {
	var ends []Entry
	for _, entry := range x.All() {
		if !entry.Previous.IsZero() {
			ends = append(ends, entry)
		}
	}
	for _, end := range ends {
		x.Extend(end.Previous, end.RetainUntil, segments)
	}
}

// RemoveExpired removes the expired entries and those in segments before first.
func (x *Index) RemoveExpired(first uint64, now time.Time) {
	for key, entry := range x.All() {
		if uint64(entry.Segment) < first || entry.isExpired(now) {
			x.Delete(key)
		}
	}
}
