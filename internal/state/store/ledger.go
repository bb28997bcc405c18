package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/records"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
)

// retryAfter is what callers are told when the store cannot serve them now.
const retryAfter = 500 * time.Millisecond

// serveLedger applies one operation as proposer.
func (s *Store) serveLedger(ctx context.Context, message *protocol.LedgerOperation) (*protocol.LedgerResult, error) {
	if err := ledger.Validate(message); err != nil {
		var invalid *ledger.InvalidOperationError
		errors.As(err, &invalid)
		return nil, failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, invalid.Reason, failure.WithPath(invalid.Path))
	}
	if body, ok := message.GetBody().(*protocol.LedgerOperation_FindTurn); ok {
		return s.findTurn(ctx, body.FindTurn)
	}
	shard := s.shardOf(message.GetProgram())
	if shard.Epoch == 0 || shard.Epoch == message.GetPlacementEpoch() && !shard.Role.Votes() {
		return nil, failure.New(failure.NotReady, protocol.Outcome_NOT_RUN, "this store does not serve the shard now",
			failure.WithRetryAfter(retryAfter))
	}
	if shard.Epoch != message.GetPlacementEpoch() {
		return wrongPlacement(shard.Epoch), nil
	}
	switch body := message.GetBody().(type) {
	case *protocol.LedgerOperation_ReadTurns:
		return s.readTurns(ctx, shard, message.GetProgram(), body.ReadTurns)
	case *protocol.LedgerOperation_ProlongTurns:
		return s.prolongTurns(ctx, shard, message.GetProgram(), body.ProlongTurns)
	case *protocol.LedgerOperation_TraceTrainingStep:
		return s.traceTrainingStep(ctx, shard, message)
	default:
		return s.propose(ctx, shard, message)
	}
}

func wrongPlacement(epoch uint64) *protocol.LedgerResult {
	return &protocol.LedgerResult{
		Status:         protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT,
		PlacementEpoch: epoch,
	}
}

// propose hands an operation to the owner of its shard and waits.
func (s *Store) propose(ctx context.Context, shard register.ShardView, message *protocol.LedgerOperation) (*protocol.LedgerResult, error) {
	deadline := s.deadlineOf(ctx)
	answer := make(chan *protocol.LedgerResult, 1)
	op := &operation{
		message:  message,
		deadline: deadline,
		reply:    func(result *protocol.LedgerResult) { answer <- result },
	}
	g := s.group(shard.Shard)
	g.mailbox.Post(func() { g.begin(shard, op) })
	select {
	case result := <-answer:
		s.metrics.results.WithLabelValues(result.GetStatus().String()).Inc()
		return result, nil
	case <-ctx.Done():
		return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), nil
	case <-s.stopped:
		return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), nil
	}
}

// deadlineOf gives the end of an operation by the store's clock.
func (s *Store) deadlineOf(ctx context.Context) time.Time {
	left := DefaultOperationTime
	if ends, bounded := ctx.Deadline(); bounded {
		left = time.Until(ends)
	}
	return s.options.Clock.Now().Add(left)
}

// begin starts an operation on the group's goroutine.
func (g *group) begin(shard register.ShardView, op *operation) {
	program := shardtable.Key{Program: op.message.GetProgram()}
	switch body := op.message.GetBody().(type) {
	case *protocol.LedgerOperation_SettleTurn:
		g.keepOnMajority(shard, body.SettleTurn.GetTurn(), op.deadline, func(status protocol.LedgerStatus) {
			switch status {
			case protocol.LedgerStatus_LEDGER_OK:
				g.propose(shard, program, op)
			case protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT:
				op.reply(wrongPlacement(g.store.shardView(shard.Shard).Epoch))
			default:
				op.reply(ledger.ResultWithStatus(status))
			}
		})
	case *protocol.LedgerOperation_BeginCall:
		g.beginCall(shard, op, body.BeginCall)
	default:
		g.propose(shard, shardtable.Key{Program: op.message.GetProgram(), Call: ledger.CallRequestID(op.message)}, op)
	}
}

// beginCall writes the intent between two looks at the session's epoch. Only
// the second one decides: it reads the program's register after the intent is
// chosen, so an answer LEDGER_OK is ordered before every later claim, and an
// owner that was fenced meanwhile never issues. The first one spares a request
// whose owner is fenced already an intent that nobody would act on; what this
// replica holds is enough for it when the epoch is in force there.
func (g *group) beginCall(shard register.ShardView, op *operation, begin *protocol.BeginCall) {
	if record := g.programHere(shard, op.message.GetProgram()); isInForce(record, begin) {
		g.writeIntent(shard, op, begin, record)
		return
	}
	g.checkEpoch(shard, op, begin, func(record *protocol.ProgramRecord) { g.writeIntent(shard, op, begin, record) })
}

// programHere gives a program's record as this replica holds it, which may be old; nil without any.
func (g *group) programHere(shard register.ShardView, program string) *protocol.ProgramRecord {
	held, found := g.table(shard.Shard).Registers.Get(shardtable.Key{Program: program})
	if !found {
		return nil
	}
	record, err := records.DecodeProgram(held.State.Value)
	if err != nil {
		return nil
	}
	return record
}

func isInForce(record *protocol.ProgramRecord, begin *protocol.BeginCall) bool {
	return ledger.CheckEpoch(record, begin.GetSession(), begin.GetEpoch()).GetStatus() == protocol.LedgerStatus_LEDGER_OK
}

// writeIntent writes the intent and permits the call when its epoch is in force after that.
func (g *group) writeIntent(shard register.ShardView, op *operation, begin *protocol.BeginCall, record *protocol.ProgramRecord) {
	message := proto.CloneOf(op.message)
	if begin.GetKeepingMillis() == 0 {
		message.GetBeginCall().KeepingMillis = record.GetKeepingMillis()
	}
	intent := &operation{message: message, deadline: op.deadline, reply: func(result *protocol.LedgerResult) {
		if result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
			op.reply(result)
			return
		}
		g.checkEpoch(shard, op, begin, func(*protocol.ProgramRecord) { op.reply(result) })
	}}
	g.propose(shard, shardtable.Key{Program: op.message.GetProgram(), Call: begin.GetRequestId()}, intent)
}

// checkEpoch reads the program's register from a majority and goes on when the
// epoch of the call is in force; else it answers the refusal.
func (g *group) checkEpoch(shard register.ShardView, op *operation, begin *protocol.BeginCall, inForce func(*protocol.ProgramRecord)) {
	read := &operation{
		message: &protocol.LedgerOperation{
			Program: op.message.GetProgram(),
			Body:    &protocol.LedgerOperation_ReadProgram{ReadProgram: &protocol.ReadProgram{}},
		},
		deadline: op.deadline,
		reply: func(result *protocol.LedgerResult) {
			if result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
				op.reply(result)
				return
			}
			check := ledger.CheckEpoch(result.GetProgram(), begin.GetSession(), begin.GetEpoch())
			if check.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
				op.reply(check)
				return
			}
			inForce(result.GetProgram())
		},
	}
	g.propose(shard, shardtable.Key{Program: op.message.GetProgram()}, read)
}
