package replication

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
	"github.com/rosestand/rosestand/internal/state/store/owner"
)

const (
	// retryInterval is the wait before failed copies are retried.
	retryInterval = 100 * time.Millisecond
	// idleInterval is the wait when no shard needs a copy; a new placement ends the wait early.
	idleInterval  = time.Second
	reportTimeout = 5 * time.Second
)

// RunCatchUp copies the shards that this store rebuilds or joins, several concurrently, and
// reports each to the core, repeatedly until the placement acknowledges it. An unresponsive
// source delays only the copy of its own shard. RunCatchUp returns when the store stops.
func (s *Service) RunCatchUp() {
	copies := newProgress()
	for {
		interval := idleInterval
		for _, view := range s.options.Placement.Current().Shards {
			if !view.NeedsCopy(s.options.Store, s.options.StorageID) {
				continue
			}
			interval = retryInterval
			if copies.begin(view, s.options.Lifecycle.Clock().Now()) {
				s.options.Lifecycle.Go(func() { s.copyAndReport(copies, view) })
			}
		}
		if !s.options.Lifecycle.SleepOr(interval, s.notified) {
			return
		}
	}
}

// copyAndReport copies one shard and reports it; on success it wakes RunCatchUp, so that the next copy may begin.
func (s *Service) copyAndReport(copies *progress, view register.ShardView) {
	err := s.copyShard(view)
	isReported := err == nil && s.report(view)
	copies.end(view, isReported, s.options.Lifecycle.Clock().Now())
	switch {
	case err != nil:
		s.options.Logger.Debug("shard copy failed", "shard", view.Shard, "error", err)
	case isReported:
		s.Notify()
	}
}

// copyShard reads the shard from enough replicas of the current set: all of the first one, and
// from the others only what differs.
func (s *Service) copyShard(view register.ShardView) error {
	state, err := s.copyState(view.Shard)
	if err != nil || state.caughtUp {
		return err
	}
	remaining := view.RequiredSources()
	var failed error
	for _, source := range view.Quorum.Current {
		if remaining == 0 {
			break
		}
		if source == s.options.Store {
			continue
		}
		copyFrom := s.copyDifference
		if remaining == view.RequiredSources() {
			copyFrom = s.copyAll
		}
		if err := copyFrom(view.Shard, source, state.generation); err != nil {
			failed = errors.CombineErrors(failed, err)
			continue
		}
		remaining--
	}
	if remaining > 0 {
		return errors.CombineErrors(&CopyError{Shard: view.Shard, Reason: "not enough complete replicas"}, failed)
	}
	return s.finishCopy(view.Shard, state.generation)
}

// copyState is the state of the copy of a shard.
type copyState struct {
	generation uint64
	caughtUp   bool
}

func (s *Service) copyState(shard uint32) (copyState, error) {
	g := s.options.Groups.Of(shard)
	return owner.Call(g, func() copyState {
		table := g.Table(shard)
		return copyState{generation: table.Generation, caughtUp: table.CaughtUp}
	})
}

// finishCopy marks the shard as caught up unless its table was cleared during the copy.
func (s *Service) finishCopy(shard uint32, generation uint64) error {
	g := s.options.Groups.Of(shard)
	caughtUp, err := owner.Call(g, func() bool {
		table := g.Table(shard)
		table.CaughtUp = table.Generation == generation
		g.ExtendChains(shard)
		return table.CaughtUp
	})
	if err != nil {
		return err
	}
	if !caughtUp {
		return newPlacementChangedError(shard)
	}
	s.options.Observer.ShardCopied()
	return nil
}

func newPlacementChangedError(shard uint32) error {
	return &CopyError{Shard: shard, Reason: "the placement changed meanwhile"}
}

// copyAll reads all pages of one replica.
func (s *Service) copyAll(shard uint32, source string, generation uint64) error {
	return s.copyPages(source, generation, &protocol.FetchShardRequest{Shard: shard})
}

// copyDifference reads from another replica the buckets that differ from this one. The digest
// is requested under the current epoch, so that nothing is added to the other replica under an
// older epoch afterwards.
func (s *Service) copyDifference(shard uint32, source string, generation uint64) error {
	theirs, err := s.fetchDigest(shard, source)
	if err != nil {
		return err
	}
	only, err := s.differingBuckets(shard, theirs)
	if err != nil || len(only) == 0 {
		return err
	}
	return s.copyPages(source, generation, &protocol.FetchShardRequest{Shard: shard, Buckets: digestBuckets, Only: only})
}

// copyPages reads one replica page by page, at no more than BytesPerSecond.
func (s *Service) copyPages(source string, generation uint64, request *protocol.FetchShardRequest) error {
	for {
		page, err := s.fetchPage(request.GetShard(), source, request)
		if err != nil {
			return err
		}
		if err := s.writePage(request.GetShard(), generation, page); err != nil {
			return err
		}
		size := uint64(proto.Size(page))
		s.options.Observer.BytesCopied(size)
		if page.GetLast() {
			return nil
		}
		request.After = page.GetNext()
		wait := s.copyLimiter.wait(s.options.Lifecycle.Clock().Now(), size, s.options.BytesPerSecond)
		if !s.options.Lifecycle.Sleep(wait) {
			return &lifecycle.StoppedError{}
		}
	}
}

// writePage writes a page and waits until it is durable.
func (s *Service) writePage(shard uint32, generation uint64, page *protocol.FetchShardResponse) error {
	g := s.options.Groups.Of(shard)
	durable := make(chan error, 1)
	g.Post(func() {
		if g.Table(shard).Generation != generation {
			durable <- newPlacementChangedError(shard)
			return
		}
		s.learnPage(g, shard, page, func(int, int) { durable <- nil })
	})
	select {
	case err := <-durable:
		return err
	case <-s.options.Lifecycle.Stopped():
		return &lifecycle.StoppedError{}
	}
}

// report notifies the core that a shard has caught up; the placement shows when the core has acted on it.
func (s *Service) report(view register.ShardView) bool {
	ctx, cancel := context.WithTimeout(s.options.Lifecycle.Context(), reportTimeout)
	defer cancel()
	body := &protocol.Request_ShardCopied{ShardCopied: &protocol.ShardCopiedRequest{
		Store:     s.options.Store,
		StorageId: s.options.StorageID,
		Shard:     view.Shard,
		Epoch:     view.Epoch,
	}}
	_, err := s.options.Core.CallCore(ctx, &protocol.Request{Body: body})
	if err != nil {
		s.options.Logger.Debug("report of copied shard failed", "shard", view.Shard, "error", err)
	}
	return err == nil
}
