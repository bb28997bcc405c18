package turn

import (
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

func (m *CallMachine) failed(event BackEndFailed, now time.Time) []Command {
	if m.state != callIssued {
		return nil
	}
	m.avoid = append(m.avoid, m.backEnd)
	unsure := event.Fault == FaultBroken || event.Fault == FaultMismatch
	m.ranBefore = m.ranBefore || unsure
	if unsure {
		m.runs++
	}
	m.failure = callFailure(event)
	if m.ranBefore {
		m.failure.Outcome = protocol.Outcome_UNKNOWN
	}
	final := event.Fault == FaultFenced || event.Fault == FaultRejected || unsure && !m.mayRunAgain()
	if final || m.attemptCount >= m.parameters.MaxAttempts {
		return m.giveUp(now)
	}
	m.state = callRequestingRetry
	return []Command{RequestRetry{}}
}

// mayRunAgain reports whether the call may be issued again after tries that may have run it.
func (m *CallMachine) mayRunAgain() bool {
	return m.parameters.Idempotent && (m.parameters.MaxRuns == 0 || m.runs < m.parameters.MaxRuns)
}

func callFailure(event BackEndFailed) *protocol.Failure {
	switch event.Fault {
	case FaultUnavailable:
		return failure.New(failure.Overloaded, protocol.Outcome_NOT_RUN, event.Detail,
			failure.WithRetryAfter(max(event.RetryAfter, busyRetryAfter))).Failure
	case FaultNotSent:
		return failure.New(failure.NoBackEnd, protocol.Outcome_NOT_RUN, event.Detail, failure.WithRetryAfter(busyRetryAfter)).Failure
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

func (m *CallMachine) retry(event RetryDecided, now time.Time) []Command {
	if m.state != callRequestingRetry {
		return nil
	}
	if !event.Granted {
		return m.giveUp(now)
	}
	m.state = callChoosing
	return []Command{Choose{Avoid: append([]string(nil), m.avoid...)}}
}

// giveUp ends a call that will not be issued again. With an intent written and
// nothing run, the failure itself becomes the recorded outcome, so the refusal
// holds for every later send.
func (m *CallMachine) giveUp(now time.Time) []Command {
	switch {
	case m.ranBefore:
		m.failure.Outcome = protocol.Outcome_UNKNOWN
		return m.fail(m.failure)
	case m.intent:
		m.failure.Outcome = protocol.Outcome_NOT_RUN
		body, err := protojson.Marshal(m.failure)
		if err != nil {
			m.failure.Outcome = protocol.Outcome_UNKNOWN
			return m.fail(m.failure)
		}
		m.response = &protocol.ToolCallResponse{Failure: m.failure}
		return m.record(m.failure.GetStatus(), body, FailureContentType, now)
	default:
		return m.reject(m.failure)
	}
}

// refuse ends a call that has no intent of this attempt.
func (m *CallMachine) reject(f *protocol.Failure) []Command {
	f.Outcome = protocol.Outcome_NOT_RUN
	if m.parameters.Request.GetFirstSend() && m.state != callBeginning {
		return m.fail(f)
	}
	if m.parameters.Idempotent {
		// No record is kept of a repeatable call, so another send of it may have run.
		f.Outcome = protocol.Outcome_UNKNOWN
		return m.fail(f)
	}
	m.failure = f
	m.state = callRejecting
	return append(m.leave(), RejectCall{Operation: &protocol.RefuseCall{RequestId: m.parameters.Request.GetRequestId()}})
}

func (m *CallMachine) rejected(event CallRejected) []Command {
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
		return m.recorded(event.Result.GetCall())
	default:
		m.failure.Outcome = protocol.Outcome_UNKNOWN
		return m.fail(m.failure)
	}
}

func (m *CallMachine) finished(event CallFinished, now time.Time) []Command {
	if m.state != callFinishing {
		return nil
	}
	switch event.Result.GetStatus() {
	case protocol.LedgerStatus_LEDGER_OK, protocol.LedgerStatus_LEDGER_ALREADY_FINISHED:
		return m.answer(m.response)
	case protocol.LedgerStatus_LEDGER_UNAVAILABLE, protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT:
		return m.finishUnavailable(now)
	default:
		return m.answer(m.unrecorded())
	}
}

// finishUnavailable answers the caller after a short while and keeps trying to record the outcome.
func (m *CallMachine) finishUnavailable(now time.Time) []Command {
	waited := now.Sub(m.operationStartedAt)
	if waited >= confirmationTimeout && !m.answered {
		m.answered = true
		return prepend(m.backOff(), Answer{Response: m.unrecorded()})
	}
	return m.backOff()
}

// unrecorded is the answer when the outcome may not be durable: a tool's
// answer still holds, a refusal can no longer be promised.
func (m *CallMachine) unrecorded() *protocol.ToolCallResponse {
	if f := m.response.GetFailure(); f.GetOutcome() == protocol.Outcome_NOT_RUN {
		f.Outcome = protocol.Outcome_UNKNOWN
	}
	return m.response
}

func (m *CallMachine) waited() []Command {
	switch m.state {
	case callBeginning:
		return []Command{m.beginCommand()}
	case callFinishing:
		return []Command{FinishCall{Operation: m.outcome}}
	default:
		return nil
	}
}

func (m *CallMachine) stop(event Stopped, now time.Time) []Command {
	f := stopFailure(event.Reason)
	switch m.state {
	case callNew, callClaiming, callAdmitting:
		if event.Reason == StopAuthority {
			return prepend(m.fail(f), ForgetSession{})
		}
		return m.reject(f)
	case callBeginning, callChoosing, callRequestingRetry:
		m.failure = f
		return m.giveUp(now)
	case callIssued:
		m.failure = f
		if event.WithoutEffect {
			return m.giveUp(now)
		}
		m.ranBefore = true
		return prepend(m.giveUp(now), StopBackEnd{})
	case callFinishing:
		if event.Reason == StopAuthority {
			return m.answer(m.unrecorded())
		}
	case callRejecting, callDone:
	}
	return nil
}

func (m *CallMachine) backOff() []Command {
	wait := m.backoff
	m.backoff = min(2*m.backoff, maxBackoff)
	return []Command{Backoff{For: wait}}
}

func (m *CallMachine) fail(f *protocol.Failure) []Command {
	return m.answer(&protocol.ToolCallResponse{Failure: f})
}

func (m *CallMachine) answer(response *protocol.ToolCallResponse) []Command {
	m.state = callDone
	commands := m.leave()
	if !m.answered {
		m.answered = true
		response.Owner, response.BundleVersion = m.parameters.Owner, m.parameters.BundleVersion
		commands = append(commands, Answer{Response: response})
	}
	return append(commands, Finish{})
}

func (m *CallMachine) leave() []Command {
	if !m.admitted {
		return nil
	}
	m.admitted = false
	return []Command{Leave{}}
}
