package ledger_test

import (
	"errors"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

var now = time.Unix(1_000_000, 0)

// resultCheck checks the record and the result of an operation.
type resultCheck func(*protocol.ProgramRecord, *protocol.LedgerResult) bool

// scenarioStep is one operation of a scenario, the wanted status of its result, and an optional check of the result and
// the record.
type scenarioStep struct {
	do   *protocol.LedgerOperation
	want protocol.LedgerStatus
	// after is the time of the operation, relative to now.
	after time.Duration
	check resultCheck
}

func openProgram(tenant string, budget uint64) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{Program: "p", Body: &protocol.LedgerOperation_OpenProgram{
		OpenProgram: &protocol.OpenProgram{Tenant: tenant, Budget: budget},
	}}
}

func hasOutcome(outcome protocol.RequestOutcome, tokens uint64) resultCheck {
	return func(_ *protocol.ProgramRecord, result *protocol.LedgerResult) bool {
		return result.GetFinished().GetOutcome() == outcome && result.GetFinished().GetTokens() == tokens
	}
}

// withRetention makes the claim set the retention of a new program.
func withRetention(retention time.Duration, operation *protocol.LedgerOperation) *protocol.LedgerOperation {
	operation.GetClaimSession().KeepingMillis = retention.Milliseconds()
	return operation
}

func hasEpoch(epoch uint64) resultCheck {
	return func(_ *protocol.ProgramRecord, result *protocol.LedgerResult) bool { return result.GetEpoch() == epoch }
}

func hasSettled(tokens uint64) resultCheck {
	return func(record *protocol.ProgramRecord, _ *protocol.LedgerResult) bool {
		return record.GetSettled() == tokens
	}
}

const (
	ok                 = protocol.LedgerStatus_LEDGER_OK
	fenced             = protocol.LedgerStatus_LEDGER_FENCED
	alreadyFinished    = protocol.LedgerStatus_LEDGER_ALREADY_FINISHED
	alreadyReserved    = protocol.LedgerStatus_LEDGER_ALREADY_RESERVED
	unknownProgram     = protocol.LedgerStatus_LEDGER_UNKNOWN_PROGRAM
	wrongContinuation  = protocol.LedgerStatus_LEDGER_WRONG_CONTINUATION
	notReserved        = protocol.LedgerStatus_LEDGER_NOT_RESERVED
	callUnderWay       = protocol.LedgerStatus_LEDGER_CALL_UNDER_WAY
	outcomeSettled     = protocol.RequestOutcome_OUTCOME_SETTLED
	outcomeCharged     = protocol.RequestOutcome_OUTCOME_CHARGED
	outcomeNotRun      = protocol.RequestOutcome_OUTCOME_NOT_RUN
	unknownSession     = protocol.LedgerStatus_LEDGER_UNKNOWN_SESSION
	budgetReserved     = protocol.LedgerStatus_LEDGER_BUDGET_HELD
	budgetSpent        = protocol.LedgerStatus_LEDGER_BUDGET_SPENT
	longAfterRetention = ledger.DefaultRetention + time.Hour
)

