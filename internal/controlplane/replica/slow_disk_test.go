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
	// maxMeanCommandTime is the longest permitted mean time of a command under a leader whose disk is as fast as
	// the others.
	maxMeanCommandTime = 20 * time.Millisecond
)

// leaderWithSlowDisk founds a core, restarts one machine with a slow disk and transfers leadership to it.
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
	f.eventually("the machine with the slow disk leads", func() bool {
		leader := f.leader()
		if leader != nil && leader != slow {
			_ = leader.replica.TransferLeadership(context.Background(), slow.name)
		}
		return leader == slow
	})
	return slow
}

// meanCommandTime proposes commands one after another, each until it is acknowledged, and returns the mean time
// of one.
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
			f.t.Fatal("the machine with the slow disk still leads")
		}
		after, term := f.meanCommandTime(100), f.term()
		t.Logf("a command took %v under the slow leader and %v after the transfer", before, after)
		if after > maxMeanCommandTime {
			t.Errorf("a command took %v after the transfer, want at most %v", after, maxMeanCommandTime)
		}
		for range 300 {
			f.meanCommandTime(10)
			f.advance(time.Second)
		}
		if f.term() != term {
			t.Errorf("the leader changed again: the term is %d, want %d", f.term(), term)
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
			t.Errorf("the leader changed: the term is %d, want %d", f.term(), term)
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
			t.Errorf("the leader changed: the term is %d, want %d", f.term(), term)
		}
	})
}
