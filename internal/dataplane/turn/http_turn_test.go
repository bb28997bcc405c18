package turn_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const httpInput = "new input"

// httpRequest returns the request of a turn of an HTTP route.
func httpRequest(stateful bool, budget uint64, previous string) *protocol.TurnRequest {
	return &protocol.TurnRequest{
		FirstSend: true, PreviousTurn: previous, ProgramBudget: budget, Input: []*protocol.Item{{Data: []byte(httpInput)}},
		Http: &protocol.HttpRequest{Route: "turns", Stateful: stateful},
	}
}

// httpEvent returns an event of a server's stream.
func httpEvent(data string) turn.Token {
	return turn.Token{Tokens: 1, Event: []byte("data: " + data + "\n\n"), Data: []byte(data)}
}

var (
	httpHead = turn.Head{Answer: &protocol.HttpAnswer{Status: 200}}
	httpDone = turn.BackEndDone{}
	httpBusy = turn.CompleteAnswer{Answer: &protocol.HttpAnswer{Status: 500, Body: []byte("busy")}}
)

func TestHTTPTurnIsRetainedWithItsDataBeforeItCompletes(t *testing.T) {
	s := newScript(httpRequest(true, 100, "t0")).
		on("history", turn.HistoryRead{
			Items: []*protocol.Item{{Data: []byte("old")}}, Tokens: 4, Program: "p0", Status: protocol.LedgerStatus_LEDGER_OK,
		}).
		on("issue", httpHead, httpEvent("a"), turn.Token{Event: []byte(": comment\n\n")}, httpEvent(""), httpDone).
		run()
	if s.lastEvent().GetCompleted() == nil || s.count("issue") != 1 {
		t.Fatalf("ended with %v after %d issues, want a completed turn after 1", s.lastEvent(), s.count("issue"))
	}
	committed := false
	for _, command := range s.commands {
		switch command := command.(type) {
		case turn.Reserve:
			if !command.Operation.GetFork() || command.Operation.GetClaim() == nil ||
				command.Operation.GetCeiling() != reservationLimit {
				t.Fatalf("reserved with %v, want a fork with a claim and a limit of %d", command.Operation, reservationLimit)
			}
		case turn.Issue:
			if len(command.Items) != 2 || string(command.Items[0].GetData()) != "old" ||
				string(command.Items[1].GetData()) != httpInput {
				t.Fatalf("issued items %v, want the old item and %q", command.Items, httpInput)
			}
		case turn.Commit:
			committed = true
			retained := command.Operation.GetTurn()
			if string(retained.GetOutput()[0].GetData()) != "a\n\n" || retained.GetPreviousProgram() != "p0" ||
				retained.GetOutputTokens() != 2 {
				t.Fatalf("retained %v, want output %q of 2 tokens and previous program p0", retained, "a\n\n")
			}
		case turn.Emit:
			if command.Event.GetCompleted() != nil && !committed {
				t.Fatal("the turn was completed before it was committed")
			}
		}
	}
}

func TestUnrecordedHTTPTurnSendsNoLedgerOperations(t *testing.T) {
	for name, answer := range map[string][]turn.Event{
		"a stream":          {httpHead, httpEvent("a"), httpDone},
		"a complete answer": {httpBusy},
		"a broken stream":   {httpHead, httpEvent("a"), turn.BackEndFailed{Fault: turn.FaultBroken}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(httpRequest(false, 0, "")).on("issue", answer...).run()
			operations := s.count("reserve") + s.count("commit") + s.count("release") + s.count("reject") + s.count("claim")
			if !s.machine.Done() || operations != 0 {
				t.Fatalf("done: %t, commands %v; want a done machine and no ledger operation", s.machine.Done(), s.commandNames())
			}
		})
	}
}

func TestCompleteAnswerEndsHTTPTurnAndIsCharged(t *testing.T) {
	s := newScript(httpRequest(true, 100, "")).on("issue", httpBusy).run()
	if string(s.lastEvent().GetAnswered().GetBody()) != "busy" || s.releaseOperation().GetTokens() != 1 ||
		s.count("commit") != 0 {
		t.Fatalf("ended with %v, released %v, %d commits; want the server's answer, 1 token charged and no commit",
			s.lastEvent(), s.releaseOperation(), s.count("commit"))
	}
}

func TestHTTPTurnThatMayHaveRunIsNotIssuedAgain(t *testing.T) {
	for _, fault := range []turn.BackEndFault{turn.FaultBroken, turn.FaultMismatch} {
		s := newScript(httpRequest(true, 100, "")).on("issue", turn.BackEndFailed{Fault: fault}).run()
		if s.count("issue") != 1 || s.lastEvent().GetFailed().GetOutcome() != protocol.Outcome_UNKNOWN ||
			s.releaseOperation().GetTokens() != 1 {
			t.Fatalf("%v: %d issues, ended with %v, released %v; want 1 issue, an unknown outcome and 1 token charged",
				fault, s.count("issue"), s.lastEvent(), s.releaseOperation())
		}
	}
}