func TestProgramRules(t *testing.T) {
	runScenarios(t, map[string][]scenarioStep{
		"a program is opened once and belongs to one tenant": {
			{do: &protocol.LedgerOperation{Program: "p", Body: &protocol.LedgerOperation_ReadProgram{}}, want: unknownProgram},
			{do: openProgram("t", 7), want: ok},
			{
				do: openProgram("t", 9), want: ok,
				check: func(_ *protocol.ProgramRecord, r *protocol.LedgerResult) bool { return r.GetProgram().GetBudget() == 7 },
			},
			{do: openProgram("other", 9), want: unknownProgram},
		},
		"a turn is reserved and settled, and repeats return the same result": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: settle("r", "s", 1, 4, "t1", ""), want: ok, check: hasSettled(4)},
			{do: settle("r", "s", 1, 4, "t1", ""), want: ok, check: hasOutcome(outcomeSettled, 4)},
			{do: settle("r", "s", 1, 4, "t2", ""), want: alreadyFinished},
			{do: reserve("r", "s", 1, 10, ""), want: alreadyFinished, check: hasOutcome(outcomeSettled, 4)},
		},
		"a turn is never charged above its reservation limit": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: settle("r", "s", 1, 99, "t1", ""), want: ok, check: hasSettled(10)},
		},
		"a reserved budget is reported differently from a spent one": {
			{do: claim("s", "a", 1), want: ok},
			{do: claim("s2", "a", 1), want: ok},
			{do: reserve("r", "s", 1, propertyBudget, ""), want: ok},
			{do: reserve("r2", "s2", 1, 1, ""), want: budgetReserved},
			{do: settle("r", "s", 1, propertyBudget-1, "t1", ""), want: ok},
			{do: reserve("r2", "s2", 1, 50, ""), want: ok},
			{do: settle("r2", "s2", 1, 50, "t2", ""), want: ok, check: hasSettled(propertyBudget + 49)},
			{do: reserve("r3", "s2", 1, 1, "t2"), want: budgetSpent},
		},
		"a claim by a new owner fences the previous one and charges its open reservations": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: claim("s", "b", 1), want: ok, check: hasSettled(10)},
			{do: settle("r", "s", 1, 4, "t1", ""), want: alreadyFinished, check: hasOutcome(outcomeCharged, 10)},
			{
				do: reserve("r2", "s", 1, 10, ""), want: fenced,
				check: hasEpoch(2),
			},
			{do: release("r3", "s", 1, 0), want: fenced},
			{do: reserve("r2", "s", 2, 10, ""), want: ok},
		},
		"a claim does not change the reservations of other sessions": {
			{do: claim("s", "a", 1), want: ok},
			{do: claim("s2", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: claim("s2", "b", 1), want: ok, check: hasSettled(0)},
			{do: settle("r", "s", 1, 4, "t1", ""), want: ok},
		},
		"a later incarnation of an owner fences the previous one": {
			{do: claim("s", "a", 2), want: ok},
			{do: claim("s", "a", 1), want: fenced},
			{
				do: claim("s", "a", 3), want: ok,
				check: hasEpoch(2),
			},
		},
		"a tombstone is written only for a request that was never reserved": {
			{do: rejectRequest("r", "s"), want: ok},
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: alreadyFinished, check: hasOutcome(outcomeNotRun, 0)},
			{do: reserve("r2", "s", 1, 10, ""), want: ok},
			{do: rejectRequest("r2", "s"), want: alreadyReserved},
			{do: settle("r2", "s", 1, 1, "t1", ""), want: ok},
			{do: rejectRequest("r2", "s"), want: alreadyFinished, check: hasOutcome(outcomeSettled, 1)},
		},
		"a released request cannot be reserved, even when its reservation arrives late": {
			{do: claim("s", "a", 1), want: ok},
			{do: release("r", "s", 1, 0), want: ok, check: hasOutcome(outcomeNotRun, 0)},
			{do: reserve("r", "s", 1, 10, ""), want: alreadyFinished},
			{do: reserve("r2", "s", 1, 10, ""), want: ok},
			{do: release("r2", "s", 1, 3), want: ok, check: hasOutcome(outcomeCharged, 3)},
			{do: release("r2", "s", 1, 3), want: ok},
			{do: release("r3", "s", 1, 3), want: notReserved},
		},
		"a session continues its own last turn": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, "unknown"), want: wrongContinuation},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: settle("r", "s", 1, 1, "t1", "t0"), want: wrongContinuation},
			{do: settle("r", "s", 1, 1, "t1", ""), want: ok},
			{
				do: reserve("r2", "s", 1, 10, ""), want: wrongContinuation,
				check: func(_ *protocol.ProgramRecord, r *protocol.LedgerResult) bool { return r.GetLastTurn() == "t1" },
			},
			{do: reserve("r2", "s", 1, 10, "t1"), want: ok},
			{do: claim("helper", "a", 1), want: ok},
			{do: reserve("r3", "helper", 1, 10, "t1"), want: ok},
		},
		"a session has one open reservation at a time": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: reserve("r", "s", 1, 11, ""), want: alreadyReserved},
			{do: reserve("r2", "s", 1, 10, ""), want: alreadyReserved},
			{do: reserve("r3", "unclaimed", 1, 10, ""), want: unknownSession},
		},
		"a reservation with a claim claims its session in the same operation": {
			{do: withClaim(reserve("r", "s", 0, 10, ""), "a", 1), want: ok, check: hasEpoch(1)},
			{do: withClaim(reserve("r", "s", 0, 10, ""), "a", 1), want: ok, check: hasEpoch(1)},
			{do: settle("r", "s", 1, 4, "t1", ""), want: ok, check: hasSettled(4)},
			{do: withClaim(reserve("r", "s", 0, 10, ""), "a", 1), want: alreadyFinished, check: hasOutcome(outcomeSettled, 4)},
			{do: withClaim(reserve("r2", "s", 0, 10, "t1"), "b", 1), want: ok, check: hasEpoch(2)},
		},
		"a reservation with a claim charges the previous owner's open reservations, its own first attempt included": {
			{do: withClaim(asFork(reserve("r", "s", 0, 10, "")), "a", 1), want: ok},
			{do: withClaim(asFork(reserve("r2", "s", 0, 7, "")), "a", 1), want: ok},
			{
				do: withClaim(asFork(reserve("r", "s", 0, 10, "")), "b", 1), want: alreadyFinished,
				check: hasOutcome(outcomeCharged, 10),
			},
			{do: settle("r2", "s", 1, 4, "t1", ""), want: alreadyFinished, check: hasOutcome(outcomeCharged, 7)},
			{do: withClaim(asFork(reserve("r3", "s", 0, 10, "")), "b", 1), want: ok, check: hasEpoch(2)},
		},
		"a claim takes effect even when its reservation is rejected": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, propertyBudget, ""), want: ok},
			{do: withClaim(reserve("r2", "s2", 0, 10, ""), "a", 1), want: budgetReserved, check: hasEpoch(1)},
			{do: settle("r", "s", 1, propertyBudget, "t1", ""), want: ok},
			{do: reserve("r3", "s2", 1, 10, ""), want: budgetSpent},
		},
		"a claim by an earlier incarnation is rejected together with its reservation": {
			{do: claim("s", "a", 2), want: ok},
			{do: withClaim(reserve("r", "s", 0, 10, ""), "a", 1), want: fenced},
		},
		"concurrent turns of a session may fork from the same turn": {
			{do: claim("s", "a", 1), want: ok},
			{do: asFork(reserve("r", "s", 1, 10, "")), want: ok},
			{do: settle("r", "s", 1, 1, "t1", ""), want: ok},
			{do: asFork(reserve("r2", "s", 1, 10, "t1")), want: ok},
			{do: asFork(reserve("r3", "s", 1, 10, "t1")), want: ok},
			{do: settle("r2", "s", 1, 1, "t2", "t1"), want: ok},
			{do: asFork(reserve("r4", "s", 1, 10, "t1")), want: ok},
			{do: settle("r3", "s", 1, 1, "t3", "t1"), want: ok},
			{do: release("r4", "s", 1, 0), want: ok},
			{do: asFork(reserve("r5", "s", 1, 10, "a turn of another program")), want: ok},
		},
		"a fork is rejected when the budget is reserved or spent": {
			{do: claim("s", "a", 1), want: ok},
			{do: asFork(reserve("r", "s", 1, propertyBudget, "")), want: ok},
			{do: asFork(reserve("r2", "s", 1, 10, "")), want: budgetReserved},
			{do: settle("r", "s", 1, propertyBudget, "t1", ""), want: ok},
			{do: asFork(reserve("r2", "s", 1, 10, "")), want: budgetSpent},
		},
		"a turn that is not a fork is rejected while a fork is open": {
			{do: claim("s", "a", 1), want: ok},
			{do: asFork(reserve("r", "s", 1, 10, "")), want: ok},
			{do: reserve("r2", "s", 1, 10, ""), want: alreadyReserved},
		},
		"an idle program expires with its budget after its retention": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, propertyBudget, ""), want: ok},
			{do: settle("r", "s", 1, propertyBudget, "t1", ""), want: ok},
			{do: reserve("r2", "s", 1, 1, "t1"), want: budgetSpent, after: ledger.DefaultRetention},
			{do: reserve("r2", "s", 1, 1, "t1"), want: unknownProgram, after: longAfterRetention},
			{do: claim("s", "a", 1), want: ok, after: longAfterRetention, check: hasSettled(0)},
		},
		"a program may set a shorter retention, but not below the minimum": {
			{do: withRetention(time.Minute, claim("s", "a", 1)), want: ok},
			{do: rejectRequest("r", "s"), want: ok},
			{do: claim("s2", "a", 1), want: ok, after: ledger.MinRetention},
			{do: reserve("r", "s", 1, 1, ""), want: alreadyFinished, after: ledger.MinRetention},
			{do: claim("s3", "a", 1), want: ok, after: ledger.MinRetention + time.Second},
			{do: reserve("r", "s", 1, 1, ""), want: ok, after: ledger.MinRetention + time.Second},
			{do: release("r", "s", 1, 0), want: ok, after: ledger.MinRetention + ledger.MinProgramRetention},
			{
				do: reserve("r", "s", 1, 1, ""), want: unknownProgram,
				after: 2 * (ledger.MinRetention + ledger.MinProgramRetention),
			},
		},
		"an outcome expires only after its retention": {
			{do: claim("s", "a", 1), want: ok},
			{do: rejectRequest("r", "s"), want: ok},
			{do: claim("s2", "a", 1), want: ok, after: ledger.DefaultRetention - time.Hour},
			{do: reserve("r", "s", 1, 10, ""), want: alreadyFinished},
			{do: claim("s3", "a", 1), want: ok, after: longAfterRetention},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
		},
	})
}

