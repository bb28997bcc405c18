package store

import (
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/backoff"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
	"github.com/rosestand/rosestand/internal/state/store/owner"
	"github.com/rosestand/rosestand/internal/state/store/peers"
	"github.com/rosestand/rosestand/internal/state/store/placement"
	"github.com/rosestand/rosestand/internal/state/store/proposer"
	"github.com/rosestand/rosestand/internal/state/store/replication"
	"github.com/rosestand/rosestand/internal/state/store/steptrace"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
	"github.com/rosestand/rosestand/internal/state/store/turns"
	"github.com/rosestand/rosestand/internal/storage"
)

// Store is one store process: replicas of some shards, and the proposers for their programs.
// Its fields do not change after Start, except those that are documented to belong to a goroutine.
type Store struct {
	options   Options
	folder    *datafolder.Folder
	lifecycle *lifecycle.Lifecycle
	watch     *placement.Watch
	peers     *peers.Client
	groups    owner.Groups
	// proposers has the proposer of each group, in the order of groups; each belongs to its group's goroutine.
	proposers   []*proposer.Proposer
	turns       *turns.Service
	replication *replication.Service
	steps       *steptrace.Service
	metrics     *metrics
	// segments is shared by all groups.
	segments turnindex.SegmentExpiry
	// registerCommits and turnCommits are nil until Start.
	registerCommits *storage.GroupCommitter
	turnCommits     *storage.GroupCommitter

	// The following fields belong to the goroutine of maintain.

	// indexedSegment is the first segment of turns that the index on disk does not cover.
	indexedSegment uint64
	// nextIndexExpiry is when expired turns are next removed from the index even if no segment can be removed.
	nextIndexExpiry time.Time
	// nextSnapshotAttempt is when a snapshot that failed on a full disk may be retried.
	nextSnapshotAttempt time.Time

	// owners are the goroutines of the groups; Stop waits for them before it waits for all others.
	owners   sync.WaitGroup
	failOnce sync.Once
	stopOnce sync.Once
	// viewChanged notifies the goroutine that follows the placement.
	viewChanged chan struct{}
}

// New loads a store from its data folder and takes ownership of the folder.
func New(options Options, folder *datafolder.Folder) (*Store, error) {
	options.applyDefaults()
	options.Self.StorageId = folder.StorageID
	s := &Store{
		options:     options,
		folder:      folder,
		lifecycle:   lifecycle.New(options.Clock),
		watch:       placement.NewWatch(options.Core, options.Self),
		metrics:     options.metrics,
		viewChanged: make(chan struct{}, 1),
	}
	s.peers = peers.New(s.lifecycle.Context(), peers.Options{
		Caller:  options.Caller,
		Address: s.addressOf,
		Timeout: options.PeerTimeout,
	})
	s.buildGroups()
	s.buildServices()
	if err := s.load(); err != nil {
		s.lifecycle.Stop()
		return nil, err
	}
	return s, nil
}

// buildGroups creates the groups that own the shards.
func (s *Store) buildGroups() {
	for range s.options.Groups {
		s.groups = append(s.groups, owner.NewGroup(owner.Options{
			Segments: &s.segments,
			Stopped:  s.lifecycle.Stopped(),
			Fail:     s.fail,
			Written:  s.metrics.countWritten,
		}))
	}
}

// buildServices creates the services that use the groups. The proposer and the retainer of a
// group share a backoff, since both run on the group's goroutine.
func (s *Store) buildServices() {
	name := s.options.Self.GetName()
	s.turns = turns.New(turns.Options{
		Store:            name,
		Groups:           s.groups,
		Peers:            s.peers,
		Placement:        s.watch,
		Folder:           s.folder,
		Lifecycle:        s.lifecycle,
		PeerTimeout:      s.options.PeerTimeout,
		OperationTimeout: DefaultOperationTimeout,
		Repaired:         func(turns int) { s.metrics.Repaired(0, turns) },
		Fail:             s.fail,
	})
	proposerName := newProposerName(name, s.folder)
	for number, group := range s.groups {
		retryBackoff := backoff.New(s.options.Seed, uint64(number))
		retainer := s.turns.AddRetainer(group, retryBackoff)
		s.proposers = append(s.proposers, proposer.New(proposer.Options{
			Store:    name,
			Name:     proposerName,
			Replica:  group,
			Peers:    s.peers,
			Retainer: retainer,
			Observer: s.metrics,
			Clock:    s.options.Clock,
			Backoff:  retryBackoff,
			View:     s.shardView,
			Fail:     s.fail,
		}))
	}
	s.replication = replication.New(replication.Options{
		Store:          name,
		StorageID:      s.options.Self.GetStorageId(),
		Groups:         s.groups,
		Peers:          s.peers,
		Core:           s.options.Core,
		Placement:      s.watch,
		Lifecycle:      s.lifecycle,
		Observer:       s.metrics,
		Logger:         s.options.Logger,
		PeerTimeout:    s.options.PeerTimeout,
		ScrubInterval:  s.options.scrubInterval(),
		BytesPerSecond: s.options.copyBytesPerSecond(),
	})
	s.steps = steptrace.New(steptrace.Options{
		Store:       name,
		Groups:      s.groups,
		Peers:       s.peers,
		Placement:   s.watch,
		Proposer:    s,
		Lifecycle:   s.lifecycle,
		PeerTimeout: s.options.PeerTimeout,
	})
}

