package turn_test

import (
	"maps"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

var toolAnswer = turn.CallAnswered{Status: 200, Body: []byte(`{"a":1}`), ContentType: "application/json"}

// runCall runs the machine of a call and returns the response and the number of commands of each kind. The answers to a
// kind of command are used in order; the last one is repeated.
func runCall(idempotent bool, answers map[string][]turn.Event) (*protocol.ToolCallResponse, map[string]int) {
	machine := turn.NewCall(turn.CallParameters{
		Request: &protocol.ToolCallRequest{RequestId: "r1", Session: "s1", Tool: "valve"}, Owner: "f1", Attempt: "a1",
		Idempotent: idempotent,
	})
	defaults := map[string][]turn.Event{
		"claim": {turn.Claimed{Result: okResult}}, "admit": {turn.Admitted{}}, "choose": {turn.Chosen{BackEnd: "b"}},
		"intent": {turn.IntentRecorded{Result: okResult}}, "outcome": {turn.OutcomeRecorded{Result: okResult}},
		"reject": {turn.CallRejected{Result: okResult}},
		"issue":  {toolAnswer}, "retry": {turn.RetryDecided{Granted: true}}, "backoff": {turn.BackoffElapsed{}},
	}
	maps.Copy(defaults, answers)
	counts := map[string]int{}
	var response *protocol.ToolCallResponse
	now := start
	pending := machine.Apply(turn.Begun{}, now)
	for len(pending) > 0 {
		command := pending[0]
		pending = pending[1:]
		now = now.Add(300 * time.Millisecond)
		if answer, answered := command.(turn.Answer); answered {
			response = answer.Response
		}
		name := callCommandName(command)
		if name == "" {
			continue
		}
		counts[name]++
		events := defaults[name]
		if len(events) > 1 {
			defaults[name] = events[1:]
		}
		pending = append(pending, machine.Apply(events[0], now)...)
	}
	return response, counts
}

func callCommandName(command turn.Command) string {
	switch command.(type) {
	case turn.RecordIntent:
		return "intent"
	case turn.RecordOutcome:
		return "outcome"
	case turn.RejectCall:
		return "reject"
	case turn.IssueCall:
		return "issue"
	default:
		return commandName(command)
	}
}

func TestToolCallOutcomes(t *testing.T) {
	unavailable := resultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE)
	none := turn.NotChosen{Failure: failure.New(failure.NoBackEnd, protocol.Outcome_NOT_RUN, "none").Failure}
	underWay := resultWithStatus(protocol.LedgerStatus_LEDGER_CALL_UNDER_WAY)
	recorded := func(record *protocol.CallRecord) *protocol.LedgerResult {
		return &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_ALREADY_FINISHED, Call: record}
	}
	cases := map[string]struct {
		idempotent bool
		answers    map[string][]turn.Event
		code       failure.Code
		outcome    protocol.Outcome
		counts     map[string]int
	}{
		"runs once": {counts: map[string]int{"intent": 1, "issue": 1, "outcome": 1}},
		"is never issued again after it may have run": {
			answers: map[string][]turn.Event{"issue": {broken}}, code: failure.OutcomeUnknown, outcome: protocol.Outcome_UNKNOWN,
			counts: map[string]int{"issue": 1, "outcome": 0},
		},
		"is issued again under the same intent after a rejection that proves it did not run": {
			answers: map[string][]turn.Event{"issue": {busy, toolAnswer}},
			counts:  map[string]int{"intent": 1, "issue": 2, "outcome": 1},
		},
		"records its rejection after the intent was recorded": {
			answers: map[string][]turn.Event{"issue": {busy}, "retry": {turn.RetryDecided{}}},
			code:    failure.Overloaded, outcome: protocol.Outcome_NOT_RUN, counts: map[string]int{"outcome": 1},
		},
		"did not run when it is stopped before it is issued": {
			answers: map[string][]turn.Event{"issue": {turn.StoppedWithoutEffect(turn.StopDeadline)}},
			code:    failure.DeadlineExceeded, outcome: protocol.Outcome_NOT_RUN, counts: map[string]int{"outcome": 1},
		},
		"is unknown when it is stopped while a server may be running it": {
			answers: map[string][]turn.Event{"issue": {turn.Stopped{Reason: turn.StopDeadline}}},
			code:    failure.DeadlineExceeded, outcome: protocol.Outcome_UNKNOWN, counts: map[string]int{"outcome": 0},
		},
		"is unknown when it is stopped before it is issued again": {
			idempotent: true, answers: map[string][]turn.Event{"issue": {broken, turn.StoppedWithoutEffect(turn.StopDeadline)}},
			code: failure.DeadlineExceeded, outcome: protocol.Outcome_UNKNOWN, counts: map[string]int{"issue": 2},
		},
		"is unknown when its rejection could not be recorded": {
			answers: map[string][]turn.Event{
				"issue": {busy}, "retry": {turn.RetryDecided{}},
				"outcome": {turn.OutcomeRecorded{Result: resultWithStatus(protocol.LedgerStatus_LEDGER_FENCED)}},
			},
			code: failure.Overloaded, outcome: protocol.Outcome_UNKNOWN,
		},
		"is rejected with a tombstone when no server can run it": {
			answers: map[string][]turn.Event{"choose": {none}}, code: failure.NoBackEnd, outcome: protocol.Outcome_NOT_RUN,
			counts: map[string]int{"intent": 0, "reject": 1},
		},
		"is unknown when another attempt has recorded the intent": {
			answers: map[string][]turn.Event{"intent": {turn.IntentRecorded{Result: underWay}}},
			code:    failure.OutcomeUnknown, outcome: protocol.Outcome_UNKNOWN, counts: map[string]int{"issue": 0},
		},
		"is answered from the recorded outcome": {
			answers: map[string][]turn.Event{
				"intent": {
					turn.IntentRecorded{Result: recorded(&protocol.CallRecord{State: protocol.CallState_CALL_DONE, Status: 200})},
				},
			},
			counts: map[string]int{"issue": 0},
		},
		"is rejected by an earlier tombstone": {
			answers: map[string][]turn.Event{
				"intent": {turn.IntentRecorded{Result: recorded(&protocol.CallRecord{State: protocol.CallState_CALL_NOT_RUN})}},
			},
			code: failure.RequestRejected, outcome: protocol.Outcome_NOT_RUN, counts: map[string]int{"issue": 0},
		},
		"records the same intent again when the ledger was unavailable": {
			answers: map[string][]turn.Event{
				"intent": {turn.IntentRecorded{Result: unavailable}, turn.IntentRecorded{Result: okResult}},
			},
			counts: map[string]int{"intent": 2, "issue": 1},
		},
		"retries to record the outcome until the ledger answers": {
			answers: map[string][]turn.Event{
				"outcome": {
					turn.OutcomeRecorded{Result: unavailable},
					turn.OutcomeRecorded{Result: unavailable},
					turn.OutcomeRecorded{Result: okResult},
				},
			},
			counts: map[string]int{"issue": 1, "outcome": 3},
		},
		"is issued again after it may have run when it is idempotent": {
			idempotent: true, answers: map[string][]turn.Event{"issue": {broken, toolAnswer}}, counts: map[string]int{
				"intent": 0, "issue": 2,
			},
		},
		"is unknown when an idempotent one may have run before a rejection": {
			idempotent: true, answers: map[string][]turn.Event{
				"issue": {broken, busy}, "retry": {turn.RetryDecided{Granted: true}, turn.RetryDecided{}},
			},
			code: failure.Overloaded, outcome: protocol.Outcome_UNKNOWN,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			response, counts := runCall(c.idempotent, c.answers)
			if got := response.GetFailure(); got.GetCode() != string(c.code) || got.GetOutcome() != c.outcome {
				t.Fatalf("answered with %v, want failure code %q with outcome %v", response, c.code, c.outcome)
			}
			for command, want := range c.counts {
				if counts[command] != want {
					t.Fatalf("%d commands of kind %q, want %d", counts[command], command, want)
				}
			}
		})
	}
}
