package ledger_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

const (
	stepMismatch = protocol.LedgerStatus_LEDGER_STEP_MISMATCH
	stepUnknown  = protocol.LedgerStatus_LEDGER_STEP_UNKNOWN
)

func pin(step, model string, version uint64, owner string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: ledger.TrainingStepProgram(step),
		Body: &protocol.LedgerOperation_PinTrainingStep{PinTrainingStep: &protocol.PinTrainingStep{
			Step: step, Model: model, WeightVersion: version, Owner: owner,
		}},
	}
}

func trace(step string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: ledger.TrainingStepProgram(step),
		Body:    &protocol.LedgerOperation_TraceTrainingStep{TraceTrainingStep: &protocol.TraceTrainingStep{Step: step}},
	}
}

// forStep makes the reservation generate for a training step.
func forStep(step string, version uint64, operation *protocol.LedgerOperation) *protocol.LedgerOperation {
	operation.GetReserveTurn().TrainingStep = &protocol.TrainingStepReference{Step: step, WeightVersion: version}
	return operation
}

// settledOn sets the weight versions that generated the settled turn.
func settledOn(operation *protocol.LedgerOperation, versions ...uint64) *protocol.LedgerOperation {
	operation.GetSettleTurn().WeightVersions = versions
	return operation
}

// releasedOn sets the weight versions that generated the released turn, and whether it was completed.
func releasedOn(operation *protocol.LedgerOperation, completed bool, versions ...uint64) *protocol.LedgerOperation {
	operation.GetReleaseTurn().WeightVersions = versions
	operation.GetReleaseTurn().Completed = completed
	return operation
}

// pinnedVersion is the weight version of the first pin of each scenario.
const pinnedVersion = 4

// pinnedBy checks that a result and its record have the pin that an owner set.
func pinnedBy(owner string) resultCheck {
	return func(record *protocol.ProgramRecord, result *protocol.LedgerResult) bool {
		pin := result.GetTrainingStepPin()
		return pin.GetWeightVersion() == pinnedVersion && pin.GetPinnedBy() == owner &&
			proto.Equal(record.GetTrainingStepPin(), pin)
	}
}

// hasMembership checks the program's membership against one in protobuf text format.
func hasMembership(t *testing.T, membership string) resultCheck {
	t.Helper()
	wanted := &protocol.TrainingStepMembership{}
	if err := prototext.Unmarshal([]byte(membership), wanted); err != nil {
		t.Fatal(err)
	}
	return func(record *protocol.ProgramRecord, _ *protocol.LedgerResult) bool {
		return proto.Equal(record.GetTrainingStep(), wanted)
	}
}

// hasNoMembership checks that the program generates for no training step.
func hasNoMembership(record *protocol.ProgramRecord, _ *protocol.LedgerResult) bool {
	return record.GetTrainingStep() == nil
}

func runScenarios(t *testing.T, scenarios map[string][]scenarioStep) {
	for name, steps := range scenarios {
		t.Run(name, func(t *testing.T) {
			var record *protocol.ProgramRecord
			for number, step := range steps {
				before := proto.CloneOf(record)
				after, result := ledger.Apply(record, step.do, now.Add(step.after))
				if !proto.Equal(before, record) {
					t.Fatalf("step %d: %v modified its input record: got %v, want %v", number, step.do, record, before)
				}
				if after != nil {
					record = after
				}
				if result.GetStatus() != step.want || step.check != nil && !step.check(record, result) {
					t.Fatalf("step %d: %v returned %v and left %v, want status %v and a passing check", number, step.do, result,
						record, step.want)
				}
			}
		})
	}
}

