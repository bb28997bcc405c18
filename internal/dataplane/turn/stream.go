package turn

import (
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

func (m *Machine) issued(event Event, now time.Time) []Command {
	switch answer := event.(type) {
	case Head:
		return m.head(answer, now)
	case AnswerCompleted:
		return m.answeredCompletely(answer, now)
	case Token:
		return m.token(answer, now)
	case BackEndDone:
		return m.finished(answer, now)
	case BackEndFailed:
		return m.failed(answer, now)
	}
	return nil
}

func (m *Machine) token(token Token, now time.Time) []Command {
	if token.NamesVersion && !m.matchesVersionPin([]uint64{token.WeightVersion}) {
		return m.versionChanged(now)
	}
	if m.attemptTokens+uint64(token.Tokens) > m.maxTokens {
		// Nothing beyond the reservation is ever passed on.
		f := failure.New(failure.BackEndFailed, protocol.Outcome_RAN, "the back end sent more tokens than it was allowed").Failure
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

func (m *Machine) finished(done BackEndDone, now time.Time) []Command {
	request := m.parameters.Request
	if done.Nonce != "" && request.GetNonce() != "" && done.Nonce != request.GetNonce() {
		return m.failed(BackEndFailed{Fault: FaultMismatch, Detail: "the answer carries another request's nonce"}, now)
	}
	if m.maxTokens < m.parameters.ReservationLimit && m.attemptTokens >= m.maxTokens {
		// A later attempt has less room than the caller asked for; its cut answer is not a whole one.
		f := failure.New(failure.BackEndFailed, protocol.Outcome_RAN, "the turn was begun anew and ran out of its reservation").Failure
		return m.charge(f, now)
	}
	m.done = done
	m.chargeUnreported(done)
	if m.isHTTP() && !m.isRetained() {
		return m.finishedUnretained(now)
	}
	m.commit = &protocol.SettleTurn{
		RequestId: request.GetRequestId(), Session: request.GetSession(), Epoch: m.epoch,
		Tokens: m.emittedTokens, Turn: m.retainedTurn(now), WeightVersions: m.step.seenVersions,
	}
	m.state = stateCommitting
	m.operationStartedAt, m.backoff = now, initialBackoff
	return append(m.leave(), Commit{Operation: m.commit})
}

// countUnseen charges output tokens that the back end counts beyond the pieces it sent.
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
		InputTokens: m.done.InputTokens, OutputTokens: m.attemptTokens,
		KeptAtMillis: now.UnixMilli(), KeepUntilMillis: now.Add(m.parameters.Retention).UnixMilli(),
		BackEnd: m.backEnd, Epoch: m.epoch, HistoryTokens: max(m.historyTokens, m.done.InputTokens) + m.attemptTokens,
		Nonce: m.done.Nonce, CachedTokens: m.done.CachedTokens,
	}
}

// failed ends an attempt; another one may follow when the fault allows it.
func (m *Machine) failed(fault BackEndFailed, now time.Time) []Command {
	m.avoid = append(m.avoid, m.backEnd)
	m.failure = m.faultFailure(fault)
	switch fault.Fault {
	case FaultFenced, FaultRejected:
		return m.giveUp(now)
	case FaultBroken, FaultMismatch:
		if m.isHTTP() {
			// The server may have run it, and it may run at one server only.
			return m.giveUp(now)
		}
		if m.emittedTokens > m.parameters.ReservationLimit/restartDivisor {
			return m.giveUp(now)
		}
	case FaultNotSent, FaultUnavailable, FaultWrongVersion:
	}
	if m.attemptCount >= m.parameters.MaxAttempts {
		return m.giveUp(now)
	}
	if fault.Fault == FaultWrongVersion {
		return m.chooseAnother()
	}
	m.state = stateRequestingRetry
	return []Command{RequestRetry{}}
}

// faultFailure words the failure that the caller hears unless another attempt succeeds.
func (m *Machine) faultFailure(fault BackEndFailed) *protocol.Failure {
	outcome := protocol.Outcome_NOT_RUN
	switch {
	case m.emittedTokens > 0:
		outcome = protocol.Outcome_RAN
	case m.mayHaveRun(fault.Fault):
		outcome = protocol.Outcome_UNKNOWN
	}
	m.recordRun(fault.Fault)
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

// mayHaveRun reports whether this fault, or one of an earlier attempt, may have let the turn run.
func (m *Machine) mayHaveRun(fault BackEndFault) bool {
	return m.ranBefore || fault == FaultBroken || fault == FaultMismatch
}

func (m *Machine) recordRun(fault BackEndFault) {
	m.ranBefore = m.mayHaveRun(fault)
}

func (m *Machine) retry(event Event, now time.Time) []Command {
	decided, matches := event.(RetryDecided)
	if !matches {
		return nil
	}
	if !decided.Granted {
		return m.giveUp(now)
	}
	return m.chooseAnother()
}

// chooseAnother asks for a back end that has not failed this turn.
func (m *Machine) chooseAnother() []Command {
	m.state = stateChoosing
	return []Command{Choose{Avoid: append([]string(nil), m.avoid...)}}
}

// giveUp ends a reserved turn: released when it surely was not run, charged otherwise.
func (m *Machine) giveUp(now time.Time) []Command {
	if m.ranBefore || m.emittedTokens > 0 {
		return m.charge(m.failure, now)
	}
	m.failure.Outcome = protocol.Outcome_NOT_RUN
	return m.releaseWith(m.failure, 0, now)
}

// charge ends a reserved turn that ran or may have run. At least one token is
// charged, because a release of none says that the request was not run.
func (m *Machine) charge(f *protocol.Failure, now time.Time) []Command {
	if m.emittedTokens > 0 {
		f.Outcome = protocol.Outcome_RAN
	} else {
		f.Outcome = protocol.Outcome_UNKNOWN
	}
	return m.releaseWith(f, max(m.emittedTokens, minCharge), now)
}

func (m *Machine) stop(event Stopped, now time.Time) []Command {
	f := stopFailure(event.Reason)
	switch m.state {
	case stateNew, stateResolving, stateClaiming, stateReading, stateAdmitting:
		return m.stopUnreserved(f, event.Reason, now)
	case stateReserving:
		if event.WithoutEffect {
			return m.stopUnreserved(f, event.Reason, now)
		}
		return m.releaseWith(f, 0, now)
	case stateChoosing, stateRequestingRetry:
		m.failure = f
		return m.giveUp(now)
	case stateIssued:
		return m.stopIssued(f, event, now)
	case stateCommitting:
		if event.Reason == StopAuthority {
			return m.notRetained(failure.NoAuthority, "the turn ran but the front node lost its authority before it was kept")
		}
	case stateReleasing:
		if event.Reason == StopAuthority {
			m.step.recording = false
			return prepend(m.end(m.unproved()), ForgetSession{})
		}
	case stateRejecting, stateReadingRetained, stateDone:
		// The ledger's word is awaited and ends the turn by itself.
	}
	return nil
}

// stopUnreserved stops a turn that holds nothing in the ledger.
func (m *Machine) stopUnreserved(f *protocol.Failure, reason StopReason, now time.Time) []Command {
	if reason == StopAuthority {
		return m.endHere(f)
	}
	return m.reject(f, now)
}

// stopIssued stops a turn that was to be issued. When that attempt surely did not run, the ones before it count.
func (m *Machine) stopIssued(f *protocol.Failure, event Stopped, now time.Time) []Command {
	if event.WithoutEffect && m.sequence == 0 {
		m.failure = f
		return m.giveUp(now)
	}
	m.ranBefore = true
	return prepend(m.charge(f, now), StopBackEnd{})
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
