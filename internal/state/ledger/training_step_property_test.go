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

const stepPropertyBudget = 1 << 40

// stepMachine applies random operations to the records of two training steps and two programs. Responses to owners may
// be lost, and operations may arrive again.
type stepMachine struct {
	records map[string]*protocol.ProgramRecord
	now     time.Time
	// sent are the latest operations, which may be applied again as after a lost response.
	sent []*protocol.LedgerOperation
	// ownerPins is the pin that each owner received for a step, keyed by owner and step. An owner without a pin does not
	// reserve.
	ownerPins map[string]*protocol.TrainingStepPin
	// pins is the first pin of each step.
	pins           map[string]*protocol.TrainingStepPin
	lastTurnNumber int
	// completions are the requests of each program whose owner received LEDGER_OK for a completed generation.
	completions map[string]map[string]bool
	// ambiguous are the requests that were also released with another result, so that either may have been counted.
	ambiguous map[string]bool
}

func (m *stepMachine) apply(t *rapid.T, operation *protocol.LedgerOperation) *protocol.LedgerResult {
	if err := ledger.Validate(operation); err != nil {
		t.Fatal(err)
	}
	program := operation.GetProgram()
	before := m.records[program]
	copied := proto.CloneOf(before)
	after, result := ledger.Apply(before, operation, m.now)
	if !proto.Equal(copied, before) {
		t.Fatalf("%v modified its input record: got %v, want %v", operation, before, copied)
	}
	if after != nil {
		m.checkInvariants(t, operation, before, after)
		m.records[program] = after
		again, repeated := ledger.Apply(after, operation, m.now.Add(time.Millisecond))
		if again != nil || repeated.GetStatus() != result.GetStatus() {
			t.Fatalf("%v is not idempotent: first result %v, second %v", operation, result, repeated)
		}
	}
	m.checkCompletion(t, operation, result)
	if m.sent = append(m.sent, operation); len(m.sent) > 30 {
		m.sent = m.sent[1:]
	}
	return result
}

// checkCompletion fails when an owner receives LEDGER_OK for a completed generation that the ledger did not count as
// completed.
func (m *stepMachine) checkCompletion(t *rapid.T, operation *protocol.LedgerOperation, result *protocol.LedgerResult) {
	released, program := operation.GetReleaseTurn(), operation.GetProgram()
	member := m.records[program].GetTrainingStep()
	if released == nil || member == nil {
		return
	}
	pinned := member.GetWeightVersion()
	isOther := func(version uint64) bool { return version != pinned }
	request := program + "/" + released.GetRequestId()
	if !released.GetCompleted() || len(released.GetWeightVersions()) == 0 ||
		slices.ContainsFunc(released.GetWeightVersions(), isOther) {
		m.ambiguous[request] = true
		delete(m.completions[program], request)
		return
	}
	if result.GetStatus() == ok && !m.ambiguous[request] {
		if m.completions[program] == nil {
			m.completions[program] = map[string]bool{}
		}
		m.completions[program][request] = true
	}
	if counted := findCount(member, pinned).GetCompleted(); uint64(len(m.completions[program])) > counted {
		t.Fatalf("%v returned %v: the counted completions are %d, fewer than those confirmed to owners: %v", operation,
			result, counted, m.completions[program])
	}
}

