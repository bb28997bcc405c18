package store

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
)

// Serve implements wire.Handler for all requests to a store.
func (s *Store) Serve(ctx context.Context, request *protocol.Request, send func(*protocol.Response) error) error {
	response, err := s.answer(ctx, request)
	var stopped *lifecycle.StoppedError
	if errors.As(err, &stopped) {
		return failure.New(failure.Unavailable, protocol.Outcome_UNKNOWN, "the store stops",
			failure.WithRetryAfter(retryAfter))
	}
	if err != nil {
		return err
	}
	return send(response)
}

func (s *Store) answer(ctx context.Context, request *protocol.Request) (*protocol.Response, error) {
	switch body := request.GetBody().(type) {
	case *protocol.Request_Ledger:
		result, err := s.serveLedger(ctx, body.Ledger)
		if err != nil {
			return nil, err
		}
		return &protocol.Response{Body: &protocol.Response_Ledger{Ledger: result}}, nil
	case *protocol.Request_Prepare, *protocol.Request_Accept, *protocol.Request_KeepTurn:
		return s.serveReplica(ctx, request)
	case *protocol.Request_StoreBatch:
		return s.serveBatch(ctx, body.StoreBatch)
	case *protocol.Request_FetchTurns:
		return s.serveFetchTurns(body.FetchTurns)
	case *protocol.Request_FindTurn:
		return s.serveFindTurn(body.FindTurn)
	case *protocol.Request_ListTrainingStep:
		return s.serveListTrainingStep(body.ListTrainingStep)
	case *protocol.Request_FetchShard:
		return s.serveFetchShard(body.FetchShard)
	case *protocol.Request_ShardDigest:
		return s.serveShardDigest(body.ShardDigest)
	case *protocol.Request_StoreStatus:
		return &protocol.Response{Body: &protocol.Response_StoreStatus{StoreStatus: s.Status()}}, nil
	case *protocol.Request_LocateCore:
		return &protocol.Response{Body: &protocol.Response_LocateCore{LocateCore: s.options.Core.LocateCore()}}, nil
	default:
		return nil, failure.New(failure.UnknownRequest, protocol.Outcome_NOT_RUN, "a store does not serve this request")
	}
}

func (s *Store) serveFetchTurns(request *protocol.FetchTurnsRequest) (*protocol.Response, error) {
	answer, err := s.turns.ServeFetch(request)
	if err != nil {
		return nil, err
	}
	return &protocol.Response{Body: &protocol.Response_FetchTurns{FetchTurns: answer}}, nil
}

func (s *Store) serveFindTurn(request *protocol.FindTurnRequest) (*protocol.Response, error) {
	answer, err := s.turns.FindLocally(request.GetTurnId())
	if err != nil {
		return nil, err
	}
	return &protocol.Response{Body: &protocol.Response_FindTurn{FindTurn: answer}}, nil
}

func (s *Store) serveListTrainingStep(request *protocol.ListTrainingStepRequest) (*protocol.Response, error) {
	answer, err := s.steps.ListLocally(request.GetStep())
	if err != nil {
		return nil, err
	}
	return &protocol.Response{Body: &protocol.Response_ListTrainingStep{ListTrainingStep: answer}}, nil
}

// Status returns the status that the store reports to operators.
func (s *Store) Status() *protocol.StoreStatusResponse {
	total := s.counts()
	return &protocol.StoreStatusResponse{
		Name:           s.options.Self.GetName(),
		StorageId:      s.options.Self.GetStorageId(),
		PlacementEpoch: s.watch.Current().Epoch,
		Registers:      total.registers,
		Turns:          total.turns,
		Bytes:          uint64(s.folder.Registers.Size() + s.folder.Turns.Size()),
		ShardsActive:   total.active,
		ShardsCopying:  total.copying,
		Repaired:       s.metrics.repairedCount.Load(),
		ScrubRounds:    s.metrics.scrubCount.Load(),
	}
}
