package store

import (
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
)

// serveFetchShard answers one page of a shard of which this replica is complete.
func (s *Store) serveFetchShard(request *protocol.FetchShardRequest) (*protocol.Response, error) {
	after, err := shardtable.DecodeCursor(request.GetAfter())
	if err != nil {
		return nil, err
	}
	g := s.group(request.GetShard())
	page, err := ask(g, func() shardtable.Page { return g.table(request.GetShard()).Page(request, after) })
	if err != nil {
		return nil, err
	}
	if page.Answer.GetRefusal() == notRefused && after.InTurns {
		if err := page.ReadTurns(s.readAnyTurn); err != nil {
			return nil, s.readFailed(err)
		}
	}
	return &protocol.Response{Body: &protocol.Response_FetchShard{FetchShard: page.Answer}}, nil
}

// readAnyTurn reads the turn of an index entry, whatever its program and id.
func (s *Store) readAnyTurn(entry turnindex.Entry) (*protocol.Turn, error) {
	return s.readTurn(entry, "", "")
}

// serveShardDigest sums up what this replica has of a shard, by bucket.
func (s *Store) serveShardDigest(request *protocol.ShardDigestRequest) (*protocol.Response, error) {
	if request.GetBuckets() == 0 || request.GetBuckets() > shardtable.MaxBuckets {
		return nil, failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "out of range", failure.WithPath("shard_digest.buckets"))
	}
	g := s.group(request.GetShard())
	answer, err := ask(g, func() *protocol.ShardDigestResponse {
		table := g.table(request.GetShard())
		if rejection := table.View.CopyRejection(request.GetPlacementEpoch()); rejection != notRefused {
			return &protocol.ShardDigestResponse{Refusal: rejection, PlacementEpoch: table.View.Epoch}
		}
		return table.Digest(request.GetBuckets(), s.options.Clock.Now())
	})
	if err != nil {
		return nil, err
	}
	return &protocol.Response{Body: &protocol.Response_ShardDigest{ShardDigest: answer}}, nil
}
