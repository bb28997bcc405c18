package sim

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"time"
)

// Checker checks one invariant.
type Checker interface {
	// Name returns the invariant in words.
	Name() string
	// Provoked counts how often the run gave the invariant a chance to fail.
	Provoked() int
	// Violations describes each time that the invariant failed.
	Violations() []string
}

// Rule is a Checker that a suite drives with Check, Provoke and Violatef.
type Rule struct {
	world      *World
	name       string
	provoked   int
	violations []string
}

var _ Checker = (*Rule)(nil)

// NewRule adds a rule to the world. The first violation of any rule ends the run.
func (w *World) NewRule(name string) *Rule {
	rule := &Rule{world: w, name: name}
	w.rules = append(w.rules, rule)
	return rule
}

// Name returns the invariant in words.
func (r *Rule) Name() string { return r.name }

// Provoke counts a moment at which the invariant could have failed.
func (r *Rule) Provoke() { r.provoked++ }

// Provoked returns the count of Provoke.
func (r *Rule) Provoked() int { return r.provoked }

// Violations describes each time that the invariant failed.
func (r *Rule) Violations() []string { return r.violations }

// Violatef reports that the invariant failed.
func (r *Rule) Violatef(format string, arguments ...any) {
	violation := fmt.Sprintf(format, arguments...)
	r.violations = append(r.violations, violation)
	r.world.Tracef("VIOLATED %s: %s", r.name, violation)
}

// Check counts a moment and reports a violation unless the condition holds.
func (r *Rule) Check(holds bool, format string, arguments ...any) {
	r.Provoke()
	if !holds {
		r.Violatef(format, arguments...)
	}
}

// Violated reports whether any rule failed.
func (w *World) Violated() bool {
	for _, rule := range w.rules {
		if len(rule.violations) > 0 {
			return true
		}
	}
	return false
}

// RuleResult is the result of one rule in one or more runs.
type RuleResult struct {
	Name       string
	Provoked   int
	Violations []string
}

// Report is the result of one run.
type Report struct {
	Seed    int64
	Rules   []RuleResult
	Elapsed time.Duration
	Steps   int
	// Fingerprint is equal for equal runs.
	Fingerprint uint64
	// Schedule is what was planned; Applied and Skipped partition it by what Options.MayApply allowed in time.
	Schedule, Applied, Skipped []Fault
	MessagesSent, MessagesLost int
	// Exhausted is set when Options.MaximumSteps ended the run.
	Exhausted bool
	// Shrunk is the smallest schedule found that still violates one of the rules, nil when none was searched.
	Shrunk []Fault
}

// Report returns the state of the run.
func (w *World) Report() Report {
	report := Report{
		Seed: w.seed, Elapsed: w.elapsed, Steps: w.steps, Fingerprint: w.fingerprint,
		Schedule: w.faults, Applied: w.applied, Skipped: w.skipped,
		MessagesSent: w.network.sent, MessagesLost: w.network.dropped,
		Exhausted: w.steps >= w.options.MaximumSteps,
	}
	for _, rule := range w.rules {
		report.Rules = append(report.Rules, RuleResult{
			Name: rule.name, Provoked: rule.provoked, Violations: rule.violations,
		})
	}
	return report
}

// Digest hashes what the run counted: its events and their order, messages, faults, and for each rule, by its
// index, how often it was provoked and violated. It is equal for equal runs, and leaves names and wording out.
func (r Report) Digest() uint64 {
	sum := fnv.New64a()
	add := func(count uint64) { _ = binary.Write(sum, binary.LittleEndian, count) }
	add(uint64(r.Steps))
	add(uint64(r.Elapsed))
	add(r.Fingerprint)
	add(uint64(r.MessagesSent))
	add(uint64(r.MessagesLost))
	for _, faults := range [][]Fault{r.Schedule, r.Applied, r.Skipped} {
		add(uint64(len(faults)))
	}
	for _, rule := range r.Rules {
		add(uint64(rule.Provoked))
		add(uint64(len(rule.Violations)))
	}
	return sum.Sum64()
}

// sharesViolation reports whether another run violated a rule that this one did.
func (r Report) sharesViolation(other Report) bool {
	violated := map[string]bool{}
	for _, rule := range r.Rules {
		violated[rule.Name] = len(rule.Violations) > 0
	}
	for _, rule := range other.Rules {
		if len(rule.Violations) > 0 && violated[rule.Name] {
			return true
		}
	}
	return false
}

// Violated reports whether any rule failed.
func (r Report) Violated() bool {
	for _, rule := range r.Rules {
		if len(rule.Violations) > 0 {
			return true
		}
	}
	return false
}
