package turn

import (
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// FailureContentType marks a recorded outcome that is a failure of this system, not a tool's answer.
const FailureContentType = "application/vnd.rosestand.failure+json"

// CallParameters are fixed when a tool call begins.
type CallParameters struct {
	Request     *protocol.ToolCallRequest
	Owner       string
	Incarnation uint64
	Budget      uint64
	// Unrecorded calls have no record in the ledger: their request id is used for one send to one
	// owner only, so no other copy exists that must be kept from running.
	Unrecorded bool
	// Idempotent calls need no recorded intent and may be retried after a broken answer.
	Idempotent bool
	// Attempt is unique to this machine; only the attempt that recorded the intent may issue the call.
	Attempt string
	// AttemptLimit bounds the attempts at back ends; 0 means DefaultAttemptLimit.
	AttemptLimit uint32
	// RunLimit bounds the number of back ends that may have run an idempotent call; with 0 only AttemptLimit bounds it.
	RunLimit      uint32
	BundleVersion uint64
}

type callState int

const (
	callNew callState = iota
	callAdmitting
	callClaiming
	callChoosing
	callRecordingIntent
	callIssued
	callRequestingRetry
	callRecordingOutcome
	callRejecting
	callDone
)

// CallMachine is the state machine of one tool call at the owner of its session. The package comment lists its
// states.
type CallMachine struct {
	parameters CallParameters
	state      callState
	epoch      uint64
	slot       slot
	hasIntent  bool
	// mayHaveRunBefore is true once an attempt may have run the call.
	mayHaveRunBefore bool
	answered         bool
	backEnd          string
	failedBackEnds   []string
	attemptCount     uint32
	// possibleRuns counts the attempts that may have run the call.
	possibleRuns uint32

	failure *protocol.Failure
	// operation times the ledger operation in flight.
	operation        ledgerOperation
	outcomeOperation *protocol.FinishCall
	response         *protocol.ToolCallResponse
}

// NewCall returns the machine of one tool call.
func NewCall(parameters CallParameters) *CallMachine {
	if parameters.AttemptLimit == 0 {
		parameters.AttemptLimit = DefaultAttemptLimit
	}
	return &CallMachine{parameters: parameters}
}

// Done reports whether the machine has finished.
func (m *CallMachine) Done() bool { return m.state == callDone }

// Apply applies one event and returns the next commands, in order. An event that
// the current state does not await is ignored.
func (m *CallMachine) Apply(event Event, now time.Time) []Command {
	switch event := event.(type) {
	case Begun:
		return m.begin()
	case Claimed:
		return m.handleClaimed(event)
	case Admitted:
		return m.handleAdmitted()
	case NotAdmitted:
		return m.reject(event.Failure)
	case Chosen:
		return m.handleChosen(event, now)
	case NotChosen:
		return m.handleNotChosen(event, now)
	case IntentRecorded:
		return m.handleIntentRecorded(event, now)
	case CallAnswered:
		return m.handleCallAnswered(event, now)
	case BackEndFailed:
		return m.handleBackEndFailed(event, now)
	case RetryDecided:
		return m.handleRetryDecided(event, now)
	case OutcomeRecorded:
		return m.handleOutcomeRecorded(event, now)
	case CallRejected:
		return m.handleCallRejected(event)
	case BackoffElapsed:
		return m.handleBackoffElapsed()
	case Stopped:
		return m.handleStop(event, now)
	}
	return nil
}

func (m *CallMachine) begin() []Command {
	if m.state != callNew {
		return nil
	}
	m.state = callAdmitting
	return []Command{Admit{}}
}

// claimSession requests the session's epoch once the call has a slot.
func (m *CallMachine) claimSession() []Command {
	m.state = callClaiming
	request := m.parameters.Request
	return []Command{Claim{Operation: &protocol.ClaimSession{
		Session: request.GetSession(), Owner: m.parameters.Owner, OwnerIncarnation: m.parameters.Incarnation,
		Tenant: request.GetTenant(), Budget: m.parameters.Budget,
	}}}
}

func (m *CallMachine) handleClaimed(event Claimed) []Command {
	if m.state != callClaiming {
		return nil
	}
	switch status := event.Result.GetStatus(); {
	case status == protocol.LedgerStatus_LEDGER_FENCED:
		return prepend(m.fail(ledgerFailure(status)), ForgetSession{Fenced: true})
	case status != protocol.LedgerStatus_LEDGER_OK:
		return m.reject(ledgerFailure(status))
	}
	m.epoch = event.Result.GetEpoch()
	m.state = callChoosing
	return []Command{Choose{}}
}

func (m *CallMachine) handleAdmitted() []Command {
	if m.state != callAdmitting {
		return nil
	}
	m.slot = true
	if m.parameters.Unrecorded {
		m.state = callChoosing
		return []Command{Choose{}}
	}
	return m.claimSession()
}

// handleChosen issues the call. The intent of a non-repeatable call is recorded once, just before the first issue.
func (m *CallMachine) handleChosen(event Chosen, now time.Time) []Command {
	if m.state != callChoosing {
		return nil
	}
	m.backEnd = event.BackEnd
	if m.parameters.Idempotent || m.parameters.Unrecorded || m.hasIntent {
		return m.issue()
	}
	m.state = callRecordingIntent
	m.operation = beginOperation(now)
	return []Command{m.intentCommand()}
}

func (m *CallMachine) intentCommand() Command {
	request := m.parameters.Request
	return RecordIntent{Operation: &protocol.BeginCall{
		RequestId: request.GetRequestId(), Session: request.GetSession(), Epoch: m.epoch,
		Tool: request.GetTool(), Attempt: m.parameters.Attempt,
	}}
}

func (m *CallMachine) issue() []Command {
	m.state = callIssued
	m.attemptCount++
	return []Command{IssueCall{BackEnd: m.backEnd, Epoch: m.epoch}}
}

func (m *CallMachine) handleNotChosen(event NotChosen, now time.Time) []Command {
	if m.state != callChoosing {
		return nil
	}
	if m.failure == nil {
		m.failure = event.Failure
	}
	return m.giveUp(now)
}

func (m *CallMachine) handleIntentRecorded(event IntentRecorded, now time.Time) []Command {
	if m.state != callRecordingIntent {
		return nil
	}
	switch status := event.Result.GetStatus(); status {
	case protocol.LedgerStatus_LEDGER_OK:
		m.hasIntent = true
		return m.issue()
	case protocol.LedgerStatus_LEDGER_ALREADY_FINISHED:
		return m.answerFromRecord(event.Result.GetCall())
	case protocol.LedgerStatus_LEDGER_CALL_UNDER_WAY, protocol.LedgerStatus_LEDGER_ALREADY_RESERVED:
		return m.fail(failure.New(failure.OutcomeUnknown, protocol.Outcome_UNKNOWN,
			"this call was begun before and has no outcome; it is never issued again").Failure)
	case protocol.LedgerStatus_LEDGER_FENCED:
		return prepend(m.fail(ledgerFailure(status)), ForgetSession{Fenced: true})
	case protocol.LedgerStatus_LEDGER_UNAVAILABLE, protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT:
		if m.operation.elapsed(now) < confirmationTimeout {
			return m.operation.backOff()
		}
		return m.reject(ledgerFailure(status))
	default:
		return m.reject(ledgerFailure(status))
	}
}

// answerFromRecord answers a repeated call from its record in the ledger.
func (m *CallMachine) answerFromRecord(record *protocol.CallRecord) []Command {
	switch {
	case record.GetState() == protocol.CallState_CALL_NOT_RUN:
		return m.fail(failure.New(failure.RequestRejected, protocol.Outcome_NOT_RUN,
			"this call was refused before; send it again under a new idempotency key").Failure)
	case record.GetState() != protocol.CallState_CALL_DONE:
		return m.fail(failure.New(failure.OutcomeUnknown, protocol.Outcome_UNKNOWN,
			"this call was begun before and has no outcome; it is never issued again").Failure)
	}
	return m.answer(RecordedAnswer(record))
}

func (m *CallMachine) handleCallAnswered(event CallAnswered, now time.Time) []Command {
	if m.state != callIssued {
		return nil
	}
	m.response = &protocol.ToolCallResponse{
		Status: event.Status, Body: event.Body, ContentType: event.ContentType, BackEnd: m.backEnd, Epoch: m.epoch,
		Headers: event.Headers,
	}
	if m.parameters.Idempotent || m.parameters.Unrecorded {
		return m.answer(m.response)
	}
	return m.recordOutcome(event.Status, event.Body, event.ContentType, now)
}

// recordOutcome makes the outcome durable before the caller gets it.
func (m *CallMachine) recordOutcome(status uint32, body []byte, contentType string, now time.Time) []Command {
	m.state = callRecordingOutcome
	m.operation = beginOperation(now)
	m.outcomeOperation = &protocol.FinishCall{
		RequestId: m.parameters.Request.GetRequestId(), Attempt: m.parameters.Attempt,
		Status: status, Body: body, ContentType: contentType,
	}
	return append(m.slot.free(), RecordOutcome{Operation: m.outcomeOperation})
}

// RecordedAnswer returns the answer that the ledger has recorded for a finished call. A recorded failure that cannot be
// decoded becomes an internal error.
func RecordedAnswer(record *protocol.CallRecord) *protocol.ToolCallResponse {
	if record.GetContentType() != FailureContentType {
		return &protocol.ToolCallResponse{
			Status: record.GetStatus(), Body: record.GetBody(), ContentType: record.GetContentType(), Epoch: record.GetEpoch(),
		}
	}
	recorded := &protocol.Failure{}
	if err := protojson.Unmarshal(record.GetBody(), recorded); err != nil {
		recorded = failure.New(failure.InternalError, protocol.Outcome_UNKNOWN, "the recorded outcome cannot be read").Failure
	}
	return &protocol.ToolCallResponse{Failure: recorded}
}
