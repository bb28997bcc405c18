package audit_test

import (
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/audit"
	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/modeltoken"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

var epoch = time.UnixMicro(1_700_000_000_000_000)

func at(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

func token(index, millis int, nonce string) string {
	return modeltoken.Token{Index: index, At: at(millis), Nonce: nonce}.String()
}

// soundTurn is an answered turn of two tokens under which nothing is wrong.
func soundTurn() *caller.Record {
	first, second := token(0, 10, "n1"), " "+token(1, 20, "n1")
	return &caller.Record{
		Operation: caller.OperationTurn, RequestID: "r1", Nonce: "n1", AnswerNonce: "n1", Program: "p1", Session: "s1",
		Outcome: caller.OutcomeAnswered, AnsweredAt: at(30), TurnID: "turn_1", Text: first + second, OutputTokens: 2,
		Owner: "front-1", BundleVersion: 1,
		Exchanges: []caller.Exchange{{
			Front: "front-1", SentAt: at(0), AnsweredAt: at(30), Status: 200, Outcome: caller.OutcomeAnswered,
			Events: []caller.Event{
				{Type: caller.EventCreated, Attempt: 1, Sequence: 1, ArrivedAt: at(1)},
				{Type: caller.EventDelta, Attempt: 1, Sequence: 2, Text: first, Tokens: 1, ArrivedAt: at(12)},
				{Type: caller.EventDelta, Attempt: 1, Sequence: 3, Text: second, Tokens: 1, ArrivedAt: at(22)},
				{Type: caller.EventCompleted, Attempt: 1, Sequence: 4, ArrivedAt: at(30)},
			},
		}},
	}
}

func soundCall() *caller.Record {
	return &caller.Record{
		Operation: caller.OperationTool, RequestID: "c1", Nonce: "n2", AnswerNonce: "n2", Program: "p1", Session: "s1",
		Tool: site.ToolValvePlans, Object: "valve-1", Text: "valve-1", Outcome: caller.OutcomeAnswered, AnsweredAt: at(60),
		Exchanges: []caller.Exchange{{
			Front: "front-1", SentAt: at(50), AnsweredAt: at(60), Status: 200,
			Outcome: caller.OutcomeAnswered,
		}},
	}
}

func run(request, tool, object string, millis int) standin.Entry {
	return standin.Entry{
		Phase: standin.PhaseStarted, Server: "tool-1", RequestID: request, Tool: tool, Object: object,
		AtMicros: at(millis).UnixMicro(), ArrivedMicros: at(millis).UnixMicro(),
	}
}

func refusal(outcome, code string) []caller.Exchange {
	return []caller.Exchange{{
		Front: "front-1", SentAt: at(0), AnsweredAt: at(5), Status: 503, Outcome: outcome,
		Code: code,
	}}
}

// sound is evidence without violations; each case below corrupts one part of it.
func sound() audit.Evidence {
	return audit.Evidence{
		RequestLog: &caller.RequestLog{
			Programs: map[string]*caller.Program{"p1": {ID: "p1", Budget: 100, LargestTurn: 10}},
			Records: []*caller.Record{soundTurn(), soundCall(), {
				Operation: caller.OperationRead, RequestID: "read-r1", TurnID: "turn_1", Program: "p1",
				Text: soundTurn().Text, Outcome: caller.OutcomeAnswered,
				Exchanges: []caller.Exchange{{
					Front: "front-2", SentAt: at(70), AnsweredAt: at(71), Status: 200,
					Outcome: caller.OutcomeAnswered,
				}},
			}},
		},
		Journal: []standin.Entry{
			{Phase: standin.PhaseReady, Server: "model-1", AtMicros: at(-100).UnixMicro()},
			{
				Phase: standin.PhaseStarted, Server: "model-1", RequestID: "r1", AtMicros: at(5).UnixMicro(),
				ArrivedMicros: at(5).UnixMicro(),
			},
			run("c1", site.ToolValvePlans, "valve-1", 55),
			{Phase: standin.PhaseDrainAcknowledged, Server: "model-1", AtMicros: at(100).UnixMicro()},
			{
				Phase: standin.PhaseRejected, Server: "model-1", RequestID: "r9", AtMicros: at(2050).UnixMicro(),
				ArrivedMicros: at(2050).UnixMicro(),
			},
		},
		Recoveries: []audit.Recovery{{After: "kill everything", Took: 12 * time.Second, Served: true}},
		Orders: []audit.Order{
			{
				Kind: audit.OrderPut, Version: 1, Content: "a", SentAt: at(-90), AnsweredAt: at(-80),
				Outcome: audit.OrderAcknowledged, ID: "o1",
			},
			{
				Kind: audit.OrderSign, Version: 1, SentAt: at(-79), AnsweredAt: at(-70), Outcome: audit.OrderAcknowledged,
				ID: "o2",
			},
			{
				Kind: audit.OrderList, SentAt: at(200), AnsweredAt: at(201), Outcome: audit.OrderAcknowledged, Listed: []uint64{1},
				Newest: 1, Active: 1,
			},
		},
	}
}

func TestSoundEvidenceIsClean(t *testing.T) {
	report := audit.Audit(sound())
	if !report.Clean() {
		t.Fatalf("violations in sound evidence: %+v", report.Results)
	}
}

// TestEachCheckDetectsItsViolation corrupts sound evidence in one way and expects exactly its check to report it.
func TestEachCheckDetectsItsViolation(t *testing.T) {
	turn := func(e *audit.Evidence) *caller.Record { return e.RequestLog.Records[0] }
	events := func(e *audit.Evidence) []caller.Event { return turn(e).Exchanges[0].Events }
	cases := []struct {
		name  string
		check audit.Check
		spoil func(*audit.Evidence)
	}{
		{"one request ran twice", audit.RanTwice, func(e *audit.Evidence) {
			e.Journal = append(e.Journal, run("c1", site.ToolValvePlans, "valve-1", 58))
		}},
		{"one thing was changed by two requests", audit.RanTwice, func(e *audit.Evidence) {
			e.Journal = append(e.Journal, run("c2", site.ToolValvePlans, "valve-1", 58))
		}},
		{"told not_run and ran", audit.RejectedButRan, func(e *audit.Evidence) {
			e.RequestLog.Records[1].Outcome = caller.OutcomeNotRun
			e.RequestLog.Records[1].Exchanges = refusal(caller.OutcomeNotRun, "overloaded")
		}},
		{"told not_run and answered", audit.RejectedButRan, func(e *audit.Evidence) {
			e.Journal = e.Journal[:1]
			e.RequestLog.Records[1].Exchanges = append(refusal(caller.OutcomeNotRun, "overloaded"),
				e.RequestLog.Records[1].Exchanges...)
		}},
		{"budget refusal that ran, called unknown", audit.BudgetRejectionRan, func(e *audit.Evidence) {
			e.RequestLog.Records[1].Outcome = caller.OutcomeUnknown
			e.RequestLog.Records[1].Exchanges = refusal(caller.OutcomeUnknown, "budget_spent")
		}},
		{"more tokens than budget and one turn", audit.OverBudget, func(e *audit.Evidence) {
			e.RequestLog.Programs["p1"] = &caller.Program{ID: "p1", Budget: 1, LargestTurn: 0}
		}},
		{"answer with another nonce", audit.AnswersCrossed, func(e *audit.Evidence) { turn(e).AnswerNonce = "n9" }},
		{
			"call answered about another thing", audit.AnswersCrossed,
			func(e *audit.Evidence) { e.RequestLog.Records[1].Text = "valve-2" },
		},
		{"piece of another request in a failed turn", audit.AnswersCrossed, func(e *audit.Evidence) {
			turn(e).Outcome = caller.OutcomeRan
			turn(e).Exchanges[0].Outcome = caller.OutcomeRan
			events(e)[1].Text = token(0, 10, "n9")
		}},
		{
			"skipped event", audit.BrokenStream,
			func(e *audit.Evidence) { events(e)[2].Sequence = 4; events(e)[3].Sequence = 5 },
		},
		{"repeated event", audit.BrokenStream, func(e *audit.Evidence) { events(e)[2].Sequence = 2 }},
		{
			"skipped token under whole numbering", audit.BrokenStream,
			func(e *audit.Evidence) { events(e)[2].Text = " " + token(2, 20, "n1") },
		},
		{"attempt goes back", audit.BrokenStream, func(e *audit.Evidence) { events(e)[0].Attempt = 2 }},
		{"new attempt does not begin at 1", audit.BrokenStream, func(e *audit.Evidence) {
			for i := 1; i < 4; i++ {
				events(e)[i].Attempt = 2
			}
		}},
		{"final text differs from the pieces", audit.BrokenStream, func(e *audit.Evidence) {
			turn(e).Text = token(0, 10, "n1")
			turn(e).OutputTokens = 1
			e.RequestLog.Records = e.RequestLog.Records[:2]
		}},
		{"resumption goes on at the wrong place", audit.BrokenStream, func(e *audit.Evidence) {
			rest := events(e)[2:]
			first := turn(e).Exchanges[0]
			first.Events = first.Events[:1]
			first.Outcome = caller.OutcomeNone
			turn(e).Exchanges = []caller.Exchange{
				first,
				{Resumed: true, AfterAttempt: 1, AfterSequence: 1, Outcome: caller.OutcomeAnswered, Events: rest},
			}
		}},
		{"kept turn reported missing to a read", audit.RetainedTurnMissing, func(e *audit.Evidence) {
			e.RequestLog.Records[2].Outcome = caller.OutcomeNotRun
			e.RequestLog.Records[2].Exchanges = refusal(caller.OutcomeNotRun, "turn_missing")
		}},
		{"kept turn altered", audit.RetainedTurnMissing, func(e *audit.Evidence) { e.RequestLog.Records[2].Text = "other" }},
		{"kept turn missing to the next turn", audit.RetainedTurnMissing, func(e *audit.Evidence) {
			e.RequestLog.Records = append(e.RequestLog.Records, &caller.Record{
				Operation: caller.OperationTurn, RequestID: "r2", Nonce: "n3", Program: "p1", PreviousTurn: "turn_1",
				Outcome: caller.OutcomeNotRun, Exchanges: refusal(caller.OutcomeNotRun, "turn_missing"),
			})
		}},
		{"kept turn missing to its own resumption", audit.RetainedTurnMissing, func(e *audit.Evidence) {
			resumed := refusal(caller.OutcomeNotRun, "turn_missing")[0]
			resumed.Resumed = true
			turn(e).Exchanges = append(turn(e).Exchanges, resumed)
		}},
		{"event came late", audit.EventDelayed, func(e *audit.Evidence) { events(e)[2].ArrivedAt = at(121) }},
		{"request to a draining server", audit.DrainIgnored, func(e *audit.Evidence) {
			e.Journal[4].ArrivedMicros = at(2101).UnixMicro()
		}},
		{"two contents under one version", audit.BundleReverted, func(e *audit.Evidence) {
			e.Orders = append(e.Orders, audit.Order{
				Kind: audit.OrderPut, Version: 1, Content: "b",
				Outcome: audit.OrderAcknowledged,
			})
		}},
		{"acknowledged bundle is lost", audit.BundleReverted, func(e *audit.Evidence) { e.Orders[2].Newest = 0 }},
		{
			"acknowledged bundle is missing among others", audit.BundleReverted,
			func(e *audit.Evidence) { e.Orders[2].Listed = []uint64{0, 2} },
		},
		{"signed-off bundle is not the active one", audit.BundleReverted, func(e *audit.Evidence) { e.Orders[2].Active = 0 }},
		{"order refused when sent again", audit.OrderRevoked, func(e *audit.Evidence) {
			e.Orders = append(e.Orders, audit.Order{
				ID: "o1", Kind: audit.OrderPut, Version: 1, Content: "a",
				Outcome: audit.OrderRejected,
			})
		}},
		{"older owner ran at another server", audit.OlderOwnerRan, func(e *audit.Evidence) {
			e.Journal[1].Session, e.Journal[1].Epoch = "s1", 3
			e.Journal[2].Session, e.Journal[2].Epoch = "s1", 2
		}},
		{"service was back late", audit.RecoveredLate, func(e *audit.Evidence) { e.Recoveries[0].Took = 12*time.Second + 1 }},
		{"service did not come back", audit.RecoveredLate, func(e *audit.Evidence) { e.Recoveries[0].Served = false }},
		{"owner goes back to an older bundle", audit.BundleReverted, func(e *audit.Evidence) {
			older := soundCall()
			older.RequestID, older.Object, older.Text = "c3", "valve-3", "valve-3"
			older.Owner, older.BundleVersion = "front-1", 1
			turn(e).BundleVersion = 2
			e.RequestLog.Records = append(e.RequestLog.Records, older)
		}},
		{"bundle in force late", audit.BundleLate, func(e *audit.Evidence) {
			e.Orders[1].Version = 2
			e.Orders[2].Newest, e.Orders[2].Active = 2, 2
			e.Orders[1].AnsweredAt = at(-2001)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			evidence := sound()
			c.spoil(&evidence)
			for _, result := range audit.Audit(evidence).Results {
				if (result.Found > 0) != (result.Check == c.check) {
					t.Errorf("%s: %d violations %v, expected only %q to speak", result.Check, result.Found, result.Violations, c.check)
				}
			}
		})
	}
}

// TestTurnThatWasNeverAnsweredMayBeMissing shows that a turn lost with its owner is not a retained turn.
func TestTurnThatWasNeverAnsweredMayBeMissing(t *testing.T) {
	evidence := sound()
	lost := &caller.Record{
		Operation: caller.OperationTurn, RequestID: "r2", Nonce: "n3", Program: "p1", PreviousTurn: "turn_1",
		TurnID:  "turn_2",
		Outcome: caller.OutcomeUnknown, Exchanges: refusal(caller.OutcomeNone, "no_answer"),
	}
	resumed := refusal(caller.OutcomeNotRun, "turn_missing")[0]
	resumed.Resumed = true
	lost.Exchanges = append(lost.Exchanges, resumed)
	evidence.RequestLog.Records = append(evidence.RequestLog.Records, lost)
	if report := audit.Audit(evidence); !report.Clean() {
		t.Fatalf("violations: %+v", report.Results)
	}
}

// TestCandidateServesBesideTheActiveBundle shows that programs of both sides may have one owner, and that none may
// change sides.
func TestCandidateServesBesideTheActiveBundle(t *testing.T) {
	for _, changesSides := range []bool{false, true} {
		evidence := sound()
		evidence.Candidates = []uint64{2}
		evidence.RequestLog.Records[0].BundleVersion = 2
		other := soundCall()
		other.RequestID, other.Object, other.Text, other.Program = "c3", "valve-3", "valve-3", "p2"
		other.Owner, other.BundleVersion = "front-1", 1
		if changesSides {
			other.Program = "p1"
		}
		evidence.RequestLog.Records = append(evidence.RequestLog.Records, other)
		if found := audit.Audit(evidence).Of(audit.BundleReverted).Found > 0; found != changesSides {
			t.Errorf("changes sides %v, found %v", changesSides, found)
		}
	}
}

// TestExcusedDelays shows that delays are excused only during faults and on faulty stand-ins.
func TestExcusedDelays(t *testing.T) {
	late := func() audit.Evidence {
		e := sound()
		e.RequestLog.Records[0].Exchanges[0].Events[2].ArrivedAt = at(500)
		return e
	}
	disturbed := late()
	disturbed.FaultIntervals = []audit.FaultInterval{{From: at(0), To: at(10), Processes: []string{"front-1"}}}
	later := late()
	later.FaultIntervals = []audit.FaultInterval{{From: at(1000), To: at(2000), Processes: []string{"front-1"}}}
	elsewhere := late()
	elsewhere.FaultIntervals = []audit.FaultInterval{{From: at(0), To: at(10), Processes: []string{"front-9"}}}
	faulty := late()
	faulty.Journal[1].Fault = standin.FaultStall
	for name, c := range map[string]struct {
		evidence audit.Evidence
		found    bool
	}{"disturbed": {disturbed, false}, "later": {later, true}, "elsewhere": {elsewhere, true}, "faulty": {faulty, false}} {
		report := audit.Audit(c.evidence)
		if found := report.Of(audit.EventDelayed).Found > 0; found != c.found {
			t.Errorf("%s: found %v, want %v", name, found, c.found)
		}
	}
}
