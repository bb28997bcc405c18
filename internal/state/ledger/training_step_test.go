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

// generating names the training step of a reservation.
func generating(step string, version uint64, operation *protocol.LedgerOperation) *protocol.LedgerOperation {
	operation.GetReserveTurn().TrainingStep = &protocol.TrainingStepReference{Step: step, WeightVersion: version}
	return operation
}

// ranOn names the weight versions of a settled turn's answer.
func ranOn(operation *protocol.LedgerOperation, versions ...uint64) *protocol.LedgerOperation {
	operation.GetSettleTurn().WeightVersions = versions
	return operation
}

// releasedFrom names the weight versions of a released turn's answer.
func releasedFrom(operation *protocol.LedgerOperation, completed bool, versions ...uint64) *protocol.LedgerOperation {
	operation.GetReleaseTurn().WeightVersions = versions
	operation.GetReleaseTurn().Completed = completed
	return operation
}

// pinnedVersion is the weight version that the first pin of each story names.
const pinnedVersion = 4

// pinnedBy checks that a result and its record name the pin that an owner set.
func pinnedBy(owner string) resultCheck {
	return func(record *protocol.ProgramRecord, result *protocol.LedgerResult) bool {
		pin := result.GetTrainingStepPin()
		return pin.GetWeightVersion() == pinnedVersion && pin.GetPinnedBy() == owner &&
			proto.Equal(record.GetTrainingStepPin(), pin)
	}
}

// counted checks the membership against one in text form.
func counted(t *testing.T, membership string) resultCheck {
	t.Helper()
	wanted := &protocol.TrainingStepMembership{}
	if err := prototext.Unmarshal([]byte(membership), wanted); err != nil {
		t.Fatal(err)
	}
	return func(record *protocol.ProgramRecord, _ *protocol.LedgerResult) bool {
		return proto.Equal(record.GetTrainingStep(), wanted)
	}
}

// noMember checks for a program that generates for no step.
func noMember(record *protocol.ProgramRecord, _ *protocol.LedgerResult) bool {
	return record.GetTrainingStep() == nil
}

func runStories(t *testing.T, stories map[string][]step) {
	for name, steps := range stories {
		t.Run(name, func(t *testing.T) {
			var record *protocol.ProgramRecord
			for number, step := range steps {
				before := proto.CloneOf(record)
				after, result := ledger.Apply(record, step.do, now.Add(step.after))
				if !proto.Equal(before, record) {
					t.Fatalf("step %d: %v wrote to the record given", number, step.do)
				}
				if after != nil {
					record = after
				}
				if result.GetStatus() != step.want || step.check != nil && !step.check(record, result) {
					t.Fatalf("step %d: %v answered %v and left %v, wanted %v", number, step.do, result, record, step.want)
				}
			}
		})
	}
}

