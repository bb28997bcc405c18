package turn

import (
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// ledgerFailure returns the failure for a status with which the ledger rejected an operation; its outcome is NOT_RUN.
func ledgerFailure(status protocol.LedgerStatus) *protocol.Failure {
	notRun := protocol.Outcome_NOT_RUN
	switch status {
	case protocol.LedgerStatus_LEDGER_BUDGET_SPENT:
		return failure.New(failure.BudgetSpent, notRun, "the program's token budget is spent",
			failure.WithPath("program")).Failure
	case protocol.LedgerStatus_LEDGER_BUDGET_HELD:
		return failure.New(failure.BudgetReserved, notRun, "turns under way hold the rest of the program's budget",
			failure.WithPath("program"), failure.WithRetryAfter(reservedRetryAfter)).Failure
	case protocol.LedgerStatus_LEDGER_UNKNOWN_PROGRAM:
		return failure.New(failure.UnknownProgram, notRun, "the program is not known", failure.WithPath("program")).Failure
	case protocol.LedgerStatus_LEDGER_UNKNOWN_SESSION, protocol.LedgerStatus_LEDGER_WRONG_CONTINUATION:
		return failure.New(failure.WrongContinuation, notRun, "the turn named is not the conversation's last one",
			failure.WithPath("previous_response_id")).Failure
	case protocol.LedgerStatus_LEDGER_TURN_MISSING:
		return failure.New(failure.TurnMissing, notRun, "the turn is not kept").Failure
	case protocol.LedgerStatus_LEDGER_STEP_MISMATCH:
		return failure.New(failure.StepMismatch, notRun,
			"the program generates for another training step or for none, or the step is of another model",
			failure.WithPath(stepPath)).Failure
	case protocol.LedgerStatus_LEDGER_STEP_UNKNOWN:
		return failure.New(failure.StepVersionUnavailable, notRun, "the training step has no version",
			failure.WithPath(stepPath), failure.WithRetryAfter(stepRetryAfter)).Failure
	case protocol.LedgerStatus_LEDGER_FENCED:
		return failure.New(failure.Fenced, notRun, "another front node owns the session",
			failure.WithRetryAfter(busyRetryAfter)).Failure
	default:
		return failure.New(failure.LedgerUnavailable, notRun, "the ledger did not answer in time",
			failure.WithRetryAfter(ledgerRetryAfter)).Failure
	}
}

// faultFailure returns the failure that the caller gets unless another attempt succeeds, and records whether the
// attempt may have run.
func (m *Machine) faultFailure(fault BackEndFailed) *protocol.Failure {
	outcome := protocol.Outcome_NOT_RUN
	switch {
	case m.emittedTokens > 0:
		outcome = protocol.Outcome_RAN
	case m.mayHaveRun(fault.Fault):
		outcome = protocol.Outcome_UNKNOWN
	}
	m.recordMayHaveRun(fault.Fault)
	code, wait := failure.BackEndFailed, time.Duration(0)
	switch fault.Fault {
	case FaultUnavailable:
		code, wait = failure.Overloaded, max(fault.RetryAfter, busyRetryAfter)
	case FaultNotSent:
		code, wait = failure.NoBackEnd, busyRetryAfter
	case FaultMismatch:
		code = failure.AnswerMismatch
	case FaultFenced:
		code = failure.Fenced
	case FaultWrongVersion:
		code, wait = failure.StepVersionUnavailable, stepRetryAfter
	case FaultRejected, FaultBroken:
	}
	return failure.New(code, outcome, fault.Detail, failure.WithRetryAfter(wait)).Failure
}

func stopFailure(reason StopReason) *protocol.Failure {
	switch reason {
	case StopDeadline:
		return failure.New(failure.DeadlineExceeded, protocol.Outcome_NOT_RUN, "the deadline passed").Failure
	case StopAuthority:
		return failure.New(failure.NoAuthority, protocol.Outcome_NOT_RUN, "the front node may no longer act as owner",
			failure.WithRetryAfter(busyRetryAfter)).Failure
	case StopCallerDisconnected:
	}
	return failure.New(failure.Cancelled, protocol.Outcome_NOT_RUN, "the caller went away").Failure
}

func callFailure(event BackEndFailed) *protocol.Failure {
	switch event.Fault {
	case FaultUnavailable:
		return failure.New(failure.Overloaded, protocol.Outcome_NOT_RUN, event.Detail,
			failure.WithRetryAfter(max(event.RetryAfter, busyRetryAfter))).Failure
	case FaultNotSent:
		return failure.New(failure.NoBackEnd, protocol.Outcome_NOT_RUN, event.Detail,
			failure.WithRetryAfter(busyRetryAfter)).Failure
	case FaultFenced:
		return failure.New(failure.Fenced, protocol.Outcome_NOT_RUN, event.Detail).Failure
	case FaultMismatch:
		return failure.New(failure.AnswerMismatch, protocol.Outcome_UNKNOWN, event.Detail).Failure
	case FaultBroken:
		return failure.New(failure.OutcomeUnknown, protocol.Outcome_UNKNOWN, event.Detail).Failure
	default:
		return failure.New(failure.BackEndFailed, protocol.Outcome_NOT_RUN, event.Detail).Failure
	}
}
