package turn_test

import (
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const reservationLimit = 10

var start = time.Unix(1000, 0)

func resultWithStatus(s protocol.LedgerStatus) *protocol.LedgerResult {
	return &protocol.LedgerResult{Status: s, Epoch: 3}
}

var okResult = resultWithStatus(protocol.LedgerStatus_LEDGER_OK)

// script runs a machine and answers its commands. The answers to one kind of command are used in order, the last one
// repeatedly. The events of "issue" are all applied to the first attempt.
type script struct {
	machine  *turn.Machine
	now      time.Time
	commands []turn.Command
	events   []*protocol.TurnEvent
	answers  map[string][]turn.Event
}

func newScript(request *protocol.TurnRequest) *script {
	request.RequestId, request.Session, request.Program, request.Nonce = "r1", "s1", "p1", "n1"
	return &script{now: start, machine: turn.New(turn.Parameters{
		Request: request, TurnID: "turn_1", Owner: "f1", Incarnation: 7, Budget: 100, ReservationLimit: reservationLimit,
		Retention: time.Hour, BundleVersion: 4,
	}), answers: map[string][]turn.Event{
		"claim": {turn.Claimed{Result: okResult}}, "history": {turn.HistoryRead{Status: okResult.GetStatus()}},
		"admit":   {turn.Admitted{}},
		"reserve": {turn.Reserved{Result: okResult}}, "choose": {turn.Chosen{BackEnd: "b1"}},
		"retry":  {turn.RetryDecided{Granted: true}},
		"commit": {turn.Committed{Result: okResult}}, "release": {turn.Released{Result: okResult}},
		"reject":  {turn.Rejected{Result: okResult}},
		"backoff": {turn.BackoffElapsed{}}, "issue": {},
	}}
}

func (s *script) on(name string, events ...turn.Event) *script {
	s.answers[name] = events
	return s
}

func (s *script) nextAnswers(name string) []turn.Event {
	answers := s.answers[name]
	if name == "issue" {
		s.answers[name] = nil
		return answers
	}
	if len(answers) > 1 {
		s.answers[name] = answers[1:]
	}
	return answers[:1]
}

func commandName(command turn.Command) string {
	switch command.(type) {
	case turn.ResolveStep:
		return "resolve"
	case turn.Claim:
		return "claim"
	case turn.ReadHistory:
		return "history"
	case turn.Admit:
		return "admit"
	case turn.Reserve:
		return "reserve"
	case turn.Choose:
		return "choose"
	case turn.Issue:
		return "issue"
	case turn.RequestRetry:
		return "retry"
	case turn.Commit:
		return "commit"
	case turn.Release:
		return "release"
	case turn.Reject:
		return "reject"
	case turn.ReadRetainedTurn:
		return "retained"
	case turn.Backoff:
		return "backoff"
	default:
		return ""
	}
}

// run answers commands until the machine is done or waits for the back end.
func (s *script) run() *script {
	pending := s.machine.Apply(turn.Begun{}, s.now)
	for len(pending) > 0 {
		command := pending[0]
		pending = pending[1:]
		s.commands = append(s.commands, command)
		if emit, ok := command.(turn.Emit); ok {
			s.events = append(s.events, emit.Event)
		}
		if backoff, ok := command.(turn.Backoff); ok {
			s.now = s.now.Add(backoff.For)
		}
		if name := commandName(command); name != "" {
			for _, event := range s.nextAnswers(name) {
				pending = append(pending, s.machine.Apply(event, s.now)...)
			}
		}
	}
	return s
}

func (s *script) lastEvent() *protocol.TurnEvent { return s.events[len(s.events)-1] }

func (s *script) count(name string) int {
	count := 0
	for _, command := range s.commands {
		if commandName(command) == name {
			count++
		}
	}
	return count
}

func (s *script) releaseOperation() *protocol.ReleaseTurn {
	for _, command := range s.commands {
		if release, ok := command.(turn.Release); ok {
			return release.Operation
		}
	}
	return nil
}

func wantFailure(t *testing.T, s *script, code failure.Code, outcome protocol.Outcome) {
	t.Helper()
	f := s.lastEvent().GetFailed()
	if f.GetCode() != string(code) || f.GetOutcome() != outcome {
		t.Fatalf("the turn ended with %v, want failure %s with outcome %v", s.lastEvent(), code, outcome)
	}
	if !s.machine.Done() {
		t.Fatal("the machine is not done after the end of the turn")
	}
}

var (
	token  = turn.Token{Text: "a", Tokens: 1}
	done   = turn.BackEndDone{InputTokens: 5, OutputTokens: 2, CachedTokens: 1, Nonce: "n1"}
	broken = turn.BackEndFailed{Fault: turn.FaultBroken, Detail: "broke"}
	busy   = turn.BackEndFailed{Fault: turn.FaultUnavailable, RetryAfter: 3 * time.Second, Detail: "429"}
)

func TestTurnIsReservedIssuedCommittedAndOnlyThenCompleted(t *testing.T) {
	s := newScript(&protocol.TurnRequest{PreviousTurn: "turn_0"}).on("issue", token, token, done).run()
	completed := s.lastEvent().GetCompleted()
	if completed.GetText() != "aa" || completed.GetOutputTokens() != 2 || completed.GetCachedTokens() != 1 ||
		completed.GetNonce() != "n1" {
		t.Fatalf("completed with %v, want text aa, 2 output tokens, 1 cached token and nonce n1", completed)
	}
	want := []string{"admit", "claim", "history", "reserve", "choose", "issue", "commit"}
	var got []string
	for _, command := range s.commands {
		if name := commandName(command); name != "" {
			got = append(got, name)
		}
	}
	if len(got) != len(want) {
		t.Fatalf("commands %v, want %v", got, want)
	}
	for index := range want {
		if got[index] != want[index] {
			t.Fatalf("commands %v, want %v", got, want)
		}
	}
	for index, event := range s.events {
		if event.GetAttempt() != 1 || event.GetSequence() != uint64(index+1) {
			t.Fatalf("event %d has attempt %d and sequence %d, want attempt 1 and sequence %d",
				index, event.GetAttempt(), event.GetSequence(), index+1)
		}
	}
}

func TestLedgerRejectionIsNotRunAndLeavesTombstone(t *testing.T) {
	cases := map[protocol.LedgerStatus]failure.Code{
		protocol.LedgerStatus_LEDGER_BUDGET_SPENT:       failure.BudgetSpent,
		protocol.LedgerStatus_LEDGER_BUDGET_HELD:        failure.BudgetReserved,
		protocol.LedgerStatus_LEDGER_WRONG_CONTINUATION: failure.WrongContinuation,
		protocol.LedgerStatus_LEDGER_UNKNOWN_PROGRAM:    failure.UnknownProgram,
	}
	for rejection, code := range cases {
		s := newScript(&protocol.TurnRequest{}).on("reserve", turn.Reserved{Result: resultWithStatus(rejection)}).run()
		wantFailure(t, s, code, protocol.Outcome_NOT_RUN)
		if s.count("reject") != 1 || s.count("issue") != 0 {
			t.Fatalf("%v: commands %v, want one reject and no issue", rejection, s.commandNames())
		}
	}
}

func TestFirstSendIsRejectedWithoutTheLedger(t *testing.T) {
	full := failure.New(failure.Overloaded, protocol.Outcome_NOT_RUN, "full", failure.WithRetryAfter(time.Second)).Failure
	s := newScript(&protocol.TurnRequest{FirstSend: true}).on("admit", turn.NotAdmitted{Failure: full}).run()
	wantFailure(t, s, failure.Overloaded, protocol.Outcome_NOT_RUN)
	if s.count("claim")+s.count("reject")+s.count("release") != 0 ||
		s.lastEvent().GetFailed().GetRetryAfterMillis() != 1000 {
		t.Fatalf("commands %v, ended with %v; want no ledger operation and a retry after 1000 ms",
			s.commandNames(), s.lastEvent())
	}
}

func TestUnconfirmedRejectionIsUnknown(t *testing.T) {
	full := failure.New(failure.Overloaded, protocol.Outcome_NOT_RUN, "full").Failure
	s := newScript(&protocol.TurnRequest{}).on("admit", turn.NotAdmitted{Failure: full}).
		on("reject", turn.Rejected{Result: resultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE)}).run()
	wantFailure(t, s, failure.Overloaded, protocol.Outcome_UNKNOWN)
}

