package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/controlplane/coremembership"
	"github.com/rosestand/rosestand/internal/protocol"
)

func TestFoundersFormOneCluster(t *testing.T) {
	runScenario(t, func(f *fleet) {
		leader := f.foundCluster(3)
		var commands []string
		for number := range 20 {
			command := fmt.Sprint("set ", number)
			if err := leader.propose(command); err != nil {
				t.Fatal(err)
			}
			commands = append(commands, command)
		}
		f.awaitCommands(commands)
		for _, m := range f.running() {
			if m.replica.Status().GetClusterId() != leader.replica.Status().GetClusterId() {
				t.Errorf("%s is in cluster %q, want that of the leader, %q",
					m.name, m.replica.Status().GetClusterId(), leader.replica.Status().GetClusterId())
			}
			var notLeader *NotLeaderError
			if err := m.propose("x"); m != leader && (!errors.As(err, &notLeader) || notLeader.LeaderAddress != leader.address) {
				t.Errorf("%s returned %v, want a NotLeaderError with the address %s", m.name, err, leader.address)
			}
		}
	})
}

func TestFounderWaitsForEveryOtherFounder(t *testing.T) {
	runScenario(t, func(f *fleet) {
		f.founders = []string{f.machine(1).address, f.machine(2).address, f.machine(3).address}
		f.machine(1).start()
		f.machine(2).start()
		f.advance(20 * time.Second)
		if !f.machine(1).replica.Status().GetEmpty() {
			t.Error("a founder founded a cluster without a response of every other founder")
		}
		f.machine(3).start()
		f.eventually("a cluster has three voters", func() bool { l := f.leader(); return l != nil && len(l.voters()) == 3 })
	})
}

func TestFounderWithoutItsDiskFoundsNoSecondCluster(t *testing.T) {
	runScenario(t, func(f *fleet) {
		f.foundCluster(3)
		cluster, lost := f.leader().replica.Status().GetClusterId(), f.machine(1)
		former := lost.replica.ID()
		lost.crash()
		lost.disk.Lose()
		f.machine(2).crash()
		f.machine(3).crash()
		lost.start()
		f.advance(20 * time.Second)
		if !lost.replica.Status().GetEmpty() {
			t.Fatal("the founder founded a second cluster while the others were down")
		}
		f.machine(2).start()
		f.machine(3).start()
		f.eventually("the founder is a voter under a new id", func() bool {
			leader := f.leader()
			return leader != nil && slices.Equal(sorted(leader.voters()), []string{"core-1", "core-2", "core-3"}) &&
				len(leader.members()) == 3 &&
				consensus.Member(leader.replica.Status().GetConfiguration(), former) == nil
		})
		if got := lost.replica.Status().GetClusterId(); got != cluster || lost.replica.ID() == former {
			t.Errorf("the founder is in cluster %s with id %d, want cluster %s and an id other than %d",
				got, lost.replica.ID(), cluster, former)
		}
	})
}

func sorted(names []string) []string {
	slices.Sort(names)
	return names
}

func TestAcknowledgedCommandsSurviveLossOfPowerEverywhere(t *testing.T) {
	runScenario(t, func(f *fleet) {
		f.foundCluster(3)
		var acknowledged []string
		for restart := range 6 {
			leader := f.waitForLeader()
			for number := range 60 {
				command := fmt.Sprintf("command %d.%d", restart, number)
				if err := leader.propose(command); err != nil {
					t.Fatal(err)
				}
				acknowledged = append(acknowledged, command)
			}
			for number := 1; number <= 3; number++ {
				f.machine(number).crash()
			}
			for number := 1; number <= 3; number++ {
				f.machine(number).start()
			}
		}
		f.waitForLeader()
		f.awaitCommands(acknowledged)
		status := f.leader().replica.Status()
		if status.GetFirstIndex() < 200 {
			t.Errorf("the log begins at index %d, want at least 200 after compaction", status.GetFirstIndex())
		}
	})
}

func TestPartitionedLeaderStopsLeadingBeforeTheNextOneLeads(t *testing.T) {
	runScenario(t, func(f *fleet) {
		old := f.foundCluster(3)
		if err := old.propose("before"); err != nil {
			t.Fatal(err)
		}
		f.setPartitioned(old.address, true)
		var unknown *UnknownOutcomeError
		if err := old.propose("into the partition"); !errors.As(err, &unknown) {
			t.Errorf("a proposal to the partitioned leader returned %v, want an UnknownOutcomeError", err)
		}
		next := f.waitForLeader()
		if next == old || old.replica.IsLeader() {
			t.Fatal("the partitioned leader still leads")
		}
		if err := old.replica.Barrier(context.Background()); err == nil {
			t.Error("the partitioned leader confirmed a read")
		}
		if err := next.propose("after"); err != nil {
			t.Fatal(err)
		}
		f.setPartitioned(old.address, false)
		f.awaitCommands([]string{"before", "after"})
	})
}

