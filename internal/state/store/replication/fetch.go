package replication

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/owner"
	"github.com/rosestand/rosestand/internal/state/store/peers"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
)

const (
	// maxPageAttempts bounds the attempts for one page, maxTimedOutAttempts those that get no response.
	maxPageAttempts     = 5
	maxTimedOutAttempts = 2
	// minPageBackoff is the wait after the first attempt; each further one is four times as long.
	minPageBackoff = 2 * time.Millisecond
)

// fetchDigest requests the digest of a shard from another replica.
func (s *Service) fetchDigest(shard uint32, peer string) (*protocol.ShardDigestResponse, error) {
	ctx, cancel := s.timeout()
	defer cancel()
	body := &protocol.Request_ShardDigest{ShardDigest: &protocol.ShardDigestRequest{
		Shard: shard, PlacementEpoch: s.options.Placement.Current().Shard(shard).Epoch, Buckets: digestBuckets,
	}}
	response, err := s.options.Peers.Call(ctx, peer, &protocol.Request{Body: body})
	if err != nil {
		return nil, err
	}
	theirs := response.GetShardDigest()
	switch {
	case theirs == nil:
		return nil, &peers.AnswerError{Store: peer}
	case theirs.GetRefusal() != notRejected:
		return nil, &CopyError{Shard: shard, Source: peer, Reason: theirs.GetRefusal().String()}
	case len(theirs.GetRegisterDigests()) != digestBuckets || len(theirs.GetTurnDigests()) != digestBuckets:
		return nil, &peers.AnswerError{Store: peer}
	default:
		return theirs, nil
	}
}

// differingBuckets returns the buckets whose digests differ between this replica and another.
func (s *Service) differingBuckets(shard uint32, theirs *protocol.ShardDigestResponse) ([]uint32, error) {
	g := s.options.Groups.Of(shard)
	ours, err := owner.Call(g, func() *protocol.ShardDigestResponse {
		return g.Table(shard).Digest(digestBuckets, s.options.Lifecycle.Clock().Now())
	})
	if err != nil {
		return nil, err
	}
	var differing []uint32
	for bucket := range uint32(digestBuckets) {
		if ours.GetRegisterDigests()[bucket] != theirs.GetRegisterDigests()[bucket] ||
			ours.GetTurnDigests()[bucket] != theirs.GetTurnDigests()[bucket] {
			differing = append(differing, bucket)
		}
	}
	return differing, nil
}

// fetchPage requests a page under the current placement epoch, which it reads anew for each attempt.
func (s *Service) fetchPage(
	shard uint32, source string, request *protocol.FetchShardRequest,
) (*protocol.FetchShardResponse, error) {
	var last error
	timedOut := 0
	for attempt := range maxPageAttempts {
		request.PlacementEpoch = s.options.Placement.Current().Shard(shard).Epoch
		page, err := s.requestPage(source, request)
		switch {
		case err != nil:
			last = err
			if timedOut++; timedOut == maxTimedOutAttempts {
				return nil, last
			}
		case page == nil:
			return nil, &peers.AnswerError{Store: source}
		case page.GetRefusal() != notRejected:
			last = &CopyError{Shard: shard, Source: source, Reason: page.GetRefusal().String()}
		default:
			return page, nil
		}
		if !s.options.Lifecycle.Sleep(minPageBackoff << (2 * attempt)) {
			break
		}
	}
	return nil, last
}

// requestPage makes one request for a page. It returns nil when the response is of another type.
func (s *Service) requestPage(
	source string, request *protocol.FetchShardRequest,
) (*protocol.FetchShardResponse, error) {
	ctx, cancel := s.timeout()
	defer cancel()
	body := &protocol.Request_FetchShard{FetchShard: request}
	response, err := s.options.Peers.Call(ctx, source, &protocol.Request{Body: body})
	return response.GetFetchShard(), err
}

// learnPage adopts the registers and turns of a page. Once all are durable it calls done with
// the number of new ones of each. It runs on the group's goroutine.
func (s *Service) learnPage(
	g *owner.Group, shard uint32, page *protocol.FetchShardResponse, done func(registers, turns int),
) {
	table := g.Table(shard)
	now := s.options.Lifecycle.Clock().Now()
	pending, registers, turns := 1, 0, 0
	release := func() {
		if pending--; pending == 0 {
			done(registers, turns)
		}
	}
	for _, turn := range page.GetTurns() {
		until := turnindex.RetainUntil(turn)
		if table.Turns.Retains(turnindex.KeyOf(turn), until) || turnindex.IsExpired(until, now) {
			continue
		}
		pending++
		turns++
		g.RetainTurn(shard, turn, release)
	}
	pending++
	g.Learn(shard, page.GetRegisters(), func(learned int) {
		registers = learned
		release()
	})
	release()
}