func TestTheFirstPinOfATrainingStepWins(t *testing.T) {
	runStories(t, map[string][]step{
		"the same and other versions get the one in force": {
			{do: pin("17", "m", 4, "a"), want: ok, check: pinnedBy("a")},
			{do: pin("17", "m", 4, "a"), want: ok, check: pinnedBy("a")},
			{do: pin("17", "m", 5, "b"), want: ok, check: pinnedBy("a")},
			{do: pin("17", "m", 3, "a"), want: ok, check: pinnedBy("a")},
		},
		"version zero only reads": {
			{
				do: pin("17", "m", 0, "a"), want: stepUnknown,
				check: func(r *protocol.ProgramRecord, _ *protocol.LedgerResult) bool { return r == nil },
			},
			{do: pin("17", "m", 4, "b"), want: ok, check: pinnedBy("b")},
			{do: pin("17", "m", 0, "a"), want: ok, check: pinnedBy("b")},
			{do: pin("17", "", 0, ""), want: ok, check: pinnedBy("b")},
		},
		"another model is rejected and shown the pin": {
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
		"a look without an owner prolongs nothing": {
			{do: pin("17", "m", 4, "a"), want: ok},
			{do: pin("17", "", 0, ""), want: ok, after: 20 * time.Hour, check: pinnedBy("a")},
			{do: pin("17", "m", 0, "b"), want: stepUnknown, after: longAfterRetention},
		},
		"a short retention does not shorten that of the pin": {
			{do: pinRetained("17", 4, time.Minute), want: ok},
			{do: pin("17", "m", 5, "b"), want: ok, after: 23 * time.Hour, check: pinnedBy("a")},
		},
		"the longest retention that was named counts": {
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

func TestAPinIsWrittenAgainOnlyWhenItIsOld(t *testing.T) {
	record, _ := ledger.Apply(nil, pin("17", "m", 4, "a"), now)
	if again, _ := ledger.Apply(record, pin("17", "m", 5, "b"),
		now.Add(ledger.PinRenewalInterval-time.Second)); again != nil {
		t.Errorf("a fresh pin was written again: %v", again)
	}
	if again, _ := ledger.Apply(record, pin("17", "m", 5, "b"), now.Add(ledger.PinRenewalInterval)); again == nil {
		t.Error("an old pin was not written again")
	}
}

func TestAProgramGeneratesForOneTrainingStep(t *testing.T) {
	runStories(t, map[string][]step{
		"the first reservation makes it a member, with or without a claim": {
			{do: claim("s", "a", 1), want: ok, check: noMember},
			{do: generating("17", 4, reserve("r", "s", 1, 10, "")), want: ok, check: counted(t, `step: "17" weight_version: 4`)},
			{do: generating("17", 4, reserve("r", "s", 1, 10, "")), want: ok},
			{
				do: generating("17", 4, claiming(fork(reserve("r2", "s2", 0, 10, "")), "a", 1)), want: ok,
				check: counted(t, `step: "17" weight_version: 4`),
			},
		},
		"another step, another version and none are rejected, and no session is claimed": {
			{do: generating("17", 4, claiming(reserve("r", "s", 0, 10, ""), "a", 1)), want: ok},
			{
				do: generating("18", 4, reserve("r2", "s", 1, 10, "")), want: stepMismatch,
				check: counted(t, `step: "17" weight_version: 4`),
			},
			{do: generating("17", 5, fork(reserve("r2", "s", 1, 10, ""))), want: stepMismatch},
			{do: reserve("r2", "s", 1, 10, ""), want: stepMismatch},
			{do: claiming(reserve("r2", "s", 0, 10, ""), "b", 1), want: stepMismatch},
			{do: generating("18", 4, claiming(reserve("r2", "s", 0, 10, ""), "b", 1)), want: stepMismatch},
			{do: generating("18", 4, reserve("r", "s", 1, 10, "")), want: stepMismatch},
			{
				do: ranOn(settle("r", "s", 1, 4, "t1", ""), 4), want: ok,
				check: counted(t, `step: "17" weight_version: 4 generations { weight_version: 4 completed: 1 }`),
			},
			{do: generating("18", 4, reserve("r", "s", 1, 10, "")), want: stepMismatch},
			{do: generating("17", 4, reserve("r", "s", 1, 10, "")), want: alreadyFinished},
		},
		"the rejection names the step in force and nothing else of the program": {
			{do: generating("17", 4, claiming(reserve("r", "s", 0, 10, ""), "a", 1)), want: ok},
			{
				do: reserve("r2", "s", 1, 10, ""), want: stepMismatch,
				check: func(_ *protocol.ProgramRecord, r *protocol.LedgerResult) bool {
					return r.GetProgram().GetTrainingStep().GetStep() == "17" && r.GetProgram().GetTenant() == "" &&
						len(r.GetProgram().GetSessions()) == 0
				},
			},
		},
		"a program with a turn reserved, settled or charged before is of no step": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: generating("17", 4, fork(reserve("r2", "s", 1, 10, ""))), want: stepMismatch, check: noMember},
			{do: settle("r", "s", 1, 0, "t1", ""), want: ok},
			{do: generating("17", 4, reserve("r2", "s", 1, 10, "t1")), want: stepMismatch, check: noMember},
			{do: reserve("r2", "s", 1, 10, "t1"), want: ok, check: noMember},
		},
		"a program whose lost turn had a limit of zero has run": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 0, ""), want: ok},
			{do: claim("s", "b", 1), want: ok},
			{do: generating("17", 4, reserve("r2", "s", 2, 10, "")), want: stepMismatch, check: noMember},
		},
		"a program whose turns surely were not run may still join": {
			{do: refuse("r0", "s"), want: ok},
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: release("r", "s", 1, 0), want: ok, check: noMember},
			{
				do: generating("17", 4, reserve("r2", "s", 1, 10, "")), want: ok,
				check: counted(t, `step: "17" weight_version: 4`),
			},
		},
		"a rejected reservation makes no member": {
			{do: claim("s", "a", 1), want: ok},
			{do: generating("17", 4, reserve("r", "s", 1, 10, "t9")), want: wrongContinued, check: noMember},
			{do: generating("17", 4, reserve("r", "s", 2, 10, "")), want: fencedResult, check: noMember},
		},
		"an expired program may join another step": {
			{do: generating("17", 4, claiming(reserve("r", "s", 0, 10, ""), "a", 1)), want: ok},
			{
				do: generating("18", 5, claiming(reserve("r", "s", 0, 10, ""), "a", 1)), want: ok, after: longAfterRetention,
				check: counted(t, `step: "18" weight_version: 5`),
			},
		},
	})
}

