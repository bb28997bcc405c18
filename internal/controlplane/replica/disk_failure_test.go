package replica

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// maxLeaderlessStall is the longest permitted time without a leader after the disk of the leader has stalled.
const maxLeaderlessStall = 2 * time.Second

// others returns the running machines except one.
func (f *fleet) others(without *machine) (others []*machine) {
	for _, m := range f.running() {
		if m != without {
			others = append(others, m)
		}
	}
	return others
}

// commit proposes new commands to the current leader until each is acknowledged, and appends them to acknowledged.
func (f *fleet) commit(acknowledged []string, count int) []string {
	f.t.Helper()
	for range count {
		command := fmt.Sprintf("command %d", len(acknowledged))
		f.eventually("a command is acknowledged", func() bool {
			leader := f.leader()
			return leader != nil && leader.propose(command) == nil
		})
		acknowledged = append(acknowledged, command)
	}
	return acknowledged
}

// triggerDiskFailure proposes a command to a machine until its disk has failed. The command must not be
// acknowledged, but may be stored nevertheless.
func (f *fleet) triggerDiskFailure(leader *machine) {
	f.t.Helper()
	f.eventually("the disk fails", func() bool {
		if !leader.replica.IsLeader() {
			return true
		}
		if leader.propose("provoked") == nil {
			f.t.Error("a command was acknowledged after the disk failed")
		}
		return false
	})
}

func (m *machine) fatalReported() bool {
	select {
	case err := <-m.fatal:
		m.fleet.t.Logf("%s reported a fatal failure: %v", m.name, err)
		return true
	default:
		return false
	}
}

// awaitConsistent waits until all running machines have the same commands, which include the acknowledged ones
// in their order.
func (f *fleet) awaitConsistent(acknowledged []string) {
	f.t.Helper()
	f.eventually("all machines have the same commands", func() bool {
		running := f.running()
		first := running[0].state.all()
		for _, m := range running[1:] {
			if fmt.Sprint(m.state.all()) != fmt.Sprint(first) {
				return false
			}
		}
		next := 0
		for _, command := range first {
			if next < len(acknowledged) && command == acknowledged[next] {
				next++
			}
		}
		return next == len(acknowledged)
	})
}

func TestALeaderWithAFullDiskRecoversWhenThereIsFreeSpace(t *testing.T) {
	runScenario(t, func(f *fleet) {
		leader := f.foundCluster(3)
		acknowledged := f.commit(nil, 20)
		leader.disk.SetCapacity(leader.disk.Used())
		f.triggerDiskFailure(leader)
		f.eventually("another machine leads", func() bool { return f.leader() != nil && f.leader() != leader })
		acknowledged = f.commit(acknowledged, 20)
		f.advance(5 * time.Second)

		err := leader.propose("rejected")
		if _, ok := errors.AsType[*NotLeaderError](err); !ok {
			t.Errorf("a replica without free space returned %v, want a NotLeaderError", err)
		}
		join := &protocol.JoinCoreRequest{Member: leader.replica.self}
		admission := &protocol.Request{Body: &protocol.Request_JoinCore{JoinCore: join}}
		if _, err := leader.replica.ServeWire(context.Background(), admission); err == nil {
			t.Error("a replica without free space admitted a member")
		}
		if leader.fatalReported() {
			t.Error("a full disk was reported as a fatal failure")
		}

		leader.disk.SetCapacity(0)
		f.awaitConsistent(acknowledged)
		others := f.others(leader)
		others[0].kill()
		acknowledged = f.commit(acknowledged, 20)
		f.awaitConsistent(acknowledged)
		if leader.fatalReported() {
			t.Error("a fatal failure was reported after the disk had free space again")
		}
	})
}

func TestACoreWhoseDisksAreAllFullRecoversWhenThereIsFreeSpace(t *testing.T) {
	runScenario(t, func(f *fleet) {
		f.foundCluster(3)
		acknowledged := f.commit(nil, 60)
		for _, m := range f.running() {
			m.disk.SetCapacity(m.disk.Used())
		}
		f.triggerDiskFailure(f.waitForLeader())
		f.advance(10 * time.Second)
		for _, m := range f.running() {
			if m.propose("rejected") == nil {
				t.Errorf("%s acknowledged a command without free space", m.name)
			}
		}
		for _, m := range f.running() {
			m.disk.SetCapacity(0)
		}
		acknowledged = f.commit(acknowledged, 60)
		f.awaitConsistent(acknowledged)
		for _, m := range f.running() {
			if m.fatalReported() {
				t.Errorf("%s reported a fatal failure", m.name)
			}
		}
	})
}

