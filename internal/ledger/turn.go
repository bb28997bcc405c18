package ledger

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// reserveTurn admits a turn while settled tokens and held ceilings are below
// the budget, so a program exceeds its budget by one turn at most.
func reserveTurn(record *protocol.ProgramRecord, reserve *protocol.ReserveTurn, now time.Time) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	if finished := Finished(record, reserve.GetRequestId()); finished != nil {
		return nil, finishedResult(protocol.LedgerStatus_LEDGER_ALREADY_FINISHED, finished)
	}
	session, refusal := checkEpoch(record, reserve.GetSession(), reserve.GetEpoch())
	if refusal != nil {
		return nil, refusal
	}
	if open := findReservation(record, reserve.GetRequestId()); open != nil {
		if isSameReservation(open, reserve) {
			return nil, reservedResult(session)
		}
		return nil, withProgram(protocol.LedgerStatus_LEDGER_ALREADY_RESERVED, record, session)
	}
	for _, open := range record.GetReservations() {
		if open.GetSession() == reserve.GetSession() {
			return nil, withProgram(protocol.LedgerStatus_LEDGER_ALREADY_RESERVED, record, session)
		}
	}
	if !continues(record, session, reserve.GetPreviousTurn()) {
		return nil, withProgram(protocol.LedgerStatus_LEDGER_WRONG_CONTINUATION, nil, session)
	}
	if record.GetSettled() >= record.GetBudget() {
		return nil, withProgram(protocol.LedgerStatus_LEDGER_BUDGET_SPENT, record, session)
	}
	if addWithoutOverflow(record.GetSettled(), heldBudget(record)) >= record.GetBudget() {
		return nil, withProgram(protocol.LedgerStatus_LEDGER_BUDGET_HELD, record, session)
	}
	changed := newDraft(record.GetProgram(), record, now)
	changed.Reservations = append(changed.Reservations, &protocol.Reservation{
		RequestId:    reserve.GetRequestId(),
		Session:      reserve.GetSession(),
		Epoch:        reserve.GetEpoch(),
		Ceiling:      reserve.GetCeiling(),
		PreviousTurn: reserve.GetPreviousTurn(),
	})
	return changed.ProgramRecord, reservedResult(session)
}

func isSameReservation(open *protocol.Reservation, reserve *protocol.ReserveTurn) bool {
	return open.GetSession() == reserve.GetSession() &&
		open.GetEpoch() == reserve.GetEpoch() &&
		open.GetCeiling() == reserve.GetCeiling() &&
		open.GetPreviousTurn() == reserve.GetPreviousTurn()
}

// continues tells whether a turn of the session may follow previous. The first
// turn of a session may begin anew or follow any kept turn of the program.
func continues(record *protocol.ProgramRecord, session *protocol.SessionRecord, previous string) bool {
	if session.GetLastTurn() != "" {
		return session.GetLastTurn() == previous
	}
	return previous == "" || keepsTurn(record, previous)
}

func reservedResult(session *protocol.SessionRecord) *protocol.LedgerResult {
	return withProgram(protocol.LedgerStatus_LEDGER_OK, nil, session)
}

func withProgram(status protocol.LedgerStatus, record *protocol.ProgramRecord, session *protocol.SessionRecord) *protocol.LedgerResult {
	return &protocol.LedgerResult{
		Status:   status,
		Epoch:    session.GetEpoch(),
		Program:  record,
		LastTurn: session.GetLastTurn(),
	}
}

func finishedResult(status protocol.LedgerStatus, finished *protocol.FinishedRequest) *protocol.LedgerResult {
	return &protocol.LedgerResult{Status: status, Finished: finished, LastTurn: finished.GetTurnId()}
}

