package overload

import (
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
)

func testPlan() Plan {
	return Plan{
		Seed: 3, Factor: 10, Burst: 4 * time.Second, After: 2 * time.Second, AfterShare: 0.3,
		Tenants: Tenants(), MaxRequests: 10_000,
	}
}

func TestPlanIsSeededAndOffersTheFactor(t *testing.T) {
	first, err := testPlan().arrivals("run", 50)
	if err != nil {
		t.Fatal(err)
	}
	second, _ := testPlan().arrivals("run", 50)
	during, greedy, urgent := 0, 0, 0
	for i, r := range first {
		if r != second[i] {
			t.Fatalf("request %d differs between equal plans", i)
		}
		if r.after != (r.at >= 4*time.Second) {
			t.Fatalf("request at %v is classified as after the burst: %t", r.at, r.after)
		}
		if r.after {
			continue
		}
		during++
		if r.tenant == "burst-greedy" {
			greedy++
		}
		if r.priority == caller.PriorityUrgent {
			urgent++
		}
	}
	if during < 1850 || during > 2150 {
		t.Fatalf("%d requests in four seconds at 500 a second", during)
	}
	if greedy < during*6/10 || greedy > during*8/10 || urgent < during*3/100 || urgent > during*7/100 {
		t.Fatalf("%d greedy, %d urgent of %d", greedy, urgent, during)
	}
}

func TestPlanThatOffersTooMuchIsRejected(t *testing.T) {
	plan := testPlan()
	plan.MaxRequests = 100
	if _, err := plan.arrivals("run", 50); err == nil {
		t.Fatal("not rejected")
	}
}

func observe(id, outcome, code string, sent, answered time.Duration, retryAfter int) Observation {
	begun := time.Unix(1000, 0)
	return Observation{DueAt: sent, After: sent >= 4*time.Second, Record: &caller.Record{
		RequestID: id, Site: "burst-north", Priority: caller.PriorityProbe, Outcome: outcome, Code: code,
		AnsweredAt: begun.Add(answered),
		Exchanges:  []caller.Exchange{{SentAt: begun.Add(sent), RetryAfterMillis: retryAfter}},
	}}
}

func TestFiguresOfABurst(t *testing.T) {
	const ms = time.Millisecond
	outcome := &Outcome{Begun: time.Unix(1000, 0), Burst: 4 * time.Second, Observations: []Observation{
		observe("early", caller.OutcomeAnswered, "", 0, 900*ms, 0),
		observe("steady", caller.OutcomeAnswered, "", 500*ms, 1500*ms, 0),
		observe("last", caller.OutcomeAnswered, "", 3900*ms, 4100*ms, 0),
		observe("quick", caller.OutcomeNotRun, "overloaded", 2000*ms, 2010*ms, 400),
		observe("late", caller.OutcomeNotRun, "overloaded", 500*ms, 2500*ms, 400),
		observe("bare", caller.OutcomeNotRun, "overloaded", 2000*ms, 2020*ms, 0),
		observe("slow-after", caller.OutcomeAnswered, "", 4300*ms, 5300*ms, 0),
		observe("well-after", caller.OutcomeAnswered, "", 5000*ms, 5200*ms, 0),
		{},
	}}
	r := Evaluate(outcome, func(id string) bool { return id == "bare" || id == "steady" }, 200*ms)
	if r.Offered != 6 || r.Answered != 3 || r.Goodput < 0.33 || r.Goodput > 0.34 {
		t.Fatalf("offered %d, answered %d, goodput %v", r.Offered, r.Answered, r.Goodput)
	}
	if r.AllRejections.Count() != 3 || r.RetryAfter != 2 || r.LateRejections != 1 || r.LateAtOnset != 1 {
		t.Fatalf("rejections %d, with Retry-After %d, late %d, at the onset %d", r.AllRejections.Count(), r.RetryAfter,
			r.LateRejections, r.LateAtOnset)
	}
	if len(r.RejectedButRan) != 1 || r.RejectedButRan[0] != "bare" {
		t.Fatalf("rejected and ran: %v", r.RejectedButRan)
	}
	if r.Recovery != 300*ms {
		t.Fatalf("recovery %v", r.Recovery)
	}
	if len(r.Classes) != 1 || r.Classes[0].Answered != 3 || len(r.Kinds) != 1 || r.Kinds[0].RetryAfter != 2 {
		t.Fatalf("classes %+v, kinds %+v", r.Classes, r.Kinds)
	}
}
