package ledger_test

import (
	"errors"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

var now = time.Unix(1_000_000, 0)

// resultCheck checks the record and the result that an operation leaves.
type resultCheck func(*protocol.ProgramRecord, *protocol.LedgerResult) bool

// step is one operation, the status that it must result in, and a further check of the result.
type step struct {
	do   *protocol.LedgerOperation
	want protocol.LedgerStatus
	// after is when the operation is applied, from now on.
	after time.Duration
	check resultCheck
}

func open(tenant string, budget uint64) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{Program: "p", Body: &protocol.LedgerOperation_OpenProgram{
		OpenProgram: &protocol.OpenProgram{Tenant: tenant, Budget: budget},
	}}
}

func finishedAs(outcome protocol.RequestOutcome, tokens uint64) resultCheck {
	return func(_ *protocol.ProgramRecord, result *protocol.LedgerResult) bool {
		return result.GetFinished().GetOutcome() == outcome && result.GetFinished().GetTokens() == tokens
	}
}

// retaining names the retention of a new program.
func retaining(retention time.Duration, operation *protocol.LedgerOperation) *protocol.LedgerOperation {
	operation.GetClaimSession().KeepingMillis = retention.Milliseconds()
	return operation
}

func hasEpoch(epoch uint64) resultCheck {
	return func(_ *protocol.ProgramRecord, result *protocol.LedgerResult) bool { return result.GetEpoch() == epoch }
}

func settled(tokens uint64) resultCheck {
	return func(record *protocol.ProgramRecord, _ *protocol.LedgerResult) bool {
		return record.GetSettled() == tokens
	}
}