func TestTheFirstPinOfATrainingStepWins(t *testing.T) {
	runScenarios(t, map[string][]scenarioStep{
		"requests of the same and of other versions return the pinned one": {
			{do: pin("17", "m", 4, "a"), want: ok, check: pinnedBy("a")},
			{do: pin("17", "m", 4, "a"), want: ok, check: pinnedBy("a")},
			{do: pin("17", "m", 5, "b"), want: ok, check: pinnedBy("a")},
			{do: pin("17", "m", 3, "a"), want: ok, check: pinnedBy("a")},
		},
		"version zero reads the pin and sets none": {
			{
				do: pin("17", "m", 0, "a"), want: stepUnknown,
				check: func(r *protocol.ProgramRecord, _ *protocol.LedgerResult) bool { return r == nil },
			},
			{do: pin("17", "m", 4, "b"), want: ok, check: pinnedBy("b")},
			{do: pin("17", "m", 0, "a"), want: ok, check: pinnedBy("b")},
			{do: pin("17", "", 0, ""), want: ok, check: pinnedBy("b")},
		},
		"another model is rejected with the pin in the result": {
			{do: pin("17", "m", 4, "a"), want: ok},
			{do: pin("17", "other", 4, "a"), want: stepMismatch, check: pinnedBy("a")},
			{do: pin("17", "other", 0, "a"), want: stepMismatch, check: pinnedBy("a")},
			{do: pin("17", "m", 0, "a"), want: ok, check: pinnedBy("a")},
		},
		"each request of an owner prolongs the pin": {
			{do: pin("17", "m", 4, "a"), want: ok},
			{do: pin("17", "m", 5, "b"), want: ok, after: 20 * time.Hour, check: pinnedBy("a")},
			{do: pin("17", "m", 0, "b"), want: ok, after: 40 * time.Hour, check: pinnedBy("a")},
			{do: pin("17", "m", 5, "b"), want: ok, after: 63 * time.Hour, check: pinnedBy("a")},
		},
		"a read without an owner does not prolong the pin": {
			{do: pin("17", "m", 4, "a"), want: ok},
			{do: pin("17", "", 0, ""), want: ok, after: 20 * time.Hour, check: pinnedBy("a")},
			{do: pin("17", "m", 0, "b"), want: stepUnknown, after: longAfterRetention},
		},
		"a short retention does not shorten the minimum retention of a pin": {
			{do: pinRetained("17", 4, time.Minute), want: ok},
			{do: pin("17", "m", 5, "b"), want: ok, after: 23 * time.Hour, check: pinnedBy("a")},
		},
		"the longest requested retention applies": {
			{do: pin("17", "m", 4, "a"), want: ok},
			{do: pinRetained("17", 5, 72*time.Hour), want: ok, check: pinnedBy("a")},
			{do: pin("17", "m", 5, "b"), want: ok, after: 71 * time.Hour, check: pinnedBy("a")},
			{do: pin("17", "m", 5, "b"), want: ok, after: 142 * time.Hour, check: pinnedBy("a")},
		},
	})
}

func pinRetained(step string, version uint64, retention time.Duration) *protocol.LedgerOperation {
	operation := pin(step, "m", version, "a")
	operation.GetPinTrainingStep().KeepingMillis = retention.Milliseconds()
	return operation
}

func TestPinIsRenewedOnlyAfterTheRenewalInterval(t *testing.T) {
	record, _ := ledger.Apply(nil, pin("17", "m", 4, "a"), now)
	if again, _ := ledger.Apply(record, pin("17", "m", 5, "b"),
		now.Add(ledger.PinRenewalInterval-time.Second)); again != nil {
		t.Errorf("a pin younger than the renewal interval was renewed: %v", again)
	}
	if again, _ := ledger.Apply(record, pin("17", "m", 5, "b"), now.Add(ledger.PinRenewalInterval)); again == nil {
		t.Error("a pin as old as the renewal interval was not renewed")
	}
}

