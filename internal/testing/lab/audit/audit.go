// Package audit compares what the stand-ins saw with what callers and operators
// were told, and names each promise that was broken.
package audit

import (
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

// Check names one promise.
type Check string

// The checks, one for each promise.
const (
	RanTwice        Check = "non-repeatable call ran twice"
	RefusedButRan   Check = "refused but ran"
	BudgetRefusal   Check = "refused for its budget but ran"
	OverBudget      Check = "tokens over budget plus one turn"
	AnswersCrossed  Check = "answers crossed"
	BrokenStream    Check = "stream skipped, repeated or spliced"
	KeptTurnMissing Check = "kept turn reported missing or altered"
	EventDelay      Check = "event passed on late"
	DrainIgnored    Check = "request to a draining server"
	BundleWentBack  Check = "bundle went back or was lost"
	BundleLate      Check = "bundle in force late"
	OrderRevoked    Check = "order acknowledged and refused"
	OlderOwnerRan   Check = "run of an older owner after a newer one"
	ReturnedLate    Check = "service back late"
)

// Interval is a span of time in which a fault was injected.
type Interval struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// Processes are the names and the HTTP addresses of those that it struck.
	Processes []string `json:"processes"`
	// Core is true when it struck the core.
	Core bool `json:"core,omitempty"`
}

func (i Interval) overlaps(from, to time.Time) bool {
	return from.Before(i.To) && to.After(i.From)
}

// Order is one sending of an order by an operator and the answer to it.
type Order struct {
	// ID is the same when the order is sent again.
	ID         string    `json:"id,omitempty"`
	SentAt     time.Time `json:"sent_at"`
	AnsweredAt time.Time `json:"answered_at"`
	Kind       OrderKind `json:"kind"`
	// Version of the bundle put or put in force.
	Version uint64 `json:"version,omitempty"`
	// Content tells bundles under the same version apart.
	Content string       `json:"content,omitempty"`
	Outcome OrderOutcome `json:"outcome"`
	Code    string       `json:"code,omitempty"`
	// Listed are the versions that a listing showed, Newest and Active those it named.
	Listed []uint64 `json:"listed,omitempty"`
	Newest uint64   `json:"newest,omitempty"`
	Active uint64   `json:"active,omitempty"`
}

func (o *Order) acknowledged(kind OrderKind) bool {
	return o.Kind == kind && o.Outcome == OrderAcknowledged
}

// OrderKind is the kind of an order.
type OrderKind string

// Kinds of orders.
const (
	OrderPut  OrderKind = "put"
	OrderSign OrderKind = "sign"
	OrderList OrderKind = "list"
)

// OrderOutcome is what an operator was told.
type OrderOutcome string

// Outcomes of orders.
const (
	OrderAcknowledged OrderOutcome = "acknowledged"
	OrderRefused      OrderOutcome = "refused"
	OrderUnknown      OrderOutcome = "unknown"
)

// Return is the wait for service after machines that had died returned.
type Return struct {
	After string        `json:"after"`
	At    time.Time     `json:"at"`
	Took  time.Duration `json:"took"`
	// Served is false when the wait was given up.
	Served bool `json:"served"`
}

// Evidence is all that a run left behind.
type Evidence struct {
	Book    *caller.Book
	Journal []standin.Entry
	Orders  []Order
	// Disturbed are the injected faults; they explain delays of events and
	// bundles on the processes that they struck, and nothing else.
	Disturbed []Interval
	Returns   []Return
	// Candidates are bundle versions that serve a share of the programs beside the active one.
	Candidates []uint64
}

// Violation is one broken promise.
type Violation struct {
	Check   Check  `json:"check"`
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// Result is what one check found.
type Result struct {
	Check Check `json:"check"`
	// Examined counts the things that were checked; a check of nothing proves nothing.
	Examined int `json:"examined"`
	Found    int `json:"found"`
	// Violations are the first ones found.
	Violations []Violation `json:"violations,omitempty"`
}

// Report is the outcome of an audit.
type Report struct {
	Results []Result `json:"results"`
}

// Clean reports whether no check found a violation.
func (r *Report) Clean() bool {
	for _, result := range r.Results {
		if result.Found > 0 {
			return false
		}
	}
	return true
}

// Of returns the result of a check.
func (r *Report) Of(check Check) Result {
	for _, result := range r.Results {
		if result.Check == check {
			return result
		}
	}
	return Result{Check: check}
}

const maxViolationsListed = 20

// finder collects what a check finds.
type finder struct{ result Result }

func (f *finder) examine(count int) { f.result.Examined += count }

func (f *finder) found(subject, detail string) {
	f.result.Found++
	if len(f.result.Violations) < maxViolationsListed {
		f.result.Violations = append(f.result.Violations, Violation{Check: f.result.Check, Subject: subject, Detail: detail})
	}
}

// Audit runs every check.
func Audit(evidence Evidence) *Report {
	file := index(evidence)
	checks := []struct {
		name Check
		run  func(*casefile, *finder)
	}{
		{RanTwice, checkRanTwice},
		{RefusedButRan, checkRefusedButRan},
		{BudgetRefusal, checkBudgetRefusal},
		{OverBudget, checkOverBudget},
		{AnswersCrossed, checkAnswersCrossed},
		{BrokenStream, checkStreams},
		{KeptTurnMissing, checkKeptTurns},
		{EventDelay, checkEventDelay},
		{DrainIgnored, checkDrains},
		{BundleWentBack, checkBundles},
		{BundleLate, checkBundleLate},
		{OrderRevoked, checkOrders},
		{OlderOwnerRan, checkOwners},
		{ReturnedLate, checkReturns},
	}
	report := &Report{}
	for _, check := range checks {
		f := &finder{result: Result{Check: check.name}}
		check.run(file, f)
		report.Results = append(report.Results, f.result)
	}
	return report
}
