package turn

import (
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// refuse ends a turn that holds no reservation. A request of which other
// copies may exist is refused only after the ledger has taken its tombstone.
func (m *Machine) reject(f *protocol.Failure, now time.Time) []Command {
	f.Outcome = protocol.Outcome_NOT_RUN
	if m.parameters.Request.GetFirstSend() {
		return m.end(f)
	}
	m.failure = f
	m.state = stateRejecting
	request := m.parameters.Request
	return append(m.leave(), Reject{Operation: &protocol.RefuseRequest{
		RequestId: request.GetRequestId(), Session: request.GetSession(),
	}, Overload: failure.Code(f.GetCode()) == failure.Overloaded})
}

func (m *Machine) rejecting(event Event, now time.Time) []Command {
	rejected, matches := event.(Rejected)
	if !matches {
		return nil
	}
	switch rejected.Result.GetStatus() {
	case protocol.LedgerStatus_LEDGER_OK:
		return m.end(m.failure)
	case protocol.LedgerStatus_LEDGER_ALREADY_FINISHED:
		return m.answerFinished(rejected.Result.GetFinished(), now)
	default:
		m.failure.Outcome = protocol.Outcome_UNKNOWN
		return m.end(m.failure)
	}
}

// answerFinished gives a request that ended before the answer it had then.
func (m *Machine) answerFinished(finished *protocol.FinishedRequest, now time.Time) []Command {
	switch finished.GetOutcome() {
	case protocol.RequestOutcome_OUTCOME_SETTLED:
		if m.isHTTP() {
			// The head of that answer is not kept, and its id was to be used once.
			return m.end(failure.New(failure.OutcomeUnknown, protocol.Outcome_RAN, "a request under this id was answered before").Failure)
		}
		m.state = stateReadingRetained
		return append(m.leave(), ReadRetainedTurn{TurnID: finished.GetTurnId()})
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

func (m *Machine) retainedTurnRead(event Event, now time.Time) []Command {
	read, matches := event.(RetainedTurnRead)
	if !matches {
		return nil
	}
	if read.Turn == nil {
		f := ledgerFailure(read.Status)
		f.Outcome = protocol.Outcome_RAN
		return m.end(f)
	}
	m.answerEnded = true
	m.state = stateDone
	commands := m.leave()
	for _, event := range Replay(read.Turn, m.attempt+1, m.parameters.Owner, m.parameters.BundleVersion) {
		commands = append(commands, Emit{Event: event})
	}
	return append(commands, Finish{})
}

func (m *Machine) committing(event Event, now time.Time) []Command {
	switch answer := event.(type) {
	case Waited:
		return []Command{Commit{Operation: m.commit}}
	case Committed:
		return m.commitAnswered(answer.Result, now)
	}
	return nil
}

func (m *Machine) commitAnswered(result *protocol.LedgerResult, now time.Time) []Command {
	switch status := result.GetStatus(); status {
	case protocol.LedgerStatus_LEDGER_OK:
		return m.complete()
	case protocol.LedgerStatus_LEDGER_ALREADY_FINISHED:
		if result.GetFinished().GetOutcome() == protocol.RequestOutcome_OUTCOME_SETTLED {
			return m.complete()
		}
		return m.notRetained(failure.Fenced, "the turn ran but another owner ended it")
	case protocol.LedgerStatus_LEDGER_UNAVAILABLE, protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT:
		return m.commitUnavailable(now)
	default:
		return m.notRetained(failure.Fenced, "the turn ran but was not kept: "+status.String())
	}
}

// settleUnavailable answers the caller after a while and keeps trying in the background.
func (m *Machine) commitUnavailable(now time.Time) []Command {
	if now.Sub(m.operationStartedAt) < commitAnswerTimeout || m.answerEnded {
		return m.backOff()
	}
	return prepend(m.backOff(), m.emitFailed(failure.New(failure.LedgerUnavailable, protocol.Outcome_RAN,
		"the turn ran but the ledger has not confirmed it; send the same request again to read it").Failure))
}

func (m *Machine) notRetained(code failure.Code, message string) []Command {
	f := failure.New(code, protocol.Outcome_RAN, message).Failure
	return prepend(m.end(f), forget(f))
}

func (m *Machine) complete() []Command {
	commands := []Command{Remember{Turn: m.commit.GetTurn()}}
	m.state = stateDone
	if m.answerEnded {
		return append(append(commands, m.leave()...), Finish{})
	}
	if m.sequence == 0 {
		commands = append(commands, m.emitCreated())
	}
	commands = append(commands, m.emitCompleted())
	return append(append(commands, m.leave()...), Finish{})
}

// releaseWith ends the reservation and answers the caller by what the ledger says.
func (m *Machine) releaseWith(f *protocol.Failure, tokens uint64, now time.Time) []Command {
	m.failure = f
	if !m.IsLedgered() {
		return m.end(f)
	}
	m.state = stateReleasing
	m.operationStartedAt, m.backoff = now, initialBackoff
	request := m.parameters.Request
	m.releaseOperation = &protocol.ReleaseTurn{
		RequestId: request.GetRequestId(), Session: request.GetSession(), Epoch: m.epoch, Tokens: tokens,
	}
	m.traceRelease()
	if m.isHTTP() && !m.answerEnded && !m.step.recording {
		// A first send that was given up needs no proof by the ledger: nobody else may run it.
		return append(m.leave(), m.emitEnd(f), Release{Operation: m.releaseOperation})
	}
	return append(m.leave(), Release{Operation: m.releaseOperation})
}

func (m *Machine) releasing(event Event, now time.Time) []Command {
	switch answer := event.(type) {
	case Waited:
		return []Command{Release{Operation: m.releaseOperation}}
	case Released:
		return m.releaseAnswered(answer.Result, now)
	}
	return nil
}

func (m *Machine) releaseAnswered(result *protocol.LedgerResult, now time.Time) []Command {
	if isRejected(result.GetStatus()) {
		m.step.recording = false
	}
	switch result.GetStatus() {
	case protocol.LedgerStatus_LEDGER_OK:
		return m.end(m.failure)
	case protocol.LedgerStatus_LEDGER_ALREADY_FINISHED:
		outcome := result.GetFinished().GetOutcome()
		if m.releaseOperation.GetTokens() == 0 && outcome != protocol.RequestOutcome_OUTCOME_NOT_RUN {
			return m.answerFinished(result.GetFinished(), now)
		}
		return m.end(m.failure)
	case protocol.LedgerStatus_LEDGER_UNAVAILABLE, protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT:
		return m.releaseUnavailable(now)
	case protocol.LedgerStatus_LEDGER_NOT_RESERVED:
		if m.releaseOperation.GetTokens() == 0 && !m.answerEnded {
			return m.reject(m.failure, now)
		}
	default:
	}
	fenced := result.GetStatus() == protocol.LedgerStatus_LEDGER_FENCED
	return prepend(m.end(m.unproved()), ForgetSession{Fenced: fenced})
}

// releaseUnavailable answers the caller after a short while and keeps trying
// in the background, so that no budget stays held.
func (m *Machine) releaseUnavailable(now time.Time) []Command {
	waited := now.Sub(m.operationStartedAt)
	if waited >= confirmationTimeout && !m.answerEnded {
		m.giveUpRecording()
		return prepend(m.backOff(), m.emitFailed(m.unproved()))
	}
	return m.backOff()
}

// unproved is the failure at hand without the claim that nothing ran.
func (m *Machine) unproved() *protocol.Failure {
	if m.failure.GetOutcome() == protocol.Outcome_NOT_RUN {
		m.failure.Outcome = protocol.Outcome_UNKNOWN
	}
	return m.failure
}

func (m *Machine) backOff() []Command {
	wait := m.backoff
	m.backoff = min(2*m.backoff, maxBackoff)
	return []Command{Backoff{For: wait}}
}

// endHere answers that this front node may not run the turn. It says nothing
// of other owners, so the ingress may bring the request to one of them.
func (m *Machine) endHere(f *protocol.Failure) []Command {
	return prepend(m.end(f), forget(f))
}

func forget(f *protocol.Failure) ForgetSession {
	return ForgetSession{Fenced: failure.Code(f.GetCode()) == failure.Fenced}
}

// end gives the readers the failure, once, and finishes.
func (m *Machine) end(f *protocol.Failure) []Command {
	m.state = stateDone
	commands := m.leave()
	if !m.answerEnded {
		commands = append(commands, m.emitEnd(f))
	}
	return append(commands, Finish{})
}

func (m *Machine) leave() []Command {
	if !m.admitted {
		return nil
	}
	m.admitted = false
	return []Command{Leave{}}
}
