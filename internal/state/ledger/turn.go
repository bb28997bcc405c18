package ledger

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// reserveTurn admits a turn while charged and reserved tokens are below the budget, so a program exceeds its budget by
// one turn at most. With a claim the session is claimed first; the claim takes effect also when the turn is rejected,
// unless the program does not belong to the turn's training step.
func reserveTurn(
	record *protocol.ProgramRecord, program string, reserve *protocol.ReserveTurn, now time.Time,
) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	if finished := FindFinished(record, reserve.GetRequestId()); finished != nil {
		if !belongsToStep(record, reserve.GetTrainingStep()) {
			return nil, stepMismatch(record)
		}
		return nil, finishedResult(protocol.LedgerStatus_LEDGER_ALREADY_FINISHED, finished)
	}
	if reserve.GetClaim() == nil {
		return reserveUnderEpoch(record, reserve, reserve.GetEpoch(), now)
	}
	claimed, claim := claimSession(record, program, reserve.GetClaim(), now)
	if claim.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
		return nil, claim
	}
	if !belongsToStep(record, reserve.GetTrainingStep()) {
		return nil, stepMismatch(record)
	}
	if claimed == nil {
		return reserveUnderEpoch(record, reserve, claim.GetEpoch(), now)
	}
	reserved, result := reserveUnderEpoch(claimed, reserve, claim.GetEpoch(), now)
	if reserved == nil {
		reserved = claimed
	}
	return reserved, result
}

// reserveUnderEpoch reserves under an epoch of the session. The claim before it may have ended the request.
func reserveUnderEpoch(
	record *protocol.ProgramRecord, reserve *protocol.ReserveTurn, epoch uint64, now time.Time,
) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	if finished := FindFinished(record, reserve.GetRequestId()); finished != nil {
		return nil, finishedResult(protocol.LedgerStatus_LEDGER_ALREADY_FINISHED, finished)
	}
	session, rejection := checkEpoch(record, reserve.GetSession(), epoch)
	if rejection != nil {
		return nil, rejection
	}
	if !belongsToStep(record, reserve.GetTrainingStep()) {
		return nil, stepMismatch(record)
	}
	reservation := &protocol.Reservation{
		RequestId:    reserve.GetRequestId(),
		Session:      reserve.GetSession(),
		Epoch:        epoch,
		Ceiling:      reserve.GetCeiling(),
		PreviousTurn: reserve.GetPreviousTurn(),
	}
	if existing := findReservation(record, reserve.GetRequestId()); existing != nil {
		if isSameReservation(existing, reservation) {
			return nil, reservedResult(session)
		}
		return nil, withProgram(protocol.LedgerStatus_LEDGER_ALREADY_RESERVED, record, session)
	}
	if status := checkOrder(record, session, reserve); status != protocol.LedgerStatus_LEDGER_OK {
		return nil, withProgram(status, recordShownWith(status, record), session)
	}
	if status := checkBudget(record); status != protocol.LedgerStatus_LEDGER_OK {
		return nil, withProgram(status, record, session)
	}
	changed := newDraft(record.GetProgram(), record, now)
	changed.Reservations = append(changed.Reservations, reservation)
	changed.join(reserve.GetTrainingStep())
	return changed.ProgramRecord, reservedResult(session)
}

// checkBudget rejects a turn of a program whose budget is spent, or would be if every open turn reached its limit.
func checkBudget(record *protocol.ProgramRecord) protocol.LedgerStatus {
	switch {
	case record.GetSettled() >= record.GetBudget():
		return protocol.LedgerStatus_LEDGER_BUDGET_SPENT
	case addWithoutOverflow(record.GetSettled(), reservedTokens(record)) >= record.GetBudget():
		return protocol.LedgerStatus_LEDGER_BUDGET_HELD
	default:
		return protocol.LedgerStatus_LEDGER_OK
	}
}

