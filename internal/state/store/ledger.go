package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/proposer"
	"github.com/rosestand/rosestand/internal/transport/memorybudget"
)

// retryAfter is the delay that callers are advised to wait when the store cannot serve them now.
const retryAfter = 500 * time.Millisecond

// serveLedger validates one operation and passes it to the proposer or the service that applies it.
func (s *Store) serveLedger(
	ctx context.Context, message *protocol.LedgerOperation, account *memorybudget.Account,
) (*protocol.LedgerResult, error) {
	if err := ledger.Validate(message); err != nil {
		var invalid *ledger.InvalidOperationError
		errors.As(err, &invalid)
		return nil, failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, invalid.Reason,
			failure.WithPath(invalid.Path))
	}
	if body, ok := message.GetBody().(*protocol.LedgerOperation_FindTurn); ok {
		return s.turns.Find(ctx, body.FindTurn, account)
	}
	shard := s.watch.Current().ShardOf(message.GetProgram())
	if shard.Epoch == 0 || shard.Epoch == message.GetPlacementEpoch() && !shard.Role.Votes() {
		return nil, failure.New(failure.NotReady, protocol.Outcome_NOT_RUN, "this store does not serve the shard now",
			failure.WithRetryAfter(retryAfter))
	}
	if shard.Epoch != message.GetPlacementEpoch() {
		return proposer.WrongPlacement(shard.Epoch), nil
	}
	switch body := message.GetBody().(type) {
	case *protocol.LedgerOperation_ReadTurns:
		return s.turns.ReadChain(ctx, shard, message.GetProgram(), body.ReadTurns, account)
	case *protocol.LedgerOperation_ProlongTurns:
		return s.turns.ExtendChain(ctx, shard, message.GetProgram(), body.ProlongTurns, account)
	case *protocol.LedgerOperation_TraceTrainingStep:
		return s.steps.Trace(ctx, shard, message)
	default:
		return s.Propose(ctx, shard, message)
	}
}

// Propose posts an operation to the proposer of its shard and waits for the result. The result is
// LEDGER_UNAVAILABLE when the context ends or the store stops before the result is known.
func (s *Store) Propose(
	ctx context.Context, shard register.ShardView, message *protocol.LedgerOperation,
) (*protocol.LedgerResult, error) {
	answer := make(chan *protocol.LedgerResult, 1)
	operation := &proposer.Operation{
		Message:  message,
		Deadline: s.lifecycle.Deadline(ctx, DefaultOperationTimeout),
		Reply:    func(result *protocol.LedgerResult) { answer <- result },
	}
	s.groups.Of(shard.Shard).Post(func() { s.proposer(shard.Shard).Begin(shard, operation) })
	select {
	case result := <-answer:
		s.metrics.results.WithLabelValues(result.GetStatus().String()).Inc()
		return result, nil
	case <-ctx.Done():
		return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), nil
	case <-s.lifecycle.Stopped():
		return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), nil
	}
}
