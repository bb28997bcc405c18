package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/storage"
)

// The stories of this file play days on which machines of a small core are lost one after another, each as soon as the one
// before it had its time to catch up. The core bears the loss of one machine at a time, and of all processes at once.

const (
	// catchUp is the time that a machine has after its return, or its successor after its start, before the next one may go.
	catchUpTime = 4200 * time.Millisecond
	// leaderlessLimit is the longest time without a leader after the loss of one machine.
	maxLeaderlessTime = 800 * time.Millisecond
	// oneWayLimit is that of a machine that sends and hears nothing: a leader that is one gives up first.
	maxLeaderlessOneWay = 1200 * time.Millisecond
	// restartLimit is the longest time without a leader after all processes have started again.
	maxLeaderlessRestart = time.Second
)

// quickOptions are those of a core that must repair itself within catchUp.
func useShortTimeouts(f *fleet) {
	f.options.ElectionTimeout = 400 * time.Millisecond
	f.options.HeartbeatInterval = 80 * time.Millisecond
	f.options.ReplaceVoterAfter = 1500 * time.Millisecond
	f.latency, f.syncTime = 2*time.Millisecond, 2*time.Millisecond
}

// badDay is a core of three voters and a standby under losses, with commands all along.
type sequentialFaults struct {
	*faultInjector
	// at holds the machines that stand, by number; a replaced one has a number of its own.
	numbers []int
	next    int
	// listed holds the machines that processes are told as seeds at their start; a replaced one stays in it for a while.
	seedNumbers []int
	// longest is the longest time without a leader.
	maxLeaderless time.Duration
	// longestRestart is the longest time without a leader after all processes were started again.
	maxRestartLeaderless time.Duration
}

func newSequentialFaults(f *fleet, seed uint64) *sequentialFaults {
	d := &sequentialFaults{
		faultInjector: newFaultInjector(f, rand.New(rand.NewPCG(seed, 23)), map[string]int{}),
		numbers:       []int{1, 2, 3, 4}, next: 5, seedNumbers: []int{1, 2, 3, 4},
	}
	d.foundCluster(3)
	f.founders = nil
	f.seeds = []string{f.machine(1).address, f.machine(2).address, f.machine(3).address}
	f.machine(4).start()
	d.eventually("the standby is there", d.isHealthy)
	return d
}

// live passes time with commands every 40 ms and fails when the core is without a leader for too long.
func (d *sequentialFaults) runFor(duration time.Duration, limit time.Duration) {
	d.t.Helper()
	without := time.Duration(0)
	const step = 40 * time.Millisecond
	for ; duration > 0; duration -= step {
		if d.leader() == nil {
			without += step
		} else {
			without = 0
			d.propose()
		}
		d.maxLeaderless = max(d.maxLeaderless, without)
		if without > limit {
			d.describe()
			d.t.Fatalf("without a leader for more than %v; so far %v", limit, d.faultCounts)
		}
		d.advance(step)
	}
}

// start starts a machine with three of the listed ones as its seeds, itself perhaps among them.
func (d *sequentialFaults) start(m *machine) {
	d.t.Helper()
	d.seeds = nil
	for _, place := range d.random.Perm(len(d.seedNumbers))[:3] {
		d.seeds = append(d.seeds, d.machine(d.seedNumbers[place]).address)
	}
	m.start()
}

// someone picks a machine that stands: the leader, a follower or the standby.
func (d *sequentialFaults) randomPosition() int { return d.random.IntN(len(d.numbers)) }

func (d *sequentialFaults) duration(from, to time.Duration) time.Duration {
	return from + time.Duration(d.random.Int64N(int64(to-from)))
}

