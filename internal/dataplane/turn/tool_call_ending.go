package turn

import (
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosestand/rosestand/internal/protocol"
)

func (m *CallMachine) handleBackEndFailed(event BackEndFailed, now time.Time) []Command {
	if m.state != callIssued {
		return nil
	}
	m.failedBackEnds = append(m.failedBackEnds, m.backEnd)
	mayHaveRun := event.Fault == FaultBroken || event.Fault == FaultMismatch
	m.mayHaveRunBefore = m.mayHaveRunBefore || mayHaveRun
	if mayHaveRun {
		m.possibleRuns++
	}
	m.failure = callFailure(event)
	if m.mayHaveRunBefore {
		m.failure.Outcome = protocol.Outcome_UNKNOWN
	}
	final := event.Fault == FaultFenced || event.Fault == FaultRejected || mayHaveRun && !m.mayRunAgain()
	if final || m.attemptCount >= m.parameters.AttemptLimit {
		return m.giveUp(now)
	}
	m.state = callRequestingRetry
	return []Command{RequestRetry{}}
}

// mayRunAgain reports whether the call may be issued again after attempts that may have run it.
func (m *CallMachine) mayRunAgain() bool {
	return m.parameters.Idempotent && (m.parameters.RunLimit == 0 || m.possibleRuns < m.parameters.RunLimit)
}

func (m *CallMachine) handleRetryDecided(event RetryDecided, now time.Time) []Command {
	if m.state != callRequestingRetry {
		return nil
	}
	if !event.Granted {
		return m.giveUp(now)
	}
	m.state = callChoosing
	return []Command{Choose{Avoid: append([]string(nil), m.failedBackEnds...)}}
}

// giveUp ends a call that will not be issued again. If the intent is recorded and
// nothing ran, the failure itself is recorded as the outcome, so that every later
// send is rejected with it.
func (m *CallMachine) giveUp(now time.Time) []Command {
	switch {
	case m.mayHaveRunBefore:
		m.failure.Outcome = protocol.Outcome_UNKNOWN
		return m.fail(m.failure)
	case m.hasIntent:
		m.failure.Outcome = protocol.Outcome_NOT_RUN
		body, err := protojson.Marshal(m.failure)
		if err != nil {
			m.failure.Outcome = protocol.Outcome_UNKNOWN
			return m.fail(m.failure)
		}
		m.response = &protocol.ToolCallResponse{Failure: m.failure}
		return m.recordOutcome(m.failure.GetStatus(), body, FailureContentType, now)
	default:
		return m.reject(m.failure)
	}
}

// reject ends a call for which this attempt has recorded no intent.
func (m *CallMachine) reject(f *protocol.Failure) []Command {
	f.Outcome = protocol.Outcome_NOT_RUN
	if m.parameters.Request.GetFirstSend() && m.state != callRecordingIntent {
		return m.fail(f)
	}
	if m.parameters.Idempotent {
		// Idempotent calls are not recorded, so another send of this call may have run.
		f.Outcome = protocol.Outcome_UNKNOWN
		return m.fail(f)
	}
	m.failure = f
	m.state = callRejecting
	return append(
		m.slot.free(), RejectCall{Operation: &protocol.RefuseCall{RequestId: m.parameters.Request.GetRequestId()}},
	)
}

func (m *CallMachine) handleCallRejected(event CallRejected) []Command {
	if m.state != callRejecting {
		return nil
	}
	switch event.Result.GetStatus() {
	case protocol.LedgerStatus_LEDGER_OK:
		return m.fail(m.failure)
	case protocol.LedgerStatus_LEDGER_ALREADY_FINISHED:
		if event.Result.GetCall().GetState() == protocol.CallState_CALL_NOT_RUN {
			return m.fail(m.failure)
		}
		return m.answerFromRecord(event.Result.GetCall())
	default:
		m.failure.Outcome = protocol.Outcome_UNKNOWN
		return m.fail(m.failure)
	}
}

func (m *CallMachine) handleOutcomeRecorded(event OutcomeRecorded, now time.Time) []Command {
	if m.state != callRecordingOutcome {
		return nil
	}
	switch event.Result.GetStatus() {
	case protocol.LedgerStatus_LEDGER_OK, protocol.LedgerStatus_LEDGER_ALREADY_FINISHED:
		return m.answer(m.response)
	case protocol.LedgerStatus_LEDGER_UNAVAILABLE, protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT:
		return m.handleRecordingUnavailable(now)
	default:
		return m.answer(m.unrecordedResponse())
	}
}

// handleRecordingUnavailable answers the caller after confirmationTimeout and keeps retrying to record the outcome.
func (m *CallMachine) handleRecordingUnavailable(now time.Time) []Command {
	waited := m.operation.elapsed(now)
	if waited >= confirmationTimeout && !m.answered {
		m.answered = true
		return prepend(m.operation.backOff(), Answer{Response: m.unrecordedResponse()})
	}
	return m.operation.backOff()
}

// unrecordedResponse returns the answer for an outcome that may not be durable: a tool's
// answer is still valid, but a rejection may not apply to later sends.
func (m *CallMachine) unrecordedResponse() *protocol.ToolCallResponse {
	if f := m.response.GetFailure(); f.GetOutcome() == protocol.Outcome_NOT_RUN {
		f.Outcome = protocol.Outcome_UNKNOWN
	}
	return m.response
}

func (m *CallMachine) handleBackoffElapsed() []Command {
	switch m.state {
	case callRecordingIntent:
		return []Command{m.intentCommand()}
	case callRecordingOutcome:
		return []Command{RecordOutcome{Operation: m.outcomeOperation}}
	default:
		return nil
	}
}

func (m *CallMachine) fail(f *protocol.Failure) []Command {
	return m.answer(&protocol.ToolCallResponse{Failure: f})
}

func (m *CallMachine) answer(response *protocol.ToolCallResponse) []Command {
	m.state = callDone
	commands := m.slot.free()
	if !m.answered {
		m.answered = true
		response.Owner, response.BundleVersion = m.parameters.Owner, m.parameters.BundleVersion
		commands = append(commands, Answer{Response: response})
	}
	return append(commands, Finish{})
}
