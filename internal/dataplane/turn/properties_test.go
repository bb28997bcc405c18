package turn_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

func drawResult(t *rapid.T) *protocol.LedgerResult {
	result := resultWithStatus(protocol.LedgerStatus(max(1, rapid.IntRange(-60, 14).Draw(t, "status"))))
	if result.GetStatus() == protocol.LedgerStatus_LEDGER_ALREADY_FINISHED {
		result.Finished = &protocol.FinishedRequest{
			Outcome: protocol.RequestOutcome(rapid.IntRange(1, 3).Draw(t, "outcome")), TurnId: "turn_1",
		}
		result.Call = &protocol.CallRecord{State: protocol.CallState(rapid.IntRange(1, 3).Draw(t, "call state")), Status: 200}
	}
	return result
}

func drawFault(t *rapid.T) turn.Event {
	return turn.BackEndFailed{Fault: turn.BackEndFault(rapid.IntRange(1, 6).Draw(t, "fault")), Detail: "drawn"}
}

func drawStop(t *rapid.T) turn.Event {
	return turn.Stopped{Reason: turn.StopReason(rapid.IntRange(1, 3).Draw(t, "reason"))}
}

// drawStoppedWithoutEffect draws the stop that the front node applies in place of a command that it does not execute.
func drawStoppedWithoutEffect(t *rapid.T) turn.Event {
	return turn.StoppedWithoutEffect(turn.StopReason(rapid.IntRange(1, 3).Draw(t, "reason")))
}

// drawAnswer draws the answer to a command of either machine, faults and rejections included.
func drawAnswer(t *rapid.T, command turn.Command) turn.Event {
	rejected := failure.New(failure.Overloaded, protocol.Outcome_NOT_RUN, "drawn").Failure
	granted := rapid.IntRange(0, 3).Draw(t, "granted") > 0
	switch command.(type) {
	case turn.Claim:
		return turn.Claimed{Result: drawResult(t)}
	case turn.ReadHistory:
		return turn.HistoryRead{Status: drawResult(t).GetStatus()}
	case turn.Admit:
		if granted {
			return turn.Admitted{}
		}
		return turn.NotAdmitted{Failure: rejected}
	case turn.Reserve:
		return turn.Reserved{Result: drawResult(t)}
	case turn.Choose:
		if granted {
			return turn.Chosen{BackEnd: "b"}
		}
		return turn.NotChosen{Failure: rejected}
	case turn.RequestRetry:
		return turn.RetryDecided{Granted: granted}
	case turn.Commit:
		return turn.Committed{Result: drawResult(t)}
	case turn.Release:
		return turn.Released{Result: drawResult(t)}
	case turn.Reject:
		return turn.Rejected{Result: drawResult(t)}
	case turn.ReadRetainedTurn:
		return turn.RetainedTurnRead{Turn: &protocol.Turn{Id: "turn_1"}, Status: protocol.LedgerStatus_LEDGER_OK}
	case turn.RecordIntent:
		return turn.IntentRecorded{Result: drawResult(t)}
	case turn.RecordOutcome:
		return turn.OutcomeRecorded{Result: drawResult(t)}
	case turn.RejectCall:
		return turn.CallRejected{Result: drawResult(t)}
	case turn.IssueCall:
		if rapid.Bool().Draw(t, "done") {
			return turn.CallAnswered{Status: 200, Body: []byte("{}"), ContentType: "application/json"}
		}
		return drawFault(t)
	case turn.Backoff:
		if granted {
			return turn.BackoffElapsed{}
		}
		return turn.Stopped{Reason: turn.StopAuthority}
	default:
		return nil
	}
}

// drawInterruption draws whether a stop takes the place of the command, as in the front node's shell.
func drawInterruption(t *rapid.T, command turn.Command) bool {
	return turn.Interruptible(command) && rapid.IntRange(0, 40).Draw(t, "stop") == 0
}

// observer checks what a turn's readers and the ledger observe.
type observer struct {
	t             *rapid.T
	attempt       uint32
	sequence      uint64
	terminal      *protocol.TurnEvent
	emittedTokens uint64
	slots         int
	reserved      bool
	issued        int
	mayHaveRun    bool
	notRunProved  bool
	released      *protocol.ReleaseTurn
	committed     bool
}