func TestAFollowerWithAFullDiskRecoversWhenThereIsFreeSpace(t *testing.T) {
	runScenario(t, func(f *fleet) {
		leader := f.foundCluster(3)
		follower := f.others(leader)[0]
		acknowledged := f.commit(nil, 20)
		follower.disk.SetCapacity(follower.disk.Used())
		// Enough commands that the follower needs a snapshot.
		acknowledged = f.commit(acknowledged, 200)
		follower.disk.SetCapacity(0)
		f.awaitCommands(acknowledged)
		if follower.fatalReported() {
			t.Error("a full disk was reported as a fatal failure")
		}
	})
}

func TestOneFailedSyncIsRecoverableAndTheNextOneIsFatal(t *testing.T) {
	runScenario(t, func(f *fleet) {
		leader := f.foundCluster(3)
		acknowledged := f.commit(nil, 20)
		leader.disk.FailSyncs(0, 1)
		if err := leader.propose("not durable here"); err == nil {
			t.Error("a command was acknowledged after a failed sync")
		}
		if leader.replica.IsLeader() {
			t.Error("the former leader still leads after a failed sync")
		}
		acknowledged = f.commit(acknowledged, 20)
		f.awaitConsistent(acknowledged)
		if leader.fatalReported() {
			f.t.Fatal("one failed sync was reported as a fatal failure")
		}

		f.eventually("the former leader leads again", func() bool {
			former := f.leader()
			if former != nil && former != leader {
				_ = former.replica.TransferLeadership(context.Background(), leader.name)
			}
			return former == leader
		})
		leader.disk.FailSyncs(0, 1)
		if err := leader.propose("not durable here either"); err == nil {
			t.Error("a command was acknowledged after the second failed sync")
		}
		f.eventually("the fatal failure is reported", leader.fatalReported)
		if leader.replica.IsLeader() {
			t.Error("the former leader still leads after the second failed sync")
		}
		if err := leader.propose("again"); err == nil {
			t.Error("the failed member still acknowledges commands")
		}
	})
}

func TestALeaderWhoseDiskStallsIsReplacedAndAnswers(t *testing.T) {
	runScenario(t, func(f *fleet) {
		leader := f.foundCluster(3)
		acknowledged := f.commit(nil, 20)
		leader.disk.StallSyncs()
		began := time.Now()
		abandoned, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_, _, err := leader.replica.Propose(abandoned, []byte("stalled"))
		if _, ok := errors.AsType[*UnknownOutcomeError](err); !ok {
			t.Errorf("a command on a stalled disk returned %v, want an UnknownOutcomeError", err)
		}
		f.eventually("another machine leads", func() bool { return f.leader() != nil && f.leader() != leader })
		if waited := time.Since(began); waited > maxLeaderlessStall {
			t.Errorf("without a leader for %v, want at most %v", waited, maxLeaderlessStall)
		}
		queried := time.Now()
		if leader.replica.IsLeader() || leader.replica.Status().GetLeaderLease() {
			t.Error("a leader with a stalled disk still leads")
		}
		if time.Since(queried) != 0 {
			t.Error("IsLeader or Status waited for the stalled disk")
		}
		acknowledged = f.commit(acknowledged, 20)
		f.advance(5 * time.Second)
		leader.disk.ResumeSyncs()
		f.awaitConsistent(acknowledged)
		if leader.fatalReported() {
			t.Error("a stalled disk was reported as a fatal failure")
		}
	})
}

func TestDiskUnavailableErrorsHaveTheOutcomeNotRun(t *testing.T) {
	converted := Failure(&DiskUnavailableError{Cause: errUnreachable})
	if converted.Code() != failure.Unavailable || converted.Failure.GetOutcome() != protocol.Outcome_NOT_RUN {
		t.Errorf("a DiskUnavailableError is converted to %v, want code %v and outcome NOT_RUN",
			converted, failure.Unavailable)
	}
}
