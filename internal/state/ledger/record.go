package ledger

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// draft is the next state of a record under construction. It shares elements with the original record and replaces
// those that change, so the original is never modified.
type draft struct {
	*protocol.ProgramRecord
	now time.Time
}

// newDraft returns a draft that starts as a copy of the record without its expired finished requests. When record is
// nil, it starts as the empty record of a program that is not open.
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

// putSession replaces the record of the session, or adds it when the session is new.
func (d *draft) putSession(session *protocol.SessionRecord) {
	for i, existing := range d.Sessions {
		if existing.GetSession() == session.GetSession() {
			d.Sessions[i] = session
			return
		}
	}
	d.Sessions = append(d.Sessions, session)
}

// finish ends a request: it closes the reservation and charges the tokens. The request is retained until
// retainUntilMillis, but at least for the program's retention.
func (d *draft) finish(finished *protocol.FinishedRequest, retainUntilMillis int64) *protocol.FinishedRequest {
	nowMillis := d.now.UnixMilli()
	finished.FinishedAtMillis = nowMillis
	finished.KeepUntilMillis = max(nowMillis+effectiveRetentionMillis(d.KeepingMillis), retainUntilMillis)
	d.Settled = saturatingAdd(d.Settled, finished.GetTokens())
	d.Reservations = slices.DeleteFunc(d.Reservations, func(reservation *protocol.Reservation) bool {
		return reservation.GetRequestId() == finished.GetRequestId()
	})
	d.FinishedPacked = appendPacked(d.FinishedPacked, d.Program, d.Sessions, finished)
	return finished
}

// isOpen reports whether the program was opened. The record of a program that is not open may contain tombstones.
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

// reservedTokens returns the sum of the limits of the open reservations.
func reservedTokens(record *protocol.ProgramRecord) uint64 {
	var total uint64
	for _, reservation := range record.GetReservations() {
		total = saturatingAdd(total, reservation.GetCeiling())
	}
	return total
}

// retainsTurn reports whether the record still has the turn: as the last one of a session, or in a finished request.
func retainsTurn(record *protocol.ProgramRecord, turn string) bool {
	for _, session := range record.GetSessions() {
		if session.GetLastTurn() == turn {
			return true
		}
	}
	return retainsFinishedTurn(record, turn)
}