func finishedResult(outcome protocol.RequestOutcome) *protocol.LedgerResult {
	return &protocol.LedgerResult{
		Status:   protocol.LedgerStatus_LEDGER_ALREADY_FINISHED,
		Finished: &protocol.FinishedRequest{Outcome: outcome, TurnId: "turn_1"},
	}
}

func TestRepeatedRequestGetsTheAnswerOfTheFirstSend(t *testing.T) {
	retained := &protocol.Turn{
		Id: "turn_1", RequestId: "r1", Output: []*protocol.Item{{Text: "retained"}}, OutputTokens: 4,
	}
	s := newScript(&protocol.TurnRequest{}).
		on("reserve", turn.Reserved{Result: finishedResult(protocol.RequestOutcome_OUTCOME_SETTLED)}).
		on("retained", turn.RetainedTurnRead{Turn: retained}).run()
	if s.lastEvent().GetCompleted().GetText() != "retained" || s.count("issue") != 0 {
		t.Fatalf("answered with %v after %d issues, want the retained text without an issue",
			s.lastEvent(), s.count("issue"))
	}
	s = newScript(&protocol.TurnRequest{}).
		on("reserve", turn.Reserved{Result: finishedResult(protocol.RequestOutcome_OUTCOME_NOT_RUN)}).run()
	wantFailure(t, s, failure.RequestRejected, protocol.Outcome_NOT_RUN)
	s = newScript(&protocol.TurnRequest{}).
		on("reserve", turn.Reserved{Result: finishedResult(protocol.RequestOutcome_OUTCOME_CHARGED)}).run()
	wantFailure(t, s, failure.OutcomeUnknown, protocol.Outcome_UNKNOWN)
}

