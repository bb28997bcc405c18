package replication

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
)

// RunScrub calls Scrub every ScrubInterval. It returns when the store stops.
func (s *Service) RunScrub() {
	for s.options.Lifecycle.Sleep(s.options.ScrubInterval) {
		s.Scrub()
	}
}

// Scrub compares all shards that this store serves with the other replicas and copies the
// entries that it lacks. An unresponsive replica is skipped until the next scrub.
func (s *Service) Scrub() {
	for _, view := range s.options.Placement.Current().Shards {
		if view.Role != register.RoleActive {
			continue
		}
		for _, peer := range view.Quorum.Current {
			if peer == s.options.Store {
				continue
			}
			if err := s.scrubAgainst(view, peer); err != nil {
				s.options.Logger.Debug("shard scrub failed", "shard", view.Shard, "peer", peer, "error", err)
			}
			if s.options.Lifecycle.Context().Err() != nil {
				return
			}
		}
	}
	s.options.Observer.ScrubFinished()
}

func (s *Service) scrubAgainst(view register.ShardView, peer string) error {
	theirs, err := s.fetchDigest(view.Shard, peer)
	if err != nil {
		return err
	}
	only, err := s.differingBuckets(view.Shard, theirs)
	if err != nil || len(only) == 0 {
		return err
	}
	return s.pullBuckets(view.Shard, peer, only)
}

// pullBuckets copies the entries of some buckets that this store lacks.
func (s *Service) pullBuckets(shard uint32, peer string, only []uint32) error {
	var after []byte
	for {
		page, err := s.fetchPage(shard, peer, &protocol.FetchShardRequest{
			Shard: shard, After: after, Buckets: digestBuckets, Only: only,
		})
		if err != nil {
			return err
		}
		g := s.options.Groups.Of(shard)
		g.Post(func() {
			if g.Table(shard).View.Role != register.RoleActive {
				return
			}
			s.learnPage(g, shard, page, s.options.Observer.Repaired)
		})
		if page.GetLast() {
			return nil
		}
		after = page.GetNext()
		if !s.options.Lifecycle.Sleep(transferTime(uint64(proto.Size(page)), s.options.BytesPerSecond)) {
			return nil
		}
	}
}