func TestBarrierWaitsForCommittedCommands(t *testing.T) {
	runScenario(t, func(f *fleet) {
		leader := f.foundCluster(3)
		for number := range 10 {
			if err := leader.propose(strconv.Itoa(number)); err != nil {
				t.Fatal(err)
			}
		}
		if err := leader.replica.TransferLeadership(context.Background(), ""); err != nil {
			t.Fatal(err)
		}
		next := f.waitForLeader()
		if next == leader {
			t.Fatalf("%s still leads after a transfer of leadership", leader.name)
		}
		if err := next.replica.Barrier(context.Background()); err != nil || len(next.state.all()) != 10 {
			t.Errorf("Barrier returned %v with %d commands applied, want no error and 10", err, len(next.state.all()))
		}
		if next.replica.LeaderSince().IsZero() || !leader.replica.LeaderSince().IsZero() {
			t.Error("LeaderSince is zero for the new leader or not zero for the former one")
		}
	})
}

func TestStandbyReplacesALostVoter(t *testing.T) {
	runScenario(t, func(f *fleet) {
		f.foundCluster(3)
		f.seeds = []string{f.machine(2).address}
		f.machine(4).start()
		f.eventually("the standby is a learner", func() bool { return len(f.leader().members()) == 4 })
		lost := f.machine(1)
		lost.crash()
		crashed := time.Now()
		f.eventually("the standby is a voter in place of the lost one", func() bool {
			leader := f.leader()
			return leader != nil && slices.Equal(sorted(leader.voters()), []string{"core-2", "core-3", "core-4"})
		})
		if waited := time.Since(crashed); waited < DefaultReplaceVoterAfter || waited > 2*DefaultReplaceVoterAfter {
			t.Errorf("the standby became a voter after %v, want between %v and %v",
				waited, DefaultReplaceVoterAfter, 2*DefaultReplaceVoterAfter)
		}
		lost.start()
		f.eventually("the lost voter is back as a standby", func() bool {
			leader := f.leader()
			return leader != nil && len(leader.members()) == 4
		})
		if voters := f.leader().voters(); len(voters) != 3 || slices.Contains(voters, lost.name) {
			t.Errorf("the voters are %v, want three without %s", voters, lost.name)
		}
	})
}

func TestNewMemberReceivesASnapshotInChunks(t *testing.T) {
	runScenario(t, func(f *fleet) {
		leader := f.foundCluster(3)
		var commands []string
		for number := range 1500 {
			command := fmt.Sprintf("a command with some length to it, number %d", number)
			if err := leader.propose(command); err != nil {
				t.Fatal(err)
			}
			commands = append(commands, command)
		}
		f.seeds = []string{leader.address}
		f.machine(4).start()
		f.awaitCommands(commands)
		f.machine(4).crash()
		f.machine(4).start()
		f.awaitCommands(commands)
		if leader.replica.Status().GetFirstIndex() == 1 {
			t.Error("the log of the leader was never compacted")
		}
	})
}

func TestOperatorAddsAndRemovesMembers(t *testing.T) {
	runScenario(t, func(f *fleet) {
		f.foundCluster(3)
		ctx := context.Background()
		f.machine(4).start()
		added, err := f.leader().replica.AddMember(ctx, f.machine(4).address)
		if err != nil || added.GetName() != "core-4" {
			t.Fatalf("AddMember returned %v and the error %v, want core-4", added, err)
		}
		if _, err := f.leader().replica.AddMember(ctx, f.machine(4).address); err != nil {
			t.Errorf("adding the same member again failed: %v", err)
		}
		leader := f.leader()
		var notLeader *NotLeaderError
		if err := leader.replica.RemoveMember(ctx, leader.name); !errors.As(err, &notLeader) {
			t.Errorf("removing the leader returned %v, want a NotLeaderError", err)
		}
		f.eventually("another machine leads", func() bool { next := f.leader(); return next != nil && next != leader })
		for range 2 {
			if err := f.leader().replica.RemoveMember(ctx, leader.name); err != nil {
				t.Fatal(err)
			}
		}
		var unknown *coremembership.MemberUnknownError
		if err := f.leader().replica.RemoveMember(ctx, "nobody"); !errors.As(err, &unknown) {
			t.Errorf("removing an unknown member returned %v, want a MemberUnknownError", err)
		}
		f.advance(30 * time.Second)
		if members := f.leader().members(); len(members) != 3 || len(f.leader().voters()) != 3 {
			t.Errorf("the members are %v, want three, all voters", members)
		}
		if _, err := f.leader().replica.AddMember(ctx, leader.address); err != nil {
			t.Errorf("adding the removed member again failed: %v", err)
		}
	})
}

func TestRemovalThatLeavesNoLiveMajorityIsRejected(t *testing.T) {
	runScenario(t, func(f *fleet) {
		leader := f.foundCluster(3)
		dead, alive := f.machine(1), f.machine(2)
		if dead == leader {
			dead = f.machine(3)
		}
		if alive == leader {
			alive = f.machine(3)
		}
		dead.crash()
		f.advance(3 * time.Second)
		var unsafe *coremembership.UnsafeChangeError
		if err := leader.replica.RemoveMember(context.Background(), alive.name); !errors.As(err, &unsafe) {
			t.Errorf("removing the only reachable follower returned %v, want an UnsafeChangeError", err)
		}
	})
}