func TestHTTPTurnIsRejectedWithTheLedgersReason(t *testing.T) {
	missing := turn.HistoryRead{Status: protocol.LedgerStatus_LEDGER_TURN_MISSING}
	unavailable := turn.HistoryRead{Status: protocol.LedgerStatus_LEDGER_UNAVAILABLE}
	wantFailure(
		t, newScript(httpRequest(true, 9, "t0")).on("history", missing).run(), failure.TurnMissing, protocol.Outcome_NOT_RUN,
	)
	wantFailure(
		t, newScript(httpRequest(true, 9, "t0")).on("history", unavailable).
			run(), failure.LedgerUnavailable, protocol.Outcome_NOT_RUN,
	)
	spent := turn.Reserved{Result: resultWithStatus(protocol.LedgerStatus_LEDGER_BUDGET_SPENT)}
	s := newScript(httpRequest(true, 9, "")).on("reserve", spent).run()
	wantFailure(t, s, failure.BudgetSpent, protocol.Outcome_NOT_RUN)
	if s.count("issue") != 0 {
		t.Fatal("the turn was issued without a reservation")
	}
}

// httpObserver checks what the caller, the servers and the ledger see of one HTTP turn.
type httpObserver struct {
	t               *rapid.T
	usesLedger      bool
	stateful        bool
	reserved        bool
	committed       bool
	mayHaveRun      bool
	attemptInFlight bool
	slots           int
	emittedTokens   uint64
	released        *protocol.ReleaseTurn
	terminal        *protocol.TurnEvent
}

func (o *httpObserver) observeCommand(command turn.Command) {
	switch command := command.(type) {
	case turn.Issue:
		switch {
		case o.terminal != nil:
			o.t.Fatal("the turn was issued after its end")
		case o.usesLedger && !o.reserved:
			o.t.Fatal("the turn was issued without a reservation")
		case o.mayHaveRun:
			o.t.Fatal("the turn was issued again although it may have run")
		case string(command.Items[len(command.Items)-1].GetData()) != httpInput:
			o.t.Fatalf("issued items %v, want the last one to be %q", command.Items, httpInput)
		}
		o.attemptInFlight = true
	case turn.FreeSlot:
		o.slots--
	case turn.Release:
		o.released = command.Operation
	case turn.Emit:
		o.observeEmitted(command.Event)
	case turn.Reserve, turn.Commit, turn.Reject:
		if !o.usesLedger {
			o.t.Fatalf("%T was sent to the ledger for a turn that does not use it", command)
		}
	}
}

func (o *httpObserver) observeEmitted(event *protocol.TurnEvent) {
	if o.terminal != nil {
		o.t.Fatalf("event %v was emitted after the end of the answer", event)
	}
	o.emittedTokens += uint64(event.GetDelta().GetTokens())
	if event.GetCompleted() != nil || event.GetFailed() != nil || event.GetAnswered() != nil {
		o.terminal = event
	}
	if event.GetCompleted() != nil && o.stateful && !o.committed {
		o.t.Fatal("the turn was completed before it was committed")
	}
}

func (o *httpObserver) observeEvent(event turn.Event) {
	switch event := event.(type) {
	case turn.Admitted:
		o.slots++
	case turn.Reserved:
		o.reserved = event.Result.GetStatus() == protocol.LedgerStatus_LEDGER_OK
	case turn.Committed:
		o.committed = o.committed || event.Result.GetStatus() == protocol.LedgerStatus_LEDGER_OK ||
			event.Result.GetFinished().GetOutcome() == protocol.RequestOutcome_OUTCOME_SETTLED
	case turn.BackEndFailed:
		provablyNotRun := event.Fault == turn.FaultNotSent || event.Fault == turn.FaultUnavailable
		o.mayHaveRun = o.mayHaveRun || o.attemptInFlight && !provablyNotRun
		o.attemptInFlight = false
	case turn.Head, turn.Token, turn.CompleteAnswer, turn.BackEndDone:
		o.mayHaveRun = true
	case turn.Stopped:
		o.mayHaveRun = o.mayHaveRun || o.attemptInFlight
	}
}

func (o *httpObserver) checkEnd() {
	f := o.terminal.GetFailed()
	switch {
	case o.terminal == nil:
		o.t.Fatal("the caller got no answer")
	case o.emittedTokens > reservationLimit:
		o.t.Fatalf("%d tokens emitted under a reservation limit of %d", o.emittedTokens, reservationLimit)
	case o.slots != 0:
		o.t.Fatalf("%d slots are still held after the end of the turn, want 0", o.slots)
	case f.GetOutcome() == protocol.Outcome_NOT_RUN && o.mayHaveRun:
		o.t.Fatalf("reported as not run although it may have run: %v", f)
	case o.usesLedger && o.mayHaveRun && !o.committed && o.released != nil && o.released.GetTokens() < max(o.emittedTokens,
		1):
		o.t.Fatalf("%d tokens charged, want at least %d", o.released.GetTokens(), max(o.emittedTokens, 1))
	case o.usesLedger && !o.mayHaveRun && o.reserved && o.released.GetTokens() != 0:
		o.t.Fatalf("charged %d tokens although nothing ran", o.released.GetTokens())
	}
}