// checkInvariants checks what must hold between a record and the one before it: a pin and a membership never change, a
// membership has the pinned version, counts never decrease, only the pinned version has completed generations, and the
// counts change exactly when a request that ran is finished.
func (m *stepMachine) checkInvariants(
	t *rapid.T, operation *protocol.LedgerOperation, before, after *protocol.ProgramRecord,
) {
	if pinned := after.GetTrainingStepPin(); pinned != nil {
		if first := m.pins[pinned.GetStep()]; first != nil && !proto.Equal(first, pinned) {
			t.Fatalf("%v changed the pin from %v to %v", operation, first, pinned)
		}
		m.pins[pinned.GetStep()] = pinned
	}
	oldMembership, newMembership := before.GetTrainingStep(), after.GetTrainingStep()
	if oldMembership != nil && (oldMembership.GetStep() != newMembership.GetStep() ||
		oldMembership.GetWeightVersion() != newMembership.GetWeightVersion()) {
		t.Fatalf("%v changed the membership from %v to %v", operation, oldMembership, newMembership)
	}
	if newMembership == nil {
		return
	}
	pinned := m.pins[newMembership.GetStep()].GetWeightVersion()
	if newMembership.GetWeightVersion() != pinned {
		t.Fatalf("%v left a membership with version %d, want the pinned version %d", operation,
			newMembership.GetWeightVersion(), pinned)
	}
	for index, count := range newMembership.GetGenerations() {
		if count.GetCompleted() > 0 && count.GetWeightVersion() != pinned {
			t.Fatalf("%v counted a completed generation on version %d, want only the pinned version %d", operation,
				count.GetWeightVersion(), pinned)
		}
		if index > 0 && newMembership.GetGenerations()[index-1].GetWeightVersion() >= count.GetWeightVersion() {
			t.Fatalf("%v left versions that are not in ascending order: %v", operation, newMembership)
		}
		oldCount := findCount(oldMembership, count.GetWeightVersion())
		if oldCount.GetCompleted() > count.GetCompleted() || oldCount.GetDiscarded() > count.GetDiscarded() {
			t.Fatalf("%v decreased a count from %v to %v", operation, oldCount, count)
		}
	}
	changed := ledger.TotalGenerations(newMembership) != ledger.TotalGenerations(oldMembership)
	if ran := countRunRequests(after) != countRunRequests(before); ran != changed {
		t.Fatalf("%v: requests that ran and counts must change together: %d before, %d after; %v before, %v after", operation,
			countRunRequests(before), countRunRequests(after), oldMembership, newMembership)
	}
}

func findCount(membership *protocol.TrainingStepMembership, version uint64) *protocol.GenerationCount {
	for _, count := range membership.GetGenerations() {
		if count.GetWeightVersion() == version {
			return count
		}
	}
	return nil
}

// countRunRequests returns how many finished requests of a record ran.
func countRunRequests(record *protocol.ProgramRecord) int {
	count := 0
	for number := range propertyRequests {
		finished := ledger.FindFinished(record, fmt.Sprintf("r%d", number))
		if finished != nil && finished.GetOutcome() != outcomeNotRun {
			count++
		}
	}
	return count
}

func findSessionRecord(record *protocol.ProgramRecord, session string) *protocol.SessionRecord {
	for _, candidate := range record.GetSessions() {
		if candidate.GetSession() == session {
			return candidate
		}
	}
	return nil
}

