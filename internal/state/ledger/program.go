package ledger

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Apply applies an operation to a program's record; record is nil when the program has none. It returns the changed
// record, or nil when nothing changes, and never modifies its argument. Operations on calls and turns are not handled
// here and result in LEDGER_STATUS_UNSPECIFIED. A record whose retention has ended is treated as absent.
func Apply(
	record *protocol.ProgramRecord, operation *protocol.LedgerOperation, now time.Time,
) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	if ProgramRetainedUntil(record) < now.UnixMilli() {
		record = nil
	}
	switch body := operation.GetBody().(type) {
	case *protocol.LedgerOperation_OpenProgram:
		return openProgram(record, operation.GetProgram(), body.OpenProgram, now)
	case *protocol.LedgerOperation_ClaimSession:
		return claimSession(record, operation.GetProgram(), body.ClaimSession, now)
	case *protocol.LedgerOperation_ReserveTurn:
		return reserveTurn(record, operation.GetProgram(), body.ReserveTurn, now)
	case *protocol.LedgerOperation_SettleTurn:
		return commitTurn(record, body.SettleTurn, now)
	case *protocol.LedgerOperation_ReleaseTurn:
		return releaseTurn(record, body.ReleaseTurn, now)
	case *protocol.LedgerOperation_RefuseRequest:
		return rejectRequest(record, operation.GetProgram(), body.RefuseRequest, now)
	case *protocol.LedgerOperation_ReadProgram:
		return nil, readProgram(record)
	case *protocol.LedgerOperation_PinTrainingStep:
		return pinTrainingStep(record, operation.GetProgram(), body.PinTrainingStep, now)
	default:
		return nil, ResultWithStatus(protocol.LedgerStatus_LEDGER_STATUS_UNSPECIFIED)
	}
}

func readProgram(record *protocol.ProgramRecord) *protocol.LedgerResult {
	if !isOpen(record) {
		return ResultWithStatus(protocol.LedgerStatus_LEDGER_UNKNOWN_PROGRAM)
	}
	return &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_OK, Program: record}
}

func openProgram(
	record *protocol.ProgramRecord, program string, open *protocol.OpenProgram, now time.Time,
) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	if isOpen(record) {
		if record.GetTenant() != open.GetTenant() {
			return nil, ResultWithStatus(protocol.LedgerStatus_LEDGER_UNKNOWN_PROGRAM)
		}
		return nil, readProgram(record)
	}
	changed := newDraft(program, record, now)
	changed.Tenant = open.GetTenant()
	changed.Budget = open.GetBudget()
	changed.KeepingMillis = open.GetKeepingMillis()
	return changed.ProgramRecord, readProgram(changed.ProgramRecord)
}

// claimSession increments the session's epoch, which fences every previous owner. A claim by an earlier incarnation of
// the owner is rejected; a repeated claim by the owner changes nothing.
func claimSession(
	record *protocol.ProgramRecord, program string, claim *protocol.ClaimSession, now time.Time,
) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	if isOpen(record) && claim.GetTenant() != "" && claim.GetTenant() != record.GetTenant() {
		return nil, ResultWithStatus(protocol.LedgerStatus_LEDGER_UNKNOWN_PROGRAM)
	}
	if !isOpen(record) && claim.GetTenant() == "" {
		return nil, ResultWithStatus(protocol.LedgerStatus_LEDGER_UNKNOWN_PROGRAM)
	}
	session := findSession(record, claim.GetSession())
	if session != nil && session.GetOwner() == claim.GetOwner() {
		if session.GetOwnerIncarnation() == claim.GetOwnerIncarnation() {
			return nil, claimResult(record, session)
		}
		if session.GetOwnerIncarnation() > claim.GetOwnerIncarnation() {
			return nil, fencedResult(session)
		}
	}
	changed := newDraft(program, record, now)
	if !isOpen(record) {
		changed.Tenant = claim.GetTenant()
		changed.Budget = claim.GetBudget()
		changed.KeepingMillis = claim.GetKeepingMillis()
	}
	chargeOpenReservations(changed, claim.GetSession())
	claimed := &protocol.SessionRecord{
		Session:          claim.GetSession(),
		Epoch:            session.GetEpoch() + 1,
		Owner:            claim.GetOwner(),
		OwnerIncarnation: claim.GetOwnerIncarnation(),
		LastTurn:         session.GetLastTurn(),
		Turns:            session.GetTurns(),
	}
	changed.putSession(claimed)
	return changed.ProgramRecord, claimResult(changed.ProgramRecord, claimed)
}

// chargeOpenReservations charges the full limit of each reservation that the previous owner left open, since its turn
// may have run. A generation for a training step is counted as discarded, since its outcome is unknown.
func chargeOpenReservations(changed *draft, session string) {
	isOther := func(reservation *protocol.Reservation) bool { return reservation.GetSession() != session }
	for _, reservation := range slices.DeleteFunc(slices.Clone(changed.Reservations), isOther) {
		changed.finish(&protocol.FinishedRequest{
			RequestId: reservation.GetRequestId(),
			Session:   session,
			Outcome:   protocol.RequestOutcome_OUTCOME_CHARGED,
			Tokens:    reservation.GetCeiling(),
		}, 0)
		changed.countGeneration(nil, false)
	}
}

func claimResult(record *protocol.ProgramRecord, session *protocol.SessionRecord) *protocol.LedgerResult {
	return &protocol.LedgerResult{
		Status:   protocol.LedgerStatus_LEDGER_OK,
		Epoch:    session.GetEpoch(),
		Program:  record,
		LastTurn: session.GetLastTurn(),
	}
}

func fencedResult(session *protocol.SessionRecord) *protocol.LedgerResult {
	return &protocol.LedgerResult{
		Status:   protocol.LedgerStatus_LEDGER_FENCED,
		Epoch:    session.GetEpoch(),
		LastTurn: session.GetLastTurn(),
	}
}

// checkEpoch returns the session when epoch is its current one, and a rejection otherwise.
func checkEpoch(
	record *protocol.ProgramRecord, session string, epoch uint64,
) (*protocol.SessionRecord, *protocol.LedgerResult) {
	if !isOpen(record) {
		return nil, ResultWithStatus(protocol.LedgerStatus_LEDGER_UNKNOWN_PROGRAM)
	}
	current := findSession(record, session)
	if current == nil {
		return nil, ResultWithStatus(protocol.LedgerStatus_LEDGER_UNKNOWN_SESSION)
	}
	if current.GetEpoch() != epoch {
		return nil, fencedResult(current)
	}
	return current, nil
}

// CheckEpoch returns LEDGER_OK when epoch is the current one of the session, so that its owner may act for the session,
// and a rejection otherwise.
func CheckEpoch(record *protocol.ProgramRecord, session string, epoch uint64) *protocol.LedgerResult {
	current, rejection := checkEpoch(record, session, epoch)
	if rejection != nil {
		return rejection
	}
	return &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_OK, Epoch: current.GetEpoch()}
}
