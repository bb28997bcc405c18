package heartbeats

import (
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
)

const (
	// sequenceTTL is how long the last sequence of a back end is kept after its last announcement.
	sequenceTTL = 10 * time.Minute
	// sequenceSweepInterval is the time between two sweeps of the table.
	sequenceSweepInterval = time.Minute
)

// SequenceTable holds the highest sequence of the announcements that each back end sent to this leader. The control log
// has the sequences of announcements that changed something; this table also covers those that only renewed a lease. It
// is not safe for concurrent use.
type SequenceTable struct {
	last      map[string]lastSequence
	nextSweep time.Time
}

type lastSequence struct {
	incarnation, sequence uint64
	receivedAt            time.Time
}

func (l lastSequence) isAfter(incarnation, sequence uint64) bool {
	if incarnation != l.incarnation {
		return incarnation < l.incarnation
	}
	return sequence < l.sequence
}

// NewSequenceTable returns an empty table.
func NewSequenceTable() *SequenceTable {
	return &SequenceTable{last: map[string]lastSequence{}}
}

// Reset removes all sequences; a new leader calls it.
func (t *SequenceTable) Reset() { t.last = map[string]lastSequence{} }

// Observe records a sequence and returns true. If a later one was observed before, it returns false and records
// nothing.
func (t *SequenceTable) Observe(backEnd leases.Holder, sequence uint64, now time.Time) bool {
	if last, known := t.last[backEnd.Name]; known && last.isAfter(backEnd.Incarnation, sequence) {
		return false
	}
	t.last[backEnd.Name] = lastSequence{incarnation: backEnd.Incarnation, sequence: sequence, receivedAt: now}
	return true
}

// Sweep removes the back ends whose last announcement is older than sequenceTTL, at most once per
// sequenceSweepInterval.
func (t *SequenceTable) Sweep(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(sequenceSweepInterval)
	for id, last := range t.last {
		if now.Sub(last.receivedAt) > sequenceTTL {
			delete(t.last, id)
		}
	}
}
