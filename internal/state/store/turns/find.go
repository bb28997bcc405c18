package turns

import (
	"context"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/store/owner"
	"github.com/rosestand/rosestand/internal/state/store/placement"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
	"github.com/rosestand/rosestand/internal/transport/memorybudget"
)

// candidates is the result of the lookup of a turn id in one group.
type candidates struct {
	// entries are the index entries with the hash of the id.
	entries []turnindex.Entry
	// shards are those for which the group's answer counts: the replica votes under the current placement.
	shards []uint32
}

func findCandidates(g *owner.Group, id string, current *placement.Topology) candidates {
	var found candidates
	for shard, table := range g.Tables() {
		found.entries = append(found.entries, table.Turns.WithID(id)...)
		if table.View.Epoch == current.Shard(shard).Epoch && table.View.Role.Votes() {
			found.shards = append(found.shards, shard)
		}
	}
	return found
}

// FindLocally looks up a turn in all shards of this store, under the current placement.
func (s *Service) FindLocally(id string, account *memorybudget.Account) (*protocol.FindTurnResponse, error) {
	return s.findLocally(id, s.options.Placement.Current(), account)
}

func (s *Service) findLocally(
	id string, current *placement.Topology, account *memorybudget.Account,
) (*protocol.FindTurnResponse, error) {
	answer := &protocol.FindTurnResponse{PlacementEpoch: current.Epoch}
	for _, g := range s.options.Groups {
		found, err := owner.Call(g, func() candidates { return findCandidates(g, id, current) })
		if err != nil {
			return nil, err
		}
		answer.Shards = append(answer.Shards, found.shards...)
		for _, entry := range found.entries {
			turn, err := s.Read(entry, account)
			if err != nil {
				return nil, s.FailOnDamage(err)
			}
			if turn.GetId() == id {
				answer.Turn = turn
				return answer, nil
			}
		}
	}
	return answer, nil
}

// Find looks up a turn on all stores. The turn is missing when, in each shard, a majority of
// the current placement lacks it.
func (s *Service) Find(
	ctx context.Context, find *protocol.FindTurn, account *memorybudget.Account,
) (*protocol.LedgerResult, error) {
	current := s.options.Placement.Current()
	if len(current.Shards) == 0 {
		return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), nil
	}
	local, err := s.findLocally(find.GetTurnId(), current, account)
	if err != nil {
		return nil, err
	}
	if local.GetTurn() != nil {
		return okResult(local.GetTurn()), nil
	}
	coverage := placement.NewCoverage(current)
	coverage.Add(s.options.Store, local.GetShards(), local.GetPlacementEpoch())
	result := s.findOnPeers(ctx, find, coverage)
	if !holdTurns(account, result.GetTurns()...) {
		return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), nil
	}
	return result, nil
}

// findAnswer is the response of one store to the lookup of a turn; answer is nil if there is none.
type findAnswer struct {
	store  string
	answer *protocol.FindTurnResponse
}

// findOnPeers queries the other stores concurrently and returns the first turn received.
// coverage already includes the answer of this store.
func (s *Service) findOnPeers(
	ctx context.Context, find *protocol.FindTurn, coverage *placement.Coverage,
) *protocol.LedgerResult {
	body := &protocol.Request_FindTurn{FindTurn: &protocol.FindTurnRequest{TurnId: find.GetTurnId()}}
	others := coverage.Topology.Stores(s.options.Store)
	answers := make(chan findAnswer, len(others))
	for _, store := range others {
		s.options.Peers.Send(store, &protocol.Request{Body: body}, func(response *protocol.Response, _ error) {
			answers <- findAnswer{store: store, answer: response.GetFindTurn()}
		})
	}
	if turn := s.awaitTurn(ctx, coverage, answers, len(others)); turn != nil {
		return okResult(turn)
	}
	if coverage.IsComplete() && s.options.Placement.Current().Epoch == coverage.Topology.Epoch {
		return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_TURN_MISSING)
	}
	return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE)
}

// awaitTurn returns the turn of the first answer that contains it. It returns nil after all
// answers, at the end of ctx or when the store stops, or lateAnswerTimeout after the coverage
// is complete.
func (s *Service) awaitTurn(
	ctx context.Context, coverage *placement.Coverage, answers <-chan findAnswer, count int,
) *protocol.Turn {
	var late lateAnswers
	defer late.end()
	for range count {
		if coverage.IsComplete() {
			late.begin(s.options.Lifecycle.Clock())
		}
		select {
		case received := <-answers:
			if turn := received.answer.GetTurn(); turn != nil {
				return turn
			}
			coverage.Add(received.store, received.answer.GetShards(), received.answer.GetPlacementEpoch())
		case <-late.expired:
			return nil
		case <-ctx.Done():
			return nil
		case <-s.options.Lifecycle.Stopped():
			return nil
		}
	}
	return nil
}