func TestOnlyTurnsThatProvablyDidNotRunAreReleased(t *testing.T) {
	s := newScript(&protocol.TurnRequest{}).on("issue", busy).on("retry", turn.RetryDecided{}).run()
	wantFailure(t, s, failure.Overloaded, protocol.Outcome_NOT_RUN)
	if s.releaseOperation().GetTokens() != 0 || s.lastEvent().GetFailed().GetRetryAfterMillis() != 3000 {
		t.Fatalf("released %v, ended with %v; want no charge and a retry after 3000 ms", s.releaseOperation(), s.lastEvent())
	}
	s = newScript(&protocol.TurnRequest{}).on("issue", broken).on("retry", turn.RetryDecided{}).run()
	wantFailure(t, s, failure.BackEndFailed, protocol.Outcome_UNKNOWN)
	if s.releaseOperation().GetTokens() == 0 {
		t.Fatal("a turn that may have run was released as not run")
	}
	s = newScript(&protocol.TurnRequest{}).on("issue", token, token, broken).on("retry", turn.RetryDecided{}).run()
	wantFailure(t, s, failure.BackEndFailed, protocol.Outcome_RAN)
	if s.releaseOperation().GetTokens() != 2 {
		t.Fatalf("released %v, want 2 tokens charged", s.releaseOperation())
	}
}

func TestRejectionAfterABrokenAttemptStaysUnknown(t *testing.T) {
	s := newScript(&protocol.TurnRequest{}).on("issue", broken).on("choose", turn.Chosen{BackEnd: "b1"},
		turn.NotChosen{Failure: failure.New(failure.NoBackEnd, protocol.Outcome_NOT_RUN, "none").Failure}).run()
	wantFailure(t, s, failure.BackEndFailed, protocol.Outcome_UNKNOWN)
}

