package simcommand_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/testing/lab/simcommand"
)

func execute(arguments ...string) (output, trace string, err error) {
	var out, faults strings.Builder
	command := simcommand.New()
	command.SilenceErrors, command.SilenceUsage = true, true
	command.SetOut(&out)
	command.SetErr(&faults)
	command.SetArgs(arguments)
	err = command.Execute()
	return out.String(), faults.String(), err
}

func TestCleanSearchPrintsARuleALine(t *testing.T) {
	output, trace, err := execute("--suite", "state", "--seed", "1", "--seeds", "2", "--workers", "2")
	if err != nil || trace != "" {
		t.Fatalf("%v\n%s%s", err, output, trace)
	}
	if !strings.Contains(output, "suite state: 2 runs") || strings.Count(output, "violated 0") < 10 {
		t.Fatal(output)
	}
}

func TestEachSuiteIsReachable(t *testing.T) {
	for _, suite := range []string{"state", "ownership", "serving"} {
		output, _, err := execute("--suite", suite, "--seeds", "1")
		if err != nil || !strings.Contains(output, "suite "+suite+": 1 runs") {
			t.Fatalf("%v\n%s", err, output)
		}
	}
}

func TestViolationIsPrintedWithItsReplay(t *testing.T) {
	output, trace, err := execute("--suite", "state", "--seeds", "1", "--trace", "--mutation", "front-skips-tombstone")
	var violated *simcommand.ViolatedError
	if !errors.As(err, &violated) || violated.Runs != 1 {
		t.Fatalf("%v\n%s", err, output)
	}
	replay := "replay: rosestand-lab sim --suite state --seed 1 --seeds 1 --trace --mutation front-skips-tombstone"
	if !strings.Contains(output, replay) || !strings.Contains(trace, "VIOLATED") {
		t.Fatalf("%s\n%s", output, trace)
	}
}

func TestUnknownSuiteIsRefused(t *testing.T) {
	_, _, err := execute("--suite", "nothing")
	if _, ok := errors.AsType[*simcommand.UnknownSuiteError](err); !ok {
		t.Fatal(err)
	}
}

func TestUnknownMutationIsRefused(t *testing.T) {
	_, _, err := execute("--suite", "state", "--seeds", "1", "--mutation", "nothing")
	if _, ok := errors.AsType[*simcommand.UnknownMutationError](err); !ok {
		t.Fatal(err)
	}
}

func TestViolationIsPrintedWithAShortSchedule(t *testing.T) {
	output, _, err := execute("--suite", "state", "--seeds", "1", "--mutation", "front-skips-tombstone")
	if err == nil || !strings.Contains(output, "shortest schedule found") || !strings.Contains(output, "replay: ") {
		t.Fatalf("%v\n%s", err, output)
	}
}

func TestFleetAtRestIsMeasured(t *testing.T) {
	output, _, err := execute("--rest", "10s")
	if err != nil || !strings.Contains(output, "times real time") {
		t.Fatalf("%v\n%s", err, output)
	}
}

func TestUnknownShapeIsRefused(t *testing.T) {
	_, _, err := execute("--suite", "state", "--shape", "nothing")
	if _, ok := errors.AsType[*simcommand.UnknownShapeError](err); !ok {
		t.Fatal(err)
	}
}

func TestReplayNamesTheShape(t *testing.T) {
	output, _, err := execute("--suite", "state", "--shape", "regions", "--seeds", "1", "--mutation", "front-skips-tombstone", "--keep-schedules")
	var violated *simcommand.ViolatedError
	if !errors.As(err, &violated) || !strings.Contains(output, "--trace --shape regions --mutation front-skips-tombstone") {
		t.Fatalf("%v\n%s", err, output)
	}
}
