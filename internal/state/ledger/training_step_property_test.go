package ledger_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

const propertyBudgetOfSteps = 1 << 40

// stepFleet is the state of a few training steps and programs, changed by owners whose answers may be lost.
type stepFleet struct {
	records map[string]*protocol.ProgramRecord
	now     time.Time
	// sent are operations that may arrive again, as after a lost answer.
	sent []*protocol.LedgerOperation
	// known is the pin that each owner was answered for a step; an owner without one may not reserve.
	known map[string]*protocol.TrainingStepPin
	pins  map[string]*protocol.TrainingStepPin
	turns int
	// completions are the requests whose owner was answered that their generation was counted as completed.
	completions map[string]map[string]bool
	// differently are those that were also released in another way, so that it is open what was counted.
	differently map[string]bool
}

func (f *stepFleet) apply(t *rapid.T, operation *protocol.LedgerOperation) *protocol.LedgerResult {
	if err := ledger.Validate(operation); err != nil {
		t.Fatal(err)
	}
	program := operation.GetProgram()
	before := f.records[program]
	copied := proto.CloneOf(before)
	after, result := ledger.Apply(before, operation, f.now)
	if !proto.Equal(copied, before) {
		t.Fatalf("the record given was written to by %v", operation)
	}
	if after != nil {
		f.check(t, operation, before, after)
		f.records[program] = after
		again, repeated := ledger.Apply(after, operation, f.now.Add(time.Millisecond))
		if again != nil || repeated.GetStatus() != result.GetStatus() {
			t.Fatalf("%v was not idempotent: %v then %v", operation, result, repeated)
		}
	}
	f.recordCompletion(t, operation, result)
	if f.sent = append(f.sent, operation); len(f.sent) > 30 {
		f.sent = f.sent[1:]
	}
	return result
}

// recordCompletion fails when an owner is answered that a generation was completed which the ledger did not count so.
func (f *stepFleet) recordCompletion(t *rapid.T, operation *protocol.LedgerOperation, result *protocol.LedgerResult) {
	released, program := operation.GetReleaseTurn(), operation.GetProgram()
	member := f.records[program].GetTrainingStep()
	if released == nil || member == nil {
		return
	}
	pinned := member.GetWeightVersion()
	isOther := func(version uint64) bool { return version != pinned }
	request := program + "/" + released.GetRequestId()
	if !released.GetCompleted() || len(released.GetWeightVersions()) == 0 ||
		slices.ContainsFunc(released.GetWeightVersions(), isOther) {
		f.differently[request] = true
		delete(f.completions[program], request)
		return
	}
	if result.GetStatus() == ok && !f.differently[request] {
		if f.completions[program] == nil {
			f.completions[program] = map[string]bool{}
		}
		f.completions[program][request] = true
	}
	if counted := countOf(member, pinned).GetCompleted(); uint64(len(f.completions[program])) > counted {
		t.Fatalf("%v was answered %v: %v are completed, counted are %d", operation, result, f.completions[program], counted)
	}
}

// check compares a record with the one before and with the pins.
func (f *stepFleet) check(t *rapid.T, operation *protocol.LedgerOperation, before, after *protocol.ProgramRecord) {
	if pinned := after.GetTrainingStepPin(); pinned != nil {
		if known := f.pins[pinned.GetStep()]; known != nil && !proto.Equal(known, pinned) {
			t.Fatalf("%v changed the pin from %v to %v", operation, known, pinned)
		}
		f.pins[pinned.GetStep()] = pinned
	}
	was, is := before.GetTrainingStep(), after.GetTrainingStep()
	if was != nil && (was.GetStep() != is.GetStep() || was.GetWeightVersion() != is.GetWeightVersion()) {
		t.Fatalf("%v changed the membership from %v to %v", operation, was, is)
	}
	if is == nil {
		return
	}
	pinned := f.pins[is.GetStep()].GetWeightVersion()
	if is.GetWeightVersion() != pinned {
		t.Fatalf("%v made a member of version %d, pinned is %d", operation, is.GetWeightVersion(), pinned)
	}
	for index, count := range is.GetGenerations() {
		if count.GetCompleted() > 0 && count.GetWeightVersion() != pinned {
			t.Fatalf("%v completed a generation on %d, pinned is %d", operation, count.GetWeightVersion(), pinned)
		}
		if index > 0 && is.GetGenerations()[index-1].GetWeightVersion() >= count.GetWeightVersion() {
			t.Fatalf("versions are not in order: %v", is)
		}
		old := countOf(was, count.GetWeightVersion())
		if old.GetCompleted() > count.GetCompleted() || old.GetDiscarded() > count.GetDiscarded() {
			t.Fatalf("%v lowered a count from %v to %v", operation, old, count)
		}
	}
	changed := ledger.TotalGenerations(is) != ledger.TotalGenerations(was)
	if ran := ranRequests(after) != ranRequests(before); ran != changed {
		t.Fatalf("%v: requests that ran %d before and %d after, counts %v before and %v after", operation,
			ranRequests(before), ranRequests(after), was, is)
	}
}