func TestBrokenAttemptIsRestartedUnderAHigherNumber(t *testing.T) {
	s := newScript(&protocol.TurnRequest{LastAttempt: 2}).on("issue", token, broken)
	s.answers["choose"] = []turn.Event{turn.Chosen{BackEnd: "b1"}, turn.Chosen{BackEnd: "b2"}}
	s.run()
	second := s.commands[len(s.commands)-1].(turn.Issue)
	if second.Attempt != 4 || second.MaxTokens != reservationLimit-1 || second.BackEnd != "b2" {
		t.Fatalf("second issue %+v, want attempt 4 at b2 with at most %d tokens", second, reservationLimit-1)
	}
	if s.machine.Apply(turn.BackoffElapsed{}, s.now) != nil {
		t.Fatal("an event that the state does not await was not ignored")
	}
	events := s.machine.Apply(token, s.now)
	created := events[0].(turn.Emit).Event
	if created.GetCreated() == nil || created.GetAttempt() != 4 || created.GetSequence() != 1 {
		t.Fatalf("the second attempt begins with %v, want a created event with attempt 4 and sequence 1", created)
	}
	commands := s.machine.Apply(turn.BackEndDone{Nonce: "n1", OutputTokens: 1}, s.now)
	if commit := commands[len(commands)-1].(turn.Commit).Operation; commit.GetTokens() != 2 ||
		commit.GetTurn().GetOutputTokens() != 1 {
		t.Fatalf("committed %v, want 2 tokens charged and 1 output token in the turn", commit)
	}
}

func TestNothingBeyondTheReservationLimitIsEmitted(t *testing.T) {
	events := make([]turn.Event, 0, reservationLimit+1)
	for range reservationLimit + 1 {
		events = append(events, token)
	}
	s := newScript(&protocol.TurnRequest{}).on("issue", events...).run()
	wantFailure(t, s, failure.BackEndFailed, protocol.Outcome_RAN)
	if deltas := len(s.events) - 2; deltas != reservationLimit || s.releaseOperation().GetTokens() != reservationLimit {
		t.Fatalf("%d tokens emitted, released %v; want %d of both", deltas, s.releaseOperation(), reservationLimit)
	}
}

func TestAnswerWithForeignNonceIsNotCompleted(t *testing.T) {
	foreign := done
	foreign.Nonce = "other"
	s := newScript(&protocol.TurnRequest{}).on("issue", foreign).on("retry", turn.RetryDecided{}).run()
	wantFailure(t, s, failure.AnswerMismatch, protocol.Outcome_UNKNOWN)
	if s.count("commit") != 0 {
		t.Fatal("an answer with another request's nonce was committed")
	}
}

func TestStopOutcomeByState(t *testing.T) {
	waiting := newScript(&protocol.TurnRequest{}).on("admit", turn.Stopped{Reason: turn.StopDeadline}).run()
	wantFailure(t, waiting, failure.DeadlineExceeded, protocol.Outcome_NOT_RUN)
	issued := newScript(&protocol.TurnRequest{}).on("issue", turn.Stopped{Reason: turn.StopCallerDisconnected}).run()
	wantFailure(t, issued, failure.Cancelled, protocol.Outcome_UNKNOWN)
	streaming := newScript(&protocol.TurnRequest{}).on("issue", token, turn.Stopped{Reason: turn.StopAuthority}, token).
		run()
	wantFailure(t, streaming, failure.NoAuthority, protocol.Outcome_RAN)
	if streaming.releaseOperation().GetTokens() != 1 {
		t.Fatalf("released %v, want 1 token charged", streaming.releaseOperation())
	}
	early := newScript(&protocol.TurnRequest{}).on("history", turn.Stopped{Reason: turn.StopAuthority}).run()
	wantFailure(t, early, failure.NoAuthority, protocol.Outcome_NOT_RUN)
	if early.count("reject") != 0 {
		t.Fatal("a turn that another owner may run was rejected with a tombstone")
	}
}

