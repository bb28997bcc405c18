package store

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

const (
	smallDiskBytes = 64 << 20
	// maxDiskBytes is the disk space that registers with little content may use, however often they are rewritten.
	maxDiskBytes     = 16 << 20
	valueBytes       = 1 << 10
	changesPerSecond = 2000
	changedRegisters = 200
	rewriteSeconds   = 60
)

// stoppedClock never advances, so that a store starts no timed work.
type stoppedClock struct{}

func (stoppedClock) Now() time.Time { return time.Unix(1_800_000_000, 0) }

func (stoppedClock) AfterFunc(time.Duration, func()) func() { return func() {} }

// rewrite changes a few registers repeatedly and waits until all changes are durable.
func rewrite(t *testing.T, s *Store, second int) {
	t.Helper()
	durable := make(chan struct{}, changesPerSecond)
	for change := range changesPerSecond {
		key := shardtable.Key{Program: fmt.Sprintf("program-%d", change%changedRegisters)}
		group := s.groups.Of(0)
		group.Post(func() {
			state := register.State{Value: make([]byte, valueBytes)}
			state.Accepted.Counter = uint64(second*changesPerSecond + change)
			group.Put(0, key, state, func() { durable <- struct{}{} })
		})
	}
	for range changesPerSecond {
		<-durable
	}
}

// Without snapshots that replace segments of the log, rewritten registers would fill the disk.
func TestRepeatedRegisterWritesStayWithinDiskLimit(t *testing.T) {
	disk := simdisk.New(rand.New(rand.NewPCG(1, 1)))
	disk.SetCapacity(smallDiskBytes)
	folder, err := datafolder.Open(disk, "data", DefaultSegmentBytes)
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(Options{
		Self: &protocol.Node{Name: "a"}, Core: idleCore{}, Clock: stoppedClock{}, Logger: log.New(io.Discard),
		Fatal: func(err error) { t.Errorf("the store failed: %v", err) },
	}, folder)
	if err != nil {
		t.Fatal(err)
	}
	s.Start()
	largest := int64(0)
	for second := range rewriteSeconds {
		rewrite(t, s, second)
		largest = max(largest, disk.Used())
		if err := s.saveSnapshots(s.counts(), s.options.Clock.Now()); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Stop(); err != nil {
		t.Fatal(err)
	}
	t.Logf("at most %d bytes used on the disk for %d MiB written", largest, rewriteSeconds*changesPerSecond*valueBytes>>20)
	if largest > maxDiskBytes {
		t.Errorf("the store used %d bytes on the disk, want at most %d", largest, int64(maxDiskBytes))
	}
}
