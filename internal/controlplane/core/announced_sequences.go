package core

import "time"

const (
	// keptSequence is how long the last sequence of a silent back end is remembered.
	sequenceTTL = 10 * time.Minute
	// sequenceSweepInterval is the time between two looks for sequences to forget.
	sequenceSweepInterval = time.Minute
)

// announcedTable holds the highest sequence that each back end announced itself
// with to this leader. It belongs to the owner. The control log holds the
// sequences of announcements that changed something; this table knows those
// that only renewed a lease.
type sequenceTable struct {
	last      map[string]sequenceEntry
	nextSweep time.Time
}

type sequenceEntry struct {
	incarnation, sequence uint64
	lastContact           time.Time
}

func newSequenceTable() *sequenceTable {
	return &sequenceTable{last: map[string]sequenceEntry{}}
}

func (t *sequenceTable) reset() { t.last = map[string]sequenceEntry{} }

// note takes in a sequence; it reports false when a later one was seen before.
func (t *sequenceTable) observe(id string, incarnation, sequence uint64, now time.Time) bool {
	last, known := t.last[id]
	if known && (incarnation < last.incarnation || incarnation == last.incarnation && sequence < last.sequence) {
		return false
	}
	t.last[id] = sequenceEntry{incarnation: incarnation, sequence: sequence, lastContact: now}
	return true
}

// sweep forgets back ends that have been silent for long.
func (t *sequenceTable) sweep(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(sequenceSweepInterval)
	for id, last := range t.last {
		if now.Sub(last.lastContact) > sequenceTTL {
			delete(t.last, id)
		}
	}
}