func TestTurnStoppedBeforeItIsIssuedDidNotRun(t *testing.T) {
	stopped := turn.StoppedWithoutEffect(turn.StopDeadline)
	unsent := newScript(&protocol.TurnRequest{}).on("issue", stopped).run()
	wantFailure(t, unsent, failure.DeadlineExceeded, protocol.Outcome_NOT_RUN)
	if released := unsent.releaseOperation(); released == nil || released.GetTokens() != 0 {
		t.Fatalf("released %v, want a release without a charge", released)
	}
	unreserved := newScript(&protocol.TurnRequest{FirstSend: true}).on("reserve", stopped).run()
	wantFailure(t, unreserved, failure.DeadlineExceeded, protocol.Outcome_NOT_RUN)
	if unreserved.releaseOperation() != nil {
		t.Fatalf("released %v although nothing was reserved", unreserved.releaseOperation())
	}
	sentBefore := newScript(&protocol.TurnRequest{}).on("issue", broken).
		on("choose", turn.Chosen{BackEnd: "b1"}, stopped).run()
	wantFailure(t, sentBefore, failure.DeadlineExceeded, protocol.Outcome_UNKNOWN)
	if sentBefore.releaseOperation().GetTokens() == 0 {
		t.Fatal("a turn that may have run was released as not run")
	}
}

func TestCommitIsRetriedAndTheCallerIsAnsweredMeanwhile(t *testing.T) {
	unavailable := turn.Committed{Result: resultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE)}
	answers := []turn.Event{}
	for range 15 {
		answers = append(answers, unavailable)
	}
	s := newScript(&protocol.TurnRequest{}).on("issue", token, done).
		on("commit", append(answers, turn.Committed{Result: okResult})...).run()
	wantFailure(t, s, failure.LedgerUnavailable, protocol.Outcome_RAN)
	if s.count("commit") != 16 {
		t.Fatalf("committed %d times, want 16", s.count("commit"))
	}
	few := newScript(&protocol.TurnRequest{}).on("issue", token, done).
		on("commit", unavailable, turn.Committed{Result: okResult}).run()
	if few.lastEvent().GetCompleted() == nil {
		t.Fatalf("ended with %v, want a completed turn", few.lastEvent())
	}
}

func TestFencedTurnForgetsTheSession(t *testing.T) {
	s := newScript(&protocol.TurnRequest{}).
		on("reserve", turn.Reserved{Result: resultWithStatus(protocol.LedgerStatus_LEDGER_FENCED)}).run()
	wantFailure(t, s, failure.Fenced, protocol.Outcome_NOT_RUN)
	forgottenAsFenced := false
	for _, command := range s.commands {
		if forget, ok := command.(turn.ForgetSession); ok {
			forgottenAsFenced = forget.Fenced
		}
	}
	if !forgottenAsFenced || s.count("reject") != 0 {
		t.Fatalf("session dropped as fenced: %t, commands %v; want it dropped without a reject",
			forgottenAsFenced, s.commandNames())
	}
	fenced := newScript(&protocol.TurnRequest{}).on("issue", token, done).
		on("commit", turn.Committed{Result: resultWithStatus(protocol.LedgerStatus_LEDGER_FENCED)}).run()
	wantFailure(t, fenced, failure.Fenced, protocol.Outcome_RAN)
}

func TestUnansweredReservationIsReleased(t *testing.T) {
	unavailable := resultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE)
	s := newScript(&protocol.TurnRequest{FirstSend: true}).on("reserve", turn.Reserved{Result: unavailable}).run()
	wantFailure(t, s, failure.LedgerUnavailable, protocol.Outcome_NOT_RUN)
	if s.releaseOperation() == nil {
		t.Fatal("a reservation that the ledger may have made was not released")
	}
	s = newScript(&protocol.TurnRequest{}).on("reserve", turn.Reserved{Result: unavailable}).
		on("release", turn.Released{Result: unavailable}).
		on("backoff", turn.BackoffElapsed{}, turn.BackoffElapsed{}, turn.BackoffElapsed{}, turn.BackoffElapsed{},
			turn.BackoffElapsed{}, turn.BackoffElapsed{}, turn.BackoffElapsed{}, turn.Stopped{Reason: turn.StopAuthority}).
		run()
	wantFailure(t, s, failure.LedgerUnavailable, protocol.Outcome_UNKNOWN)
}