const (
	ok                 = protocol.LedgerStatus_LEDGER_OK
	fencedResult       = protocol.LedgerStatus_LEDGER_FENCED
	alreadyFinished    = protocol.LedgerStatus_LEDGER_ALREADY_FINISHED
	alreadyReserved    = protocol.LedgerStatus_LEDGER_ALREADY_RESERVED
	unknownProgram     = protocol.LedgerStatus_LEDGER_UNKNOWN_PROGRAM
	wrongContinued     = protocol.LedgerStatus_LEDGER_WRONG_CONTINUATION
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
	runStories(t, map[string][]step{
		"a program is opened once and belongs to one tenant": {
			{do: &protocol.LedgerOperation{Program: "p", Body: &protocol.LedgerOperation_ReadProgram{}}, want: unknownProgram},
			{do: open("t", 7), want: ok},
			{
				do: open("t", 9), want: ok,
				check: func(_ *protocol.ProgramRecord, r *protocol.LedgerResult) bool { return r.GetProgram().GetBudget() == 7 },
			},
			{do: open("other", 9), want: unknownProgram},
		},
		"a turn is reserved, settled and repeated with the same answer": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: settle("r", "s", 1, 4, "t1", ""), want: ok, check: settled(4)},
			{do: settle("r", "s", 1, 4, "t1", ""), want: ok, check: finishedAs(outcomeSettled, 4)},
			{do: settle("r", "s", 1, 4, "t2", ""), want: alreadyFinished},
			{do: reserve("r", "s", 1, 10, ""), want: alreadyFinished, check: finishedAs(outcomeSettled, 4)},
		},
		"a turn is never charged above its reservation limit": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: settle("r", "s", 1, 99, "t1", ""), want: ok, check: settled(10)},
		},
		"a reserved budget is not a spent one": {
			{do: claim("s", "a", 1), want: ok},
			{do: claim("s2", "a", 1), want: ok},
			{do: reserve("r", "s", 1, propertyBudget, ""), want: ok},
			{do: reserve("r2", "s2", 1, 1, ""), want: budgetReserved},
			{do: settle("r", "s", 1, propertyBudget-1, "t1", ""), want: ok},
			{do: reserve("r2", "s2", 1, 50, ""), want: ok},
			{do: settle("r2", "s2", 1, 50, "t2", ""), want: ok, check: settled(propertyBudget + 49)},
			{do: reserve("r3", "s2", 1, 1, "t2"), want: budgetSpent},
		},
		"a new owner fences the old one and charges what it left open": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: claim("s", "b", 1), want: ok, check: settled(10)},
			{do: settle("r", "s", 1, 4, "t1", ""), want: alreadyFinished, check: finishedAs(outcomeCharged, 10)},
			{
				do: reserve("r2", "s", 1, 10, ""), want: fencedResult,
				check: hasEpoch(2),
			},
			{do: release("r3", "s", 1, 0), want: fencedResult},
			{do: reserve("r2", "s", 2, 10, ""), want: ok},
		},
		"a claim leaves the reservations of other sessions alone": {
			{do: claim("s", "a", 1), want: ok},
			{do: claim("s2", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: claim("s2", "b", 1), want: ok, check: settled(0)},
			{do: settle("r", "s", 1, 4, "t1", ""), want: ok},
		},
		"a later incarnation fences the former one of the same name": {
			{do: claim("s", "a", 2), want: ok},
			{do: claim("s", "a", 1), want: fencedResult},
			{
				do: claim("s", "a", 3), want: ok,
				check: hasEpoch(2),
			},
		},
		"a tombstone wins only over a request that never began": {
			{do: refuse("r", "s"), want: ok},
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: alreadyFinished, check: finishedAs(outcomeNotRun, 0)},
			{do: reserve("r2", "s", 1, 10, ""), want: ok},
			{do: refuse("r2", "s"), want: alreadyReserved},
			{do: settle("r2", "s", 1, 1, "t1", ""), want: ok},
			{do: refuse("r2", "s"), want: alreadyFinished, check: finishedAs(outcomeSettled, 1)},
		},
		"a released request is never run, even when its reservation comes late": {
			{do: claim("s", "a", 1), want: ok},
			{do: release("r", "s", 1, 0), want: ok, check: finishedAs(outcomeNotRun, 0)},
			{do: reserve("r", "s", 1, 10, ""), want: alreadyFinished},
			{do: reserve("r2", "s", 1, 10, ""), want: ok},
			{do: release("r2", "s", 1, 3), want: ok, check: finishedAs(outcomeCharged, 3)},
			{do: release("r2", "s", 1, 3), want: ok},
			{do: release("r3", "s", 1, 3), want: notReserved},
		},
		"a session continues its own last turn": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, "unknown"), want: wrongContinued},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: settle("r", "s", 1, 1, "t1", "t0"), want: wrongContinued},
			{do: settle("r", "s", 1, 1, "t1", ""), want: ok},
			{
				do: reserve("r2", "s", 1, 10, ""), want: wrongContinued,
				check: func(_ *protocol.ProgramRecord, r *protocol.LedgerResult) bool { return r.GetLastTurn() == "t1" },
			},
			{do: reserve("r2", "s", 1, 10, "t1"), want: ok},
			{do: claim("helper", "a", 1), want: ok},
			{do: reserve("r3", "helper", 1, 10, "t1"), want: ok},
		},
		"a session has one turn at a time": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
			{do: reserve("r", "s", 1, 11, ""), want: alreadyReserved},
			{do: reserve("r2", "s", 1, 10, ""), want: alreadyReserved},
			{do: reserve("r3", "nobody", 1, 10, ""), want: unknownSession},
		},
		"a first turn claims its session in the same step": {
			{do: claiming(reserve("r", "s", 0, 10, ""), "a", 1), want: ok, check: hasEpoch(1)},
			{do: claiming(reserve("r", "s", 0, 10, ""), "a", 1), want: ok, check: hasEpoch(1)},
			{do: settle("r", "s", 1, 4, "t1", ""), want: ok, check: settled(4)},
			{do: claiming(reserve("r", "s", 0, 10, ""), "a", 1), want: alreadyFinished, check: finishedAs(outcomeSettled, 4)},
			{do: claiming(reserve("r2", "s", 0, 10, "t1"), "b", 1), want: ok, check: hasEpoch(2)},
		},
		"a claim with a turn charges what the former owner left open, that turn's first attempt too": {
			{do: claiming(fork(reserve("r", "s", 0, 10, "")), "a", 1), want: ok},
			{do: claiming(fork(reserve("r2", "s", 0, 7, "")), "a", 1), want: ok},
			{
				do: claiming(fork(reserve("r", "s", 0, 10, "")), "b", 1), want: alreadyFinished,
				check: finishedAs(outcomeCharged, 10),
			},
			{do: settle("r2", "s", 1, 4, "t1", ""), want: alreadyFinished, check: finishedAs(outcomeCharged, 7)},
			{do: claiming(fork(reserve("r3", "s", 0, 10, "")), "b", 1), want: ok, check: hasEpoch(2)},
		},
		"a claim takes effect although its turn is rejected": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, propertyBudget, ""), want: ok},
			{do: claiming(reserve("r2", "s2", 0, 10, ""), "a", 1), want: budgetReserved, check: hasEpoch(1)},
			{do: settle("r", "s", 1, propertyBudget, "t1", ""), want: ok},
			{do: reserve("r3", "s2", 1, 10, ""), want: budgetSpent},
		},
		"a claim of a replaced process is rejected with its turn": {
			{do: claim("s", "a", 2), want: ok},
			{do: claiming(reserve("r", "s", 0, 10, ""), "a", 1), want: fencedResult},
		},
		"turns of one session fork from one turn side by side": {
			{do: claim("s", "a", 1), want: ok},
			{do: fork(reserve("r", "s", 1, 10, "")), want: ok},
			{do: settle("r", "s", 1, 1, "t1", ""), want: ok},
			{do: fork(reserve("r2", "s", 1, 10, "t1")), want: ok},
			{do: fork(reserve("r3", "s", 1, 10, "t1")), want: ok},
			{do: settle("r2", "s", 1, 1, "t2", "t1"), want: ok},
			{do: fork(reserve("r4", "s", 1, 10, "t1")), want: ok},
			{do: settle("r3", "s", 1, 1, "t3", "t1"), want: ok},
			{do: release("r4", "s", 1, 0), want: ok},
			{do: fork(reserve("r5", "s", 1, 10, "a turn of another program")), want: ok},
		},
		"a fork is rejected for a reserved and a spent budget": {
			{do: claim("s", "a", 1), want: ok},
			{do: fork(reserve("r", "s", 1, propertyBudget, "")), want: ok},
			{do: fork(reserve("r2", "s", 1, 10, "")), want: budgetReserved},
			{do: settle("r", "s", 1, propertyBudget, "t1", ""), want: ok},
			{do: fork(reserve("r2", "s", 1, 10, "")), want: budgetSpent},
		},
		"a turn that does not fork waits for one that does": {
			{do: claim("s", "a", 1), want: ok},
			{do: fork(reserve("r", "s", 1, 10, "")), want: ok},
			{do: reserve("r2", "s", 1, 10, ""), want: alreadyReserved},
		},
		"an idle program is expires with its budget after its retention": {
			{do: claim("s", "a", 1), want: ok},
			{do: reserve("r", "s", 1, propertyBudget, ""), want: ok},
			{do: settle("r", "s", 1, propertyBudget, "t1", ""), want: ok},
			{do: reserve("r2", "s", 1, 1, "t1"), want: budgetSpent, after: ledger.DefaultRetention},
			{do: reserve("r2", "s", 1, 1, "t1"), want: unknownProgram, after: longAfterRetention},
			{do: claim("s", "a", 1), want: ok, after: longAfterRetention, check: settled(0)},
		},
		"a program may name a shorter retention, within bounds": {
			{do: retaining(time.Minute, claim("s", "a", 1)), want: ok},
			{do: refuse("r", "s"), want: ok},
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
		"an outcome expires after its retention only": {
			{do: claim("s", "a", 1), want: ok},
			{do: refuse("r", "s"), want: ok},
			{do: claim("s2", "a", 1), want: ok, after: ledger.DefaultRetention - time.Hour},
			{do: reserve("r", "s", 1, 10, ""), want: alreadyFinished},
			{do: claim("s3", "a", 1), want: ok, after: longAfterRetention},
			{do: reserve("r", "s", 1, 10, ""), want: ok},
		},
	})
}

