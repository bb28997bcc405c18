package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// The scenarios of this file lose the machines of a small core one after another, each as soon as the previous one
// has had time to catch up. The core tolerates the loss of one machine at a time, and that of all processes at
// once.

const (
	// catchUpTime is the time between the return of a machine, or the start of its replacement, and the
	// loss of the next one.
	catchUpTime = 4200 * time.Millisecond
	// maxLeaderlessTime is the longest permitted time without a leader after the loss of one machine.
	maxLeaderlessTime = 800 * time.Millisecond
	// maxLeaderlessOneWay is that time after a one-way partition: a partitioned leader must step down first.
	maxLeaderlessOneWay = 1200 * time.Millisecond
	// maxLeaderlessRestart is the longest permitted time without a leader after a restart of all processes.
	maxLeaderlessRestart = time.Second
)

// useShortTimeouts sets the options of a core that must repair itself within catchUpTime.
func useShortTimeouts(f *fleet) {
	f.options.ElectionTimeout = 400 * time.Millisecond
	f.options.HeartbeatInterval = 80 * time.Millisecond
	f.options.ReplaceVoterAfter = 1500 * time.Millisecond
	f.latency, f.syncTime = 2*time.Millisecond, 2*time.Millisecond
}

// sequentialFaults injects the loss of machines into a core of three voters and a standby, which receives commands
// meanwhile.
type sequentialFaults struct {
	*faultInjector
	// machineNumbers are the numbers of the current machines; a replacement takes nextNumber.
	machineNumbers []int
	nextNumber     int
	// seedNumbers are the machines from which the seeds of a starting process are chosen. A replaced machine stays
	// among them until the next catch-up.
	seedNumbers []int
	// maxLeaderless is the longest measured time without a leader.
	maxLeaderless time.Duration
	// maxRestartLeaderless is the longest measured time without a leader after a restart of all processes.
	maxRestartLeaderless time.Duration
}

func newSequentialFaults(f *fleet, seed uint64) *sequentialFaults {
	d := &sequentialFaults{
		faultInjector:  newFaultInjector(f, rand.New(rand.NewPCG(seed, 23)), map[string]int{}),
		machineNumbers: []int{1, 2, 3, 4}, nextNumber: 5, seedNumbers: []int{1, 2, 3, 4},
	}
	d.foundCluster(3)
	f.founders = nil
	f.seeds = []string{f.machine(1).address, f.machine(2).address, f.machine(3).address}
	f.machine(4).start()
	d.eventually("the standby has joined", d.isHealthy)
	return d
}

// runFor proposes a command every 40 ms for the duration, and fails the test when there is no leader for longer
// than the limit.
func (d *sequentialFaults) runFor(duration time.Duration, limit time.Duration) {
	d.t.Helper()
	leaderless := time.Duration(0)
	const step = 40 * time.Millisecond
	for ; duration > 0; duration -= step {
		if d.leader() == nil {
			leaderless += step
		} else {
			leaderless = 0
			d.propose()
		}
		d.maxLeaderless = max(d.maxLeaderless, leaderless)
		if leaderless > limit {
			d.logStatuses()
			d.t.Fatalf("without a leader for more than %v after the faults %v", limit, d.faultCounts)
		}
		d.advance(step)
	}
}

// start starts a machine with three random seeds, which may include itself.
func (d *sequentialFaults) start(m *machine) {
	d.t.Helper()
	d.seeds = nil
	for _, position := range d.random.Perm(len(d.seedNumbers))[:3] {
		d.seeds = append(d.seeds, d.machine(d.seedNumbers[position]).address)
	}
	m.start()
}

// randomPosition returns the position of a random machine: the leader, a follower or the standby.
func (d *sequentialFaults) randomPosition() int { return d.random.IntN(len(d.machineNumbers)) }

func (d *sequentialFaults) duration(from, to time.Duration) time.Duration {
	return from + time.Duration(d.random.Int64N(int64(to-from)))
}