// newProposerName returns a name that is different at every start, without relying on the clock:
// ballots must never be used twice.
func newProposerName(name string, folder *datafolder.Folder) string {
	return name + "/" + folder.StorageID + "/" + strconv.FormatUint(folder.Starts, 36)
}

// load fills the tables. No goroutine runs yet, so it accesses the groups directly.
func (s *Store) load() error {
	err := s.folder.LoadRegisters(func(record *protocol.StoreRecord) {
		s.groups.Of(record.GetShard()).Load(record)
	})
	if err != nil {
		return errors.Wrap(err, "load registers")
	}
	return errors.Wrap(s.loadTurns(), "load turns")
}

// Start starts the store's goroutines. Subscribe ViewChanged to the core's views first.
func (s *Store) Start() {
	s.registerCommits = storage.NewGroupCommitter(s.folder.Registers, s.committerOptions(datafolder.RegisterLog))
	s.turnCommits = storage.NewGroupCommitter(s.folder.Turns, s.committerOptions(datafolder.TurnLog))
	logs := owner.Logs{Registers: s.registerCommits, Turns: s.turnCommits}
	for _, group := range s.groups {
		s.owners.Go(func() { group.Run(logs) })
	}
	s.lifecycle.Go(s.followPlacement)
	s.lifecycle.Go(s.maintain)
	s.lifecycle.Go(s.replication.RunScrub)
	s.lifecycle.Go(s.replication.RunCatchUp)
}

func (s *Store) committerOptions(name string) storage.GroupCommitterOptions {
	syncs := s.metrics.syncs.WithLabelValues(name)
	syncedRequests := s.metrics.syncedRequests.WithLabelValues(name)
	return storage.GroupCommitterOptions{
		MaxPendingBytes: unboundedPendingBytes,
		OnSync: func(requests int) {
			syncs.Inc()
			syncedRequests.Add(float64(requests))
		},
	}
}

// Stop ends all work and closes the folder; everything acknowledged is durable.
func (s *Store) Stop() error {
	var err error
	s.stopOnce.Do(func() {
		s.lifecycle.Stop()
		for _, group := range s.groups {
			group.Close()
		}
		s.owners.Wait()
		s.lifecycle.Wait()
		s.peers.Close()
		if s.registerCommits != nil {
			s.registerCommits.Close()
			s.turnCommits.Close()
		}
		err = s.folder.Close()
	})
	return err
}

// fail reports an error that the store cannot survive. Requests that wait for the failed write are not reported as
// successful; their callers receive LEDGER_UNAVAILABLE or an unknown outcome when the store stops.
func (s *Store) fail(err error) {
	s.failOnce.Do(func() {
		s.options.Logger.Error("store failed", "error", err)
		s.options.Fatal(err)
	})
}

// shardView returns the view of a shard under the current placement.
func (s *Store) shardView(shard uint32) register.ShardView { return s.watch.Current().Shard(shard) }

// addressOf returns the address of a store, or an empty string when the store has no lease.
func (s *Store) addressOf(store string) string { return s.watch.Current().Addresses[store] }

// proposer returns the proposer of a shard.
func (s *Store) proposer(shard uint32) *proposer.Proposer {
	return s.proposers[s.groups.Index(shard)]
}

// ViewChanged makes the store read the core's view again; it does not block.
func (s *Store) ViewChanged() {
	select {
	case s.viewChanged <- struct{}{}:
	default:
	}
}

// followPlacement posts every new placement to the groups.
func (s *Store) followPlacement() {
	for {
		if current, changed := s.watch.Refresh(); changed {
			s.options.Logger.Info("placement changed", "epoch", current.Epoch)
			for _, group := range s.groups {
				group.Post(func() { s.applyPlacement(group, current) })
			}
			s.replication.Notify()
		}
		select {
		case <-s.viewChanged:
		case <-s.lifecycle.Stopped():
			return
		}
	}
}

// applyPlacement applies a new placement to the tables of the group's shards. It runs on the group's goroutine.
func (s *Store) applyPlacement(group *owner.Group, current *placement.Topology) {
	for _, view := range current.Shards {
		if s.groups.Of(view.Shard) == group {
			group.ApplyView(view)
		}
	}
}
