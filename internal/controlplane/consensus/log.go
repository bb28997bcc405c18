package consensus

import (
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// noSizeLimit makes entryLog.slice return all entries of the range.
const noSizeLimit = math.MaxInt

// entryLog holds the entries after baseIndex, which are kept in memory. Entries are immutable once appended.
// Invariants: snapshot index <= applied <= commit <= last index, stable <= last index, and applied <= stable
// (see lastApplicable).
type entryLog struct {
	// baseIndex and baseTerm identify the entry before the first one in memory.
	baseIndex, baseTerm uint64
	entries             []*protocol.Entry
	// stable is the last index that is durable on this member.
	stable  uint64
	commit  uint64
	applied uint64
	// snapshot is the newest durable snapshot; nil when there is none.
	snapshot *protocol.SnapshotMetadata
}

// restore replaces the log with a snapshot.
func (l *entryLog) restore(snapshot *protocol.SnapshotMetadata) {
	index, term := snapshot.GetIndex(), snapshot.GetTerm()
	*l = entryLog{
		baseIndex: index, baseTerm: term, stable: index, commit: index, applied: index, snapshot: snapshot,
	}
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].GetTerm()
}

// term returns the term of the entry at index, or false if that term is not in memory.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.baseIndex-1].GetTerm(), true
	}
}

func (l *entryLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// isUpToDate reports whether a log that ends with the given entry is at least as up to date as this
// one, so that it has all entries that may be committed here (section 5.4.1 of the paper).
func (l *entryLog) isUpToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}

// merge stores entries whose predecessor matches, and replaces those that conflict. It returns the
// first index that changed, or zero if the log already had all of them.
func (l *entryLog) merge(entries []*protocol.Entry) uint64 {
	for position, entry := range entries {
		if l.matches(entry.GetIndex(), entry.GetTerm()) {
			continue
		}
		l.truncate(entry.GetIndex())
		l.entries = append(l.entries, entries[position:]...)
		return entry.GetIndex()
	}
	return 0
}

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	// Clip the capacity, so that appends never overwrite slices returned before.
	l.entries = slices.Clip(l.entries[:index-l.baseIndex-1])
	l.stable = min(l.stable, index-1)
}

// slice returns the entries from index through the given last one, as many as fit into maxBytes, but at
// least one if the range has any.
func (l *entryLog) slice(index, through uint64, maxBytes int) []*protocol.Entry {
	through = min(through, l.lastIndex())
	if index > through {
		return nil
	}
	all := l.entries[index-l.baseIndex-1 : through-l.baseIndex]
	size := 0
	for position, entry := range all {
		size += proto.Size(entry)
		if size > maxBytes && position > 0 {
			return all[:position:position]
		}
	}
	return slices.Clip(all)
}

// compact drops the entries covered by a durable snapshot, except the newest ones: at most retained
// entries, with at most retainedBytes of data.
func (l *entryLog) compact(snapshot *protocol.SnapshotMetadata, retained uint64, retainedBytes int) {
	l.snapshot = snapshot
	index := snapshot.GetIndex()
	for size := 0; index > l.baseIndex && snapshot.GetIndex()-index < retained; index-- {
		size += len(l.entries[index-l.baseIndex-1].GetData())
		if size > retainedBytes {
			break
		}
	}
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	// Copy the slice, so that the memory of the dropped entries is released.
	l.entries = slices.Clone(l.entries[index-l.baseIndex:])
	l.baseIndex, l.baseTerm = index, term
}

// conflictHint returns the last index that may match the log of a leader that differs at index. It
// skips the entries of the conflicting term, but no committed entry.
func (l *entryLog) conflictHint(index uint64) uint64 {
	if index > l.lastIndex() {
		return l.lastIndex()
	}
	term, ok := l.term(index)
	for ok && index > l.commit {
		index--
		previousTerm, inMemory := l.term(index)
		if !inMemory || previousTerm != term {
			break
		}
	}
	return index
}