// checkOrder rejects a turn that does not follow the last one of its session, or that would run beside another one.
// Forks are exempt, since they may follow a turn of another program too; whoever issues one reads its chain first.
func checkOrder(
	record *protocol.ProgramRecord, session *protocol.SessionRecord, reserve *protocol.ReserveTurn,
) protocol.LedgerStatus {
	if reserve.GetFork() {
		return protocol.LedgerStatus_LEDGER_OK
	}
	for _, reservation := range record.GetReservations() {
		if reservation.GetSession() == session.GetSession() {
			return protocol.LedgerStatus_LEDGER_ALREADY_RESERVED
		}
	}
	if !continues(record, session, reserve.GetPreviousTurn()) {
		return protocol.LedgerStatus_LEDGER_WRONG_CONTINUATION
	}
	return protocol.LedgerStatus_LEDGER_OK
}

// recordShownWith returns the record for the rejections that it explains, and nil for the others.
func recordShownWith(status protocol.LedgerStatus, record *protocol.ProgramRecord) *protocol.ProgramRecord {
	if status == protocol.LedgerStatus_LEDGER_ALREADY_RESERVED {
		return record
	}
	return nil
}

func isSameReservation(a, b *protocol.Reservation) bool {
	return a.GetSession() == b.GetSession() &&
		a.GetEpoch() == b.GetEpoch() &&
		a.GetCeiling() == b.GetCeiling() &&
		a.GetPreviousTurn() == b.GetPreviousTurn()
}

// continues reports whether a turn of the session may follow the previous one. The first turn of a session may start a
// new chain or follow any retained turn of the program.
func continues(record *protocol.ProgramRecord, session *protocol.SessionRecord, previous string) bool {
	if session.GetLastTurn() != "" {
		return session.GetLastTurn() == previous
	}
	return previous == "" || retainsTurn(record, previous)
}

func reservedResult(session *protocol.SessionRecord) *protocol.LedgerResult {
	return withProgram(protocol.LedgerStatus_LEDGER_OK, nil, session)
}

func withProgram(
	status protocol.LedgerStatus, record *protocol.ProgramRecord, session *protocol.SessionRecord,
) *protocol.LedgerResult {
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

// commitTurn charges the tokens of a turn that is stored durably, never more than were reserved.
func commitTurn(
	record *protocol.ProgramRecord, commit *protocol.SettleTurn, now time.Time,
) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	turn := commit.GetTurn()
	if finished := FindFinished(record, commit.GetRequestId()); finished != nil {
		if finished.GetOutcome() == protocol.RequestOutcome_OUTCOME_SETTLED && finished.GetTurnId() == turn.GetId() {
			return nil, finishedResult(protocol.LedgerStatus_LEDGER_OK, finished)
		}
		return nil, finishedResult(protocol.LedgerStatus_LEDGER_ALREADY_FINISHED, finished)
	}
	session, rejection := checkEpoch(record, commit.GetSession(), commit.GetEpoch())
	if rejection != nil {
		return nil, rejection
	}
	reservation := findReservation(record, commit.GetRequestId())
	if reservation == nil || reservation.GetSession() != commit.GetSession() {
		return nil, withProgram(protocol.LedgerStatus_LEDGER_NOT_RESERVED, nil, session)
	}
	if turn.GetPreviousTurn() != reservation.GetPreviousTurn() {
		return nil, withProgram(protocol.LedgerStatus_LEDGER_WRONG_CONTINUATION, nil, session)
	}
	changed := newDraft(record.GetProgram(), record, now)
	finished := changed.finish(&protocol.FinishedRequest{
		RequestId: commit.GetRequestId(),
		Session:   commit.GetSession(),
		Outcome:   protocol.RequestOutcome_OUTCOME_SETTLED,
		TurnId:    turn.GetId(),
		Tokens:    min(commit.GetTokens(), reservation.GetCeiling()),
	}, turn.GetKeepUntilMillis())
	changed.countGeneration(commit.GetWeightVersions(), true)
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

// releaseTurn ends a request without a turn to retain. A request that did not run is marked as not run even when its
// reservation has not arrived, so that a late copy of the reservation is rejected.
func releaseTurn(
	record *protocol.ProgramRecord, release *protocol.ReleaseTurn, now time.Time,
) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	outcome := protocol.RequestOutcome_OUTCOME_NOT_RUN
	ran := hasRunBefore(record, release)
	if ran {
		outcome = protocol.RequestOutcome_OUTCOME_CHARGED
	}
	if finished := FindFinished(record, release.GetRequestId()); finished != nil {
		if finished.GetOutcome() == outcome && !mayHaveLostCompletion(record, finished, release) {
			return nil, finishedResult(protocol.LedgerStatus_LEDGER_OK, finished)
		}
		return nil, finishedResult(protocol.LedgerStatus_LEDGER_ALREADY_FINISHED, finished)
	}
	session, rejection := checkEpoch(record, release.GetSession(), release.GetEpoch())
	if rejection != nil {
		return nil, rejection
	}
	reservation := findReservation(record, release.GetRequestId())
	if reservation != nil && reservation.GetSession() != release.GetSession() {
		return nil, withProgram(protocol.LedgerStatus_LEDGER_NOT_RESERVED, nil, session)
	}
	if reservation == nil && ran {
		return nil, withProgram(protocol.LedgerStatus_LEDGER_NOT_RESERVED, nil, session)
	}
	changed := newDraft(record.GetProgram(), record, now)
	finished := changed.finish(&protocol.FinishedRequest{
		RequestId: release.GetRequestId(),
		Session:   release.GetSession(),
		Outcome:   outcome,
		Tokens:    min(release.GetTokens(), reservation.GetCeiling()),
	}, 0)
	if ran {
		changed.countGeneration(release.GetWeightVersions(), release.GetCompleted())
	}
	return changed.ProgramRecord, finishedResult(protocol.LedgerStatus_LEDGER_OK, finished)
}

