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
		FinishedPacked:  retainedPacked(record, now.UnixMilli()),
		UpdatedAtMillis: now.UnixMilli(),
		TrainingStepPin: record.GetTrainingStepPin(),
		TrainingStep:    record.GetTrainingStep(),
	}
	return &draft{ProgramRecord: copied, now: now}
}

// putSession replaces the session's record, or adds it.
func (d *draft) putSession(session *protocol.SessionRecord) {
	for i, existing := range d.Sessions {
		if existing.GetSession() == session.GetSession() {
			d.Sessions[i] = session
			return
		}
	}
	d.Sessions = append(d.Sessions, session)
}

// finish ends a request: its reservation is closed and its tokens are charged.
func (d *draft) finish(finished *protocol.FinishedRequest, retainUntilMillis int64) *protocol.FinishedRequest {
	finished.FinishedAtMillis = d.now.UnixMilli()
	finished.KeepUntilMillis = max(d.now.UnixMilli()+effectiveRetentionMillis(d.KeepingMillis), retainUntilMillis)
	d.Settled = addWithoutOverflow(d.Settled, finished.GetTokens())
	d.Reservations = slices.DeleteFunc(d.Reservations, func(reservation *protocol.Reservation) bool {
		return reservation.GetRequestId() == finished.GetRequestId()
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
	for _, candidate := range record.GetSessions() {
		if candidate.GetSession() == session {
			return candidate
		}
	}
	return nil
}

func findReservation(record *protocol.ProgramRecord, requestID string) *protocol.Reservation {
	for _, reservation := range record.GetReservations() {
		if reservation.GetRequestId() == requestID {
			return reservation
		}
	}
	return nil
}

// heldBudget sums the ceilings of the open reservations.
func reservedTokens(record *protocol.ProgramRecord) uint64 {
	var total uint64
	for _, reservation := range record.GetReservations() {
		total = addWithoutOverflow(total, reservation.GetCeiling())
	}
	return total
}

// keepsTurn reports whether a session of the program settled the turn and it is still kept.
func retainsTurn(record *protocol.ProgramRecord, turn string) bool {
	for _, session := range record.GetSessions() {
		if session.GetLastTurn() == turn {
			return true
		}
	}
	return retainsFinishedTurn(record, turn)
}