func TestAProgramGeneratesForOneTrainingStep(t *testing.T) {
	runScenarios(t, map[string][]scenarioStep{
		"the first reservation makes the program a member, with or without a claim": {
			{do: claim("s", "a", 1), want: ok, check: hasNoMembership},
			{
				do: forStep("17", 4, reserve("r", "s", 1, 10, "")), want: ok,
				check: hasMembership(t, `step: "17" weight_version: 4`),
			},
			{do: forStep("17", 4, reserve("r", "s", 1, 10, "")), want: ok},
			{
				do: forStep("17", 4, withClaim(asFork(reserve("r2", "s2", 0, 10, "")), "a", 1)), want: ok,
				check: hasMembership(t, `step: "17" weight_version: 4`),
			},
		},
		"a reservation for another step, another version or no step is rejected and claims no session": {
			{do: forStep("17", 4, withClaim(reserve("r", "s", 0, 10, ""), "a", 1)), want: ok},
			{
				do: forStep("18", 4, reserve("r2", "s", 1, 10, "")), want: stepMismatch,
				check: hasMembership(t, `step: "17" weight_version: 4`),
			},
			{do: forStep("17", 5, asFork(reserve("r2", "s", 1, 10, ""))), want: stepMismatch},
			{do: reserve("r2", "s", 1, 10, ""), want: stepMismatch},
			{do: withClaim(reserve("r2", "s", 0, 10, ""), "b", 1), want: stepMismatch},
			{do: forStep("18", 4, withClaim(reserve("r2", "s", 0, 10, ""), "b", 1)), want: stepMismatch},
			{do: forStep("18", 4, reserve("r", "s", 1, 10, "")), want: stepMismatch},
			{
				do: settledOn(settle("r", "s", 1, 4, "t1", ""), 4), want: ok,
				check: hasMembership(t, `step: "17" weight_version: 4 generations { weight_version: 4 completed: 1 }`),
			},
			{do: forStep("18", 4, reserve("r", "s", 1, 10, "")), want: stepMismatch},
			{do: forStep("17", 4, reserve("r", "s", 1, 10, "")), want: alreadyFinished},
		},
		"the rejection shows the program's step and no other part of its record": {
			{do: forStep("17", 4, withClaim(reserve("r", "s", 0, 10, ""), "a", 1)), want: ok},
			{
				do: reserve("r2", "s", 1, 10, ""), want: stepMismatch,
				check: func(_ *protocol.ProgramRecord, r *protocol.LedgerResult) bool {
					return r.GetProgram().GetTrainingStep().GetStep() == "17" && r.GetProgram().GetTenant() == "" &&
						len(r.GetProgram().GetSessions()) == 0
				},
			},
		},
		"a program that has already reserved, settled or charged a turn cannot join a step": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: forStep("17", 4, asFork(reserve("r2", "s", 1, 10, ""))), want: stepMismatch, check: hasNoMembership},
			{do: settle("r", "s", 1, 0, "t1", ""), want: ok},
			{do: forStep("17", 4, reserve("r2", "s", 1, 10, "t1")), want: stepMismatch, check: hasNoMembership},
			{do: reserve("r2", "s", 1, 10, "t1"), want: ok, check: hasNoMembership},
		},
		"a program with a charged turn whose limit was zero cannot join a step": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 0, ""), want: ok},
			{do: claim("s", "b", 1), want: ok},
			{do: forStep("17", 4, reserve("r2", "s", 2, 10, "")), want: stepMismatch, check: hasNoMembership},
		},
		"a program whose turns certainly did not run may still join": {
			{do: rejectRequest("r0", "s"), want: ok},
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: release("r", "s", 1, 0), want: ok, check: hasNoMembership},
			{
				do: forStep("17", 4, reserve("r2", "s", 1, 10, "")), want: ok,
				check: hasMembership(t, `step: "17" weight_version: 4`),
			},
		},
		"a rejected reservation does not make the program a member": {
			{do: claim("s", "a", 1), want: ok},
			{do: forStep("17", 4, reserve("r", "s", 1, 10, "t9")), want: wrongContinuation, check: hasNoMembership},
			{do: forStep("17", 4, reserve("r", "s", 2, 10, "")), want: fenced, check: hasNoMembership},
		},
		"an expired program may join another step": {
			{do: forStep("17", 4, withClaim(reserve("r", "s", 0, 10, ""), "a", 1)), want: ok},
			{
				do: forStep("18", 5, withClaim(reserve("r", "s", 0, 10, ""), "a", 1)), want: ok, after: longAfterRetention,
				check: hasMembership(t, `step: "18" weight_version: 5`),
			},
		},
	})
}

