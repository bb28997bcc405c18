package store

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
	"github.com/rosestand/rosestand/internal/transport/memorybudget"
)

// Serve implements wire.Handler for all requests to a store.
func (s *Store) Serve(ctx context.Context, request *protocol.Request, send func(*protocol.Response) error) error {
	account := s.options.Memory.Open()
	defer account.Release()
	response, err := s.answer(ctx, request, account)
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

// answer answers a request. The account holds the memory of the turns in the answer.
func (s *Store) answer(
	ctx context.Context, request *protocol.Request, account *memorybudget.Account,
) (*protocol.Response, error) {
	switch body := request.GetBody().(type) {
	case *protocol.Request_Ledger:
		result, err := s.serveLedger(ctx, body.Ledger, account)
		if err != nil {
			return nil, err
		}
		return &protocol.Response{Body: &protocol.Response_Ledger{Ledger: result}}, nil
	case *protocol.Request_Prepare, *protocol.Request_Accept, *protocol.Request_KeepTurn:
		return s.serveReplica(ctx, request)
	case *protocol.Request_StoreBatch:
		return s.serveBatch(ctx, body.StoreBatch)
	case *protocol.Request_FetchTurns:
		return s.serveFetchTurns(body.FetchTurns, account)
	case *protocol.Request_FindTurn:
		return s.serveFindTurn(body.FindTurn, account)
	case *protocol.Request_ListTrainingStep:
		return s.serveListTrainingStep(body.ListTrainingStep)
	case *protocol.Request_FetchShard:
		return s.serveFetchShard(body.FetchShard, account)
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

func (s *Store) serveFetchTurns(
	request *protocol.FetchTurnsRequest, account *memorybudget.Account,
) (*protocol.Response, error) {
	answer, err := s.turns.ServeFetch(request, account)
	if err != nil {
		return nil, err
	}
	return &protocol.Response{Body: &protocol.Response_FetchTurns{FetchTurns: answer}}, nil
}

func (s *Store) serveFindTurn(
	request *protocol.FindTurnRequest, account *memorybudget.Account,
) (*protocol.Response, error) {
	answer, err := s.turns.FindLocally(request.GetTurnId(), account)
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