func TestGenerationsAreCountedByTheVersionsThatServersNamed(t *testing.T) {
	const member = `step: "17" weight_version: 4 `
	reserved := step{
		do: generating("17", 4, claiming(reserve("r", "s", 0, 10, ""), "a", 1)), want: ok,
		check: counted(t, member),
	}
	runStories(t, map[string][]step{
		"settled on the pinned version, and repeated": {
			reserved,
			{
				do: ranOn(settle("r", "s", 1, 4, "t1", ""), 4, 4), want: ok,
				check: counted(t, member+`generations { weight_version: 4 completed: 1 }`),
			},
			{
				do: ranOn(settle("r", "s", 1, 4, "t1", ""), 4, 4), want: ok,
				check: counted(t, member+`generations { weight_version: 4 completed: 1 }`),
			},
			{
				do: ranOn(settle("r", "s", 1, 4, "t1", ""), 5), want: ok,
				check: counted(t, member+`generations { weight_version: 4 completed: 1 }`),
			},
			{
				do: releasedFrom(release("r", "s", 1, 4), true, 5), want: alreadyFinished,
				check: counted(t, member+`generations { weight_version: 4 completed: 1 }`),
			},
		},
		"settled on other versions": {
			reserved,
			{
				do: ranOn(settle("r", "s", 1, 4, "t1", ""), 4, 6, 3, 6), want: ok,
				check: counted(t, member+
					`generations { weight_version: 3 discarded: 1 } generations { weight_version: 6 discarded: 1 }`),
			},
		},
		"settled on no version": {
			reserved,
			{do: settle("r", "s", 1, 4, "t1", ""), want: ok, check: counted(t, member+`generations { discarded: 1 }`)},
		},
		"settled on a version that the server left empty once": {
			reserved,
			{
				do: ranOn(settle("r", "s", 1, 4, "t1", ""), 4, 0), want: ok,
				check: counted(t, member+`generations { discarded: 1 }`),
			},
		},
		"released complete, without tokens": {
			reserved,
			{
				do: releasedFrom(release("r", "s", 1, 0), true, 4), want: ok,
				check: counted(t, member+`generations { weight_version: 4 completed: 1 }`),
			},
			{do: releasedFrom(release("r", "s", 1, 0), true, 4), want: ok, check: finishedAs(outcomeCharged, 0)},
			{
				do: refuse("r", "s"), want: alreadyFinished,
				check: counted(t, member+`generations { weight_version: 4 completed: 1 }`),
			},
		},
		"released complete, of another version": {
			reserved,
			{
				do: releasedFrom(release("r", "s", 1, 3), true, 5), want: ok,
				check: counted(t, member+`generations { weight_version: 5 discarded: 1 }`),
			},
		},
		"released complete, of no version": {
			reserved,
			{
				do: releasedFrom(release("r", "s", 1, 0), true), want: ok,
				check: counted(t, member+`generations { discarded: 1 }`),
			},
		},
		"broken off on the pinned version": {
			reserved,
			{
				do: releasedFrom(release("r", "s", 1, 3), false, 4), want: ok,
				check: counted(t, member+`generations { weight_version: 4 discarded: 1 }`),
			},
			{do: generating("17", 4, reserve("r2", "s", 1, 10, "")), want: ok},
			{
				do: releasedFrom(release("r2", "s", 1, 0), false, 4), want: ok,
				check: counted(t, member+`generations { weight_version: 4 discarded: 2 }`),
			},
		},
		"not run": {
			reserved,
			{do: release("r", "s", 1, 0), want: ok, check: counted(t, member)},
			{do: release("r", "s", 1, 0), want: ok, check: finishedAs(outcomeNotRun, 0)},
		},
		"run without a reservation is rejected": {
			reserved,
			{do: releasedFrom(release("r2", "s", 1, 0), true, 4), want: notReserved, check: counted(t, member)},
		},
		"released complete after its session was claimed": {
			reserved,
			{do: claim("s", "b", 1), want: ok, check: counted(t, member+`generations { discarded: 1 }`)},
			{
				do: releasedFrom(release("r", "s", 1, 4), true, 4), want: alreadyFinished,
				check: counted(t, member+`generations { discarded: 1 }`),
			},
			{do: releasedFrom(release("r", "s", 1, 4), false, 4), want: ok, check: finishedAs(outcomeCharged, 10)},
		},
		"released complete, and again after its session was claimed": {
			reserved,
			{
				do: releasedFrom(release("r", "s", 1, 4), true, 4), want: ok,
				check: counted(t, member+`generations { weight_version: 4 completed: 1 }`),
			},
			{do: releasedFrom(release("r", "s", 1, 4), true, 4), want: ok, check: finishedAs(outcomeCharged, 4)},
			{do: claim("s", "b", 1), want: ok, check: counted(t, member+`generations { weight_version: 4 completed: 1 }`)},
			{
				do: releasedFrom(release("r", "s", 1, 4), true, 4), want: alreadyFinished,
				check: counted(t, member+`generations { weight_version: 4 completed: 1 }`),
			},
		},
		"left open by a lost owner": {
			reserved,
			{do: generating("17", 4, fork(reserve("r2", "s", 1, 10, ""))), want: ok},
			{do: claim("s", "b", 1), want: ok, check: counted(t, member+`generations { discarded: 2 }`)},
			{
				do: ranOn(settle("r", "s", 1, 4, "t1", ""), 4), want: alreadyFinished,
				check: counted(t, member+`generations { discarded: 2 }`),
			},
			{do: generating("17", 4, reserve("r3", "s", 2, 10, "")), want: ok},
			{
				do: generating("17", 4, claiming(reserve("r4", "s", 0, 10, ""), "a", 2)), want: ok,
				check: counted(t, member+`generations { discarded: 3 }`),
			},
			{
				do: ranOn(settle("r4", "s", 3, 4, "t1", ""), 4), want: ok,
				check: counted(t, member+`generations { discarded: 3 } generations { weight_version: 4 completed: 1 }`),
			},
		},
	})
}

