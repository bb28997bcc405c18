package ledger

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// draft is a record under change. The record given is never written to: the
// draft shares its elements and replaces the ones that change.
type draft struct {
	*protocol.ProgramRecord
	now time.Time
}

// newDraft copies the record, or begins one that is not open yet when record is nil.
func newDraft(program string, record *protocol.ProgramRecord, now time.Time) *draft {
	copied := &protocol.ProgramRecord{
		Program:         program,
		Tenant:          record.GetTenant(),
		Budget:          record.GetBudget(),
		Settled:         record.GetSettled(),
		KeepingMillis:   record.GetKeepingMillis(),
		Sessions:        slices.Clone(record.GetSessions()),
		Reservations:    slices.Clone(record.GetReservations()),
		FinishedPacked:  keptPacked(record, now.UnixMilli()),
		UpdatedAtMillis: now.UnixMilli(),
		TrainingStepPin: record.GetTrainingStepPin(),
		TrainingStep:    record.GetTrainingStep(),
	}
	return &draft{ProgramRecord: copied, now: now}
}

// putSession replaces the session's record, or adds it.
func (d *draft) putSession(session *protocol.SessionRecord) {
	for i, known := range d.Sessions {
		if known.GetSession() == session.GetSession() {
			d.Sessions[i] = session
			return
		}
	}
	d.Sessions = append(d.Sessions, session)
}

// finish ends a request: its reservation is closed and its tokens are charged.
func (d *draft) finish(finished *protocol.FinishedRequest, keepUntilMillis int64) *protocol.FinishedRequest {
	finished.FinishedAtMillis = d.now.UnixMilli()
	finished.KeepUntilMillis = max(d.now.UnixMilli()+keepingMillis(d.KeepingMillis), keepUntilMillis)
	d.Settled = addWithoutOverflow(d.Settled, finished.GetTokens())
	d.Reservations = slices.DeleteFunc(d.Reservations, func(open *protocol.Reservation) bool {
		return open.GetRequestId() == finished.GetRequestId()
	})
	d.FinishedPacked = appendPacked(d.FinishedPacked, d.Program, d.Sessions, finished)
	return finished
}

// isOpen reports whether the program was opened. A tombstone may stand in the
// record of a program before it is opened.
func isOpen(record *protocol.ProgramRecord) bool {
	return record.GetTenant() != ""
}

func findSession(record *protocol.ProgramRecord, session string) *protocol.SessionRecord {
	for _, known := range record.GetSessions() {
		if known.GetSession() == session {
			return known
		}
	}
	return nil
}

func findReservation(record *protocol.ProgramRecord, requestID string) *protocol.Reservation {
	for _, open := range record.GetReservations() {
		if open.GetRequestId() == requestID {
			return open
		}
	}
	return nil
}

// heldBudget sums the ceilings of the open reservations.
func heldBudget(record *protocol.ProgramRecord) uint64 {
	var held uint64
	for _, open := range record.GetReservations() {
		held = addWithoutOverflow(held, open.GetCeiling())
	}
	return held
}

// keepsTurn reports whether a session of the program settled the turn and it is still kept.
func keepsTurn(record *protocol.ProgramRecord, turn string) bool {
	for _, session := range record.GetSessions() {
		if session.GetLastTurn() == turn {
			return true
		}
	}
	return keepsFinishedTurn(record, turn)
}
