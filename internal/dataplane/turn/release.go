package turn

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// releaseWith releases the reservation and charges the tokens. The caller gets the failure, or an answer that follows
// from the ledger's result.
func (m *Machine) releaseWith(f *protocol.Failure, tokens uint64, now time.Time) []Command {
	m.failure = f
	if !m.UsesLedger() {
		return m.end(f)
	}
	m.state = stateReleasing
	m.operation = beginOperation(now)
	request := m.parameters.Request
	m.releaseOperation = &protocol.ReleaseTurn{
		RequestId: request.GetRequestId(), Session: request.GetSession(), Epoch: m.epoch, Tokens: tokens,
	}
	m.addVersionsToRelease()
	if m.isHTTP() && !m.answerEnded && !m.step.recording {
		// The request id is used for one send only, so that no other node may run the turn. The caller need not wait for
		// the ledger's confirmation.
		return append(m.slot.free(), m.emitEnd(f), Release{Operation: m.releaseOperation})
	}
	return append(m.slot.free(), Release{Operation: m.releaseOperation})
}

func (m *Machine) handleReleaseEvent(event Event, now time.Time) []Command {
	switch answer := event.(type) {
	case BackoffElapsed:
		return []Command{Release{Operation: m.releaseOperation}}
	case Released:
		return m.handleReleaseResult(answer.Result, now)
	}
	return nil
}

func (m *Machine) handleReleaseResult(result *protocol.LedgerResult, now time.Time) []Command {
	if isRejected(result.GetStatus()) {
		m.step.recording = false
	}
	switch result.GetStatus() {
	case protocol.LedgerStatus_LEDGER_OK:
		return m.end(m.failure)
	case protocol.LedgerStatus_LEDGER_ALREADY_FINISHED:
		outcome := result.GetFinished().GetOutcome()
		if m.releaseOperation.GetTokens() == 0 && outcome != protocol.RequestOutcome_OUTCOME_NOT_RUN {
			return m.answerFinished(result.GetFinished())
		}
		return m.end(m.failure)
	case protocol.LedgerStatus_LEDGER_UNAVAILABLE, protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT:
		return m.handleReleaseUnavailable(now)
	case protocol.LedgerStatus_LEDGER_NOT_RESERVED:
		if m.releaseOperation.GetTokens() == 0 && !m.answerEnded {
			return m.reject(m.failure)
		}
	default:
	}
	fenced := result.GetStatus() == protocol.LedgerStatus_LEDGER_FENCED
	return prepend(m.end(m.unprovenFailure()), ForgetSession{Fenced: fenced})
}

// handleReleaseUnavailable answers the caller after confirmationTimeout and keeps retrying in the background, so that
// no budget stays reserved.
func (m *Machine) handleReleaseUnavailable(now time.Time) []Command {
	waited := m.operation.elapsed(now)
	if waited >= confirmationTimeout && !m.answerEnded {
		m.discardGeneration()
		return prepend(m.operation.backOff(), m.emitFailed(m.unprovenFailure()))
	}
	return m.operation.backOff()
}

// unprovenFailure returns the failure with the outcome UNKNOWN in place of NOT_RUN, which the ledger has not confirmed.
func (m *Machine) unprovenFailure() *protocol.Failure {
	if m.failure.GetOutcome() == protocol.Outcome_NOT_RUN {
		m.failure.Outcome = protocol.Outcome_UNKNOWN
	}
	return m.failure
}
