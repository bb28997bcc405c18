package store

import (
	"context"
	"sync/atomic"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// serveReplica answers one request of a proposer to this replica.
func (s *Store) serveReplica(ctx context.Context, request *protocol.Request) (*protocol.Response, error) {
	if keep := request.GetKeepTurn(); keep != nil && !hasIdentity(keep.GetTurn()) {
		return nil, failure.New(failure.MissingField, protocol.Outcome_NOT_RUN, "a turn needs an id and a program",
			failure.WithPath("keep_turn.turn"))
	}
	answers := make(chan *protocol.Response, 1)
	s.askReplica(request, func(answer *protocol.Response) { answers <- answer })
	return awaitAnswer(ctx, s, answers)
}

// serveBatch answers once the last request of the batch is answered; most share a sync.
func (s *Store) serveBatch(ctx context.Context, batch *protocol.RequestBatch) (*protocol.Response, error) {
	responses := make([]*protocol.Response, len(batch.GetRequests()))
	answers := make(chan *protocol.Response, 1)
	var left atomic.Int64
	left.Store(int64(len(responses)) + 1)
	release := func() {
		if left.Add(-1) == 0 {
			answers <- &protocol.Response{Body: &protocol.Response_StoreBatch{StoreBatch: &protocol.ResponseBatch{Responses: responses}}}
		}
	}
	for place, request := range batch.GetRequests() {
		s.askReplica(request, func(answer *protocol.Response) {
			responses[place] = answer
			release()
		})
	}
	release()
	return awaitAnswer(ctx, s, answers)
}

func hasIdentity(turn *protocol.Turn) bool { return turn.GetId() != "" && turn.GetProgram() != "" }

// askReplica hands a request to the owner of its shard. reply is called once,
// on the owner's goroutine, or at once with an empty answer to what no replica serves.
func (s *Store) askReplica(request *protocol.Request, reply func(*protocol.Response)) {
	switch body := request.GetBody().(type) {
	case *protocol.Request_Prepare:
		g := s.group(body.Prepare.GetShard())
		g.mailbox.Post(func() {
			g.prepare(body.Prepare, func(answer *protocol.PrepareResponse) {
				reply(&protocol.Response{Body: &protocol.Response_Prepare{Prepare: answer}})
			})
		})
	case *protocol.Request_Accept:
		g := s.group(body.Accept.GetShard())
		g.mailbox.Post(func() {
			g.accept(body.Accept, func(answer *protocol.AcceptResponse) {
				reply(&protocol.Response{Body: &protocol.Response_Accept{Accept: answer}})
			})
		})
	case *protocol.Request_KeepTurn:
		if !hasIdentity(body.KeepTurn.GetTurn()) {
			reply(&protocol.Response{})
			return
		}
		g := s.group(body.KeepTurn.GetShard())
		g.mailbox.Post(func() {
			g.keepForPeer(body.KeepTurn, func(answer *protocol.KeepTurnResponse) {
				reply(&protocol.Response{Body: &protocol.Response_KeepTurn{KeepTurn: answer}})
			})
		})
	default:
		reply(&protocol.Response{})
	}
}

// keepForPeer keeps a turn and answers through reply, on the group's goroutine.
// The placement is judged again once the turn is durable: a copy of the shard
// made meanwhile under a newer placement may lack the turn.
func (g *group) keepForPeer(request *protocol.KeepTurnRequest, reply func(*protocol.KeepTurnResponse)) {
	table := g.table(request.GetShard())
	answer := func() *protocol.KeepTurnResponse {
		return &protocol.KeepTurnResponse{Refusal: table.View.Rejection(request.GetPlacementEpoch()), PlacementEpoch: table.View.Epoch}
	}
	if refused := answer(); refused.GetRefusal() != notRefused {
		reply(refused)
		return
	}
	g.keepWithChain(request.GetShard(), request.GetTurn(), func(kept bool) {
		judged := answer()
		if !kept && judged.GetRefusal() == notRefused {
			judged.Refusal = protocol.ReplicaRefusal_REPLICA_NOT_READY
		}
		reply(judged)
	})
}