// callRequest is the request id of every call in TestCallRules.
const callRequest = "r"

func beginCall(attempt string, epoch uint64) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: "p",
		Body: &protocol.LedgerOperation_BeginCall{BeginCall: &protocol.BeginCall{
			RequestId: callRequest, Session: "s", Epoch: epoch, Attempt: attempt, Tool: "valve",
		}},
	}
}

func finishCall(attempt string, status uint32) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{Program: "p", Body: &protocol.LedgerOperation_FinishCall{
		FinishCall: &protocol.FinishCall{RequestId: callRequest, Attempt: attempt, Status: status, Body: []byte("done")},
	}}
}

func rejectCall(attempt string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{Program: "p", Body: &protocol.LedgerOperation_RefuseCall{
		RefuseCall: &protocol.RefuseCall{RequestId: callRequest, Attempt: attempt},
	}}
}

func TestCallRules(t *testing.T) {
	scenarios := map[string][]scenarioStep{
		"one attempt wins and its outcome is returned to every repeat": {
			{do: beginCall("a1", 1), want: ok},
			{do: beginCall("a1", 1), want: ok},
			{do: beginCall("a2", 2), want: callUnderWay},
			{do: finishCall("a2", 200), want: fenced},
			{do: finishCall("a1", 200), want: ok},
			{
				do: finishCall("a1", 500), want: ok,
				check: func(_ *protocol.ProgramRecord, r *protocol.LedgerResult) bool { return r.GetCall().GetStatus() == 200 },
			},
			{
				do: beginCall("a2", 2), want: alreadyFinished,
				check: func(_ *protocol.ProgramRecord, r *protocol.LedgerResult) bool {
					return string(r.GetCall().GetBody()) == "done"
				},
			},
			{do: rejectCall(""), want: alreadyFinished},
		},
		"a tombstone is rejected while another attempt has an intent": {
			{do: beginCall("a1", 1), want: ok},
			{do: rejectCall(""), want: callUnderWay},
			{do: rejectCall("a2"), want: callUnderWay},
			{do: rejectCall("a1"), want: ok},
			{do: beginCall("a1", 1), want: alreadyFinished},
			{do: finishCall("a1", 200), want: alreadyFinished},
		},
		"a rejected call cannot begin": {
			{do: finishCall("a1", 200), want: notReserved},
			{do: rejectCall(""), want: ok},
			{do: rejectCall(""), want: ok},
			{do: beginCall("a1", 1), want: alreadyFinished},
		},
		"a call expires after its retention": {
			{do: beginCall("a1", 1), want: ok},
			{do: beginCall("a2", 1), want: callUnderWay, after: ledger.DefaultRetention},
			{do: beginCall("a2", 1), want: ok, after: longAfterRetention},
		},
	}
	for name, steps := range scenarios {
		t.Run(name, func(t *testing.T) {
			var record *protocol.CallRecord
			for number, step := range steps {
				after, result := ledger.ApplyCall(record, step.do, now.Add(step.after))
				if after != nil {
					record = after
				}
				if result.GetStatus() != step.want || step.check != nil && !step.check(nil, result) {
					t.Fatalf("step %d: %v returned %v, want status %v and a passing check", number, step.do, result, step.want)
				}
			}
		})
	}
}

