package servingsuite

import (
	"strconv"
	"strings"
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// outcome is what a caller knows of its request.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeCompleted
	// outcomeNotRun is a rejection: the request did not run and never will.
	outcomeNotRun
	// outcomeBudgetSpent is a rejection after which the program cannot continue.
	outcomeBudgetSpent
	// outcomeRan is a failure of a request that ran.
	outcomeRan
)

// requestResult is how a request ended for its caller.
type requestResult struct {
	outcome    outcome
	turnID     string
	retryAfter time.Duration
}

// answerReader checks the answer to one send of a request, event by event.
type answerReader struct {
	suite     *suite
	request   callerRequest
	attempt   uint32
	sequence  uint64
	execution string
	text      strings.Builder
	chunks    int
}

func newAnswerReader(s *suite, request callerRequest) *answerReader {
	return &answerReader{suite: s, request: request}
}

// readEvent reads one event and reports whether it ended the request.
func (a *answerReader) readEvent(body any) (requestResult, bool) {
	switch body := body.(type) {
	case broken:
		return requestResult{outcome: outcomeUnknown}, true
	case *protocol.TurnEvent:
		return a.turnEvent(body)
	case *protocol.ToolCallResponse:
		return a.callAnswer(body)
	default:
		return requestResult{}, false
	}
}

func (a *answerReader) turnEvent(event *protocol.TurnEvent) (requestResult, bool) {
	a.checkSequence(event)
	switch {
	case event.GetDelta() != nil:
		a.delta(event.GetDelta().GetText())
	case event.GetCompleted() != nil:
		completed := event.GetCompleted()
		a.suite.rules.checkCompletion(a.request, completed, a.text.String(), a.chunks)
		return requestResult{outcome: outcomeCompleted, turnID: completed.GetTurnId()}, true
	case event.GetFailed() != nil:
		return a.failed(event.GetFailed()), true
	}
	return requestResult{}, false
}

// checkSequence checks that an event follows the previous one directly, or begins a later attempt.
func (a *answerReader) checkSequence(event *protocol.TurnEvent) {
	next := event.GetAttempt() == a.attempt && event.GetSequence() == a.sequence+1
	anew := event.GetAttempt() > a.attempt && event.GetSequence() == 1
	a.suite.rules.checkEventOrder(next || anew, a.request, event)
	if anew {
		a.execution, a.chunks = "", 0
		a.text.Reset()
	}
	a.attempt, a.sequence = event.GetAttempt(), event.GetSequence()
}

// delta checks that the chunks of an attempt are those of one execution of this request, in order.
func (a *answerReader) delta(text string) {
	a.text.WriteString(text)
	for chunk := range strings.SplitSeq(strings.TrimSuffix(text, ";"), ";") {
		parts := strings.Split(chunk, "/")
		const chunkFields = 3
		if len(parts) != chunkFields {
			a.suite.rules.checkChunk(false, a.request, chunk)
			continue
		}
		a.suite.rules.checkAnswer(parts[0] == a.request.id(), a.request, chunk)
		follows := parts[2] == strconv.Itoa(a.chunks) && (a.execution == "" || a.execution == parts[1])
		a.suite.rules.checkChunk(follows, a.request, chunk)
		a.execution = parts[1]
		a.chunks++
		a.suite.rules.countOutput(a.request, chunk)
	}
}

func (a *answerReader) callAnswer(answer *protocol.ToolCallResponse) (requestResult, bool) {
	if answer.GetFailure() != nil {
		return a.failed(answer.GetFailure()), true
	}
	a.suite.rules.checkAnswer(string(answer.GetBody()) == a.request.call.GetNonce(), a.request, string(answer.GetBody()))
	return requestResult{outcome: outcomeCompleted}, true
}

func (a *answerReader) failed(failed *protocol.Failure) requestResult {
	result := requestResult{retryAfter: time.Duration(failed.GetRetryAfterMillis()) * time.Millisecond}
	switch failed.GetOutcome() {
	case protocol.Outcome_NOT_RUN:
		result.outcome = outcomeNotRun
		a.suite.rules.observeRejection(a.request.id(), failed)
		code := failure.Code(failed.GetCode())
		if code == failure.BudgetSpent || code == failure.BudgetReserved || code == failure.WrongContinuation {
			result.outcome = outcomeBudgetSpent
		}
	case protocol.Outcome_RAN:
		result.outcome = outcomeRan
	default:
		result.outcome = outcomeUnknown
	}
	return result
}
