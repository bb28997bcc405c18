package replica

import (
	"context"
	"fmt"
	"testing"
	"time"
)

const (
	diskDays       = 12
	faultsOfADay   = 8
	fewestOfAKind  = 8
	mostSlackBytes = 4 << 10
)

// diskDay is a core whose disks run full, stall and fail.
type diskDay struct {
	*badDay
	// syncFailed holds the machines whose process has outlived a failed sync; another one would end it.
	syncFailed map[*machine]bool
}

// fail brings about one fault of a disk and returns when the disk is whole.
func (d *diskDay) fail() {
	m := d.machine(d.at[d.someone()])
	down := d.duration(100*time.Millisecond, 6*time.Second)
	switch d.random.IntN(4) {
	case 0:
		d.fill(m, down)
	case 1:
		d.fillAndLosePower(m, down)
	case 2:
		d.provoked["stalled"]++
		m.disk.StallSyncs()
		d.live(down, leaderlessLimit)
		m.disk.ResumeSyncs()
	default:
		if d.syncFailed[m] {
			return
		}
		d.provoked["failed sync"]++
		d.syncFailed[m] = true
		m.disk.FailSyncs(d.random.IntN(3), 1)
		d.live(down, leaderlessLimit)
	}
}

func (d *diskDay) fill(m *machine, down time.Duration) {
	d.provoked["full"]++
	m.disk.SetCapacity(m.disk.Used() + d.random.Int64N(mostSlackBytes))
	d.live(down, leaderlessLimit)
	m.disk.SetCapacity(0)
}

// fillAndLosePower loses what a replica that waits for room has not synced.
func (d *diskDay) fillAndLosePower(m *machine, down time.Duration) {
	d.provoked["full and power lost"]++
	m.disk.SetCapacity(m.disk.Used() + d.random.Int64N(mostSlackBytes))
	d.live(down, leaderlessLimit)
	m.crash()
	m.disk.SetCapacity(0)
	d.start(m)
	delete(d.syncFailed, m)
}

func TestDaysOfFullStalledAndFailingDisksAreBorne(t *testing.T) {
	provoked, longest := map[string]int{}, time.Duration(0)
	for seed := uint64(1); seed <= diskDays; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			story(t, func(f *fleet) {
				quickOptions(f)
				d := &diskDay{badDay: newBadDay(f, seed), syncFailed: map[*machine]bool{}}
				for range faultsOfADay {
					d.fail()
					d.live(catchUp+d.duration(0, 300*time.Millisecond), leaderlessLimit)
				}
				for _, m := range d.running() {
					if m.toldToEnd() {
						t.Errorf("%s was told to end", m.name)
					}
				}
				d.finalFault()
				d.checkAcknowledged()
				longest = max(longest, d.longest)
				for kind, count := range d.provoked {
					provoked[kind] += count
				}
			})
		})
	}
	t.Logf("provoked: %v; at most %v without a leader", provoked, longest)
	for _, kind := range []string{"full", "full and power lost", "stalled", "failed sync"} {
		if provoked[kind] < fewestOfAKind {
			t.Errorf("%s came only %d times", kind, provoked[kind])
		}
	}
}

func TestNoSnapshotIsTakenOfAStateThatIsAheadOfTheLog(t *testing.T) {
	story(t, func(f *fleet) {
		leader := f.found(3)
		ahead := f.others(leader)[0]
		err := ahead.replica.do(context.Background(), func() {
			ahead.replica.machineIndex += 2 * f.options.SnapshotEntries
		})
		if err != nil {
			f.t.Fatal(err)
		}
		f.commit(nil, int(f.options.SnapshotEntries)+10)
		f.pass(time.Second)
		if len(leader.disk.Files("core/snapshots")) == 0 {
			f.t.Fatal("no snapshot was due")
		}
		if files := ahead.disk.Files("core/snapshots"); len(files) > 0 {
			t.Errorf("a snapshot names an entry before the state that it holds: %v", files)
		}
	})
}