// drawHTTPEvent draws the next event of the server of an HTTP turn. A stream begins with its head.
func drawHTTPEvent(t *rapid.T, begun bool) turn.Event {
	drawn := rapid.IntRange(0, 9).Draw(t, "event")
	switch {
	case begun && drawn == 0:
		// Once a server has begun to answer, the answer can only break or prove to be another request's.
		return turn.BackEndFailed{Fault: turn.BackEndFault(rapid.IntRange(3, 4).Draw(t, "late fault")), Detail: "drawn"}
	case drawn == 0:
		return turn.BackEndFailed{Fault: turn.BackEndFault(rapid.IntRange(1, 4).Draw(t, "fault")), Detail: "drawn"}
	case drawn == 1:
		return drawStop(t)
	case !begun && drawn == 2:
		return httpBusy
	case !begun && drawn < 6:
		return turn.BackEndFailed{Fault: turn.BackEndFault(rapid.IntRange(1, 2).Draw(t, "rejection")), Detail: "drawn"}
	case !begun:
		return httpHead
	case drawn == 2:
		return httpDone
	case drawn == 3:
		return turn.BackEndFailed{Fault: turn.FaultBroken, Detail: "drawn"}
	default:
		return httpEvent("x")
	}
}

func TestHTTPTurnAlwaysReportsItsTrueOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stateful, budget := rapid.Bool().Draw(t, "stateful"), rapid.Uint64Range(0, 1).Draw(t, "budget")
		previous := rapid.SampledFrom([]string{"", "t0"}).Draw(t, "previous")
		s := newScript(httpRequest(stateful, budget, previous))
		o := &httpObserver{t: t, stateful: stateful, usesLedger: stateful || budget > 0}
		pending := s.machine.Apply(turn.Begun{}, s.now)
		streaming, begun := false, false
		for step := 0; !s.machine.Done() || len(pending) > 0; step++ {
			if step > 2000 {
				t.Fatal("the turn did not end within 2000 steps")
			}
			var event turn.Event
			switch {
			case len(pending) > 0:
				command := pending[0]
				pending = pending[1:]
				if drawInterruption(t, command) {
					// The interrupted command is not executed and must not be charged either.
					pending = s.machine.Apply(drawStoppedWithoutEffect(t), s.now)
					continue
				}
				o.observeCommand(command)
				s.now = s.now.Add(10 * time.Millisecond)
				switch command.(type) {
				case turn.Issue:
					streaming, begun = true, false
					continue
				case turn.StopBackEnd:
					streaming = false
					continue
				}
				event = drawAnswer(t, command)
			case streaming:
				event = drawHTTPEvent(t, begun)
				begun = true
			}
			if event == nil {
				continue
			}
			o.observeEvent(event)
			if _, complete := event.(turn.CompleteAnswer); complete || endsAttempt(event) {
				streaming = false
			}
			pending = append(pending, s.machine.Apply(event, s.now)...)
		}
		o.checkEnd()
	})
}

func TestIdempotentCallRunsAtNoMoreServersThanAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runLimit := rapid.Uint32Range(1, 3).Draw(t, "run limit")
		machine := turn.NewCall(turn.CallParameters{
			Request: &protocol.ToolCallRequest{RequestId: "r1", FirstSend: true, Http: &protocol.HttpRequest{}},
			Owner:   "f1", Attempt: "a1", Unrecorded: true, Idempotent: true, AttemptLimit: 6, RunLimit: runLimit,
		})
		now, runs, issues, answers := start, uint32(0), 0, 0
		pending := machine.Apply(turn.Begun{}, now)
		for len(pending) > 0 {
			command := pending[0]
			pending = pending[1:]
			if drawInterruption(t, command) {
				pending = machine.Apply(drawStoppedWithoutEffect(t), now)
				continue
			}
			event := drawAnswer(t, command)
			switch command := command.(type) {
			case turn.IssueCall:
				issues++
				fault, failed := event.(turn.BackEndFailed)
				if !failed || fault.Fault == turn.FaultBroken || fault.Fault == turn.FaultMismatch {
					runs++
				}
			case turn.Answer:
				answers++
				if command.Response.GetFailure().GetOutcome() == protocol.Outcome_NOT_RUN && runs > 0 {
					t.Fatalf("reported as not run although it may have run: %v", command.Response)
				}
			}
			if event != nil {
				pending = append(pending, machine.Apply(event, now)...)
			}
		}
		if runs > runLimit || issues > 6 || answers != 1 {
			t.Fatalf("%d runs, %d issues, %d answers; want at most %d runs and 6 issues and exactly 1 answer",
				runs, issues, answers, runLimit)
		}
	})
}

func TestHTTPTurnDoesNotModifyItsRequest(t *testing.T) {
	request := httpRequest(true, 9, "t0")
	before := proto.CloneOf(request)
	before.RequestId, before.Session, before.Program, before.Nonce = "r1", "s1", "p1", "n1"
	newScript(request).on("issue", httpHead, httpEvent("a"), httpDone).run()
	if !proto.Equal(request, before) {
		t.Fatalf("the machine changed the request to %v, want %v", request, before)
	}
}