func TestVersionsOfAProgramWithoutAStepChangeNothing(t *testing.T) {
	runStories(t, map[string][]step{
		"settled": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: ranOn(settle("r", "s", 1, 4, "t1", ""), 4), want: ok, check: noMember},
		},
		"released": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: releasedFrom(release("r", "s", 1, 0), true, 4), want: ok, check: finishedAs(outcomeNotRun, 0)},
		},
	})
}

func TestAMembershipStaysSmallWhateverVersionsServersName(t *testing.T) {
	const turns = 200
	record, _ := ledger.Apply(nil, generating("17", 1000, claiming(fork(reserve("r0", "s", 0, 0, "")), "a", 1)), now)
	for number := range uint64(turns) {
		request := "r" + strings.Repeat("x", int(number))
		record, _ = ledger.Apply(record, generating("17", 1000, fork(reserve(request, "s", 1, 0, ""))), now)
		record, _ = ledger.Apply(record, ranOn(settle(request, "s", 1, 0, "t", ""), number+1), now)
	}
	record, _ = ledger.Apply(record, ranOn(settle("r0", "s", 1, 0, "t", ""), 1000), now)
	counts := record.GetTrainingStep().GetGenerations()
	if len(counts) > 40 {
		t.Errorf("%d versions are counted apart", len(counts))
	}
	if counted := ledger.TotalGenerations(record.GetTrainingStep()); counted != turns+1 {
		t.Errorf("counted %d generations of %d", counted, turns+1)
	}
	if last := counts[len(counts)-1]; last.GetWeightVersion() != 1000 || last.GetCompleted() != 1 {
		t.Errorf("the pinned version was not counted apart: %v", counts)
	}
}

