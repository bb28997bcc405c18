package turnindex

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/state/store/hashtree"
)

// Index has the entries of one shard's retained turns. The zero Index is empty. It belongs
// to one goroutine.
type Index struct {
	hashtree.Tree[Key, Entry]
}

// Retains reports whether a turn is in the index and retained at least until a time in Unix seconds.
func (x *Index) Retains(key Key, until uint32) bool {
	entry, found := x.Get(key)
	return found && entry.RetainUntil >= until
}

// WithID returns the entries of all turns of one id, whatever their programs.
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

// Extend retains a turn, and those that lead up to it, at least until a time in Unix seconds.
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

// ExtendChains retains every chain as long as its last turn. Turns that are copied from
// another replica come in any order, so that Extend could not reach all of a chain then.
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

// RemoveExpired drops the expired entries, and those of segments before first.
func (x *Index) RemoveExpired(first uint64, now time.Time) {
	for key, entry := range x.All() {
		if uint64(entry.Segment) < first || entry.isExpired(now) {
			x.Delete(key)
		}
	}
}