// lose brings about one loss and returns when the machine, or its successor, runs again.
func (d *sequentialFaults) injectLoss() {
	place := d.randomPosition()
	m := d.machine(d.numbers[place])
	down := d.duration(100*time.Millisecond, 6*time.Second)
	switch d.random.IntN(9) {
	case 0:
		d.faultCounts["power lost"]++
		m.crash()
		d.runFor(down, maxLeaderlessTime)
		d.start(m)
	case 1, 2:
		d.faultCounts["disk lost"]++
		m.crash()
		m.disk.Lose()
		d.runFor(down, maxLeaderlessTime)
		d.start(m)
	case 3:
		d.faultCounts["cut off"]++
		d.setPartitioned(m.address, true)
		d.runFor(down, maxLeaderlessTime)
		d.setPartitioned(m.address, false)
	case 4:
		d.faultCounts["replaced"]++
		m.crash()
		d.runFor(d.duration(time.Second, 2500*time.Millisecond), maxLeaderlessTime)
		d.numbers[place] = d.next
		d.start(d.machine(d.next))
		d.next++
	case 8:
		d.faultCounts["frozen"]++
		m.freeze()
		d.runFor(down, maxLeaderlessTime)
		m.resume()
	case 5:
		d.faultCounts["deaf or mute"]++
		deaf := d.random.IntN(2) == 0
		d.setOneWayPartition(m.address, deaf, !deaf)
		d.runFor(down, maxLeaderlessOneWay)
		d.setOneWayPartition(m.address, false, false)
	case 6:
		d.faultCounts["all killed while one is down"]++
		m.crash()
		if d.random.IntN(2) == 0 {
			m.disk.Lose()
		}
		d.runFor(d.duration(0, 3*time.Second), maxLeaderlessTime)
		d.killAll(m)
		d.runFor(d.duration(0, 2*time.Second), maxLeaderlessTime)
		d.start(m)
	default:
		d.faultCounts["all killed"]++
		d.killAll(nil)
	}
}

// killAll ends all processes and starts them again with their disks, but for one that is down.
func (d *sequentialFaults) killAll(down *machine) {
	d.t.Helper()
	for _, other := range d.running() {
		other.kill()
	}
	d.advance(d.duration(50*time.Millisecond, time.Second))
	d.startAll(down)
}

func (d *sequentialFaults) startAll(down *machine) {
	d.t.Helper()
	for _, number := range d.numbers {
		if m := d.machine(number); m != down {
			d.start(m)
		}
	}
	began := time.Now()
	d.eventually("somebody leads after the restart of all", func() bool { return d.leader() != nil })
	d.maxRestartLeaderless = max(d.maxRestartLeaderless, time.Since(began))
}

// finalFault takes the power of all machines and the disk of one, right after an acknowledgement.
func (d *sequentialFaults) losePowerAndOneDisk() {
	d.t.Helper()
	d.propose()
	for _, m := range d.running() {
		m.crash()
	}
	d.machine(d.numbers[d.randomPosition()]).disk.Lose()
	d.startAll(nil)
}

func (d *sequentialFaults) checkAcknowledged() {
	d.t.Helper()
	d.eventually("all voters and standbys stand, and no member that is gone", d.isHealthy)
	d.eventually("all that stand have the same", func() bool {
		leader := d.leader()
		for _, m := range d.running() {
			if leader == nil || !slices.Equal(m.state.all(), leader.state.all()) {
				return false
			}
		}
		return len(d.running()) == len(d.numbers)
	})
	for _, m := range d.running() {
		d.checkCommands(m)
	}
}

func TestALossAfterEachCatchUpIsBorne(t *testing.T) {
	provoked, longest, longestRestart := map[string]int{}, time.Duration(0), time.Duration(0)
	for seed := uint64(1); seed <= 16; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runScenario(t, func(f *fleet) {
				useShortTimeouts(f)
				d := newSequentialFaults(f, seed)
				for range 12 {
					d.injectLoss()
					d.runFor(catchUpTime+d.duration(0, 300*time.Millisecond), maxLeaderlessTime)
					d.seedNumbers = slices.Clone(d.numbers)
				}
				d.losePowerAndOneDisk()
				d.checkAcknowledged()
				longest, longestRestart = max(longest, d.maxLeaderless), max(longestRestart, d.maxRestartLeaderless)
				for kind, count := range d.faultCounts {
					provoked[kind] += count
				}
				provoked["acknowledged"] += len(d.acknowledged)
			})
		})
	}
	t.Logf("provoked: %v; at most %v without a leader, %v after a restart of all", provoked, longest, longestRestart)
	if longestRestart > maxLeaderlessRestart {
		t.Errorf("without a leader for %v after a restart of all", longestRestart)
	}
	for _, kind := range []string{"power lost", "disk lost", "cut off", "replaced", "deaf or mute", "frozen", "all killed while one is down", "all killed", "acknowledged"} {
		if provoked[kind] < 8 {
			t.Errorf("%s came only %d times", kind, provoked[kind])
		}
	}
}

