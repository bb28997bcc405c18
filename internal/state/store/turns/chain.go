package turns

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
	"github.com/rosestand/rosestand/internal/transport/memorybudget"
)

// fetchChain copies the predecessors of a turn from other replicas. It also succeeds when a
// majority reports a predecessor as missing, which ends the chain early.
func (s *Service) fetchChain(view register.ShardView, turn *protocol.Turn) bool {
	ctx, cancel := context.WithTimeout(s.options.Lifecycle.Context(), s.options.PeerTimeout)
	defer cancel()
	for next := turnindex.PreviousInProgram(turn); next != ""; {
		chain, status := s.fetchFromPeers(ctx, view, turn.GetProgram(), next, maxTurns)
		if len(chain) == 0 {
			return status == protocol.LedgerStatus_LEDGER_TURN_MISSING
		}
		if !s.retainLocally(view.Shard, chain) {
			return false
		}
		next = turnindex.PreviousInProgram(chain[len(chain)-1])
	}
	return true
}

// retainLocally retains turns, which are ordered newest first, on this replica. It returns false
// if the store stops before all are durable.
func (s *Service) retainLocally(shard uint32, chain []*protocol.Turn) bool {
	g := s.options.Groups.Of(shard)
	durable := make(chan struct{}, len(chain))
	g.Post(func() {
		for _, turn := range slices.Backward(chain) {
			g.RetainTurn(shard, turn, func() { durable <- struct{}{} })
		}
	})
	for range chain {
		select {
		case <-durable:
		case <-s.options.Lifecycle.Stopped():
			return false
		}
	}
	s.options.Repaired(len(chain))
	return true
}

// ExtendChain extends the retention of a chain on a majority. The result contains the oldest
// turn of the program without its content, so that the caller learns which program contains the
// rest of the chain.
func (s *Service) ExtendChain(
	ctx context.Context, shard register.ShardView, program string, extend *protocol.ProlongTurns,
	account *memorybudget.Account,
) (*protocol.LedgerResult, error) {
	result := okResult()
	for next := extend.GetLastTurn(); next != ""; {
		page, err := s.ReadChain(ctx, shard, program, &protocol.ReadTurns{LastTurn: next}, account)
		if err != nil || page.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
			return page, err
		}
		status := s.extendPage(ctx, shard, page.GetTurns(), extend.GetKeepUntilMillis())
		if status != protocol.LedgerStatus_LEDGER_OK {
			return ledger.ResultWithStatus(status), nil
		}
		oldest := page.GetTurns()[len(page.GetTurns())-1]
		result.Turns = []*protocol.Turn{{
			Id: oldest.GetId(), Program: program,
			PreviousTurn: oldest.GetPreviousTurn(), PreviousProgram: oldest.GetPreviousProgram(),
		}}
		next = turnindex.PreviousInProgram(oldest)
	}
	return result, nil
}

// extendPage retains turns, which are ordered newest first, until a later time. It skips turns
// that are already retained for as long.
func (s *Service) extendPage(
	ctx context.Context, shard register.ShardView, page []*protocol.Turn, untilMillis int64,
) protocol.LedgerStatus {
	deadline := s.options.Lifecycle.Deadline(ctx, s.options.OperationTimeout)
	retainer := s.Retainer(shard.Shard)
	statuses := make(chan protocol.LedgerStatus, len(page))
	for _, turn := range slices.Backward(page) { //nolint:contextcheck // chains outlive their callers
		if turn.GetKeepUntilMillis() >= untilMillis {
			statuses <- protocol.LedgerStatus_LEDGER_OK
			continue
		}
		// The page's turn may still be in use by the repair of a replica that lacks it.
		extended := proto.CloneOf(turn)
		extended.KeepUntilMillis = untilMillis
		retainer.group.Post(func() {
			retainer.RetainOnMajority(shard, extended, deadline, func(status protocol.LedgerStatus) { statuses <- status })
		})
	}
	answer := protocol.LedgerStatus_LEDGER_OK
	for range page {
		status, err := lifecycle.Await(ctx, s.options.Lifecycle, statuses)
		if err != nil {
			return protocol.LedgerStatus_LEDGER_UNAVAILABLE
		}
		if status != protocol.LedgerStatus_LEDGER_OK {
			answer = status
		}
	}
	return answer
}
