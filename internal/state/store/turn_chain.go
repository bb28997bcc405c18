package store

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
)

// keepWithChain keeps a turn and calls done on the group's goroutine. A replica that
// lacks the turn before, since it was away when that one was kept, copies the
// chain first: whoever counts this replica for the turn counts it for the chain,
// which is kept as long. A joining replica is given the chain by the copy of its shard.
func (g *group) keepWithChain(shard uint32, turn *protocol.Turn, done func(kept bool)) {
	table := g.table(shard)
	previous := turnindex.PreviousKey(turn)
	_, found := table.Turns.Get(previous)
	// What is written before this turn is durable before it.
	_, underWay := g.keeping[previous]
	if found || underWay || previous == (turnindex.Key{}) || table.View.Role != register.RoleActive {
		g.keepTurn(shard, turn, func() { done(true) })
		return
	}
	view := table.View
	g.store.routines.Go(func() {
		whole := g.store.fetchChain(view, turn)
		g.mailbox.Post(func() {
			if !whole {
				done(false)
				return
			}
			g.keepTurn(shard, turn, func() { done(true) })
		})
	})
}

// fetchChain copies what leads up to a turn from other replicas. It succeeds too
// when a majority says that the chain ends earlier.
func (s *Store) fetchChain(view register.ShardView, turn *protocol.Turn) bool {
	ctx, cancel := context.WithTimeout(s.ctx, s.options.PeerTimeout)
	defer cancel()
	for next := turnindex.PreviousInProgram(turn); next != ""; {
		turns, status := s.fetchFromPeers(ctx, view, turn.GetProgram(), next, maximumTurns)
		if len(turns) == 0 {
			return status == protocol.LedgerStatus_LEDGER_TURN_MISSING
		}
		if !s.keepHere(view.Shard, turns) {
			return false
		}
		next = turnindex.PreviousInProgram(turns[len(turns)-1])
	}
	return true
}

// keepHere keeps turns, newest first, on this replica and reports whether all are durable.
func (s *Store) keepHere(shard uint32, turns []*protocol.Turn) bool {
	g := s.group(shard)
	durable := make(chan struct{}, len(turns))
	g.mailbox.Post(func() {
		for _, turn := range slices.Backward(turns) {
			g.keepTurn(shard, turn, func() { durable <- struct{}{} })
		}
	})
	for range turns {
		select {
		case <-durable:
		case <-s.stopped:
			return false
		}
	}
	s.metrics.countRepaired(0, len(turns))
	return true
}

// prolongTurns keeps a chain longer on a majority. The answer shows the oldest
// turn of the program without its content, so that the caller sees which program goes on.
func (s *Store) prolongTurns(ctx context.Context, shard register.ShardView, program string, prolong *protocol.ProlongTurns) (*protocol.LedgerResult, error) {
	result := &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_OK}
	for next := prolong.GetLastTurn(); next != ""; {
		page, err := s.readTurns(ctx, shard, program, &protocol.ReadTurns{LastTurn: next})
		if err != nil || page.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
			return page, err
		}
		if status := s.prolongPage(ctx, shard, page.GetTurns(), prolong.GetKeepUntilMillis()); status != protocol.LedgerStatus_LEDGER_OK {
			return ledger.ResultWithStatus(status), nil
		}
		oldest := page.GetTurns()[len(page.GetTurns())-1]
		result.Turns = []*protocol.Turn{{
			Id: oldest.GetId(), Program: program, PreviousTurn: oldest.GetPreviousTurn(), PreviousProgram: oldest.GetPreviousProgram(),
		}}
		next = turnindex.PreviousInProgram(oldest)
	}
	return result, nil
}

// prolongPage keeps turns, newest first, anew with a later end where it is later.
func (s *Store) prolongPage(ctx context.Context, shard register.ShardView, turns []*protocol.Turn, untilMillis int64) protocol.LedgerStatus {
	deadline := s.deadlineOf(ctx)
	g := s.group(shard.Shard)
	statuses := make(chan protocol.LedgerStatus, len(turns))
	for _, turn := range slices.Backward(turns) {
		if turn.GetKeepUntilMillis() >= untilMillis {
			statuses <- protocol.LedgerStatus_LEDGER_OK
			continue
		}
		// The page's own turn may be on its way to a replica that lacks it.
		prolonged := proto.CloneOf(turn)
		prolonged.KeepUntilMillis = untilMillis
		g.mailbox.Post(func() {
			g.keepOnMajority(shard, prolonged, deadline, func(status protocol.LedgerStatus) { statuses <- status })
		})
	}
	answer := protocol.LedgerStatus_LEDGER_OK
	for range turns {
		status, err := awaitAnswer(ctx, s, statuses)
		if err != nil {
			return protocol.LedgerStatus_LEDGER_UNAVAILABLE
		}
		if status != protocol.LedgerStatus_LEDGER_OK {
			answer = status
		}
	}
	return answer
}