// injectLoss injects one fault and returns when the machine, or its replacement, runs again.
func (d *sequentialFaults) injectLoss() {
	position := d.randomPosition()
	m := d.machine(d.machineNumbers[position])
	downtime := d.duration(100*time.Millisecond, 6*time.Second)
	switch d.random.IntN(9) {
	case 0:
		d.losePower(m, downtime)
	case 1, 2:
		d.loseDisk(m, downtime)
	case 3:
		d.partition(m, downtime)
	case 4:
		d.replace(m, position)
	case 5:
		d.partitionOneWay(m, downtime)
	case 6:
		d.killAllWhileDown(m)
	case 8:
		d.freeze(m, downtime)
	default:
		d.faultCounts["all killed"]++
		d.killAll(nil)
	}
}

func (d *sequentialFaults) losePower(m *machine, downtime time.Duration) {
	d.faultCounts["power lost"]++
	m.crash()
	d.runFor(downtime, maxLeaderlessTime)
	d.start(m)
}

func (d *sequentialFaults) loseDisk(m *machine, downtime time.Duration) {
	d.faultCounts["disk lost"]++
	m.crash()
	m.disk.Lose()
	d.runFor(downtime, maxLeaderlessTime)
	d.start(m)
}

func (d *sequentialFaults) partition(m *machine, downtime time.Duration) {
	d.faultCounts["partitioned"]++
	d.setPartitioned(m.address, true)
	d.runFor(downtime, maxLeaderlessTime)
	d.setPartitioned(m.address, false)
}

// partitionOneWay drops either the messages to a machine or those from it.
func (d *sequentialFaults) partitionOneWay(m *machine, downtime time.Duration) {
	d.faultCounts["partitioned one way"]++
	inbound := d.random.IntN(2) == 0
	d.setOneWayPartition(m.address, inbound, !inbound)
	d.runFor(downtime, maxLeaderlessOneWay)
	d.setOneWayPartition(m.address, false, false)
}

// replace starts a new machine in place of one that crashed and does not return.
func (d *sequentialFaults) replace(m *machine, position int) {
	d.faultCounts["replaced"]++
	m.crash()
	d.runFor(d.duration(time.Second, 2500*time.Millisecond), maxLeaderlessTime)
	d.machineNumbers[position] = d.nextNumber
	d.start(d.machine(d.nextNumber))
	d.nextNumber++
}

func (d *sequentialFaults) freeze(m *machine, downtime time.Duration) {
	d.faultCounts["frozen"]++
	m.freeze()
	d.runFor(downtime, maxLeaderlessTime)
	m.resume()
}

func (d *sequentialFaults) killAllWhileDown(m *machine) {
	d.faultCounts["all killed while one is down"]++
	m.crash()
	if d.random.IntN(2) == 0 {
		m.disk.Lose()
	}
	d.runFor(d.duration(0, 3*time.Second), maxLeaderlessTime)
	d.killAll(m)
	d.runFor(d.duration(0, 2*time.Second), maxLeaderlessTime)
	d.start(m)
}

// killAll kills all processes and restarts them with their disks, except one that is down.
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
	for _, number := range d.machineNumbers {
		if m := d.machine(number); m != down {
			d.start(m)
		}
	}
	began := time.Now()
	d.eventually("there is a leader after the restart of all", func() bool { return d.leader() != nil })
	d.maxRestartLeaderless = max(d.maxRestartLeaderless, time.Since(began))
}

// losePowerAndOneDisk crashes all machines and loses the disk of one, right after an acknowledgement.
func (d *sequentialFaults) losePowerAndOneDisk() {
	d.t.Helper()
	d.propose()
	for _, m := range d.running() {
		m.crash()
	}
	d.machine(d.machineNumbers[d.randomPosition()]).disk.Lose()
	d.startAll(nil)
}

