package turn

import (
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// A turn of an HTTP route differs from other turns in three ways:
//
//   - Its request and answer are bytes that are forwarded unchanged.
//   - Its request id is used for one send only. A turn that was not issued by this node therefore runs nowhere, and
//     the caller gets the end of the answer while the ledger operation is still in flight.
//   - It may continue any retained turn; several turns may continue the same one concurrently.

// programRetentionFactor times the retention of a turn is how long the ledger retains the state of an idle program. A
// program that was stopped may continue within one retention.
const programRetentionFactor = 3

// minRetention is the minimum turn retention from which the retention of a program is computed, for routes that
// configure a shorter retention or none.
const minRetention = time.Minute

func (m *Machine) isHTTP() bool { return m.parameters.Request.GetHttp() != nil }

// isRetained reports whether the turn is retained so that other turns can continue it.
func (m *Machine) isRetained() bool { return m.parameters.Request.GetHttp().GetStateful() }

// UsesLedger reports whether the turn is recorded in the ledger.
func (m *Machine) UsesLedger() bool { return UsesLedger(m.parameters.Request) }

// UsesLedger reports whether the turn of a request is recorded in the ledger.
func UsesLedger(request *protocol.TurnRequest) bool {
	if request.GetHttp() == nil {
		return true
	}
	if request.GetProgram() == "" {
		return false
	}
	return request.GetHttp().GetStateful() || request.GetProgramBudget() > 0 || request.GetTrainingStep() != ""
}

func (m *Machine) handleHTTPAdmitted() []Command {
	switch {
	case !m.UsesLedger():
		m.state = stateChoosing
		return []Command{Choose{}}
	case m.isRetained() && m.parameters.Request.GetPreviousTurn() != "":
		m.state = stateReading
		return []Command{ReadHistory{LastTurn: m.parameters.Request.GetPreviousTurn()}}
	default:
		m.state = stateReserving
		return []Command{m.reserveCommand()}
	}
}

// httpReserveCommand claims the session's epoch and reserves the turn's limit in one operation.
func (m *Machine) httpReserveCommand() Command {
	request := m.parameters.Request
	return Reserve{Operation: &protocol.ReserveTurn{
		RequestId: request.GetRequestId(), Session: request.GetSession(), Ceiling: m.parameters.ReservationLimit,
		PreviousTurn: request.GetPreviousTurn(), Fork: true, TrainingStep: m.stepReference(),
		Claim: &protocol.ClaimSession{
			Session: request.GetSession(), Owner: m.parameters.Owner, OwnerIncarnation: m.parameters.Incarnation,
			Tenant: request.GetTenant(), Budget: m.parameters.Budget,
			KeepingMillis: (programRetentionFactor * max(m.parameters.Retention, minRetention)).Milliseconds(),
		},
	}}
}

// handleHead emits the head of the answer before the first event.
func (m *Machine) handleHead(head Head, now time.Time) []Command {
	if m.sequence > 0 {
		return nil
	}
	if !m.matchesVersionPin(head.WeightVersions) {
		return m.endForVersionChange(now)
	}
	command := m.emitCreated().(Emit)
	command.Event.GetCreated().Head = head.Answer
	return []Command{command}
}

// handleCompleteAnswer ends and charges a turn that the server answered without a stream; it may have run.
func (m *Machine) handleCompleteAnswer(answer CompleteAnswer, now time.Time) []Command {
	m.mayHaveRunBefore = true
	if m.hasTrainingStep() && !m.acceptsCompleteAnswer(answer) {
		return m.endForVersionChange(now)
	}
	m.completeAnswer = answer.Answer
	f := failure.New(failure.BackEndFailed, protocol.Outcome_RAN, "the server answered without a stream").Failure
	return m.charge(f, now)
}

// completeUnretained completes a turn that is not retained. Unless it belongs to a training step, its answer ends
// before the ledger has charged it.
func (m *Machine) completeUnretained(now time.Time) []Command {
	if m.hasTrainingStep() {
		return m.recordGeneration(now)
	}
	completed := m.emitCompleted()
	if !m.UsesLedger() {
		m.state = stateDone
		return append(append(m.slot.free(), completed), Finish{})
	}
	f := failure.New(failure.OutcomeUnknown, protocol.Outcome_RAN, "the turn was answered").Failure
	return prepend(m.charge(f, now), completed)
}

func (m *Machine) retainedHTTPTurn(now time.Time) *protocol.Turn {
	request := m.parameters.Request
	return &protocol.Turn{
		Id: m.parameters.TurnID, Program: request.GetProgram(), Session: request.GetSession(),
		PreviousTurn: request.GetPreviousTurn(), PreviousProgram: m.previousProgram, RequestId: request.GetRequestId(),
		Input: request.GetInput(), Output: []*protocol.Item{{Data: m.output}}, OutputTokens: m.attemptTokens,
		KeptAtMillis: now.UnixMilli(), KeepUntilMillis: now.Add(m.parameters.Retention).UnixMilli(),
		BackEnd: m.backEnd, Epoch: m.epoch, HistoryTokens: m.historyTokens + m.attemptTokens,
	}
}