func TestOperationsOfTrainingStepsAreValidated(t *testing.T) {
	reserved := ledger.TrainingStepProgram("17")
	longStep := strings.Repeat("x", ledger.MaxTrainingStepBytes+1)
	foreign, foreignTrace := pin("17", "m", 4, "a"), trace("17")
	foreign.Program, foreignTrace.Program = "p", ledger.TrainingStepProgram("18")
	settledHere, calledHere := settle("r", "s", 1, 1, "t1", ""), begin("a", 1)
	settledHere.Program, calledHere.Program = reserved, reserved
	settledHere.GetSettleTurn().Turn.Program = reserved
	manyVersions := make([]uint64, ledger.MaxWeightVersions+1)
	for _, fault := range []struct {
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
		{"program", settledHere},
		{"program", calledHere},
		{"reserve_turn.training_step.step", generating("", 4, reserve("r", "s", 1, 1, ""))},
		{"reserve_turn.training_step.step", generating(longStep, 4, reserve("r", "s", 1, 1, ""))},
		{"reserve_turn.training_step.weight_version", generating("17", 0, reserve("r", "s", 1, 1, ""))},
		{"settle_turn.weight_versions", ranOn(settle("r", "s", 1, 1, "t1", ""), manyVersions...)},
		{"release_turn.weight_versions", releasedFrom(release("r", "s", 1, 1), true, manyVersions...)},
	} {
		var invalid *ledger.InvalidOperationError
		if err := ledger.Validate(fault.operation); !errors.As(err, &invalid) || invalid.Path != fault.path {
			t.Errorf("%v: got %v, wanted a fault at %s", fault.operation, err, fault.path)
		}
	}
	for _, good := range []*protocol.LedgerOperation{
		pin("17", "m", 4, "a"), pin("17", "", 0, ""), trace("17"),
		generating(longStep[1:], 4, reserve("r", "s", 1, 1, "")),
		ranOn(settle("r", "s", 1, 1, "t1", ""), manyVersions[1:]...),
	} {
		if err := ledger.Validate(good); err != nil {
			t.Errorf("rejected a valid operation: %v", err)
		}
	}
}
