package replica

import (
	"context"
	"strconv"
	"testing"
	"time"
)

const (
	usualSync = 5 * time.Millisecond
	slowSync  = 5 * usualSync
	// usualCommand is the longest mean time of a command under a leader whose disk is as quick as others.
	maxMeanCommandTime = 20 * time.Millisecond
)

// unequalDisks founds a core and gives one machine, which leads then, a slow disk.
func leaderWithSlowDisk(f *fleet) *machine {
	f.t.Helper()
	f.latency, f.syncTime = 2*time.Millisecond, usualSync
	slow := f.foundCluster(3)
	f.advance(2 * time.Second)
	slow.kill()
	slow.syncTime = slowSync
	f.waitForLeader()
	slow.start()
	f.advance(2 * time.Second)
	f.eventually("the slow one leads", func() bool {
		leader := f.leader()
		if leader != nil && leader != slow {
			_ = leader.replica.TransferLeadership(context.Background(), slow.name)
		}
		return leader == slow
	})
	return slow
}

// timedCommands has commands acknowledged one after another and returns the mean time of one.
func (f *fleet) meanCommandTime(count int) time.Duration {
	f.t.Helper()
	began := time.Now()
	for command := range count {
		for f.waitForLeader().propose(strconv.Itoa(command)) != nil {
			f.advance(10 * time.Millisecond)
		}
	}
	return time.Since(began) / time.Duration(count)
}

func (f *fleet) term() uint64 { return f.waitForLeader().replica.Status().GetTerm() }

func TestALeaderWithASlowDiskTransfersLeadershipOnce(t *testing.T) {
	runScenario(t, func(f *fleet) {
		slow := leaderWithSlowDisk(f)
		before := f.meanCommandTime(syncWindow / 2)
		f.meanCommandTime(2 * syncWindow)
		if f.waitForLeader() == slow {
			f.t.Fatal("the slow one still leads")
		}
		after, term := f.meanCommandTime(100), f.term()
		t.Logf("%v a command under the slow leader, %v after", before, after)
		if after > maxMeanCommandTime {
			t.Errorf("%v a command after it handed over", after)
		}
		for range 300 {
			f.meanCommandTime(10)
			f.advance(time.Second)
		}
		if f.term() != term {
			t.Errorf("leadership went on to change: term %d became %d", term, f.term())
		}
	})
}

func TestALeaderStaysWhenAllDisksAreSlow(t *testing.T) {
	runScenario(t, func(f *fleet) {
		f.latency, f.syncTime = 2*time.Millisecond, slowSync
		f.foundCluster(3)
		f.advance(2 * time.Second)
		term := f.term()
		f.meanCommandTime(20 * syncWindow)
		if f.term() != term {
			t.Errorf("term %d became %d", term, f.term())
		}
	})
}

func TestALeaderWhoseDiskStallsBrieflyStays(t *testing.T) {
	runScenario(t, func(f *fleet) {
		f.latency, f.syncTime = 2*time.Millisecond, usualSync
		leader := f.foundCluster(3)
		f.advance(2 * time.Second)
		term := f.term()
		for range 100 {
			leader.disk.StallSyncs()
			time.AfterFunc(100*time.Millisecond, leader.disk.ResumeSyncs)
			f.meanCommandTime(8)
		}
		if f.term() != term {
			t.Errorf("term %d became %d", term, f.term())
		}
	})
}