// callRequest is the request id of every call in TestCallRules.
const callRequest = "r"

func begin(attempt string, epoch uint64) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: "p",
		Body: &protocol.LedgerOperation_BeginCall{BeginCall: &protocol.BeginCall{
			RequestId: callRequest, Session: "s", Epoch: epoch, Attempt: attempt, Tool: "valve",
		}},
	}
}

func finish(attempt string, status uint32) *protocol.LedgerOperation {
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
	stories := map[string][]step{
		"one attempt wins and its outcome answers every repeat": {
			{do: begin("a1", 1), want: ok},
			{do: begin("a1", 1), want: ok},
			{do: begin("a2", 2), want: callUnderWay},
			{do: finish("a2", 200), want: fencedResult},
			{do: finish("a1", 200), want: ok},
			{
				do: finish("a1", 500), want: ok,
				check: func(_ *protocol.ProgramRecord, r *protocol.LedgerResult) bool { return r.GetCall().GetStatus() == 200 },
			},
			{
				do: begin("a2", 2), want: alreadyFinished,
				check: func(_ *protocol.ProgramRecord, r *protocol.LedgerResult) bool {
					return string(r.GetCall().GetBody()) == "done"
				},
			},
			{do: rejectCall(""), want: alreadyFinished},
		},
		"a tombstone loses against an intent of another attempt": {
			{do: begin("a1", 1), want: ok},
			{do: rejectCall(""), want: callUnderWay},
			{do: rejectCall("a2"), want: callUnderWay},
			{do: rejectCall("a1"), want: ok},
			{do: begin("a1", 1), want: alreadyFinished},
			{do: finish("a1", 200), want: alreadyFinished},
		},
		"a rejected call is never begun": {
			{do: finish("a1", 200), want: notReserved},
			{do: rejectCall(""), want: ok},
			{do: rejectCall(""), want: ok},
			{do: begin("a1", 1), want: alreadyFinished},
		},
		"a call expires after its retention": {
			{do: begin("a1", 1), want: ok},
			{do: begin("a2", 1), want: callUnderWay, after: ledger.DefaultRetention},
			{do: begin("a2", 1), want: ok, after: longAfterRetention},
		},
	}
	for name, steps := range stories {
		t.Run(name, func(t *testing.T) {
			var record *protocol.CallRecord
			for number, step := range steps {
				after, result := ledger.ApplyCall(record, step.do, now.Add(step.after))
				if after != nil {
					record = after
				}
				if result.GetStatus() != step.want || step.check != nil && !step.check(nil, result) {
					t.Fatalf("step %d: %v answered %v, wanted %v", number, step.do, result, step.want)
				}
			}
		})
	}
}

