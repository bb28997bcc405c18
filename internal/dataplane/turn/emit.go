package turn

import (
	"strings"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// ID gives the id of the turn that answers a request. It follows from the
// program and the request id, so every send of one request has the same turn.
func ID(program, requestID string) string {
	return ledger.TurnID(program, requestID)
}

func (m *Machine) emit(event *protocol.TurnEvent) Command {
	m.sequence++
	event.Attempt = m.attempt
	event.Sequence = m.sequence
	return Emit{Event: event}
}

func (m *Machine) emitCreated() Command {
	return m.emit(&protocol.TurnEvent{Body: &protocol.TurnEvent_Created{Created: &protocol.TurnCreated{
		TurnId: m.parameters.TurnID, RequestId: m.parameters.Request.GetRequestId(), Owner: m.parameters.Owner,
		Epoch: m.epoch, BackEnd: m.backEnd, BundleVersion: m.parameters.BundleVersion,
	}}})
}

func (m *Machine) emitCompleted() Command {
	m.answerEnded = true
	return m.emit(&protocol.TurnEvent{Body: &protocol.TurnEvent_Completed{Completed: &protocol.TurnCompleted{
		TurnId: m.parameters.TurnID, Text: m.text.String(), InputTokens: m.done.InputTokens,
		OutputTokens: m.attemptTokens, CachedTokens: m.done.CachedTokens, Nonce: m.done.Nonce,
	}}})
}

// emitEnd gives the readers a server's whole answer when there is one, or the end of a generation that is recorded, else the failure.
func (m *Machine) emitEnd(f *protocol.Failure) Command {
	if m.step.recording {
		return m.emitCompleted()
	}
	if m.completeAnswer == nil {
		return m.emitFailed(f)
	}
	m.answerEnded = true
	return m.emit(&protocol.TurnEvent{Body: &protocol.TurnEvent_Answered{Answered: m.completeAnswer}})
}

func (m *Machine) emitFailed(f *protocol.Failure) Command {
	m.answerEnded = true
	if m.attempt == m.parameters.Request.GetLastAttempt() {
		m.attempt++
	}
	return m.emit(&protocol.TurnEvent{Body: &protocol.TurnEvent_Failed{Failed: f}})
}

// Replay gives the events of a kept turn as an attempt of their own.
func Replay(retained *protocol.Turn, attempt uint32, owner string, bundleVersion uint64) []*protocol.TurnEvent {
	var text strings.Builder
	for _, item := range retained.GetOutput() {
		text.WriteString(item.GetText())
	}
	return []*protocol.TurnEvent{
		{Attempt: attempt, Sequence: 1, Body: &protocol.TurnEvent_Created{Created: &protocol.TurnCreated{
			TurnId: retained.GetId(), RequestId: retained.GetRequestId(), Owner: owner, Epoch: retained.GetEpoch(),
			BackEnd: retained.GetBackEnd(), BundleVersion: bundleVersion,
		}}},
		{Attempt: attempt, Sequence: 2, Body: &protocol.TurnEvent_Delta{Delta: &protocol.TurnDelta{
			Text: text.String(), Tokens: uint32(retained.GetOutputTokens()),
		}}},
		{Attempt: attempt, Sequence: 3, Body: &protocol.TurnEvent_Completed{Completed: &protocol.TurnCompleted{
			TurnId: retained.GetId(), Text: text.String(), InputTokens: retained.GetInputTokens(), OutputTokens: retained.GetOutputTokens(),
			CachedTokens: retained.GetCachedTokens(), Nonce: retained.GetNonce(),
		}}},
	}
}

// ledgerFailure words a refusal of the ledger; its outcome is not run.
func ledgerFailure(status protocol.LedgerStatus) *protocol.Failure {
	notRun := protocol.Outcome_NOT_RUN
	switch status {
	case protocol.LedgerStatus_LEDGER_BUDGET_SPENT:
		return failure.New(failure.BudgetSpent, notRun, "the program's token budget is spent", failure.WithPath("program")).Failure
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
		return failure.New(failure.StepMismatch, notRun, "the program generates for another training step or for none, or the step is of another model",
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
