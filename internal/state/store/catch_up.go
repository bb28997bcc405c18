package store

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/peers"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
)

const (
	// copyRetry is the pause before shards that could not be copied are tried again.
	copyRetry = 100 * time.Millisecond
	// copyCheck is the pause when no shard waits, beside being woken by a new placement.
	copyCheck = time.Second
	// reportAgain is how long the core has to take a report in before it is told again.
	reportAgain = time.Second
	// copiesAtOnce bounds the shards that are copied side by side.
	copiesAtOnce = 8
	// pageAttempts bounds the tries of one page, silentAttempts those without any answer.
	pageAttempts   = 5
	silentAttempts = 2
	reportTime     = 5 * time.Second
)

// copies are the shards that are copied side by side, and what the core was told of them.
type copies struct {
	mutex    sync.Mutex
	running  map[uint32]bool
	reported map[uint32]reportedCopy
}

// reportedCopy is a copy that the core was told of.
type reportedCopy struct {
	epoch uint64
	at    time.Time
}

func newCopies() *copies {
	return &copies{running: map[uint32]bool{}, reported: map[uint32]reportedCopy{}}
}

// begin reports whether a shard may be copied now: it is not yet, there is a place, and the
// core was not told of this copy a short time ago.
func (c *copies) begin(view register.ShardView, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	told := c.reported[view.Shard]
	wasTold := told.epoch == view.Epoch && now.Sub(told.at) < reportAgain
	if c.running[view.Shard] || len(c.running) >= copiesAtOnce || wasTold {
		return false
	}
	c.running[view.Shard] = true
	return true
}

func (c *copies) end(view register.ShardView, wasTold bool, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.running, view.Shard)
	if wasTold {
		c.reported[view.Shard] = reportedCopy{epoch: view.Epoch, at: now}
	}
}

// copyShards copies the shards that this store rebuilds or joins, some side by side, and
// tells the core of each. It goes on telling until the placement says so. A source
// that does not answer holds up the copy of its own shard only.
func (s *Store) copyShards() {
	under := newCopies()
	for {
		pause := copyCheck
		for _, view := range s.watch.Current().Shards {
			if !view.NeedsCopy(s.options.Self.GetName(), s.options.Self.GetStorageId()) {
				continue
			}
			pause = copyRetry
			if under.begin(view, s.options.Clock.Now()) {
				s.routines.Go(func() { s.copyAndReport(under, view) })
			}
		}
		if !s.waitOr(pause, s.copyPoke) {
			return
		}
	}
}

// copyAndReport copies one shard; when that succeeds the next one may begin at once.
func (s *Store) copyAndReport(under *copies, view register.ShardView) {
	err := s.copyShard(view)
	told := err == nil && s.reportCopied(view)
	under.end(view, told, s.options.Clock.Now())
	switch {
	case err != nil:
		s.options.Logger.Debug("shard not copied yet", "shard", view.Shard, "error", err)
	case told:
		signal(s.copyPoke)
	}
}

// copyShard reads the shard from enough replicas of the current set: the first
// one in full, and of the others what differs from that.
func (s *Store) copyShard(view register.ShardView) error {
	begun, err := s.copyState(view.Shard)
	if err != nil || begun.copied {
		return err
	}
	left := view.RequiredSources()
	var failed error
	for _, source := range view.Quorum.Current {
		if left == 0 {
			break
		}
		if source == s.options.Self.GetName() {
			continue
		}
		copyFrom := s.copyDifference
		if left == view.RequiredSources() {
			copyFrom = s.copyFrom
		}
		if err := copyFrom(view.Shard, source, begun.generation); err != nil {
			failed = errors.CombineErrors(failed, err)
			continue
		}
		left--
	}
	if left > 0 {
		return errors.CombineErrors(&CopyError{Shard: view.Shard, Reason: "not enough complete replicas"}, failed)
	}
	return s.markCopied(view.Shard, begun.generation)
}

// copyState says how far the copy of a shard is.
type copyState struct {
	generation uint64
	copied     bool
}

func (s *Store) copyState(shard uint32) (copyState, error) {
	g := s.group(shard)
	return ask(g, func() copyState {
		table := g.table(shard)
		return copyState{generation: table.Generation, copied: table.CaughtUp}
	})
}

// markCopied ends a copy unless the table was emptied meanwhile.
func (s *Store) markCopied(shard uint32, generation uint64) error {
	g := s.group(shard)
	same, err := ask(g, func() bool {
		table := g.table(shard)
		table.CaughtUp = table.Generation == generation
		table.Turns.ExtendChains(&g.store.turnSegments)
		return table.CaughtUp
	})
	if err != nil {
		return err
	}
	if !same {
		return &CopyError{Shard: shard, Reason: "the placement changed meanwhile"}
	}
	s.metrics.copied.Inc()
	return nil
}

// copyFrom reads one replica in full.
func (s *Store) copyFrom(shard uint32, source string, generation uint64) error {
	return s.copyPages(source, generation, &protocol.FetchShardRequest{Shard: shard})
}

