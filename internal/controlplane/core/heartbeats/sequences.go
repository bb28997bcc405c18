package heartbeats

import (
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
)

const (
	// sequenceTTL is how long the last sequence of a back end that sends nothing is remembered.
	sequenceTTL = 10 * time.Minute
	// sequenceSweepInterval is the time between two sweeps of the table.
	sequenceSweepInterval = time.Minute
)

// SequenceTable holds the highest sequence that each back end announced itself with to this leader. The control log
// holds the sequences of announcements that changed something; this table those that only renewed a lease. It belongs
// to one goroutine.
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

// NewSequenceTable makes an empty table.
func NewSequenceTable() *SequenceTable {
	return &SequenceTable{last: map[string]lastSequence{}}
}

// Reset forgets all sequences, as a new leader does.
func (t *SequenceTable) Reset() { t.last = map[string]lastSequence{} }

// Observe records a sequence; it reports false, and records nothing, when a later one was observed before.
func (t *SequenceTable) Observe(backEnd leases.Holder, sequence uint64, now time.Time) bool {
	if last, known := t.last[backEnd.Name]; known && last.isAfter(backEnd.Incarnation, sequence) {
		return false
	}
	t.last[backEnd.Name] = lastSequence{incarnation: backEnd.Incarnation, sequence: sequence, receivedAt: now}
	return true
}

// Sweep forgets back ends that have sent nothing for long.
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
