// Package ledgermodel is a model of the stores for simulations that are not about them: one process that applies
// operations with the real decision code of internal/state/ledger to records in memory, as if a majority of replicas
// had accepted each. A Ledger belongs to the goroutine of its simulation.
package ledgermodel

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// Ledger is the state that a majority of stores would have. It outlives the process that serves it.
type Ledger struct {
	programs map[string]*protocol.ProgramRecord
	calls    map[string]*protocol.CallRecord
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		programs: make(map[string]*protocol.ProgramRecord),
		calls:    make(map[string]*protocol.CallRecord),
	}
}

// Epoch returns the epoch in force of a session, zero when it was never claimed.
func (l *Ledger) Epoch(program, session string) uint64 {
	for _, record := range l.programs[program].GetSessions() {
		if record.GetSession() == session {
			return record.GetEpoch()
		}
	}
	return 0
}

// Apply applies one operation to the record of its program or call.
func (l *Ledger) Apply(operation *protocol.LedgerOperation, now time.Time) *protocol.LedgerResult {
	if ledger.CallRequestID(operation) != "" {
		return l.applyCall(operation, now)
	}
	changed, result := ledger.Apply(l.programs[operation.GetProgram()], operation, now)
	if changed != nil {
		l.programs[operation.GetProgram()] = changed
	}
	return result
}

// applyCall applies an operation to the call's register and then, as a store does, checks the epoch.
func (l *Ledger) applyCall(operation *protocol.LedgerOperation, now time.Time) *protocol.LedgerResult {
	id := operation.GetProgram() + "/" + ledger.CallRequestID(operation)
	changed, result := ledger.ApplyCall(l.calls[id], operation, now)
	if changed != nil {
		l.calls[id] = changed
	}
	begin := operation.GetBeginCall()
	if begin == nil || result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
		return result
	}
	return ledger.CheckEpoch(l.programs[operation.GetProgram()], begin.GetSession(), begin.GetEpoch())
}
