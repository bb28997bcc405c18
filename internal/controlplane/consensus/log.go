package consensus

import (
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// noSizeLimit makes slice return all entries.
const noSizeLimit = math.MaxInt

// entryLog holds the entries in memory, those after baseIndex. Entries are immutable once appended.
// It always holds that snapshot index <= applied <= commit <= last index, and stable <= last index;
// applied is at most stable too, see lastApplicable.
type entryLog struct {
	// The entry before the first one in memory.
	baseIndex, baseTerm uint64
	entries             []*protocol.Entry
	// stable is the last index that is durable here.
	stable  uint64
	commit  uint64
	applied uint64
	// snapshot is the newest durable snapshot; nil when there is none.
	snapshot *protocol.SnapshotMetadata
}

// restore replaces the log by a snapshot.
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

// term returns the term of an entry, or false when the entry is not in memory.
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

// isUpToDate reports whether a log that ends with the given entry has all that this one may
// have committed (section 5.4.1 of the paper).
func (l *entryLog) isUpToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}

// merge stores entries that follow a matching one, in place of those that conflict. It returns the
// first index that changed, or zero when the log had them all.
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
	// The capacity ends with the length, so that slices returned before are never overwritten.
	l.entries = slices.Clip(l.entries[:index-l.baseIndex-1])
	l.stable = min(l.stable, index-1)
}

// slice returns the entries from index through the given last one: at least one when there is any,
// else as many as fit into maxBytes.
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

// compact drops entries below a durable snapshot, but for the newest retained ones.
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
	// A copy, so that the memory of the dropped entries is released.
	l.entries = slices.Clone(l.entries[index-l.baseIndex:])
	l.baseIndex, l.baseTerm = index, term
}

// conflictHint is the last index that may match a leader whose log disagrees at index: it skips
// the entries of the conflicting term, but none that is committed.
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