func TestTrainingStepUsesOneVersionForAnyOrderOfOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stepMachine{
			records: map[string]*protocol.ProgramRecord{}, now: time.Unix(1_000_000, 0),
			ownerPins: map[string]*protocol.TrainingStepPin{}, pins: map[string]*protocol.TrainingStepPin{},
			completions: map[string]map[string]bool{}, ambiguous: map[string]bool{},
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
		// reservationToEnd returns the reservation to end, mostly one that is open.
		reservationToEnd := func(t *rapid.T, programID string) *protocol.Reservation {
			if open := m.records[programID].GetReservations(); len(open) > 0 && rapid.IntRange(0, 5).Draw(t, "open") > 0 {
				return rapid.SampledFrom(open).Draw(t, "reservation")
			}
			return &protocol.Reservation{RequestId: request.Draw(t, "request"), Session: session.Draw(t, "session"), Epoch: 1}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pin": func(t *rapid.T) {
				ownerID, stepName := owner.Draw(t, "owner"), steps.Draw(t, "step")
				proposed := rapid.Uint64Range(0, 3).Draw(t, "version")
				result := m.apply(t, pin(stepName, "m", proposed, ownerID))
				if pinned := result.GetTrainingStepPin(); result.GetStatus() == ok && !proto.Equal(pinned, m.pins[stepName]) {
					t.Fatalf("request of the pin of step %s returned %v, want %v", stepName, pinned, m.pins[stepName])
				}
				if !isLost(t) && result.GetStatus() == ok {
					m.ownerPins[ownerID+stepName] = result.GetTrainingStepPin()
				}
			},
			"reserve": func(t *rapid.T) {
				ownerID, stepName, programID := owner.Draw(t, "owner"), steps.Draw(t, "step"), program.Draw(t, "program")
				pinned := m.ownerPins[ownerID+stepName]
				if pinned == nil {
					return
				}
				sessionID := session.Draw(t, "session")
				operation := asFork(reserve(
					request.Draw(t, "request"), sessionID, 0, rapid.Uint64Range(0, 5).Draw(t, "ceiling"), ""))
				operation = forStep(stepName, pinned.GetWeightVersion(), withClaim(operation, ownerID, 1))
				operation.GetReserveTurn().Claim.Budget = stepPropertyBudget
				operation.Program = programID
				before := m.records[programID].GetTrainingStep()
				result := m.apply(t, operation)
				if before != nil && before.GetStep() != stepName && result.GetStatus() == ok {
					t.Fatalf("program %s is a member of step %s, but a turn of step %s was reserved", programID, before.GetStep(),
						stepName)
				}
			},
			"reserve without a step": func(t *rapid.T) {
				programID, sessionID := program.Draw(t, "program"), session.Draw(t, "session")
				operation := withClaim(asFork(reserve(request.Draw(t, "request"), sessionID, 0, 5, "")), owner.Draw(t, "owner"), 1)
				operation.GetReserveTurn().Claim.Budget = stepPropertyBudget
				operation.Program = programID
				isMember := m.records[programID].GetTrainingStep() != nil
				if result := m.apply(t, operation); isMember && result.GetStatus() != stepMismatch {
					t.Fatalf("program %s is a member, but a turn without a step was not rejected: %v", programID, result)
				}
			},
			"reserve with a mismatched step or version": func(t *rapid.T) {
				programID, stepName, sessionID := program.Draw(t, "program"), steps.Draw(t, "step"), session.Draw(t, "session")
				mismatched := version.Draw(t, "version")
				member := m.records[programID].GetTrainingStep()
				if member == nil || member.GetStep() == stepName && member.GetWeightVersion() == mismatched {
					return
				}
				operation := forStep(stepName, mismatched, asFork(reserve(
					request.Draw(t, "request"), sessionID, findSessionRecord(m.records[programID], sessionID).GetEpoch(), 5, "")))
				operation.Program = programID
				if result := m.apply(t, operation); result.GetStatus() == ok {
					t.Fatalf("program %s has the membership %v, but a turn of step %s on version %d was reserved", programID,
						member, stepName, mismatched)
				}
			},
			"settle": func(t *rapid.T) {
				programID := program.Draw(t, "program")
				reservation := reservationToEnd(t, programID)
				m.lastTurnNumber++
				operation := settledOn(settle(reservation.GetRequestId(), reservation.GetSession(), reservation.GetEpoch(), 2,
					fmt.Sprintf("t%d", m.lastTurnNumber), ""), versions.Draw(t, "versions")...)
				operation.Program = programID
				operation.GetSettleTurn().Turn.Program = programID
				m.apply(t, operation)
			},
			"release": func(t *rapid.T) {
				programID := program.Draw(t, "program")
				reservation := reservationToEnd(t, programID)
				operation := release(reservation.GetRequestId(), reservation.GetSession(), reservation.GetEpoch(),
					rapid.Uint64Range(0, 2).Draw(t, "tokens"))
				operation = releasedOn(operation, rapid.Bool().Draw(t, "completed"), versions.Draw(t, "versions")...)
				operation.Program = programID
				m.apply(t, operation)
			},
			"release completed": func(t *rapid.T) {
				programID := program.Draw(t, "program")
				reservation := reservationToEnd(t, programID)
				operation := release(reservation.GetRequestId(), reservation.GetSession(), reservation.GetEpoch(), 2)
				operation.Program = programID
				m.apply(t, releasedOn(operation, true, m.records[programID].GetTrainingStep().GetWeightVersion()))
			},
			"lose a session, then release completed": func(t *rapid.T) {
				programID := program.Draw(t, "program")
				reservation := reservationToEnd(t, programID)
				claimOperation := claim(reservation.GetSession(), owner.Draw(t, "owner"), 1)
				claimOperation.Program = programID
				claimOperation.GetClaimSession().Budget = stepPropertyBudget
				m.apply(t, claimOperation)
				operation := release(reservation.GetRequestId(), reservation.GetSession(), reservation.GetEpoch(), 2)
				operation.Program = programID
				m.apply(t, releasedOn(operation, true, m.records[programID].GetTrainingStep().GetWeightVersion()))
			},
			"claim": func(t *rapid.T) {
				operation := claim(session.Draw(t, "session"), owner.Draw(t, "owner"), 1)
				operation.Program = program.Draw(t, "program")
				operation.GetClaimSession().Budget = stepPropertyBudget
				m.apply(t, operation)
			},
			"reject": func(t *rapid.T) {
				operation := rejectRequest(request.Draw(t, "request"), session.Draw(t, "session"))
				operation.Program = program.Draw(t, "program")
				m.apply(t, operation)
			},
			"send again": func(t *rapid.T) {
				if len(m.sent) > 0 {
					m.apply(t, proto.CloneOf(rapid.SampledFrom(m.sent).Draw(t, "operation")))
				}
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "minutes")) * time.Minute)
			},
		})
	})
}