func (d *sequentialFaults) checkAcknowledged() {
	d.t.Helper()
	d.eventually("exactly the current machines are members, and all are up to date", d.isHealthy)
	d.eventually("all machines have the same commands", func() bool {
		leader := d.leader()
		for _, m := range d.running() {
			if leader == nil || !slices.Equal(m.state.all(), leader.state.all()) {
				return false
			}
		}
		return len(d.running()) == len(d.machineNumbers)
	})
	for _, m := range d.running() {
		d.checkCommands(m)
	}
}

func TestCommandsSurviveOneLossAfterEachCatchUp(t *testing.T) {
	counts, leaderless, restartLeaderless := map[string]int{}, time.Duration(0), time.Duration(0)
	for seed := uint64(1); seed <= 16; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runScenario(t, func(f *fleet) {
				useShortTimeouts(f)
				d := newSequentialFaults(f, seed)
				for range 12 {
					d.injectLoss()
					d.runFor(catchUpTime+d.duration(0, 300*time.Millisecond), maxLeaderlessTime)
					d.seedNumbers = slices.Clone(d.machineNumbers)
				}
				d.losePowerAndOneDisk()
				d.checkAcknowledged()
				leaderless = max(leaderless, d.maxLeaderless)
				restartLeaderless = max(restartLeaderless, d.maxRestartLeaderless)
				d.addCounts(counts)
			})
		})
	}
	t.Logf("faults: %v; at most %v without a leader, %v after a restart of all", counts, leaderless, restartLeaderless)
	if restartLeaderless > maxLeaderlessRestart {
		t.Errorf("without a leader for %v after a restart of all, want at most %v", restartLeaderless, maxLeaderlessRestart)
	}
	checkCounts(t, counts, "power lost", "disk lost", "partitioned", "replaced", "partitioned one way", "frozen",
		"all killed while one is down", "all killed", acknowledgedCount)
}

func TestALeaderInAnInboundPartitionDoesNotDelayTheNextOne(t *testing.T) {
	runScenario(t, func(f *fleet) {
		useShortTimeouts(f)
		former := f.foundCluster(3)
		f.setOneWayPartition(former.address, true, false)
		began := time.Now()
		f.eventually("another machine leads", func() bool { next := f.leader(); return next != nil && next != former })
		if waited := time.Since(began); waited > maxLeaderlessOneWay {
			t.Errorf("the former leader delayed the next one for %v, want at most %v", waited, maxLeaderlessOneWay)
		}
	})
}

func TestALeaderContinuesWhileItsNodeTransfersARemovedSnapshot(t *testing.T) {
	// More entries than can be in flight to a member and are retained below a snapshot, so that the lagging member
	// needs a snapshot.
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
				t.Error("the leader's node has no output for the lagging member, want a snapshot chunk")
			}
			owner.advance()
		})
		if err != nil {
			t.Fatal(err)
		}
		lagging.start()
		f.eventually("the lagging member has caught up", func() bool { return len(lagging.state.all()) == commands })
	})
}

// stopGracefully stops the process as a SIGTERM does.
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

func TestRollingRestartsLeaveOnlyShortTimesWithoutALeader(t *testing.T) {
	runScenario(t, func(f *fleet) {
		useShortTimeouts(f)
		d := newSequentialFaults(f, 1)
		for restart := range 12 {
			m := d.machine(d.machineNumbers[restart%len(d.machineNumbers)])
			if leader := d.leader(); leader != nil && restart%3 == 0 {
				m = leader
			}
			m.stopGracefully(time.Second)
			d.runFor(300*time.Millisecond, maxLeaderlessTime)
			d.start(m)
			d.runFor(700*time.Millisecond, maxLeaderlessTime)
		}
		if d.maxLeaderless > 200*time.Millisecond {
			t.Errorf("without a leader for %v, want at most 200ms", d.maxLeaderless)
		}
		d.checkAcknowledged()
	})
}
