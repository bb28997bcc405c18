package store

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/state/store/peers"
	"github.com/rosestand/rosestand/internal/state/store/placement"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
	"github.com/rosestand/rosestand/internal/storage"
)

// Store is one store process: replicas of some shards, and the proposer for their programs.
type Store struct {
	options         Options
	folder          *datafolder.Folder
	registerCommits *storage.GroupCommitter
	turnCommits     *storage.GroupCommitter
	groups          []*group
	watch           *placement.Watch
	peers           *peers.Client
	metrics         *metrics
	proposerName    string
	turnSegments    turnindex.SegmentExpiry
	copyPace        pace
	// indexedSegment is the first segment of turns that the index on disk does not cover.
	indexedSegment uint64
	// collectAllAt is when expired turns are dropped from the index although no segment can be removed.
	collectAllAt time.Time
	// snapshotsAfter is when snapshots may be tried again that had no room.
	snapshotsAfter time.Time
	// turnsDamaged says that the log of turns was found damaged, so that no index may spare a start to read it.
	turnsDamaged atomic.Bool

	ctx      context.Context
	cancel   context.CancelFunc
	stopped  chan struct{}
	routines sync.WaitGroup
	// owners are the goroutines of the groups; they end after all others.
	owners   sync.WaitGroup
	failOnce sync.Once
	stopOnce sync.Once
	// poke and copyPoke wake the goroutines that follow the placement and copy shards.
	poke     chan struct{}
	copyPoke chan struct{}
}

// New reads what the folder holds. The store takes ownership of the folder.
func New(options Options, folder *datafolder.Folder) (*Store, error) {
	options.fill()
	options.Self.StorageId = folder.StorageID
	ctx, cancel := context.WithCancel(context.Background())
	s := &Store{
		options:      options,
		folder:       folder,
		watch:        placement.NewWatch(options.Core, options.Self),
		metrics:      options.metrics,
		proposerName: proposerName(options.Self.GetName(), folder),
		ctx:          ctx,
		cancel:       cancel,
		stopped:      make(chan struct{}),
		poke:         make(chan struct{}, 1),
		copyPoke:     make(chan struct{}, 1),
	}
	s.peers = peers.New(ctx, peers.Options{
		Caller:  options.Caller,
		Address: s.addressOf,
		Timeout: options.PeerTimeout,
	})
	for number := range options.Groups {
		s.groups = append(s.groups, newGroup(s, number))
	}
	if err := s.load(); err != nil {
		cancel()
		return nil, err
	}
	return s, nil
}

// proposerName is new at every start, whatever the clock says: ballots must
// never be used twice.
func proposerName(name string, folder *datafolder.Folder) string {
	return name + "/" + folder.StorageID + "/" + strconv.FormatUint(folder.Starts, 36)
}

// load fills the tables. No goroutine runs yet, so it writes to the groups directly.
func (s *Store) load() error {
	err := s.folder.LoadRegisters(func(record *protocol.StoreRecord) {
		s.group(record.GetShard()).restore(record)
	})
	if err != nil {
		return errors.Wrap(err, "load registers")
	}
	return errors.Wrap(s.loadTurns(), "load turns")
}

// group gives the owner of a shard.
func (s *Store) group(shard uint32) *group {
	return s.groups[int(shard)%len(s.groups)]
}

// Start sets the goroutines going. Subscribe the store's ViewChanged to the core's views before.
func (s *Store) Start() {
	s.registerCommits = storage.NewGroupCommitter(s.folder.Registers, s.committerOptions(datafolder.RegisterLog))
	s.turnCommits = storage.NewGroupCommitter(s.folder.Turns, s.committerOptions(datafolder.TurnLog))
	for _, group := range s.groups {
		s.owners.Go(group.mailbox.Run)
	}
	s.routines.Go(s.followPlacement)
	s.routines.Go(s.maintain)
	s.routines.Go(s.scrub)
	s.routines.Go(s.copyShards)
}

func (s *Store) committerOptions(name string) storage.GroupCommitterOptions {
	syncs := s.metrics.syncs.WithLabelValues(name)
	shared := s.metrics.synced.WithLabelValues(name)
	return storage.GroupCommitterOptions{
		MaxPendingBytes: maximumPendingBytes,
		OnSync: func(requests int) {
			syncs.Inc()
			shared.Add(float64(requests))
		},
	}
}

// Stop ends all work; what was acknowledged is durable.
func (s *Store) Stop() error {
	var err error
	s.stopOnce.Do(func() {
		s.cancel()
		close(s.stopped)
		for _, group := range s.groups {
			group.mailbox.Close()
		}
		s.owners.Wait()
		s.routines.Wait()
		s.peers.Close()
		if s.registerCommits != nil {
			s.registerCommits.Close()
			s.turnCommits.Close()
		}
		err = s.folder.Close()
	})
	return err
}

// fail ends the store because of an error it cannot outlive. Nothing that waits
// for the failed write is ever answered.
func (s *Store) fail(err error) {
	s.failOnce.Do(func() {
		s.options.Logger.Error("store failed", "error", err)
		s.options.Fatal(err)
	})
}

// shardOf gives the view of the shard of a program.
func (s *Store) shardOf(program string) register.ShardView {
	current := s.watch.Current()
	return current.Shard(ledger.ShardOf(program, len(current.Shards)))
}

// shardView gives the view of a shard in force.
func (s *Store) shardView(shard uint32) register.ShardView {
	return s.watch.Current().Shard(shard)
}

// addressOf returns the address of a store; an empty one when it has no lease.
func (s *Store) addressOf(store string) string { return s.watch.Current().Addresses[store] }

// ViewChanged takes a new view of the core in; it does not wait.
func (s *Store) ViewChanged() {
	signal(s.poke)
}

// signal wakes a goroutine that waits, or will wait, on the channel.
func signal(poke chan<- struct{}) {
	select {
	case poke <- struct{}{}:
	default:
	}
}

// String names the store in logs.
func (s *Store) String() string {
	return fmt.Sprintf("%s (%s)", s.options.Self.GetName(), s.options.Self.GetStorageId())
}
