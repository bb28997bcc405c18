package audit

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

// indexedEvidence is the evidence with indexes for the checks.
type indexedEvidence struct {
	Evidence
	// startsByRequest are the runs of each request, in the order of time.
	startsByRequest map[string][]standin.Entry
	// faultyRequests are those that a stand-in answered late or with a stall.
	faultyRequests map[string]bool
	// turnsByID are the answered turns by id.
	turnsByID map[string]*caller.Record
}

func index(evidence Evidence) *indexedEvidence {
	if evidence.RequestLog == nil {
		evidence.RequestLog = &caller.RequestLog{}
	}
	file := &indexedEvidence{
		Evidence:        evidence,
		startsByRequest: map[string][]standin.Entry{},
		faultyRequests:  map[string]bool{},
		turnsByID:       map[string]*caller.Record{},
	}
	for _, entry := range evidence.Journal {
		if entry.Phase == standin.PhaseStarted {
			file.startsByRequest[entry.RequestID] = append(file.startsByRequest[entry.RequestID], entry)
		}
		if entry.Fault == standin.FaultLate || entry.Fault == standin.FaultStall {
			file.faultyRequests[entry.RequestID] = true
		}
	}
	for _, record := range evidence.RequestLog.Records {
		if record.Operation == caller.OperationTurn && record.Outcome == caller.OutcomeAnswered {
			file.turnsByID[record.TurnID] = record
		}
	}
	return file
}

// faultDuring reports whether a fault affected a process on the path of a request
// between two times. A request of unknown owner may have gone through any process.
func (c *indexedEvidence) faultDuring(record *caller.Record, from, to time.Time) bool {
	front := record.Exchanges[0].Front
	return slices.ContainsFunc(c.FaultIntervals, func(interval FaultInterval) bool {
		if !interval.overlaps(from, to) {
			return false
		}
		return record.Owner == "" || slices.ContainsFunc(interval.Processes, func(name string) bool {
			return name == front || name == record.Owner || name == record.BackEnd
		})
	})
}

// coreFaultDuring reports whether a fault affected the core between two times.
func (c *indexedEvidence) coreFaultDuring(from, to time.Time) bool {
	return slices.ContainsFunc(c.FaultIntervals, func(interval FaultInterval) bool {
		return interval.Core && interval.overlaps(from, to)
	})
}

// requests visits the turns and tool calls, not the reads.
func (c *indexedEvidence) requests(visit func(*caller.Record)) {
	for _, record := range c.RequestLog.Records {
		if record.Operation != caller.OperationRead {
			visit(record)
		}
	}
}