// settleTurn charges the tokens of a kept turn, never more than were reserved.
func settleTurn(record *protocol.ProgramRecord, settle *protocol.SettleTurn, now time.Time) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	turn := settle.GetTurn()
	if finished := Finished(record, settle.GetRequestId()); finished != nil {
		if finished.GetOutcome() == protocol.RequestOutcome_OUTCOME_SETTLED && finished.GetTurnId() == turn.GetId() {
			return nil, finishedResult(protocol.LedgerStatus_LEDGER_OK, finished)
		}
		return nil, finishedResult(protocol.LedgerStatus_LEDGER_ALREADY_FINISHED, finished)
	}
	session, refusal := checkEpoch(record, settle.GetSession(), settle.GetEpoch())
	if refusal != nil {
		return nil, refusal
	}
	open := findReservation(record, settle.GetRequestId())
	if open == nil || open.GetSession() != settle.GetSession() {
		return nil, withProgram(protocol.LedgerStatus_LEDGER_NOT_RESERVED, nil, session)
	}
	if turn.GetPreviousTurn() != open.GetPreviousTurn() {
		return nil, withProgram(protocol.LedgerStatus_LEDGER_WRONG_CONTINUATION, nil, session)
	}
	changed := newDraft(record.GetProgram(), record, now)
	finished := changed.finish(&protocol.FinishedRequest{
		RequestId: settle.GetRequestId(),
		Session:   settle.GetSession(),
		Outcome:   protocol.RequestOutcome_OUTCOME_SETTLED,
		TurnId:    turn.GetId(),
		Tokens:    min(settle.GetTokens(), open.GetCeiling()),
	}, turn.GetKeepUntilMillis())
	changed.putSession(&protocol.SessionRecord{
		Session:          session.GetSession(),
		Epoch:            session.GetEpoch(),
		Owner:            session.GetOwner(),
		OwnerIncarnation: session.GetOwnerIncarnation(),
		LastTurn:         turn.GetId(),
		Turns:            session.GetTurns() + 1,
	})
	return changed.ProgramRecord, finishedResult(protocol.LedgerStatus_LEDGER_OK, finished)
}

// releaseTurn ends a request without a kept turn. Released without tokens, the
// request is marked as not run even when its reservation has not arrived, so
// that a late copy of the reservation is refused.
func releaseTurn(record *protocol.ProgramRecord, release *protocol.ReleaseTurn, now time.Time) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	outcome := protocol.RequestOutcome_OUTCOME_NOT_RUN
	if release.GetTokens() > 0 {
		outcome = protocol.RequestOutcome_OUTCOME_CHARGED
	}
	if finished := Finished(record, release.GetRequestId()); finished != nil {
		if finished.GetOutcome() == outcome {
			return nil, finishedResult(protocol.LedgerStatus_LEDGER_OK, finished)
		}
		return nil, finishedResult(protocol.LedgerStatus_LEDGER_ALREADY_FINISHED, finished)
	}
	session, refusal := checkEpoch(record, release.GetSession(), release.GetEpoch())
	if refusal != nil {
		return nil, refusal
	}
	open := findReservation(record, release.GetRequestId())
	if open != nil && open.GetSession() != release.GetSession() {
		return nil, withProgram(protocol.LedgerStatus_LEDGER_NOT_RESERVED, nil, session)
	}
	if open == nil && release.GetTokens() > 0 {
		return nil, withProgram(protocol.LedgerStatus_LEDGER_NOT_RESERVED, nil, session)
	}
	changed := newDraft(record.GetProgram(), record, now)
	finished := changed.finish(&protocol.FinishedRequest{
		RequestId: release.GetRequestId(),
		Session:   release.GetSession(),
		Outcome:   outcome,
		Tokens:    min(release.GetTokens(), open.GetCeiling()),
	}, 0)
	return changed.ProgramRecord, finishedResult(protocol.LedgerStatus_LEDGER_OK, finished)
}

// refuseRequest writes the tombstone that must stand before a request is
// refused by someone who does not know whether it ran. A program need not be
// open for it: a first turn can be refused too.
func refuseRequest(record *protocol.ProgramRecord, program string, refuse *protocol.RefuseRequest, now time.Time) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	if finished := Finished(record, refuse.GetRequestId()); finished != nil {
		if finished.GetOutcome() == protocol.RequestOutcome_OUTCOME_NOT_RUN {
			return nil, finishedResult(protocol.LedgerStatus_LEDGER_OK, finished)
		}
		return nil, finishedResult(protocol.LedgerStatus_LEDGER_ALREADY_FINISHED, finished)
	}
	if findReservation(record, refuse.GetRequestId()) != nil {
		return nil, Answer(protocol.LedgerStatus_LEDGER_ALREADY_RESERVED)
	}
	changed := newDraft(program, record, now)
	finished := changed.finish(&protocol.FinishedRequest{
		RequestId: refuse.GetRequestId(),
		Session:   refuse.GetSession(),
		Outcome:   protocol.RequestOutcome_OUTCOME_NOT_RUN,
	}, 0)
	return changed.ProgramRecord, finishedResult(protocol.LedgerStatus_LEDGER_OK, finished)
}
