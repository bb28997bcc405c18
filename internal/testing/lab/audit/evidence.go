package audit

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

// casefile is the evidence, ordered for the checks.
type casefile struct {
	Evidence
	// started holds the runs of each request, in time.
	started map[string][]standin.Entry
	// faulty holds the requests that a stand-in answered late or with a stall.
	faulty map[string]bool
	// turns finds the answered turn of an id.
	turns map[string]*caller.Record
}

func index(evidence Evidence) *casefile {
	if evidence.Book == nil {
		evidence.Book = &caller.Book{}
	}
	file := &casefile{
		Evidence: evidence,
		started:  map[string][]standin.Entry{},
		faulty:   map[string]bool{},
		turns:    map[string]*caller.Record{},
	}
	for _, entry := range evidence.Journal {
		if entry.Phase == standin.PhaseStarted {
			file.started[entry.RequestID] = append(file.started[entry.RequestID], entry)
		}
		if entry.Fault == standin.FaultLate || entry.Fault == standin.FaultStall {
			file.faulty[entry.RequestID] = true
		}
	}
	for _, record := range evidence.Book.Records {
		if record.Operation == caller.OperationTurn && record.Outcome == caller.OutcomeAnswered {
			file.turns[record.TurnID] = record
		}
	}
	return file
}

// disturbed reports whether a fault struck a process on the way of a request
// between two times. A request of unknown owner may have gone through any.
func (c *casefile) disturbed(record *caller.Record, from, to time.Time) bool {
	front := record.Exchanges[0].Front
	return slices.ContainsFunc(c.Disturbed, func(interval Interval) bool {
		if !interval.overlaps(from, to) {
			return false
		}
		return record.Owner == "" || slices.ContainsFunc(interval.Processes, func(name string) bool {
			return name == front || name == record.Owner || name == record.BackEnd
		})
	})
}

// coreDisturbed reports whether a fault struck the core between two times.
func (c *casefile) coreDisturbed(from, to time.Time) bool {
	return slices.ContainsFunc(c.Disturbed, func(interval Interval) bool {
		return interval.Core && interval.overlaps(from, to)
	})
}

// requests visits the turns and tool calls, not the reads.
func (c *casefile) requests(visit func(*caller.Record)) {
	for _, record := range c.Book.Records {
		if record.Operation != caller.OperationRead {
			visit(record)
		}
	}
}
