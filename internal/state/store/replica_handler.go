package store

import (
	"context"
	"sync/atomic"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
	"github.com/rosestand/rosestand/internal/state/store/owner"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
	"github.com/rosestand/rosestand/internal/transport/memorybudget"
)

// notRejected is the refusal field of a response that is not a rejection.
const notRejected = protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED

// serveReplica answers one request from a proposer to this replica.
func (s *Store) serveReplica(ctx context.Context, request *protocol.Request) (*protocol.Response, error) {
	if retain := request.GetKeepTurn(); retain != nil && !hasIdentity(retain.GetTurn()) {
		return nil, failure.New(failure.MissingField, protocol.Outcome_NOT_RUN, "a turn needs an id and a program",
			failure.WithPath("keep_turn.turn"))
	}
	answers := make(chan *protocol.Response, 1)
	reply := func(answer *protocol.Response) { answers <- answer }
	s.postToReplica(request, reply) //nolint:contextcheck // copying a chain of turns outlives its caller
	return lifecycle.Await(ctx, s.lifecycle, answers)
}

// serveBatch answers a batch once all its requests are answered; most of them share a sync.
func (s *Store) serveBatch(ctx context.Context, batch *protocol.RequestBatch) (*protocol.Response, error) {
	responses := make([]*protocol.Response, len(batch.GetRequests()))
	answers := make(chan *protocol.Response, 1)
	var pending atomic.Int64
	pending.Store(int64(len(responses)) + 1)
	release := func() {
		if pending.Add(-1) == 0 {
			answers <- &protocol.Response{Body: &protocol.Response_StoreBatch{
				StoreBatch: &protocol.ResponseBatch{Responses: responses},
			}}
		}
	}
	for i, request := range batch.GetRequests() {
		reply := func(answer *protocol.Response) {
			responses[i] = answer
			release()
		}
		s.postToReplica(request, reply) //nolint:contextcheck // copying a chain of turns outlives its caller
	}
	release()
	return lifecycle.Await(ctx, s.lifecycle, answers)
}

func hasIdentity(turn *protocol.Turn) bool { return turn.GetId() != "" && turn.GetProgram() != "" }

// postToReplica posts a request to the owner of its shard. reply is called once: on the owner's
// goroutine, or immediately with an empty response if replicas do not serve the request.
func (s *Store) postToReplica(request *protocol.Request, reply func(*protocol.Response)) {
	switch body := request.GetBody().(type) {
	case *protocol.Request_Prepare:
		g := s.groups.Of(body.Prepare.GetShard())
		g.Post(func() {
			g.Prepare(body.Prepare, func(answer *protocol.PrepareResponse) {
				reply(&protocol.Response{Body: &protocol.Response_Prepare{Prepare: answer}})
			})
		})
	case *protocol.Request_Accept:
		g := s.groups.Of(body.Accept.GetShard())
		g.Post(func() {
			g.Accept(body.Accept, func(answer *protocol.AcceptResponse) {
				reply(&protocol.Response{Body: &protocol.Response_Accept{Accept: answer}})
			})
		})
	case *protocol.Request_KeepTurn:
		if !hasIdentity(body.KeepTurn.GetTurn()) {
			reply(&protocol.Response{})
			return
		}
		shard := body.KeepTurn.GetShard()
		s.groups.Of(shard).Post(func() {
			s.turns.Retainer(shard).ServeRetain(body.KeepTurn, func(answer *protocol.KeepTurnResponse) {
				reply(&protocol.Response{Body: &protocol.Response_KeepTurn{KeepTurn: answer}})
			})
		})
	default:
		reply(&protocol.Response{})
	}
}

// serveFetchShard returns one page of a shard of which this replica is complete.
func (s *Store) serveFetchShard(
	request *protocol.FetchShardRequest, account *memorybudget.Account,
) (*protocol.Response, error) {
	after, err := shardtable.DecodeCursor(request.GetAfter())
	if err != nil {
		return nil, err
	}
	g := s.groups.Of(request.GetShard())
	page, err := owner.Call(g, func() shardtable.Page { return g.Table(request.GetShard()).Page(request, after) })
	if err != nil {
		return nil, err
	}
	if page.Answer.GetRefusal() == notRejected && after.InTurns {
		read := func(entry turnindex.Entry) (*protocol.Turn, error) { return s.turns.Read(entry, account) }
		if err := page.ReadTurns(read); err != nil {
			return nil, s.turns.FailOnDamage(err)
		}
	}
	return &protocol.Response{Body: &protocol.Response_FetchShard{FetchShard: page.Answer}}, nil
}

// serveShardDigest returns the digests of this replica's content of a shard, by bucket.
func (s *Store) serveShardDigest(request *protocol.ShardDigestRequest) (*protocol.Response, error) {
	if request.GetBuckets() == 0 || request.GetBuckets() > shardtable.MaxBuckets {
		return nil, failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "out of range",
			failure.WithPath("shard_digest.buckets"))
	}
	g := s.groups.Of(request.GetShard())
	answer, err := owner.Call(g, func() *protocol.ShardDigestResponse {
		table := g.Table(request.GetShard())
		if rejection := table.View.CopyRejection(request.GetPlacementEpoch()); rejection != notRejected {
			return &protocol.ShardDigestResponse{Refusal: rejection, PlacementEpoch: table.View.Epoch}
		}
		return table.Digest(request.GetBuckets(), s.options.Clock.Now())
	})
	if err != nil {
		return nil, err
	}
	return &protocol.Response{Body: &protocol.Response_ShardDigest{ShardDigest: answer}}, nil
}
