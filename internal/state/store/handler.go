package store

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Serve implements wire.Handler for everything that a store answers.
func (s *Store) Serve(ctx context.Context, request *protocol.Request, send func(*protocol.Response) error) error {
	response, err := s.answer(ctx, request)
	var stopped *StoppedError
	if errors.As(err, &stopped) {
		return failure.New(failure.Unavailable, protocol.Outcome_UNKNOWN, "the store stops", failure.WithRetryAfter(retryAfter))
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

// awaitAnswer waits for an answer made on a group's goroutine.
func awaitAnswer[A any](ctx context.Context, s *Store, answers <-chan A) (A, error) {
	var none A
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-s.stopped:
		return none, &StoppedError{}
	}
}

func (s *Store) serveFetchTurns(request *protocol.FetchTurnsRequest) (*protocol.Response, error) {
	view := s.shardView(request.GetShard())
	answer := &protocol.FetchTurnsResponse{Refusal: view.Rejection(request.GetPlacementEpoch()), PlacementEpoch: view.Epoch}
	if answer.GetRefusal() == notRefused {
		turns, err := s.localChain(request.GetShard(), request.GetProgram(), request.GetLastTurn(), request.GetLimit())
		if err != nil {
			return nil, s.readFailed(err)
		}
		answer.Turns = turns
	}
	return &protocol.Response{Body: &protocol.Response_FetchTurns{FetchTurns: answer}}, nil
}

// Status is what the store tells operators about itself.
func (s *Store) Status() *protocol.StoreStatusResponse {
	held := s.counts()
	return &protocol.StoreStatusResponse{
		Name:           s.options.Self.GetName(),
		StorageId:      s.options.Self.GetStorageId(),
		PlacementEpoch: s.watch.Current().Epoch,
		Registers:      held.registers,
		Turns:          held.turns,
		Bytes:          uint64(s.folder.Registers.Size() + s.folder.Turns.Size()),
		ShardsActive:   held.active,
		ShardsCopying:  held.copying,
		Repaired:       s.metrics.repairedCount.Load(),
		ScrubRounds:    s.metrics.scrubCount.Load(),
	}
}