func (o *observer) observeCommand(command turn.Command) {
	switch command := command.(type) {
	case turn.Issue:
		if !o.reserved || o.terminal != nil {
			o.t.Fatalf("the turn was issued without a reservation or after its end")
		}
		o.issued++
	case turn.FreeSlot:
		o.slots--
	case turn.Release:
		o.released = command.Operation
	case turn.Emit:
		o.observeEmitted(command.Event)
	}
}

func (o *observer) observeEmitted(event *protocol.TurnEvent) {
	if o.terminal != nil {
		o.t.Fatalf("event %v was emitted after the end of the answer", event)
	}
	if event.GetAttempt() == o.attempt && event.GetSequence() != o.sequence+1 || event.GetAttempt() < o.attempt ||
		event.GetAttempt() > o.attempt && event.GetSequence() != 1 {
		o.t.Fatalf("event with attempt %d and sequence %d was emitted after attempt %d and sequence %d",
			event.GetAttempt(), event.GetSequence(), o.attempt, o.sequence)
	}
	o.attempt, o.sequence = event.GetAttempt(), event.GetSequence()
	o.emittedTokens += uint64(event.GetDelta().GetTokens())
	if event.GetCompleted() != nil || event.GetFailed() != nil {
		o.terminal = event
	}
}

func (o *observer) observeEvent(event turn.Event) {
	switch event := event.(type) {
	case turn.Admitted:
		o.slots++
	case turn.Reserved:
		o.reserved = event.Result.GetStatus() == protocol.LedgerStatus_LEDGER_OK
	case turn.Token:
		o.mayHaveRun = true
	case turn.BackEndFailed:
		o.mayHaveRun = o.mayHaveRun || event.Fault == turn.FaultBroken || event.Fault == turn.FaultMismatch
	case turn.Committed:
		o.committed = o.committed || event.Result.GetStatus() == protocol.LedgerStatus_LEDGER_OK ||
			event.Result.GetFinished().GetOutcome() == protocol.RequestOutcome_OUTCOME_SETTLED
	case turn.Released:
		o.observeProof(event.Result)
	case turn.Rejected:
		o.observeProof(event.Result)
	}
}

// observeProof records whether the ledger has confirmed that the request did not run.
func (o *observer) observeProof(result *protocol.LedgerResult) {
	o.notRunProved = o.notRunProved || result.GetStatus() == protocol.LedgerStatus_LEDGER_OK ||
		result.GetFinished().GetOutcome() == protocol.RequestOutcome_OUTCOME_NOT_RUN
}

func TestTurnAlwaysReportsItsTrueOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		firstSend := rapid.Bool().Draw(t, "first send")
		s := newScript(
			&protocol.TurnRequest{FirstSend: firstSend, LastAttempt: uint32(rapid.IntRange(0, 2).Draw(t, "last attempt"))},
		)
		o := &observer{t: t}
		pending := s.machine.Apply(turn.Begun{}, s.now)
		streaming := false
		for step := 0; !s.machine.Done() || len(pending) > 0; step++ {
			if step > 2000 {
				t.Fatal("the turn did not end within 2000 steps")
			}
			var event turn.Event
			if len(pending) > 0 {
				command := pending[0]
				pending = pending[1:]
				if drawInterruption(t, command) {
					pending = s.machine.Apply(drawStoppedWithoutEffect(t), s.now)
					continue
				}
				o.observeCommand(command)
				s.now = s.now.Add(10 * time.Millisecond)
				if _, issued := command.(turn.Issue); issued {
					streaming = true
					continue
				}
				event = drawAnswer(t, command)
			} else if streaming {
				event = drawBackEndEvent(t)
			}
			if event == nil {
				continue
			}
			o.observeEvent(event)
			if _, isToken := event.(turn.Token); !isToken {
				streaming = streaming && !endsAttempt(event)
			}
			pending = append(pending, s.machine.Apply(event, s.now)...)
		}
		checkOutcome(t, o, firstSend)
	})
}

