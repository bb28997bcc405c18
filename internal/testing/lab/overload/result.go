package overload

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/report"
)

// LateRejection is the time within which a rejection should come.
const LateRejection = 50 * time.Millisecond

// warmUp is left out at the beginning of the burst: no answer can come before a turn's own length.
const warmUp = time.Second

// slowFactor says when an answer after the burst still counts as disturbed.
const slowFactor = 3

// RejectionKey distinguishes rejections.
type RejectionKey struct{ Code, Outcome string }

// Rejections are those of one key.
type Rejections struct {
	RejectionKey
	Times      *report.Times
	RetryAfter int
}

// Group is a class or a tenant.
type Group struct {
	Name     string
	Offered  int
	Answered int
	// PerSecond is its goodput in the steady part of the burst.
	PerSecond float64
	Waited    *report.Times
}

// Result is the figures of a burst.
type Result struct {
	Offered, Answered int
	// Goodput is answers a second in the steady part of the burst.
	Goodput float64
	// AllRejections are the times of all requests without an answer.
	AllRejections *report.Times
	RetryAfter    int
	// LateRejections came later than LateRejection; LateAtOnset of them were sent in the first second.
	LateRejections int
	LateAtOnset    int
	Kinds          []Rejections
	Classes        []Group
	Tenants        []Group
	// RejectedButRan names requests with outcome not_run that a stand-in ran.
	RejectedButRan []string
	// Recovery is how long after the burst's end the last request was sent that
	// was not answered or took more than three times the usual.
	Recovery    time.Duration
	MaxLateness time.Duration
}

// Evaluate computes the figures. ran reports whether a stand-in ran a request,
// usual is the time of a turn without load.
func Evaluate(outcome *Outcome, ran func(requestID string) bool, usual time.Duration) *Result {
	r := &Result{AllRejections: report.NewTimes(), MaxLateness: outcome.MaxLateness}
	kinds := map[RejectionKey]*Rejections{}
	classes, tenants := map[string]*Group{}, map[string]*Group{}
	steady := outcome.Burst - warmUp
	for _, observed := range outcome.Observations {
		record := observed.Record
		if record == nil {
			continue
		}
		if record.Outcome == caller.OutcomeNotRun && ran(record.RequestID) {
			r.RejectedButRan = append(r.RejectedButRan, record.RequestID)
		}
		if observed.After {
			r.recover(observed, outcome, usual)
			continue
		}
		r.Offered++
		of := []*Group{groupOf(classes, record.Priority), groupOf(tenants, record.Site)}
		answered := record.Outcome == caller.OutcomeAnswered
		inWindow := answered && outcome.inSteadyPhase(record.AnsweredAt)
		for _, group := range of {
			group.record(record, answered, inWindow, steady)
		}
		if inWindow {
			r.Goodput += 1 / steady.Seconds()
		}
		if answered {
			r.Answered++
			continue
		}
		r.recordRejection(observed, kinds)
	}
	r.Kinds = sorted(kinds, func(a, b Rejections) int {
		return cmp.Or(cmp.Compare(b.Times.Count(), a.Times.Count()), cmp.Compare(a.Code+a.Outcome, b.Code+b.Outcome))
	})
	byName := func(a, b Group) int { return cmp.Compare(a.Name, b.Name) }
	r.Classes, r.Tenants = sorted(classes, byName), sorted(tenants, byName)
	return r
}

func (o *Outcome) inSteadyPhase(at time.Time) bool {
	after := at.Sub(o.Begun)
	return after >= warmUp && after < o.Burst
}

func groupOf(groups map[string]*Group, name string) *Group {
	if groups[name] == nil {
		groups[name] = &Group{Name: name, Waited: report.NewTimes()}
	}
	return groups[name]
}

func (g *Group) record(record *caller.Record, answered, inWindow bool, steady time.Duration) {
	g.Offered++
	if answered {
		g.Answered++
		g.Waited.Add(record.AnsweredAt.Sub(record.SentAt()))
	}
	if inWindow {
		g.PerSecond += 1 / steady.Seconds()
	}
}

func (r *Result) recordRejection(observed Observation, kinds map[RejectionKey]*Rejections) {
	record := observed.Record
	key := RejectionKey{Code: record.Code, Outcome: record.Outcome}
	if kinds[key] == nil {
		kinds[key] = &Rejections{RejectionKey: key, Times: report.NewTimes()}
	}
	took := record.AnsweredAt.Sub(record.SentAt())
	kinds[key].Times.Add(took)
	r.AllRejections.Add(took)
	if took > LateRejection {
		r.LateRejections++
		if observed.DueAt < warmUp {
			r.LateAtOnset++
		}
	}
	if last := record.Exchanges[len(record.Exchanges)-1]; last.RetryAfterMillis > 0 {
		kinds[key].RetryAfter++
		r.RetryAfter++
	}
}

func (r *Result) recover(observed Observation, outcome *Outcome, usual time.Duration) {
	record := observed.Record
	took := record.AnsweredAt.Sub(record.SentAt())
	if record.Outcome != caller.OutcomeAnswered || took > slowFactor*usual {
		r.Recovery = max(r.Recovery, record.SentAt().Sub(outcome.Begun)-outcome.Burst)
	}
}

func sorted[K comparable, V any](of map[K]*V, compare func(a, b V) int) []V {
	values := make([]V, 0, len(of))
	for _, value := range of {
		values = append(values, *value)
	}
	slices.SortFunc(values, compare)
	return values
}
