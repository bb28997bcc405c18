package ledger

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// reserveTurn admits a turn while charged and reserved tokens are below the budget, so a program exceeds its budget by
// one turn at most. With a claim the session is claimed first. The claim takes effect even when the turn is rejected,
// unless the program does not match the turn's training step.
func reserveTurn(
	record *protocol.ProgramRecord, program string, reserve *protocol.ReserveTurn, now time.Time,
) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	if finished := FindFinished(record, reserve.GetRequestId()); finished != nil {
		if !matchesTrainingStep(record, reserve.GetTrainingStep()) {
			return nil, stepMismatchResult(record)
		}
		return nil, finishedResult(protocol.LedgerStatus_LEDGER_ALREADY_FINISHED, finished)
	}
	if reserve.GetClaim() == nil {
		return reserveUnderEpoch(record, reserve, reserve.GetEpoch(), now)
	}
	claimedRecord, claimOutcome := claimSession(record, program, reserve.GetClaim(), now)
	if claimOutcome.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
		return nil, claimOutcome
	}
	if !matchesTrainingStep(record, reserve.GetTrainingStep()) {
		return nil, stepMismatchResult(record)
	}
	if claimedRecord == nil {
		return reserveUnderEpoch(record, reserve, claimOutcome.GetEpoch(), now)
	}
	reservedRecord, result := reserveUnderEpoch(claimedRecord, reserve, claimOutcome.GetEpoch(), now)
	if reservedRecord == nil {
		reservedRecord = claimedRecord
	}
	return reservedRecord, result
}

// reserveUnderEpoch reserves a turn under an epoch of the session. It checks again whether the request is finished,
// since a claim in the same operation may have charged an open reservation of it.
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
	if !matchesTrainingStep(record, reserve.GetTrainingStep()) {
		return nil, stepMismatchResult(record)
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
		return nil, sessionResult(protocol.LedgerStatus_LEDGER_ALREADY_RESERVED, record, session)
	}
	if status := checkOrder(record, session, reserve); status != protocol.LedgerStatus_LEDGER_OK {
		return nil, sessionResult(status, recordForRejection(status, record), session)
	}
	if status := checkBudget(record); status != protocol.LedgerStatus_LEDGER_OK {
		return nil, sessionResult(status, record, session)
	}
	changed := newDraft(record.GetProgram(), record, now)
	changed.Reservations = append(changed.Reservations, reservation)
	changed.joinTrainingStep(reserve.GetTrainingStep())
	return changed.ProgramRecord, reservedResult(session)
}

// checkBudget rejects a turn of a program whose budget is spent, or would be if every open reservation were charged in
// full.
func checkBudget(record *protocol.ProgramRecord) protocol.LedgerStatus {
	switch {
	case record.GetSettled() >= record.GetBudget():
		return protocol.LedgerStatus_LEDGER_BUDGET_SPENT
	case saturatingAdd(record.GetSettled(), reservedTokens(record)) >= record.GetBudget():
		return protocol.LedgerStatus_LEDGER_BUDGET_HELD
	default:
		return protocol.LedgerStatus_LEDGER_OK
	}
}

// checkOrder rejects a turn that does not continue the last turn of its session, or that would run concurrently with
// another turn of the session. Forks are exempt, since they may also follow a turn of another program; the process that
// issues a fork reads its chain first.
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
	if !isValidContinuation(record, session, reserve.GetPreviousTurn()) {
		return protocol.LedgerStatus_LEDGER_WRONG_CONTINUATION
	}
	return protocol.LedgerStatus_LEDGER_OK
}

// recordForRejection returns the record for the rejections that show it, and nil for the others.
func recordForRejection(status protocol.LedgerStatus, record *protocol.ProgramRecord) *protocol.ProgramRecord {
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

// isValidContinuation reports whether a turn of the session may follow the previous turn. The first turn of a session
// may start a new chain or follow any retained turn of the program.
func isValidContinuation(record *protocol.ProgramRecord, session *protocol.SessionRecord, previous string) bool {
	if session.GetLastTurn() != "" {
		return session.GetLastTurn() == previous
	}
	return previous == "" || retainsTurn(record, previous)
}

func reservedResult(session *protocol.SessionRecord) *protocol.LedgerResult {
	return sessionResult(protocol.LedgerStatus_LEDGER_OK, nil, session)
}

func sessionResult(
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

// commitTurn commits a turn that is stored durably and charges its tokens, at most as many as were reserved.
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
		return nil, sessionResult(protocol.LedgerStatus_LEDGER_NOT_RESERVED, nil, session)
	}
	if turn.GetPreviousTurn() != reservation.GetPreviousTurn() {
		return nil, sessionResult(protocol.LedgerStatus_LEDGER_WRONG_CONTINUATION, nil, session)
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

// releaseTurn ends a request without a turn to retain. A request that did not run is marked as such even when its
// reservation has not arrived, so that a delayed copy of the reservation is rejected.
func releaseTurn(
	record *protocol.ProgramRecord, release *protocol.ReleaseTurn, now time.Time,
) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	outcome := protocol.RequestOutcome_OUTCOME_NOT_RUN
	ran := ranBeforeRelease(record, release)
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
		return nil, sessionResult(protocol.LedgerStatus_LEDGER_NOT_RESERVED, nil, session)
	}
	if reservation == nil && ran {
		return nil, sessionResult(protocol.LedgerStatus_LEDGER_NOT_RESERVED, nil, session)
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
// reports it as completed: its session was claimed in the meantime, and a claim charges open reservations and counts
// them as discarded. The owner must not assume that the completion was counted, or its caller would have a complete
// generation that no trace shows.
func mayHaveLostCompletion(
	record *protocol.ProgramRecord, finished *protocol.FinishedRequest, release *protocol.ReleaseTurn,
) bool {
	if record.GetTrainingStep() == nil || !release.GetCompleted() {
		return false
	}
	return finished.GetSession() != release.GetSession() ||
		findSession(record, release.GetSession()).GetEpoch() != release.GetEpoch()
}

// ranBeforeRelease reports whether a turn ran before it was released. Used tokens prove that it ran; for a generation
// for a training step, so do the versions that its server reported and its completion.
func ranBeforeRelease(record *protocol.ProgramRecord, release *protocol.ReleaseTurn) bool {
	if release.GetTokens() > 0 {
		return true
	}
	return record.GetTrainingStep() != nil && (release.GetCompleted() || len(release.GetWeightVersions()) > 0)
}

// rejectRequest writes the tombstone of a request. A process that cannot determine whether a request ran must write it
// before it rejects the request. The program need not be open, since its first turn can be rejected too.
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