// mayHaveLostCompletion reports whether a finished generation may have been counted as discarded although its owner
// reports it as complete: its session was claimed since, and a claim charges and counts open reservations. The owner
// must not consider it counted, or its caller would have a complete generation that no trace shows.
func mayHaveLostCompletion(
	record *protocol.ProgramRecord, finished *protocol.FinishedRequest, release *protocol.ReleaseTurn,
) bool {
	if record.GetTrainingStep() == nil || !release.GetCompleted() {
		return false
	}
	return finished.GetSession() != release.GetSession() ||
		findSession(record, release.GetSession()).GetEpoch() != release.GetEpoch()
}

// hasRunBefore reports whether a turn ran before it was released. Tokens prove it; for a generation of a training step,
// the versions that its server named and its completion prove it too.
func hasRunBefore(record *protocol.ProgramRecord, release *protocol.ReleaseTurn) bool {
	if release.GetTokens() > 0 {
		return true
	}
	return record.GetTrainingStep() != nil && (release.GetCompleted() || len(release.GetWeightVersions()) > 0)
}

// rejectRequest writes the tombstone that must exist before a request is rejected by a process that does not know
// whether it ran. The program need not be open: a first turn can be rejected too.
func rejectRequest(
	record *protocol.ProgramRecord, program string, reject *protocol.RefuseRequest, now time.Time,
) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	if finished := FindFinished(record, reject.GetRequestId()); finished != nil {
		if finished.GetOutcome() == protocol.RequestOutcome_OUTCOME_NOT_RUN {
			return nil, finishedResult(protocol.LedgerStatus_LEDGER_OK, finished)
		}
		return nil, finishedResult(protocol.LedgerStatus_LEDGER_ALREADY_FINISHED, finished)
	}
	if findReservation(record, reject.GetRequestId()) != nil {
		return nil, ResultWithStatus(protocol.LedgerStatus_LEDGER_ALREADY_RESERVED)
	}
	changed := newDraft(program, record, now)
	finished := changed.finish(&protocol.FinishedRequest{
		RequestId: reject.GetRequestId(),
		Session:   reject.GetSession(),
		Outcome:   protocol.RequestOutcome_OUTCOME_NOT_RUN,
	}, 0)
	return changed.ProgramRecord, finishedResult(protocol.LedgerStatus_LEDGER_OK, finished)
}
