package ledger

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// draft is the next state of a record. The record that it begins from is never written to: the draft shares its
// elements and replaces the ones that change.
type draft struct {
	*protocol.ProgramRecord
	now time.Time
}

// newDraft copies the record without the finished requests that expired; it begins one that is not open yet when record
// is nil.
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

// finish ends a request: its reservation is closed and its tokens are charged. It is retained until retainUntilMillis,
// and for the program's retention at least.
func (d *draft) finish(finished *protocol.FinishedRequest, retainUntilMillis int64) *protocol.FinishedRequest {
	nowMillis := d.now.UnixMilli()
	finished.FinishedAtMillis = nowMillis
	finished.KeepUntilMillis = max(nowMillis+effectiveRetentionMillis(d.KeepingMillis), retainUntilMillis)
	d.Settled = addWithoutOverflow(d.Settled, finished.GetTokens())
	d.Reservations = slices.DeleteFunc(d.Reservations, func(reservation *protocol.Reservation) bool {
		return reservation.GetRequestId() == finished.GetRequestId()
	})
	d.FinishedPacked = appendPacked(d.FinishedPacked, d.Program, d.Sessions, finished)
	return finished
}

// isOpen reports whether the program was opened. Before that, its record may already contain tombstones.
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

// reservedTokens sums the limits of the open reservations.
func reservedTokens(record *protocol.ProgramRecord) uint64 {
	var total uint64
	for _, reservation := range record.GetReservations() {
		total = addWithoutOverflow(total, reservation.GetCeiling())
	}
	return total
}

// retainsTurn reports whether a session of the program committed the turn and the record still knows it.
func retainsTurn(record *protocol.ProgramRecord, turn string) bool {
	for _, session := range record.GetSessions() {
		if session.GetLastTurn() == turn {
			return true
		}
	}
	return retainsFinishedTurn(record, turn)
}
