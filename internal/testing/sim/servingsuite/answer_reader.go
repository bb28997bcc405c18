package servingsuite

import (
	"strconv"
	"strings"
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// outcome is what a caller learned of its request.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeCompleted
	// outcomeNotRun is a refusal: the request did not run and never will.
	outcomeNotRun
	// outcomeSpent is a refusal for a budget.
	outcomeSpent
	// outcomeRan is a failure of a request that ran.
	outcomeRan
)

// ending is how a request ended for its caller.
type ending struct {
	outcome    outcome
	turnID     string
	retryAfter time.Duration
}

// answerReader checks what one send of a request gets, event by event.
type answerReader struct {
	suite    *suite
	request  callerRequest
	attempt  uint32
	sequence uint64
	run      string
	text     strings.Builder
	place    int
}

func newAnswerReader(s *suite, request callerRequest) *answerReader {
	return &answerReader{suite: s, request: request}
}

// take takes one event and says whether it ended the request.
func (a *answerReader) take(body any) (ending, bool) {
	switch body := body.(type) {
	case broken:
		return ending{outcome: outcomeUnknown}, true
	case *protocol.TurnEvent:
		return a.turnEvent(body)
	case *protocol.ToolCallResponse:
		return a.callAnswer(body)
	default:
		return ending{}, false
	}
}

func (a *answerReader) turnEvent(event *protocol.TurnEvent) (ending, bool) {
	a.follow(event)
	switch {
	case event.GetDelta() != nil:
		a.delta(event.GetDelta().GetText())
	case event.GetCompleted() != nil:
		completed := event.GetCompleted()
		a.suite.rules.completed(a.request, completed, a.text.String(), a.place)
		return ending{outcome: outcomeCompleted, turnID: completed.GetTurnId()}, true
	case event.GetFailed() != nil:
		return a.failed(event.GetFailed()), true
	}
	return ending{}, false
}

// follow checks that an event comes right behind the one before, or begins a later attempt.
func (a *answerReader) follow(event *protocol.TurnEvent) {
	next := event.GetAttempt() == a.attempt && event.GetSequence() == a.sequence+1
	anew := event.GetAttempt() > a.attempt && event.GetSequence() == 1
	a.suite.rules.inOrder(next || anew, a.request, event)
	if anew {
		a.run, a.place = "", 0
		a.text.Reset()
	}
	a.attempt, a.sequence = event.GetAttempt(), event.GetSequence()
}

// delta checks that the pieces of an attempt are those of one execution of this very request, in order.
func (a *answerReader) delta(text string) {
	a.text.WriteString(text)
	for piece := range strings.SplitSeq(strings.TrimSuffix(text, ";"), ";") {
		parts := strings.Split(piece, "/")
		const partsOfPiece = 3
		if len(parts) != partsOfPiece {
			a.suite.rules.spliced(false, a.request, piece)
			continue
		}
		a.suite.rules.ownAnswer(parts[0] == a.request.id(), a.request, piece)
		follows := parts[2] == strconv.Itoa(a.place) && (a.run == "" || a.run == parts[1])
		a.suite.rules.spliced(follows, a.request, piece)
		a.run = parts[1]
		a.place++
		a.suite.rules.received(a.request, piece)
	}
}

func (a *answerReader) callAnswer(answer *protocol.ToolCallResponse) (ending, bool) {
	if answer.GetFailure() != nil {
		return a.failed(answer.GetFailure()), true
	}
	a.suite.rules.ownAnswer(string(answer.GetBody()) == a.request.call.GetNonce(), a.request, string(answer.GetBody()))
	return ending{outcome: outcomeCompleted}, true
}

func (a *answerReader) failed(failed *protocol.Failure) ending {
	ended := ending{retryAfter: time.Duration(failed.GetRetryAfterMillis()) * time.Millisecond}
	switch failed.GetOutcome() {
	case protocol.Outcome_NOT_RUN:
		ended.outcome = outcomeNotRun
		a.suite.rules.refused(a.request.id(), failed)
		code := failure.Code(failed.GetCode())
		if code == failure.BudgetSpent || code == failure.BudgetReserved || code == failure.WrongContinuation {
			ended.outcome = outcomeSpent
		}
	case protocol.Outcome_RAN:
		ended.outcome = outcomeRan
	default:
		ended.outcome = outcomeUnknown
	}
	return ended
}
