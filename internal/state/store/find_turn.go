package store

import (
	"context"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/store/placement"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
)

// heldTurns is what one group knows of a turn whose program is not known.
type heldTurns struct {
	entries []turnindex.Entry
	// shards are those for which the group's word counts.
	shards []uint32
}

func (g *group) findTurns(id string, current *placement.Topology) heldTurns {
	var held heldTurns
	for shard, table := range g.shards {
		held.entries = append(held.entries, table.Turns.WithID(id)...)
		if table.View.Epoch == current.Shard(shard).Epoch && table.View.Role.Votes() {
			held.shards = append(held.shards, shard)
		}
	}
	return held
}

// findHere looks for a turn in all shards of this store, under the placement given.
func (s *Store) findHere(id string, current *placement.Topology) (*protocol.FindTurnResponse, error) {
	answer := &protocol.FindTurnResponse{PlacementEpoch: current.Epoch}
	for _, g := range s.groups {
		held, err := ask(g, func() heldTurns { return g.findTurns(id, current) })
		if err != nil {
			return nil, err
		}
		answer.Shards = append(answer.Shards, held.shards...)
		for _, entry := range held.entries {
			turn, err := s.readTurn(entry, "", "")
			if err != nil {
				return nil, s.readFailed(err)
			}
			if turn.GetId() == id {
				answer.Turn = turn
				return answer, nil
			}
		}
	}
	return answer, nil
}

func (s *Store) serveFindTurn(request *protocol.FindTurnRequest) (*protocol.Response, error) {
	answer, err := s.findHere(request.GetTurnId(), s.watch.Current())
	if err != nil {
		return nil, err
	}
	return &protocol.Response{Body: &protocol.Response_FindTurn{FindTurn: answer}}, nil
}

// findTurn looks for a turn on all stores. It is missing when in each shard a
// majority that acts under the placement in force does not have it.
func (s *Store) findTurn(ctx context.Context, find *protocol.FindTurn) (*protocol.LedgerResult, error) {
	current := s.watch.Current()
	if len(current.Shards) == 0 {
		return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE), nil
	}
	here, err := s.findHere(find.GetTurnId(), current)
	if err != nil {
		return nil, err
	}
	if here.GetTurn() != nil {
		return foundTurn(here.GetTurn()), nil
	}
	lacking := placement.NewCoverage(current)
	lacking.Add(s.options.Self.GetName(), here.GetShards(), here.GetPlacementEpoch())
	return s.askAll(ctx, find, lacking), nil
}

func foundTurn(turn *protocol.Turn) *protocol.LedgerResult {
	return &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_OK, Turns: []*protocol.Turn{turn}}
}

type findAnswer struct {
	store  string
	answer *protocol.FindTurnResponse
}

// askAll asks the other stores at once. The first that has the turn is believed.
func (s *Store) askAll(ctx context.Context, find *protocol.FindTurn, lacking *placement.Coverage) *protocol.LedgerResult {
	request := &protocol.Request{Body: &protocol.Request_FindTurn{FindTurn: &protocol.FindTurnRequest{TurnId: find.GetTurnId()}}}
	others := lacking.Topology.Stores(s.options.Self.GetName())
	answers := make(chan findAnswer, len(others))
	for _, store := range others {
		s.peers.Send(store, request, func(response *protocol.Response, _ error) {
			answers <- findAnswer{store: store, answer: response.GetFindTurn()}
		})
	}
	if turn := s.hear(ctx, lacking, answers, len(others)); turn != nil {
		return foundTurn(turn)
	}
	if lacking.IsComplete() && s.watch.Current().Epoch == lacking.Topology.Epoch {
		return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_TURN_MISSING)
	}
	return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE)
}

// hear takes answers in until one has the turn, all are there or the time is over.
func (s *Store) hear(ctx context.Context, lacking *placement.Coverage, answers <-chan findAnswer, count int) *protocol.Turn {
	var late lateAnswers
	defer late.end()
	for range count {
		if lacking.IsComplete() {
			late.begin(s.options.Clock)
		}
		select {
		case heard := <-answers:
			if turn := heard.answer.GetTurn(); turn != nil {
				return turn
			}
			lacking.Add(heard.store, heard.answer.GetShards(), heard.answer.GetPlacementEpoch())
		case <-late.over:
			return nil
		case <-ctx.Done():
			return nil
		case <-s.stopped:
			return nil
		}
	}
	return nil
}