func TestGenerationsAreCountedByReportedVersion(t *testing.T) {
	const member = `step: "17" weight_version: 4 `
	reserved := scenarioStep{
		do: forStep("17", 4, withClaim(reserve("r", "s", 0, 10, ""), "a", 1)), want: ok,
		check: hasMembership(t, member),
	}
	runScenarios(t, map[string][]scenarioStep{
		"settled on the pinned version, and repeated": {
			reserved,
			{
				do: settledOn(settle("r", "s", 1, 4, "t1", ""), 4, 4), want: ok,
				check: hasMembership(t, member+`generations { weight_version: 4 completed: 1 }`),
			},
			{
				do: settledOn(settle("r", "s", 1, 4, "t1", ""), 4, 4), want: ok,
				check: hasMembership(t, member+`generations { weight_version: 4 completed: 1 }`),
			},
			{
				do: settledOn(settle("r", "s", 1, 4, "t1", ""), 5), want: ok,
				check: hasMembership(t, member+`generations { weight_version: 4 completed: 1 }`),
			},
			{
				do: releasedOn(release("r", "s", 1, 4), true, 5), want: alreadyFinished,
				check: hasMembership(t, member+`generations { weight_version: 4 completed: 1 }`),
			},
		},
		"settled on other versions": {
			reserved,
			{
				do: settledOn(settle("r", "s", 1, 4, "t1", ""), 4, 6, 3, 6), want: ok,
				check: hasMembership(t, member+
					`generations { weight_version: 3 discarded: 1 } generations { weight_version: 6 discarded: 1 }`),
			},
		},
		"settled on no version": {
			reserved,
			{do: settle("r", "s", 1, 4, "t1", ""), want: ok, check: hasMembership(t, member+`generations { discarded: 1 }`)},
		},
		"settled with one version unknown": {
			reserved,
			{
				do: settledOn(settle("r", "s", 1, 4, "t1", ""), 4, 0), want: ok,
				check: hasMembership(t, member+`generations { discarded: 1 }`),
			},
		},
		"released completed, without tokens": {
			reserved,
			{
				do: releasedOn(release("r", "s", 1, 0), true, 4), want: ok,
				check: hasMembership(t, member+`generations { weight_version: 4 completed: 1 }`),
			},
			{do: releasedOn(release("r", "s", 1, 0), true, 4), want: ok, check: hasOutcome(outcomeCharged, 0)},
			{
				do: rejectRequest("r", "s"), want: alreadyFinished,
				check: hasMembership(t, member+`generations { weight_version: 4 completed: 1 }`),
			},
		},
		"released completed, on another version": {
			reserved,
			{
				do: releasedOn(release("r", "s", 1, 3), true, 5), want: ok,
				check: hasMembership(t, member+`generations { weight_version: 5 discarded: 1 }`),
			},
		},
		"released completed, on no version": {
			reserved,
			{
				do: releasedOn(release("r", "s", 1, 0), true), want: ok,
				check: hasMembership(t, member+`generations { discarded: 1 }`),
			},
		},
		"released incomplete, on the pinned version": {
			reserved,
			{
				do: releasedOn(release("r", "s", 1, 3), false, 4), want: ok,
				check: hasMembership(t, member+`generations { weight_version: 4 discarded: 1 }`),
			},
			{do: forStep("17", 4, reserve("r2", "s", 1, 10, "")), want: ok},
			{
				do: releasedOn(release("r2", "s", 1, 0), false, 4), want: ok,
				check: hasMembership(t, member+`generations { weight_version: 4 discarded: 2 }`),
			},
		},
		"not run": {
			reserved,
			{do: release("r", "s", 1, 0), want: ok, check: hasMembership(t, member)},
			{do: release("r", "s", 1, 0), want: ok, check: hasOutcome(outcomeNotRun, 0)},
		},
		"released after a run without a reservation is rejected": {
			reserved,
			{do: releasedOn(release("r2", "s", 1, 0), true, 4), want: notReserved, check: hasMembership(t, member)},
		},
		"released completed, after its session was claimed": {
			reserved,
			{do: claim("s", "b", 1), want: ok, check: hasMembership(t, member+`generations { discarded: 1 }`)},
			{
				do: releasedOn(release("r", "s", 1, 4), true, 4), want: alreadyFinished,
				check: hasMembership(t, member+`generations { discarded: 1 }`),
			},
			{do: releasedOn(release("r", "s", 1, 4), false, 4), want: ok, check: hasOutcome(outcomeCharged, 10)},
		},
		"released completed, and again after its session was claimed": {
			reserved,
			{
				do: releasedOn(release("r", "s", 1, 4), true, 4), want: ok,
				check: hasMembership(t, member+`generations { weight_version: 4 completed: 1 }`),
			},
			{do: releasedOn(release("r", "s", 1, 4), true, 4), want: ok, check: hasOutcome(outcomeCharged, 4)},
			{do: claim("s", "b", 1), want: ok, check: hasMembership(t, member+`generations { weight_version: 4 completed: 1 }`)},
			{
				do: releasedOn(release("r", "s", 1, 4), true, 4), want: alreadyFinished,
				check: hasMembership(t, member+`generations { weight_version: 4 completed: 1 }`),
			},
		},
		"left open by a previous owner": {
			reserved,
			{do: forStep("17", 4, asFork(reserve("r2", "s", 1, 10, ""))), want: ok},
			{do: claim("s", "b", 1), want: ok, check: hasMembership(t, member+`generations { discarded: 2 }`)},
			{
				do: settledOn(settle("r", "s", 1, 4, "t1", ""), 4), want: alreadyFinished,
				check: hasMembership(t, member+`generations { discarded: 2 }`),
			},
			{do: forStep("17", 4, reserve("r3", "s", 2, 10, "")), want: ok},
			{
				do: forStep("17", 4, withClaim(reserve("r4", "s", 0, 10, ""), "a", 2)), want: ok,
				check: hasMembership(t, member+`generations { discarded: 3 }`),
			},
			{
				do: settledOn(settle("r4", "s", 3, 4, "t1", ""), 4), want: ok,
				check: hasMembership(t, member+`generations { discarded: 3 } generations { weight_version: 4 completed: 1 }`),
			},
		},
	})
}