func endsAttempt(event turn.Event) bool {
	switch event.(type) {
	case turn.BackEndDone, turn.BackEndFailed, turn.Stopped:
		return true
	default:
		return false
	}
}

func drawBackEndEvent(t *rapid.T) turn.Event {
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		return drawFault(t)
	case 1:
		return done
	case 2:
		return drawStop(t)
	default:
		return token
	}
}

func checkOutcome(t *rapid.T, o *observer, firstSend bool) {
	if o.terminal == nil {
		t.Fatal("the readers got no answer")
	}
	if o.emittedTokens > reservationLimit {
		t.Fatalf("%d tokens emitted under a reservation limit of %d", o.emittedTokens, reservationLimit)
	}
	if o.slots != 0 {
		t.Fatalf("%d slots are still held after the end of the turn, want 0", o.slots)
	}
	f := o.terminal.GetFailed()
	if f.GetOutcome() == protocol.Outcome_NOT_RUN {
		if o.mayHaveRun || o.emittedTokens > 0 {
			t.Fatalf("reported as not run although it may have run: %v", f)
		}
		mayRunElsewhere := f.GetCode() == string(failure.Fenced) || f.GetCode() == string(failure.NoAuthority) ||
			f.GetCode() == string(failure.RequestRejected)
		if !firstSend && !o.notRunProved && !mayRunElsewhere {
			t.Fatalf("reported as not run without proof by the ledger: %v", f)
		}
	}
	if o.emittedTokens > 0 && f != nil && f.GetOutcome() != protocol.Outcome_RAN {
		t.Fatalf("%d tokens were emitted, but the failure is %v, want outcome RAN", o.emittedTokens, f)
	}
	if o.emittedTokens > 0 && !o.committed && o.released != nil && o.released.GetTokens() < o.emittedTokens {
		t.Fatalf("%d tokens charged, want at least %d", o.released.GetTokens(), o.emittedTokens)
	}
}

func TestNonRepeatableCallNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := turn.NewCall(turn.CallParameters{
			Request: &protocol.ToolCallRequest{
				RequestId: "r1", Session: "s1", Tool: "valve", FirstSend: rapid.Bool().Draw(t, "first send"),
			},
			Owner: "f1", Attempt: "a1",
		})
		now := start
		pending := machine.Apply(turn.Begun{}, now)
		var answer *protocol.ToolCallResponse
		intentRecorded, possibleRuns, toolAnswered := false, 0, false
		for step := 0; len(pending) > 0; step++ {
			command := pending[0]
			pending = pending[1:]
			now = now.Add(100 * time.Millisecond)
			if step > 500 {
				t.Fatal("the call did not end within 500 steps")
			}
			if drawInterruption(t, command) {
				pending = machine.Apply(drawStoppedWithoutEffect(t), now)
				continue
			}
			if response, answered := command.(turn.Answer); answered {
				if answer != nil {
					t.Fatal("the caller was answered twice")
				}
				answer = response.Response
			}
			event := drawAnswer(t, command)
			if _, issue := command.(turn.IssueCall); issue {
				if !intentRecorded || possibleRuns > 0 {
					t.Fatal("the call was issued without a recorded intent, or again after it may have run")
				}
				fault, failed := event.(turn.BackEndFailed)
				if !failed || fault.Fault == turn.FaultBroken || fault.Fault == turn.FaultMismatch {
					possibleRuns++
				}
				_, toolAnswered = event.(turn.CallAnswered)
			}
			if recorded, ok := event.(turn.IntentRecorded); ok {
				intentRecorded = recorded.Result.GetStatus() == protocol.LedgerStatus_LEDGER_OK
			}
			if event != nil {
				pending = append(pending, machine.Apply(event, now)...)
			}
		}
		if answer == nil || !machine.Done() {
			t.Fatal("the call ended without an answer, or its machine is not done")
		}
		if answer.GetFailure().GetOutcome() == protocol.Outcome_NOT_RUN && possibleRuns > 0 {
			t.Fatalf("reported as not run although it may have run: %v", answer)
		}
		if toolAnswered && answer.GetFailure() != nil {
			t.Fatalf("the tool answered, but the caller got the failure %v", answer.GetFailure())
		}
	})
}