func TestValidateNamesTheFieldAtFault(t *testing.T) {
	foreign := settle("r", "s", 1, 1, "t1", "")
	foreign.GetSettleTurn().Turn.Program = "other"
	for path, operation := range map[string]*protocol.LedgerOperation{
		"program":                   {Body: &protocol.LedgerOperation_ReadProgram{}},
		"body":                      {Program: "p"},
		"reserve_turn.request_id":   reserve("", "s", 1, 1, ""),
		"settle_turn.turn.id":       settle("r", "s", 1, 1, "", ""),
		"settle_turn.turn.program":  foreign,
		"begin_call.attempt":        begin("", 1),
		"claim_session.owner":       claim("s", "", 1),
		"refuse_request.request_id": refuse("", "s"),
		"reserve_turn.claim.owner":  claiming(reserve("r", "s", 1, 1, ""), "", 1),
		"find_turn.turn_id":         {Body: &protocol.LedgerOperation_FindTurn{}},
		"prolong_turns.last_turn":   {Program: "p", Body: &protocol.LedgerOperation_ProlongTurns{}},
	} {
		var invalid *ledger.InvalidOperationError
		if err := ledger.Validate(operation); !errors.As(err, &invalid) || invalid.Path != path {
			t.Errorf("%v: got %v, wanted a fault at %s", operation, err, path)
		}
	}
	if err := ledger.Validate(settle("r", "s", 1, 1, "t1", "")); err != nil {
		t.Errorf("rejected a valid operation: %v", err)
	}
}
