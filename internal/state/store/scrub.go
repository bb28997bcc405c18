package store

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/peers"
)

// scrubBuckets divides a shard so that only what differs is fetched.
const scrubBuckets = 1024

// scrub compares the shards of this store with the other replicas, round after
// round, and takes over what it lacks.
func (s *Store) scrub() {
	for s.wait(s.options.scrubInterval()) {
		s.ScrubOnce()
	}
}

// ScrubOnce compares all shards once.
func (s *Store) ScrubOnce() {
	for _, view := range s.watch.Current().Shards {
		if view.Role != register.RoleActive {
			continue
		}
		for _, peer := range view.Quorum.Current {
			if peer == s.options.Self.GetName() {
				continue
			}
			if err := s.scrubAgainst(view, peer); err != nil {
				s.options.Logger.Debug("shard not scrubbed", "shard", view.Shard, "peer", peer, "error", err)
			}
			if s.ctx.Err() != nil {
				return
			}
		}
	}
	s.metrics.scrubs.Inc()
	s.metrics.scrubCount.Add(1)
}

func (s *Store) scrubAgainst(view register.ShardView, peer string) error {
	theirs, err := s.fetchDigest(view.Shard, peer)
	if err != nil {
		return err
	}
	only, err := s.differing(view.Shard, theirs)
	if err != nil || len(only) == 0 {
		return err
	}
	return s.pull(view.Shard, peer, only)
}

// fetchDigest asks another replica what it holds of a shard.
func (s *Store) fetchDigest(shard uint32, peer string) (*protocol.ShardDigestResponse, error) {
	ctx, cancel := context.WithTimeout(s.ctx, s.options.PeerTimeout)
	defer cancel()
	response, err := s.peers.Call(ctx, peer, &protocol.Request{Body: &protocol.Request_ShardDigest{ShardDigest: &protocol.ShardDigestRequest{
		Shard: shard, PlacementEpoch: s.shardView(shard).Epoch, Buckets: scrubBuckets,
	}}})
	if err != nil {
		return nil, err
	}
	theirs := response.GetShardDigest()
	switch {
	case theirs == nil:
		return nil, &peers.AnswerError{Store: peer}
	case theirs.GetRefusal() != notRefused:
		return nil, &CopyError{Shard: shard, Source: peer, Reason: theirs.GetRefusal().String()}
	case len(theirs.GetRegisterDigests()) != scrubBuckets || len(theirs.GetTurnDigests()) != scrubBuckets:
		return nil, &peers.AnswerError{Store: peer}
	default:
		return theirs, nil
	}
}

// differing gives the buckets in which the other replica holds something else.
func (s *Store) differing(shard uint32, theirs *protocol.ShardDigestResponse) ([]uint32, error) {
	g := s.group(shard)
	ours, err := ask(g, func() *protocol.ShardDigestResponse {
		return g.table(shard).Digest(scrubBuckets, s.options.Clock.Now())
	})
	if err != nil {
		return nil, err
	}
	var only []uint32
	for bucket := range uint32(scrubBuckets) {
		if ours.GetRegisterDigests()[bucket] != theirs.GetRegisterDigests()[bucket] ||
			ours.GetTurnDigests()[bucket] != theirs.GetTurnDigests()[bucket] {
			only = append(only, bucket)
		}
	}
	return only, nil
}

// pull copies what this store lacks of some buckets.
func (s *Store) pull(shard uint32, peer string, only []uint32) error {
	var after []byte
	for {
		page, err := s.fetchPage(shard, peer, &protocol.FetchShardRequest{
			Shard: shard, After: after, Buckets: scrubBuckets, Only: only,
		})
		if err != nil {
			return err
		}
		g := s.group(shard)
		g.mailbox.Post(func() {
			if g.table(shard).View.Role != register.RoleActive {
				return
			}
			g.learnPage(shard, page, func(registers, turns int) { s.metrics.countRepaired(registers, turns) })
		})
		if page.GetLast() {
			return nil
		}
		after = page.GetNext()
		if !s.wait(time.Duration(uint64(proto.Size(page)) * uint64(time.Second) / s.options.copyBytesPerSecond())) {
			return nil
		}
	}
}