func TestNothingIsAcknowledgedBeforeAMajorityIsDurable(t *testing.T) {
	runScenario(t, func(f *fleet) {
		leader := f.foundCluster(3)
		for _, m := range f.running() {
			if m != leader {
				m.disk.FailSyncs(0, 1)
			}
		}
		var unknown *UnknownOutcomeError
		if err := leader.propose("durable at the leader only"); !errors.As(err, &unknown) {
			t.Errorf("a command returned %v after the syncs of both followers failed, want an UnknownOutcomeError", err)
		}
	})
}

func TestOtherClustersAreRejected(t *testing.T) {
	runScenario(t, func(f *fleet) {
		leader := f.foundCluster(1)
		for cluster, rejected := range map[string]bool{"another": true, leader.replica.Status().GetClusterId(): false} {
			message := &protocol.ConsensusMessage{
				Kind: protocol.ConsensusMessageKind_VOTE, From: 99, To: leader.replica.ID(), Term: 1000, ClusterId: cluster,
			}
			request := &protocol.Request{Body: &protocol.Request_Consensus{Consensus: message}}
			_, err := leader.replica.ServeWire(context.Background(), request)
			if (err != nil) != rejected {
				t.Errorf("a message of cluster %q returned the error %v, want rejected = %v", cluster, err, rejected)
			}
		}
	})
}

func TestMemberRejoinsAtANewAddress(t *testing.T) {
	runScenario(t, func(f *fleet) {
		leader := f.foundCluster(3)
		moved := f.machine(1)
		if moved == leader {
			moved = f.machine(2)
		}
		moved.crash()
		address := moved.move(9)
		moved.start()
		f.eventually("the configuration contains the new address", func() bool {
			l := f.leader()
			if l == nil {
				return false
			}
			member := consensus.Member(l.replica.Status().GetConfiguration(), moved.replica.ID())
			return member.GetAddress() == address
		})
		if err := f.leader().propose("x"); err != nil {
			t.Fatal(err)
		}
		f.awaitCommands([]string{"x"})
	})
}

func TestClusterRecoversWhenAllAddressesChange(t *testing.T) {
	runScenario(t, func(f *fleet) {
		f.foundCluster(3)
		if err := f.leader().propose("x"); err != nil {
			t.Fatal(err)
		}
		moved := f.running()
		for _, m := range moved {
			m.crash()
		}
		for position, m := range moved {
			f.seeds = append(f.seeds, m.move(position+5))
		}
		for _, m := range moved {
			m.start()
		}
		f.eventually("the configuration contains only the new addresses", func() bool {
			leader := f.leader()
			if leader == nil {
				return false
			}
			for _, member := range leader.members() {
				if !slices.Contains(f.seeds, member.GetAddress()) {
					return false
				}
			}
			return true
		})
		f.awaitCommands([]string{"x"})
	})
}

func TestALeaderIsElectedSoonAfterARestartOfAll(t *testing.T) {
	runScenario(t, func(f *fleet) {
		f.foundCluster(3)
		for range 5 {
			for _, m := range f.running() {
				m.crash()
			}
			for number := 1; number <= 3; number++ {
				f.machine(number).start()
			}
			began := time.Now()
			f.waitForLeader()
			if waited := time.Since(began); waited > 6*time.Second {
				t.Errorf("no leader for %v, want at most 6s", waited)
			}
		}
	})
}

func TestLargeCommands(t *testing.T) {
	runScenario(t, func(f *fleet) {
		f.options.SnapshotBytes = 1 << 20
		leader := f.foundCluster(1)
		var size *consensus.CommandSizeError
		if err := leader.propose(string(make([]byte, MaxCommandBytes+1))); !errors.As(err, &size) {
			t.Errorf("a command over MaxCommandBytes returned %v, want a CommandSizeError", err)
		}
		for range 40 {
			if err := leader.propose(string(slices.Repeat([]byte("x"), 1<<18))); err != nil {
				t.Fatal(err)
			}
		}
		f.eventually("a snapshot is taken after 10 MiB in 40 commands", func() bool {
			return leader.replica.Status().GetFirstIndex() > 1
		})
	})
}

func TestSeedsThatAreReplacedWhileAReplicaJoinsAreQueried(t *testing.T) {
	runScenario(t, func(f *fleet) {
		f.foundCluster(3)
		f.founders = nil
		f.seeds = []string{f.machine(11).address, f.machine(12).address}
		joining := f.machine(4)
		joining.start()
		f.advance(10 * time.Second)
		if !joining.replica.Status().GetEmpty() {
			f.t.Fatal("the replica joined a cluster although its seeds are unreachable")
		}
		joining.replica.SetSeeds([]string{f.machine(13).address, f.machine(2).address})
		f.eventually("the replica joins through the new seeds", func() bool {
			leader := f.leader()
			return leader != nil && !joining.replica.Status().GetEmpty() &&
				len(leader.members()) == 4
		})
	})
}
