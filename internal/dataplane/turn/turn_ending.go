package turn

import (
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// reject ends a turn without a reservation. A request of which other
// copies may exist is rejected only after the ledger has stored its tombstone.
func (m *Machine) reject(f *protocol.Failure) []Command {
	f.Outcome = protocol.Outcome_NOT_RUN
	if m.parameters.Request.GetFirstSend() {
		return m.end(f)
	}
	m.failure = f
	m.state = stateRejecting
	request := m.parameters.Request
	return append(m.slot.free(), Reject{Operation: &protocol.RefuseRequest{
		RequestId: request.GetRequestId(), Session: request.GetSession(),
	}, Overload: failure.Code(f.GetCode()) == failure.Overloaded})
}

func (m *Machine) handleRejected(event Event) []Command {
	rejected, matches := event.(Rejected)
	if !matches {
		return nil
	}
	switch rejected.Result.GetStatus() {
	case protocol.LedgerStatus_LEDGER_OK:
		return m.end(m.failure)
	case protocol.LedgerStatus_LEDGER_ALREADY_FINISHED:
		return m.answerFinished(rejected.Result.GetFinished())
	default:
		m.failure.Outcome = protocol.Outcome_UNKNOWN
		return m.end(m.failure)
	}
}

// answerFinished repeats the outcome of a request that has already finished.
func (m *Machine) answerFinished(finished *protocol.FinishedRequest) []Command {
	switch finished.GetOutcome() {
	case protocol.RequestOutcome_OUTCOME_SETTLED:
		if m.isHTTP() {
			// The head of that answer is not retained, and a caller must use a request id only once.
			return m.end(
				failure.New(failure.OutcomeUnknown, protocol.Outcome_RAN, "a request under this id was answered before").Failure,
			)
		}
		m.state = stateReadingRetained
		return append(m.slot.free(), ReadRetainedTurn{TurnID: finished.GetTurnId()})
	case protocol.RequestOutcome_OUTCOME_NOT_RUN:
		if m.failure != nil {
			m.failure.Outcome = protocol.Outcome_NOT_RUN
			return m.end(m.failure)
		}
		return m.end(failure.New(failure.RequestRejected, protocol.Outcome_NOT_RUN,
			"this request was refused before; send it again under a new idempotency key").Failure)
	default:
		return m.end(failure.New(failure.OutcomeUnknown, protocol.Outcome_UNKNOWN,
			"the request was charged and its answer was not kept").Failure)
	}
}

func (m *Machine) handleRetainedTurnRead(event Event) []Command {
	retained, matches := event.(RetainedTurnRead)
	if !matches {
		return nil
	}
	if retained.Turn == nil {
		f := ledgerFailure(retained.Status)
		f.Outcome = protocol.Outcome_RAN
		return m.end(f)
	}
	m.answerEnded = true
	m.state = stateDone
	commands := m.slot.free()
	for _, event := range Replay(retained.Turn, m.attempt+1, m.parameters.Owner, m.parameters.BundleVersion) {
		commands = append(commands, Emit{Event: event})
	}
	return append(commands, Finish{})
}

func (m *Machine) handleCommitEvent(event Event, now time.Time) []Command {
	switch answer := event.(type) {
	case BackoffElapsed:
		return []Command{Commit{Operation: m.commitOperation}}
	case Committed:
		return m.handleCommitResult(answer.Result, now)
	}
	return nil
}

func (m *Machine) handleCommitResult(result *protocol.LedgerResult, now time.Time) []Command {
	switch status := result.GetStatus(); status {
	case protocol.LedgerStatus_LEDGER_OK:
		return m.complete()
	case protocol.LedgerStatus_LEDGER_ALREADY_FINISHED:
		if result.GetFinished().GetOutcome() == protocol.RequestOutcome_OUTCOME_SETTLED {
			return m.complete()
		}
		return m.endNotRetained(failure.Fenced, "the turn ran but another owner ended it")
	case protocol.LedgerStatus_LEDGER_UNAVAILABLE, protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT:
		return m.handleCommitUnavailable(now)
	default:
		return m.endNotRetained(failure.Fenced, "the turn ran but was not kept: "+status.String())
	}
}

// handleCommitUnavailable answers the caller after commitAnswerTimeout and keeps retrying in the background.
func (m *Machine) handleCommitUnavailable(now time.Time) []Command {
	if m.operation.elapsed(now) < commitAnswerTimeout || m.answerEnded {
		return m.operation.backOff()
	}
	return prepend(m.operation.backOff(), m.emitFailed(failure.New(failure.LedgerUnavailable, protocol.Outcome_RAN,
		"the turn ran but the ledger has not confirmed it; send the same request again to read it").Failure))
}

func (m *Machine) endNotRetained(code failure.Code, message string) []Command {
	f := failure.New(code, protocol.Outcome_RAN, message).Failure
	return prepend(m.end(f), forgetSessionCommand(f))
}

func (m *Machine) complete() []Command {
	commands := []Command{CacheTurn{Turn: m.commitOperation.GetTurn()}}
	m.state = stateDone
	if m.answerEnded {
		return append(append(commands, m.slot.free()...), Finish{})
	}
	if m.sequence == 0 {
		commands = append(commands, m.emitCreated())
	}
	commands = append(commands, m.emitCompleted())
	return append(append(commands, m.slot.free()...), Finish{})
}

// endLocally ends a turn that this front node may not run. The request gets no
// tombstone, so the ingress may forward it to another owner.
func (m *Machine) endLocally(f *protocol.Failure) []Command {
	return prepend(m.end(f), forgetSessionCommand(f))
}

func forgetSessionCommand(f *protocol.Failure) ForgetSession {
	return ForgetSession{Fenced: failure.Code(f.GetCode()) == failure.Fenced}
}

// end ends the answer unless it has ended before, and finishes the machine.
func (m *Machine) end(f *protocol.Failure) []Command {
	m.state = stateDone
	commands := m.slot.free()
	if !m.answerEnded {
		commands = append(commands, m.emitEnd(f))
	}
	return append(commands, Finish{})
}

// giveUp ends a reserved turn: it is released without a charge if it provably did not run, and charged otherwise.
func (m *Machine) giveUp(now time.Time) []Command {
	if m.mayHaveRunBefore || m.emittedTokens > 0 {
		return m.charge(m.failure, now)
	}
	m.failure.Outcome = protocol.Outcome_NOT_RUN
	return m.releaseWith(m.failure, 0, now)
}

// charge ends a reserved turn that ran or may have run. At least minCharge tokens are
// charged, because a release of 0 tokens records that the request did not run.
func (m *Machine) charge(f *protocol.Failure, now time.Time) []Command {
	if m.emittedTokens > 0 {
		f.Outcome = protocol.Outcome_RAN
	} else {
		f.Outcome = protocol.Outcome_UNKNOWN
	}
	return m.releaseWith(f, max(m.emittedTokens, minCharge), now)
}