// copyDifference reads from another replica what this one does not hold yet. The other one tells
// what it holds under the epoch in force, so nothing is added to it later under an older one.
func (s *Store) copyDifference(shard uint32, source string, generation uint64) error {
	theirs, err := s.fetchDigest(shard, source)
	if err != nil {
		return err
	}
	only, err := s.differing(shard, theirs)
	if err != nil || len(only) == 0 {
		return err
	}
	return s.copyPages(source, generation, &protocol.FetchShardRequest{Shard: shard, Buckets: scrubBuckets, Only: only})
}

// copyPages reads one replica page by page, no faster than the settings allow.
func (s *Store) copyPages(source string, generation uint64, request *protocol.FetchShardRequest) error {
	for {
		page, err := s.fetchPage(request.GetShard(), source, request)
		if err != nil {
			return err
		}
		if err := s.takePage(request.GetShard(), generation, page); err != nil {
			return err
		}
		size := uint64(proto.Size(page))
		s.metrics.copiedBytes.Add(float64(size))
		if page.GetLast() {
			return nil
		}
		request.After = page.GetNext()
		if !s.wait(s.copyPace.next(s.options.Clock.Now(), size, s.options.copyBytesPerSecond())) {
			return &StoppedError{}
		}
	}
}

// pace spreads the bytes of all copies over time.
type pace struct {
	mutex sync.Mutex
	// free is when what was taken so far has been paid for.
	free time.Time
}

// next takes bytes and gives the wait before more may be taken.
func (p *pace) next(now time.Time, size, bytesPerSecond uint64) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(size * uint64(time.Second) / bytesPerSecond))
	return p.free.Sub(now)
}

// fetchPage asks for a page under the placement epoch in force, again if it changes meanwhile.
func (s *Store) fetchPage(shard uint32, source string, request *protocol.FetchShardRequest) (*protocol.FetchShardResponse, error) {
	var last error
	silent := 0
	for attempt := range pageAttempts {
		request.PlacementEpoch = s.shardView(shard).Epoch
		ctx, cancel := context.WithTimeout(s.ctx, s.options.PeerTimeout)
		response, err := s.peers.Call(ctx, source, &protocol.Request{Body: &protocol.Request_FetchShard{FetchShard: request}})
		cancel()
		page := response.GetFetchShard()
		switch {
		case err != nil:
			last = err
			if silent++; silent == silentAttempts {
				return nil, last
			}
		case page == nil:
			return nil, &peers.AnswerError{Store: source}
		case page.GetRefusal() != notRefused:
			last = &CopyError{Shard: shard, Source: source, Reason: page.GetRefusal().String()}
		default:
			return page, nil
		}
		if !s.wait(firstRetryWait << (2 * attempt)) {
			break
		}
	}
	return nil, last
}

// takePage writes a page and waits until it is durable.
func (s *Store) takePage(shard uint32, generation uint64, page *protocol.FetchShardResponse) error {
	g := s.group(shard)
	durable := make(chan error, 1)
	g.mailbox.Post(func() {
		table := g.table(shard)
		if table.Generation != generation {
			durable <- &CopyError{Shard: shard, Reason: "the placement changed meanwhile"}
			return
		}
		g.learnPage(shard, page, func(int, int) { durable <- nil })
	})
	select {
	case err := <-durable:
		return err
	case <-s.stopped:
		return &StoppedError{}
	}
}

// learnPage takes over registers and turns and calls done, once all are
// durable, with how many of each were new.
func (g *group) learnPage(shard uint32, page *protocol.FetchShardResponse, done func(registers, turns int)) {
	table := g.table(shard)
	now := g.store.options.Clock.Now()
	left, learned, kept := 1, 0, 0
	release := func() {
		if left--; left == 0 {
			done(learned, kept)
		}
	}
	for _, turn := range page.GetTurns() {
		until := turnindex.RetainUntil(turn)
		if table.Turns.Retains(turnindex.KeyOf(turn), until) || turnindex.IsExpired(until, now) {
			continue
		}
		left++
		kept++
		g.keepTurn(shard, turn, release)
	}
	left++
	g.learn(shard, page.GetRegisters(), func(count int) {
		learned = count
		release()
	})
	release()
}

// reportCopied tells the core; the placement says when it has taken it in.
func (s *Store) reportCopied(view register.ShardView) bool {
	ctx, cancel := context.WithTimeout(s.ctx, reportTime)
	defer cancel()
	_, err := s.options.Core.CallCore(ctx, &protocol.Request{Body: &protocol.Request_ShardCopied{ShardCopied: &protocol.ShardCopiedRequest{
		Store:     s.options.Self.GetName(),
		StorageId: s.options.Self.GetStorageId(),
		Shard:     view.Shard,
		Epoch:     view.Epoch,
	}}})
	if err != nil {
		s.options.Logger.Debug("copied shard not reported yet", "shard", view.Shard, "error", err)
	}
	return err == nil
}
