package replica

import (
	"context"
	"fmt"
	"testing"
	"time"
)

const (
	diskFaultSeeds    = 12
	diskFaultsPerSeed = 8
	maxSlackBytes     = 4 << 10
)

// diskFaults injects full, stalled and failing disks into a core.
type diskFaults struct {
	*sequentialFaults
	// syncFailed contains the machines whose process has recovered from a failed sync; a second one is fatal.
	syncFailed map[*machine]bool
}

// injectDiskFault injects one disk fault and returns when it is repaired.
func (d *diskFaults) injectDiskFault() {
	m := d.machine(d.machineNumbers[d.randomPosition()])
	downtime := d.duration(100*time.Millisecond, 6*time.Second)
	switch d.random.IntN(4) {
	case 0:
		d.fill(m, downtime)
	case 1:
		d.fillAndLosePower(m, downtime)
	case 2:
		d.faultCounts["stalled"]++
		m.disk.StallSyncs()
		d.runFor(downtime, maxLeaderlessTime)
		m.disk.ResumeSyncs()
	default:
		if d.syncFailed[m] {
			return
		}
		d.faultCounts["failed sync"]++
		d.syncFailed[m] = true
		m.disk.FailSyncs(d.random.IntN(3), 1)
		d.runFor(downtime, maxLeaderlessTime)
	}
}

func (d *diskFaults) fill(m *machine, downtime time.Duration) {
	d.faultCounts["full"]++
	m.disk.SetCapacity(m.disk.Used() + d.random.Int64N(maxSlackBytes))
	d.runFor(downtime, maxLeaderlessTime)
	m.disk.SetCapacity(0)
}

// fillAndLosePower fills a disk and cuts the power while the replica waits for free space, so that what it has not
// synced is lost.
func (d *diskFaults) fillAndLosePower(m *machine, downtime time.Duration) {
	d.faultCounts["full and power lost"]++
	m.disk.SetCapacity(m.disk.Used() + d.random.Int64N(maxSlackBytes))
	d.runFor(downtime, maxLeaderlessTime)
	m.crash()
	m.disk.SetCapacity(0)
	d.start(m)
	delete(d.syncFailed, m)
}

func TestCommandsSurviveFullStalledAndFailingDisks(t *testing.T) {
	counts, leaderless := map[string]int{}, time.Duration(0)
	for seed := uint64(1); seed <= diskFaultSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runScenario(t, func(f *fleet) {
				useShortTimeouts(f)
				d := &diskFaults{sequentialFaults: newSequentialFaults(f, seed), syncFailed: map[*machine]bool{}}
				for range diskFaultsPerSeed {
					d.injectDiskFault()
					d.runFor(catchUpTime+d.duration(0, 300*time.Millisecond), maxLeaderlessTime)
				}
				for _, m := range d.running() {
					if m.fatalReported() {
						t.Errorf("%s reported a fatal failure", m.name)
					}
				}
				d.losePowerAndOneDisk()
				d.checkAcknowledged()
				leaderless = max(leaderless, d.maxLeaderless)
				d.addCounts(counts)
			})
		})
	}
	t.Logf("faults: %v; at most %v without a leader", counts, leaderless)
	checkCounts(t, counts, "full", "full and power lost", "stalled", "failed sync")
}

func TestNoSnapshotIsTakenOfAStateThatIsAheadOfTheLog(t *testing.T) {
	runScenario(t, func(f *fleet) {
		leader := f.foundCluster(3)
		ahead := f.others(leader)[0]
		err := ahead.replica.runOnOwner(context.Background(), func() {
			ahead.replica.stateMachineIndex += 2 * f.options.SnapshotEntries
		})
		if err != nil {
			f.t.Fatal(err)
		}
		f.commit(nil, int(f.options.SnapshotEntries)+10)
		f.advance(time.Second)
		if len(leader.disk.Files("core/snapshots")) == 0 {
			f.t.Fatal("the leader saved no snapshot although one was due")
		}
		if files := ahead.disk.Files("core/snapshots"); len(files) > 0 {
			t.Errorf("snapshots %v were taken of a state that is ahead of the log, want none", files)
		}
	})
}