func TestValidateReportsTheInvalidField(t *testing.T) {
	foreign := settle("r", "s", 1, 1, "t1", "")
	foreign.GetSettleTurn().Turn.Program = "other"
	for path, operation := range map[string]*protocol.LedgerOperation{
		"program":                   {Body: &protocol.LedgerOperation_ReadProgram{}},
		"body":                      {Program: "p"},
		"reserve_turn.request_id":   reserve("", "s", 1, 1, ""),
		"settle_turn.turn.id":       settle("r", "s", 1, 1, "", ""),
		"settle_turn.turn.program":  foreign,
		"begin_call.attempt":        beginCall("", 1),
		"claim_session.owner":       claim("s", "", 1),
		"refuse_request.request_id": rejectRequest("", "s"),
		"reserve_turn.claim.owner":  withClaim(reserve("r", "s", 1, 1, ""), "", 1),
		"find_turn.turn_id":         {Body: &protocol.LedgerOperation_FindTurn{}},
		"prolong_turns.last_turn":   {Program: "p", Body: &protocol.LedgerOperation_ProlongTurns{}},
	} {
		var invalid *ledger.InvalidOperationError
		if err := ledger.Validate(operation); !errors.As(err, &invalid) || invalid.Path != path {
			t.Errorf("Validate(%v): got %v, want an InvalidOperationError for %s", operation, err, path)
		}
	}
	if err := ledger.Validate(settle("r", "s", 1, 1, "t1", "")); err != nil {
		t.Errorf("Validate of a valid settlement: %v", err)
	}
}