func TestADeafLeaderDoesNotHoldBackTheNextOne(t *testing.T) {
	runScenario(t, func(f *fleet) {
		useShortTimeouts(f)
		former := f.foundCluster(3)
		f.setOneWayPartition(former.address, true, false)
		began := time.Now()
		f.eventually("another one leads", func() bool { next := f.leader(); return next != nil && next != former })
		if waited := time.Since(began); waited > maxLeaderlessOneWay {
			t.Errorf("its heartbeats held the next leader back for %v", waited)
		}
	})
}

// openLimiter counts the files that are opened while it is enabled and panics beyond maxOpened, so
// that a replica that reads for ever ends its test.
type openLimiter struct {
	enabled atomic.Bool
	opened  atomic.Int64
}

const maxOpened = 10_000

// limitedFilesystem reports each opened file to a limiter.
type limitedFilesystem struct {
	storage.Filesystem
	limiter *openLimiter
}

func (f limitedFilesystem) Open(path string) (storage.File, error) {
	if f.limiter.enabled.Load() && f.limiter.opened.Add(1) > maxOpened {
		panic("files are opened for ever")
	}
	return f.Filesystem.Open(path)
}

func TestALeaderGoesOnWhileASnapshotIsSavedThatItHasNotNoticed(t *testing.T) {
	// More than may be on the way to a member and is retained below a snapshot.
	const commands = 5400
	runScenario(t, func(f *fleet) {
		useShortTimeouts(f)
		leader := f.foundCluster(3)
		lagging := f.machine(1)
		if lagging == leader {
			lagging = f.machine(2)
		}
		id := lagging.replica.ID()
		lagging.crash()
		for number := range commands {
			if err := leader.propose(strconv.Itoa(number)); err != nil {
				t.Fatal(err)
			}
		}
		f.advance(time.Second)
		owner := &leader.replica.owner
		err := leader.replica.runOnOwner(context.Background(), func() {
			leader.openLimiter.enabled.Store(true)
			owner.snapshots.cachedMetadata, owner.snapshots.cachedData = nil, nil
			owner.snapshots.appliedBytes = owner.replica.options.SnapshotBytes
			owner.maybeSnapshot()
			for len(owner.snapshots.saved) == 0 {
				<-time.NewTimer(time.Millisecond).C
			}
			owner.node.RestartSnapshot(id, owner.now())
			if !owner.node.HasReady() {
				t.Error("no snapshot is on its way to the lagging member")
			}
			owner.advance()
		})
		if err != nil {
			t.Fatal(err)
		}
		lagging.start()
		f.eventually("the lagging member caught up", func() bool { return len(lagging.state.all()) == commands })
	})
}

// stopGently ends the process as a SIGTERM does.
func (m *machine) stopGracefully(grace time.Duration) {
	m.fleet.mutex.Lock()
	replica := m.replica
	m.fleet.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	_ = replica.Stop(ctx)
	m.fleet.mutex.Lock()
	m.replica = nil
	m.fleet.mutex.Unlock()
}

func TestRestartsInTurnLeaveNoGapWithoutALeader(t *testing.T) {
	runScenario(t, func(f *fleet) {
		useShortTimeouts(f)
		d := newSequentialFaults(f, 1)
		for round := range 12 {
			m := d.machine(d.numbers[round%len(d.numbers)])
			if leader := d.leader(); leader != nil && round%3 == 0 {
				m = leader
			}
			m.stopGracefully(time.Second)
			d.runFor(300*time.Millisecond, maxLeaderlessTime)
			d.start(m)
			d.runFor(700*time.Millisecond, maxLeaderlessTime)
		}
		if d.maxLeaderless > 200*time.Millisecond {
			t.Errorf("without a leader for %v", d.maxLeaderless)
		}
		d.checkAcknowledged()
	})
}
