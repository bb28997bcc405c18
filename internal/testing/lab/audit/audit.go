// Package audit compares the journals of the stand-ins with what callers and operators
// received, and reports each violated guarantee.
package audit

import (
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

// Check names one guarantee.
type Check string

// The checks, one for each guarantee.
const (
	RanTwice            Check = "non-repeatable call ran twice"
	RejectedButRan      Check = "refused but ran"
	BudgetRejectionRan  Check = "refused for its budget but ran"
	OverBudget          Check = "tokens over budget plus one turn"
	AnswersCrossed      Check = "answers crossed"
	BrokenStream        Check = "stream skipped, repeated or spliced"
	RetainedTurnMissing Check = "kept turn reported missing or altered"
	EventDelayed        Check = "event passed on late"
	DrainIgnored        Check = "request to a draining server"
	BundleReverted      Check = "bundle went back or was lost"
	BundleLate          Check = "bundle in force late"
	OrderRevoked        Check = "order acknowledged and refused"
	OlderOwnerRan       Check = "run of an older owner after a newer one"
	RecoveredLate       Check = "service back late"
)

// FaultInterval is the time of an injected fault.
type FaultInterval struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// Processes are the names and the HTTP addresses of the affected processes.
	Processes []string `json:"processes"`
	// Core is true when it affected the core.
	Core bool `json:"core,omitempty"`
}

func (i FaultInterval) overlaps(from, to time.Time) bool {
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
	// Content distinguishes bundles of the same version.
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

// OrderOutcome is the outcome of an order for its operator.
type OrderOutcome string

// Outcomes of orders.
const (
	OrderAcknowledged OrderOutcome = "acknowledged"
	OrderRejected     OrderOutcome = "refused"
	OrderUnknown      OrderOutcome = "unknown"
)

// Recovery is the time until service after crashed machines returned.
type Recovery struct {
	After string        `json:"after"`
	At    time.Time     `json:"at"`
	Took  time.Duration `json:"took"`
	// Served is false when the wait timed out.
	Served bool `json:"served"`
}

// Evidence is everything that a run recorded.
type Evidence struct {
	RequestLog *caller.RequestLog
	Journal    []standin.Entry
	Orders     []Order
	// FaultIntervals are the injected faults; they excuse delays of events and
	// bundles on the affected processes, and nothing else.
	FaultIntervals []FaultInterval
	Recoveries     []Recovery
	// Candidates are bundle versions that serve a share of the programs beside the active one.
	Candidates []uint64
}

// Violation is one violated guarantee.
type Violation struct {
	Check   Check  `json:"check"`
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// Result is the result of one check.
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
		run  func(*indexedEvidence, *finder)
	}{
		{RanTwice, checkRanTwice},
		{RejectedButRan, checkRejectedButRan},
		{BudgetRejectionRan, checkBudgetRejections},
		{OverBudget, checkOverBudget},
		{AnswersCrossed, checkAnswersCrossed},
		{BrokenStream, checkStreams},
		{RetainedTurnMissing, checkRetainedTurns},
		{EventDelayed, checkEventDelay},
		{DrainIgnored, checkDrains},
		{BundleReverted, checkBundles},
		{BundleLate, checkBundleLate},
		{OrderRevoked, checkOrders},
		{OlderOwnerRan, checkOwners},
		{RecoveredLate, checkRecoveries},
	}
	report := &Report{}
	for _, check := range checks {
		f := &finder{result: Result{Check: check.name}}
		check.run(file, f)
		report.Results = append(report.Results, f.result)
	}
	return report
}