func TestWeightVersionsAreIgnoredWithoutTrainingStep(t *testing.T) {
	runScenarios(t, map[string][]scenarioStep{
		"settled": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: settledOn(settle("r", "s", 1, 4, "t1", ""), 4), want: ok, check: hasNoMembership},
		},
		"released": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: releasedOn(release("r", "s", 1, 0), true, 4), want: ok, check: hasOutcome(outcomeNotRun, 0)},
		},
	})
}

func TestMembershipSizeIsBounded(t *testing.T) {
	const turns = 200
	record, _ := ledger.Apply(nil, forStep("17", 1000, withClaim(asFork(reserve("r0", "s", 0, 0, "")), "a", 1)), now)
	for number := range uint64(turns) {
		request := "r" + strings.Repeat("x", int(number))
		record, _ = ledger.Apply(record, forStep("17", 1000, asFork(reserve(request, "s", 1, 0, ""))), now)
		record, _ = ledger.Apply(record, settledOn(settle(request, "s", 1, 0, "t", ""), number+1), now)
	}
	record, _ = ledger.Apply(record, settledOn(settle("r0", "s", 1, 0, "t", ""), 1000), now)
	counts := record.GetTrainingStep().GetGenerations()
	if len(counts) > 40 {
		t.Errorf("%d versions are counted separately, want 40 at most", len(counts))
	}
	if total := ledger.TotalGenerations(record.GetTrainingStep()); total != turns+1 {
		t.Errorf("counted %d generations, want %d", total, turns+1)
	}
	if last := counts[len(counts)-1]; last.GetWeightVersion() != 1000 || last.GetCompleted() != 1 {
		t.Errorf("last count is %v, want one completed generation on the pinned version 1000", last)
	}
}

func TestOperationsOfTrainingStepsAreValidated(t *testing.T) {
	reserved := ledger.TrainingStepProgram("17")
	longStep := strings.Repeat("x", ledger.MaxTrainingStepBytes+1)
	foreign, foreignTrace := pin("17", "m", 4, "a"), trace("17")
	foreign.Program, foreignTrace.Program = "p", ledger.TrainingStepProgram("18")
	reservedSettle, reservedCall := settle("r", "s", 1, 1, "t1", ""), beginCall("a", 1)
	reservedSettle.Program, reservedCall.Program = reserved, reserved
	reservedSettle.GetSettleTurn().Turn.Program = reserved
	manyVersions := make([]uint64, ledger.MaxWeightVersions+1)
	for _, test := range []struct {
		path      string
		operation *protocol.LedgerOperation
	}{
		{"pin_training_step.step", pin("", "m", 4, "a")},
		{"pin_training_step.step", pin(longStep, "m", 4, "a")},
		{"pin_training_step.model", pin("17", "", 4, "a")},
		{"pin_training_step.owner", pin("17", "m", 4, "")},
		{"program", foreign},
		{"trace_training_step.step", trace("")},
		{"program", foreignTrace},
		{"program", &protocol.LedgerOperation{Program: reserved, Body: &protocol.LedgerOperation_ReadProgram{}}},
		{"program", &protocol.LedgerOperation{
			Program: reserved,
			Body:    &protocol.LedgerOperation_OpenProgram{OpenProgram: &protocol.OpenProgram{Tenant: "t"}},
		}},
		{"program", reservedSettle},
		{"program", reservedCall},
		{"reserve_turn.training_step.step", forStep("", 4, reserve("r", "s", 1, 1, ""))},
		{"reserve_turn.training_step.step", forStep(longStep, 4, reserve("r", "s", 1, 1, ""))},
		{"reserve_turn.training_step.weight_version", forStep("17", 0, reserve("r", "s", 1, 1, ""))},
		{"settle_turn.weight_versions", settledOn(settle("r", "s", 1, 1, "t1", ""), manyVersions...)},
		{"release_turn.weight_versions", releasedOn(release("r", "s", 1, 1), true, manyVersions...)},
	} {
		var invalid *ledger.InvalidOperationError
		if err := ledger.Validate(test.operation); !errors.As(err, &invalid) || invalid.Path != test.path {
			t.Errorf("Validate(%v): got %v, want an InvalidOperationError for %s", test.operation, err, test.path)
		}
	}
	for _, valid := range []*protocol.LedgerOperation{
		pin("17", "m", 4, "a"), pin("17", "", 0, ""), trace("17"),
		forStep(longStep[1:], 4, reserve("r", "s", 1, 1, "")),
		settledOn(settle("r", "s", 1, 1, "t1", ""), manyVersions[1:]...),
	} {
		if err := ledger.Validate(valid); err != nil {
			t.Errorf("Validate(%v): %v, want no error", valid, err)
		}
	}
}
