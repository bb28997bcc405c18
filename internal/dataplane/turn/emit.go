package turn

import (
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// ID returns the id of the turn that answers a request. It is derived from the
// program and the request id, so every send of one request has the same turn.
func ID(program, requestID string) string {
	return ledger.TurnID(program, requestID)
}

// emit numbers an event and returns the command that emits it.
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
		TurnId: m.parameters.TurnID, Text: m.text.String(), InputTokens: m.backEndDone.InputTokens,
		OutputTokens: m.attemptTokens, CachedTokens: m.backEndDone.CachedTokens, Nonce: m.backEndDone.Nonce,
	}}})
}

// emitEnd emits the event that ends the answer: the completion of a generation that is being recorded, else the
// server's complete answer if there is one, else the failure.
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

// Replay returns the events that emit the answer of a retained turn again, under the attempt number.
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
			TurnId: retained.GetId(), Text: text.String(), InputTokens: retained.GetInputTokens(),
			OutputTokens: retained.GetOutputTokens(),
			CachedTokens: retained.GetCachedTokens(), Nonce: retained.GetNonce(),
		}}},
	}
}
