package interruptedstart

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

const (
	// maxReports bounds how many violations are reported, since one fault shows at many operations.
	maxReports = 8
	// maxOperations bounds the operations of one start; a start that needs more never ends.
	maxOperations = 1000
)

// Test interrupts the start of a scenario at each operation, and the start after it at each of its own, and checks all
// that complete. The seed decides what a loss of power tears. Test returns how many runs of three starts it made.
func Test(t *testing.T, scenario Scenario, seed uint64) int {
	t.Helper()
	test := &tester{scenario: scenario, seed: seed}
	test.interruptTwice()
	for _, violation := range test.violations {
		t.Error(violation)
	}
	if test.runs == 0 {
		t.Error("no start was interrupted")
	}
	return test.runs
}

type tester struct {
	scenario   Scenario
	seed       uint64
	runs       int
	violations []string
}

func (t *tester) interruptTwice() {
	prepared := t.prepare()
	t.interruptEach(prepared, func(once *history) {
		t.interruptEach(once, func(twice *history) {
			t.runs++
			twice.start()
			twice.checkLast()
			t.report(twice)
		})
	})
}

// prepare returns the disk of the scenario before the first interruption.
func (t *tester) prepare() *history {
	prepared := newHistory(t.scenario, simdisk.New(t.random(0, killed)))
	if t.scenario.Prepare != nil {
		t.scenario.Prepare(prepared.disk, func() {
			prepared.start()
			prepared.disk.Kill()
		})
	}
	return prepared
}

// interruptEach passes on, for each operation of the next start and each ending, what is left after a start that ended
// there; the last ones are starts that completed.
func (t *tester) interruptEach(before *history, visit func(*history)) {
	for operations := range maxOperations {
		wasInterrupted := false
		for _, how := range endings {
			after := before.clone(t.random(operations, how))
			wasInterrupted = after.interrupt(interruption{operations: operations, ending: how}) || wasInterrupted
			visit(after)
			if len(t.violations) >= maxReports {
				return
			}
		}
		if !wasInterrupted {
			return
		}
	}
	t.violations = append(t.violations, fmt.Sprintf("a start needs more than %d operations", maxOperations))
}

func (t *tester) random(operations int, how ending) *rand.Rand {
	return rand.New(rand.NewPCG(t.seed, uint64(operations*len(endings)+int(how))))
}

func (t *tester) report(finished *history) {
	for _, violation := range finished.violations {
		t.violations = append(t.violations,
			fmt.Sprintf("seed %d, starts that ended after %v: %s", t.seed, finished.interruptions, violation))
	}
}
