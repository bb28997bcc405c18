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

func TestCleanSearchPrintsALineForEachRule(t *testing.T) {
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

func TestUnknownSuiteIsRejected(t *testing.T) {
	_, _, err := execute("--suite", "nothing")
	if _, ok := errors.AsType[*simcommand.UnknownSuiteError](err); !ok {
		t.Fatal(err)
	}
}

func TestUnknownMutationIsRejected(t *testing.T) {
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

func TestIdleFleetIsMeasured(t *testing.T) {
	output, _, err := execute("--rest", "10s")
	if err != nil || !strings.Contains(output, "times real time") {
		t.Fatalf("%v\n%s", err, output)
	}
}

func fingerprints(output string) []string {
	var lines []string
	for line := range strings.Lines(output) {
		if strings.HasPrefix(line, "fingerprint ") {
			lines = append(lines, strings.TrimSuffix(line, "\n"))
		}
	}
	return lines
}

func TestFingerprintsAreTheSameInEachRun(t *testing.T) {
	arguments := []string{"--suite", "all", "--seed", "3", "--seeds", "2"}
	plain, _, err := execute(append(arguments, "--workers", "2")...)
	if err != nil || len(fingerprints(plain)) != 0 {
		t.Fatalf("%v\n%s", err, plain)
	}
	alone, _, err := execute(append(arguments, "--workers", "1", "--fingerprints")...)
	if err != nil {
		t.Fatalf("%v\n%s", err, alone)
	}
	atOnce, _, err := execute(append(arguments, "--workers", "2", "--fingerprints")...)
	if err != nil || atOnce != alone {
		t.Fatalf("%v\n%s\n%s", err, alone, atOnce)
	}
	found, place := fingerprints(alone), 0
	if len(found) != 6 {
		t.Fatal(alone)
	}
	sums, rest := map[string]bool{}, alone
	for _, suite := range []string{"state", "ownership", "serving"} {
		for _, seed := range []string{"3", "4"} {
			sum, is := strings.CutPrefix(found[place], "fingerprint "+suite+" seed "+seed+": ")
			if !is || len(sum) != 16 || sums[sum] {
				t.Fatal(alone)
			}
			sums[sum] = true
			rest = strings.Replace(rest, found[place]+"\n", "", 1)
			place++
		}
	}
	if rest != plain {
		t.Fatalf("more than fingerprints was added:\n%s\n%s", plain, alone)
	}
}

func TestChangedDecisionChangesFingerprints(t *testing.T) {
	arguments := []string{"--suite", "state", "--seeds", "1", "--keep-schedules", "--fingerprints"}
	intact, _, err := execute(arguments...)
	if err != nil {
		t.Fatalf("%v\n%s", err, intact)
	}
	broken, _, err := execute(append(arguments, "--mutation", "front-skips-tombstone")...)
	if _, violated := errors.AsType[*simcommand.ViolatedError](err); !violated {
		t.Fatalf("%v\n%s", err, broken)
	}
	one, other := fingerprints(intact), fingerprints(broken)
	if len(one) != 1 || len(other) != 1 || one[0] == other[0] {
		t.Fatalf("%v and %v", one, other)
	}
}

func TestUnknownShapeIsRejected(t *testing.T) {
	_, _, err := execute("--suite", "state", "--shape", "nothing")
	if _, ok := errors.AsType[*simcommand.UnknownShapeError](err); !ok {
		t.Fatal(err)
	}
}

func TestReplayNamesTheShape(t *testing.T) {
	output, _, err := execute("--suite", "state", "--shape", "regions", "--seeds", "1", "--mutation",
		"front-skips-tombstone", "--keep-schedules")
	var violated *simcommand.ViolatedError
	if !errors.As(err, &violated) ||
		!strings.Contains(output, "--trace --shape regions --mutation front-skips-tombstone") {
		t.Fatalf("%v\n%s", err, output)
	}
}
