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
				t.Errorf("%s is in another cluster", m.name)
			}
			var notLeader *NotLeaderError
			if err := m.propose("x"); m != leader && (!errors.As(err, &notLeader) || notLeader.LeaderAddress != leader.address) {
				t.Errorf("%s answers %v", m.name, err)
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
			t.Error("a founder founded a cluster without an answer of all others")
		}
		f.machine(3).start()
		f.eventually("a cluster of three", func() bool { l := f.leader(); return l != nil && len(l.voters()) == 3 })
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
			t.Fatal("the founder founded again while the others were away")
		}
		f.machine(2).start()
		f.machine(3).start()
		f.eventually("it is a voter under a new id", func() bool {
			leader := f.leader()
			return leader != nil && slices.Equal(sorted(leader.voters()), []string{"core-1", "core-2", "core-3"}) &&
				len(leader.members()) == 3 &&
				consensus.Member(leader.replica.Status().GetConfiguration(), former) == nil
		})
		if got := lost.replica.Status().GetClusterId(); got != cluster || lost.replica.ID() == former {
			t.Errorf("cluster %s and id %d, want cluster %s and another id", got, lost.replica.ID(), cluster)
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
			t.Errorf("the log still begins at %d", status.GetFirstIndex())
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
			t.Errorf("a proposal into the partition gives %v", err)
		}
		next := f.waitForLeader()
		if next == old || old.replica.IsLeader() {
			t.Fatal("the partitioned leader still leads")
		}
		if err := old.replica.Barrier(context.Background()); err == nil {
			t.Error("the partitioned leader confirms a read")
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
			t.Fatal("leadership did not move")
		}
		if err := next.replica.Barrier(context.Background()); err != nil || len(next.state.all()) != 10 {
			t.Errorf("barrier %v with %d commands", err, len(next.state.all()))
		}
		if next.replica.LeaderSince().IsZero() || !leader.replica.LeaderSince().IsZero() {
			t.Error("LeaderSince does not follow the leader")
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
		f.eventually("the standby votes", func() bool {
			leader := f.leader()
			return leader != nil && slices.Equal(sorted(leader.voters()), []string{"core-2", "core-3", "core-4"})
		})
		if waited := time.Since(crashed); waited < DefaultReplaceVoterAfter || waited > 2*DefaultReplaceVoterAfter {
			t.Errorf("the standby took over after %v", waited)
		}
		lost.start()
		f.eventually("the lost voter is back as a standby", func() bool {
			leader := f.leader()
			return leader != nil && len(leader.members()) == 4
		})
		if voters := f.leader().voters(); len(voters) != 3 || slices.Contains(voters, lost.name) {
			t.Errorf("voters are %v", voters)
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
			t.Error("the log was never shortened")
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
			t.Fatalf("add: %v, %v", added, err)
		}
		if _, err := f.leader().replica.AddMember(ctx, f.machine(4).address); err != nil {
			t.Errorf("the same order again: %v", err)
		}
		leader := f.leader()
		var notLeader *NotLeaderError
		if err := leader.replica.RemoveMember(ctx, leader.name); !errors.As(err, &notLeader) {
			t.Errorf("removing the leader: %v", err)
		}
		f.eventually("another leads", func() bool { next := f.leader(); return next != nil && next != leader })
		for range 2 {
			if err := f.leader().replica.RemoveMember(ctx, leader.name); err != nil {
				t.Fatal(err)
			}
		}
		var unknown *coremembership.MemberUnknownError
		if err := f.leader().replica.RemoveMember(ctx, "nobody"); !errors.As(err, &unknown) {
			t.Errorf("removing nobody: %v", err)
		}
		f.advance(30 * time.Second)
		if members := f.leader().members(); len(members) != 3 || len(f.leader().voters()) != 3 {
			t.Errorf("members are %v", members)
		}
		if _, err := f.leader().replica.AddMember(ctx, leader.address); err != nil {
			t.Errorf("an operator takes the member back: %v", err)
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
			t.Errorf("removing the last live follower: %v", err)
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
			t.Errorf("two failed syncs of three give %v", err)
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
				t.Errorf("cluster %q: %v", cluster, err)
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
		f.eventually("the configuration names the new address", func() bool {
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
		f.eventually("the configuration names the new addresses", func() bool {
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
				t.Errorf("no leader for %v", waited)
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
			t.Errorf("a command beyond the limit: %v", err)
		}
		for range 40 {
			if err := leader.propose(string(slices.Repeat([]byte("x"), 1<<18))); err != nil {
				t.Fatal(err)
			}
		}
		f.eventually("ten megabytes in 40 commands lead to a snapshot", func() bool {
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
			f.t.Fatal("it joined by seeds that do not exist")
		}
		joining.replica.SetSeeds([]string{f.machine(13).address, f.machine(2).address})
		f.eventually("it joins by the new seeds", func() bool {
			leader := f.leader()
			return leader != nil && !joining.replica.Status().GetEmpty() &&
				len(leader.members()) == 4
		})
	})
}
