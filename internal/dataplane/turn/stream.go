package turn

import (
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

func (m *Machine) handleBackEndEvent(event Event, now time.Time) []Command {
	switch answer := event.(type) {
	case Head:
		return m.handleHead(answer, now)
	case CompleteAnswer:
		return m.handleCompleteAnswer(answer, now)
	case Token:
		return m.handleToken(answer, now)
	case BackEndDone:
		return m.handleBackEndDone(answer, now)
	case BackEndFailed:
		return m.handleBackEndFailed(answer, now)
	}
	return nil
}

func (m *Machine) handleToken(token Token, now time.Time) []Command {
	if token.HasWeightVersion && !m.matchesVersionPin([]uint64{token.WeightVersion}) {
		return m.endForVersionChange(now)
	}
	if m.attemptTokens+uint64(token.Tokens) > m.maxTokens {
		// Nothing beyond the reservation limit is ever emitted.
		f := failure.New(failure.BackEndFailed, protocol.Outcome_RAN,
			"the back end sent more tokens than it was allowed").Failure
		return prepend(m.charge(f, now), StopBackEnd{})
	}
	var commands []Command
	if m.sequence == 0 {
		commands = append(commands, m.emitCreated())
	}
	m.attemptTokens += uint64(token.Tokens)
	m.emittedTokens += uint64(token.Tokens)
	m.text.WriteString(token.Text)
	if token.Data != nil {
		m.output = append(append(m.output, token.Data...), '\n')
	}
	return append(commands, m.emit(&protocol.TurnEvent{Body: &protocol.TurnEvent_Delta{
		Delta: &protocol.TurnDelta{Text: token.Text, Tokens: token.Tokens, Event: token.Event},
	}}))
}

func (m *Machine) handleBackEndDone(done BackEndDone, now time.Time) []Command {
	request := m.parameters.Request
	if done.Nonce != "" && request.GetNonce() != "" && done.Nonce != request.GetNonce() {
		return m.handleBackEndFailed(
			BackEndFailed{Fault: FaultMismatch, Detail: "the answer carries another request's nonce"}, now,
		)
	}
	if m.maxTokens < m.parameters.ReservationLimit && m.attemptTokens >= m.maxTokens {
		// A later attempt has fewer tokens left than the caller requested; its truncated answer is not complete.
		f := failure.New(failure.BackEndFailed, protocol.Outcome_RAN,
			"the turn was begun anew and ran out of its reservation").Failure
		return m.charge(f, now)
	}
	m.backEndDone = done
	m.chargeUnreported(done)
	if m.isHTTP() && !m.isRetained() {
		return m.completeUnretained(now)
	}
	m.commitOperation = &protocol.SettleTurn{
		RequestId: request.GetRequestId(), Session: request.GetSession(), Epoch: m.epoch,
		Tokens: m.emittedTokens, Turn: m.retainedTurn(now), WeightVersions: m.step.seenVersions,
	}
	m.state = stateCommitting
	m.operation = beginOperation(now)
	return append(m.slot.free(), Commit{Operation: m.commitOperation})
}

// chargeUnreported adds the output tokens that the back end reports at the end beyond those of its events.
func (m *Machine) chargeUnreported(done BackEndDone) {
	if counted := min(done.OutputTokens, m.maxTokens); counted > m.attemptTokens {
		m.emittedTokens += counted - m.attemptTokens
		m.attemptTokens = counted
	}
}

func (m *Machine) retainedTurn(now time.Time) *protocol.Turn {
	request := m.parameters.Request
	if m.isHTTP() {
		return m.retainedHTTPTurn(now)
	}
	return &protocol.Turn{
		Id: m.parameters.TurnID, Program: request.GetProgram(), Session: request.GetSession(),
		PreviousTurn: request.GetPreviousTurn(), RequestId: request.GetRequestId(), Model: request.GetModel(),
		Input: request.GetInput(), Output: []*protocol.Item{{Role: "assistant", Text: m.text.String()}},
		InputTokens: m.backEndDone.InputTokens, OutputTokens: m.attemptTokens,
		KeptAtMillis: now.UnixMilli(), KeepUntilMillis: now.Add(m.parameters.Retention).UnixMilli(),
		BackEnd: m.backEnd, Epoch: m.epoch, HistoryTokens: max(m.historyTokens, m.backEndDone.InputTokens) + m.attemptTokens,
		Nonce: m.backEndDone.Nonce, CachedTokens: m.backEndDone.CachedTokens,
	}
}

// handleBackEndFailed ends an attempt. Another one follows if the fault and the limits allow it.
func (m *Machine) handleBackEndFailed(fault BackEndFailed, now time.Time) []Command {
	m.failedBackEnds = append(m.failedBackEnds, m.backEnd)
	m.failure = m.faultFailure(fault)
	switch fault.Fault {
	case FaultFenced, FaultRejected:
		return m.giveUp(now)
	case FaultBroken, FaultMismatch:
		if m.isHTTP() {
			// The server may have run the turn, and a turn of an HTTP route runs at one server only.
			return m.giveUp(now)
		}
		if m.emittedTokens > m.parameters.ReservationLimit/restartDivisor {
			return m.giveUp(now)
		}
	case FaultNotSent, FaultUnavailable, FaultWrongVersion:
	}
	if m.attemptCount >= m.parameters.AttemptLimit {
		return m.giveUp(now)
	}
	if fault.Fault == FaultWrongVersion {
		return m.chooseAnother()
	}
	m.state = stateRequestingRetry
	return []Command{RequestRetry{}}
}

// mayHaveRun reports whether the turn may have run in this attempt, which failed with the fault, or in an earlier one.
func (m *Machine) mayHaveRun(fault BackEndFault) bool {
	return m.mayHaveRunBefore || fault == FaultBroken || fault == FaultMismatch
}

func (m *Machine) recordMayHaveRun(fault BackEndFault) {
	m.mayHaveRunBefore = m.mayHaveRun(fault)
}

func (m *Machine) handleRetryDecided(event Event, now time.Time) []Command {
	decision, matches := event.(RetryDecided)
	if !matches {
		return nil
	}
	if !decision.Granted {
		return m.giveUp(now)
	}
	return m.chooseAnother()
}

// chooseAnother requests a back end at which no attempt of this turn has failed.
func (m *Machine) chooseAnother() []Command {
	m.state = stateChoosing
	return []Command{Choose{Avoid: append([]string(nil), m.failedBackEnds...)}}
}