func countOf(membership *protocol.TrainingStepMembership, version uint64) *protocol.GenerationCount {
	for _, count := range membership.GetGenerations() {
		if count.GetWeightVersion() == version {
			return count
		}
	}
	return nil
}

// ranRequests counts the finished requests of a record that were run.
func ranRequests(record *protocol.ProgramRecord) int {
	count := 0
	for number := range propertyRequests {
		finished := ledger.FindFinished(record, fmt.Sprintf("r%d", number))
		if finished != nil && finished.GetOutcome() != outcomeNotRun {
			count++
		}
	}
	return count
}

func sessionOf(record *protocol.ProgramRecord, session string) *protocol.SessionRecord {
	for _, known := range record.GetSessions() {
		if known.GetSession() == session {
			return known
		}
	}
	return nil
}

func TestAnyOrderOfOperationsKeepsAStepOnOneVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &stepFleet{
			records: map[string]*protocol.ProgramRecord{}, now: time.Unix(1_000_000, 0),
			known: map[string]*protocol.TrainingStepPin{}, pins: map[string]*protocol.TrainingStepPin{},
			completions: map[string]map[string]bool{}, differently: map[string]bool{},
		}
		program := rapid.SampledFrom([]string{"p", "q"})
		session := rapid.SampledFrom([]string{"s1", "s2"})
		owner := rapid.SampledFrom([]string{"front-1", "front-2"})
		steps := rapid.SampledFrom([]string{"17", "18"})
		version := rapid.Uint64Range(1, 3)
		versions := rapid.SliceOfN(rapid.Uint64Range(0, 3), 0, 3)
		request := rapid.Custom(func(t *rapid.T) string {
			return fmt.Sprintf("r%d", rapid.IntRange(0, propertyRequests-1).Draw(t, "request"))
		})
		isLost := func(t *rapid.T) bool { return rapid.IntRange(0, 3).Draw(t, "lost") == 0 }
		// openOf gives a reservation to end, mostly one that is open.
		openOf := func(t *rapid.T, of string) *protocol.Reservation {
			if open := f.records[of].GetReservations(); len(open) > 0 && rapid.IntRange(0, 5).Draw(t, "open") > 0 {
				return rapid.SampledFrom(open).Draw(t, "reservation")
			}
			return &protocol.Reservation{RequestId: request.Draw(t, "request"), Session: session.Draw(t, "session"), Epoch: 1}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pin": func(t *rapid.T) {
				by, of := owner.Draw(t, "owner"), steps.Draw(t, "step")
				proposed := rapid.Uint64Range(0, 3).Draw(t, "version")
				result := f.apply(t, pin(of, "m", proposed, by))
				if pinned := result.GetTrainingStepPin(); result.GetStatus() == ok && !proto.Equal(pinned, f.pins[of]) {
					t.Fatalf("answered %v, pinned is %v", pinned, f.pins[of])
				}
				if !isLost(t) && result.GetStatus() == ok {
					f.known[by+of] = result.GetTrainingStepPin()
				}
			},
			"reserve": func(t *rapid.T) {
				by, of, within := owner.Draw(t, "owner"), steps.Draw(t, "step"), program.Draw(t, "program")
				pinned := f.known[by+of]
				if pinned == nil {
					return
				}
				sessionID := session.Draw(t, "session")
				operation := fork(reserve(request.Draw(t, "request"), sessionID, 0, rapid.Uint64Range(0, 5).Draw(t, "ceiling"), ""))
				operation = generating(of, pinned.GetWeightVersion(), claiming(operation, by, 1))
				operation.GetReserveTurn().Claim.Budget = propertyBudgetOfSteps
				operation.Program = within
				before := f.records[within].GetTrainingStep()
				result := f.apply(t, operation)
				if before != nil && before.GetStep() != of && result.GetStatus() == ok {
					t.Fatalf("a member of %s was given a turn of %s", before.GetStep(), of)
				}
			},
			"reserve without a step": func(t *rapid.T) {
				within, sessionID := program.Draw(t, "program"), session.Draw(t, "session")
				operation := claiming(fork(reserve(request.Draw(t, "request"), sessionID, 0, 5, "")), owner.Draw(t, "owner"), 1)
				operation.GetReserveTurn().Claim.Budget = propertyBudgetOfSteps
				operation.Program = within
				member := f.records[within].GetTrainingStep() != nil
				if result := f.apply(t, operation); member && result.GetStatus() != stepMismatch {
					t.Fatalf("a member was given a turn of no step: %v", result)
				}
			},
			"reserve on a guessed version": func(t *rapid.T) {
				within, of, sessionID := program.Draw(t, "program"), steps.Draw(t, "step"), session.Draw(t, "session")
				guessed := version.Draw(t, "version")
				member := f.records[within].GetTrainingStep()
				if member == nil || member.GetStep() == of && member.GetWeightVersion() == guessed {
					return
				}
				operation := generating(of, guessed,
					fork(reserve(request.Draw(t, "request"), sessionID, sessionOf(f.records[within], sessionID).GetEpoch(), 5, "")))
				operation.Program = within
				if result := f.apply(t, operation); result.GetStatus() == ok {
					t.Fatalf("%v was given a turn of %s on %d", member, of, guessed)
				}
			},
			"settle": func(t *rapid.T) {
				within := program.Draw(t, "program")
				open := openOf(t, within)
				f.turns++
				operation := ranOn(settle(open.GetRequestId(), open.GetSession(), open.GetEpoch(), 2, fmt.Sprintf("t%d", f.turns),
					""), versions.Draw(t, "versions")...)
				operation.Program = within
				operation.GetSettleTurn().Turn.Program = within
				f.apply(t, operation)
			},
			"release": func(t *rapid.T) {
				within := program.Draw(t, "program")
				open := openOf(t, within)
				operation := release(open.GetRequestId(), open.GetSession(), open.GetEpoch(),
					rapid.Uint64Range(0, 2).Draw(t, "tokens"))
				operation = releasedFrom(operation, rapid.Bool().Draw(t, "completed"), versions.Draw(t, "versions")...)
				operation.Program = within
				f.apply(t, operation)
			},
			"release whole": func(t *rapid.T) {
				within := program.Draw(t, "program")
				open := openOf(t, within)
				operation := release(open.GetRequestId(), open.GetSession(), open.GetEpoch(), 2)
				operation.Program = within
				f.apply(t, releasedFrom(operation, true, f.records[within].GetTrainingStep().GetWeightVersion()))
			},
			"lose a session, then release whole": func(t *rapid.T) {
				within := program.Draw(t, "program")
				open := openOf(t, within)
				claimed := claim(open.GetSession(), owner.Draw(t, "owner"), 1)
				claimed.Program = within
				claimed.GetClaimSession().Budget = propertyBudgetOfSteps
				f.apply(t, claimed)
				operation := release(open.GetRequestId(), open.GetSession(), open.GetEpoch(), 2)
				operation.Program = within
				f.apply(t, releasedFrom(operation, true, f.records[within].GetTrainingStep().GetWeightVersion()))
			},
			"claim": func(t *rapid.T) {
				operation := claim(session.Draw(t, "session"), owner.Draw(t, "owner"), 1)
				operation.Program = program.Draw(t, "program")
				operation.GetClaimSession().Budget = propertyBudgetOfSteps
				f.apply(t, operation)
			},
			"refuse": func(t *rapid.T) {
				operation := refuse(request.Draw(t, "request"), session.Draw(t, "session"))
				operation.Program = program.Draw(t, "program")
				f.apply(t, operation)
			},
			"send again": func(t *rapid.T) {
				if len(f.sent) > 0 {
					f.apply(t, proto.CloneOf(rapid.SampledFrom(f.sent).Draw(t, "operation")))
				}
			},
			"wait": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "minutes")) * time.Minute)
			},
		})
	})
}
