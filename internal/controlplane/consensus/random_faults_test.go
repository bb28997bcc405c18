package consensus

import (
	"encoding/binary"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// propose submits a command, a read and optionally a membership change to every running member that leads.
func (c *simulatedCluster) propose(membership bool) {
	for _, id := range c.ids() {
		member := c.members[id]
		if member.down || member.frozen || member.node.Role() != Leader {
			continue
		}
		now := member.clock(c.now)
		c.lastReadID++
		c.minReadIndexes[c.lastReadID] = c.highestApplied
		_ = member.node.Read(c.lastReadID, now)
		c.lastCommand++
		_, _, _ = member.node.Propose([][]byte{binary.BigEndian.AppendUint64(nil, c.lastCommand)}, now)
		if membership {
			c.changeMembership(member, now)
		}
		c.processReady(member)
	}
}

// changeMembership toggles the voter flag of a random member, or transfers leadership to it.
func (c *simulatedCluster) changeMembership(leader *simulatedMember, now time.Time) {
	configuration, _ := leader.node.Configuration()
	target := configuration.GetMembers()[c.random.IntN(len(configuration.GetMembers()))]
	if c.random.IntN(4) == 0 {
		_ = leader.node.Transfer(target.GetId(), now)
		return
	}
	next := proto.Clone(configuration).(*protocol.CoreConfiguration)
	Member(next, target.GetId()).Voter = !target.GetVoter()
	if len(Voters(next)) < 3 {
		return
	}
	if _, err := leader.node.ProposeConfiguration(next, now); err == nil {
		c.membershipChanges++
	}
}

// injectFault injects a random fault or repairs earlier ones. Half of the time it targets a leader.
func (c *simulatedCluster) injectFault() {
	ids := c.ids()
	member, other := c.members[ids[c.random.IntN(len(ids))]], ids[c.random.IntN(len(ids))]
	if c.random.IntN(2) == 0 {
		member = c.leaderOr(member)
	}
	switch c.random.IntN(10) {
	case 0:
		member.down = true
	case 1:
		member.frozen = true
	case 2, 3:
		c.partitioned[[2]uint64{member.id, other}] = true
	case 4:
		for _, id := range ids {
			c.partitioned[[2]uint64{member.id, id}] = true
		}
	case 5:
		c.slowNetworkUntil = c.now + c.random.Int64N(2000)
	case 6:
		for _, id := range ids {
			if id != member.id && !c.members[id].down {
				c.restarts++
				c.start(c.members[id])
			}
		}
	case 7:
		c.partitioned = map[[2]uint64]bool{}
	default:
		c.resumeAll()
	}
}

func (c *simulatedCluster) leaderOr(member *simulatedMember) *simulatedMember {
	for _, id := range c.ids() {
		if other := c.members[id]; !other.down && other.node.Role() == Leader {
			return other
		}
	}
	return member
}

// resumeAll restarts the members that are down and resumes the frozen ones, which serve requests before
// they observe how much time has passed.
func (c *simulatedCluster) resumeAll() {
	for _, id := range c.ids() {
		member := c.members[id]
		if member.down {
			c.restarts++
			c.start(member)
		}
		if member.frozen {
			member.frozen = false
			c.propose(false)
		}
	}
}

func (c *simulatedCluster) heal() {
	c.loss, c.partitioned = 0, map[[2]uint64]bool{}
	for _, id := range c.ids() {
		member := c.members[id]
		member.frozen = false
		if member.down {
			c.start(member)
		}
	}
}

// awaitConvergence repairs all faults and runs until every member has applied all entries and a new one.
func (c *simulatedCluster) awaitConvergence() {
	c.heal()
	target := c.highestApplied + 1
	for range 4000 {
		c.step()
		if c.now%50 == 0 {
			c.propose(false)
		}
		if c.allApplied(target) {
			return
		}
	}
	for _, id := range c.ids() {
		c.t.Logf("member %d: %+v", id, c.members[id].node.Status())
	}
	c.fatalf("not all members applied entry %d after the faults were repaired", target)
}

func (c *simulatedCluster) allApplied(index uint64) bool {
	for _, member := range c.members {
		if member.node.Applied() < index {
			return false
		}
	}
	return true
}

func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	total := simulatedCluster{}
	for seed := uint64(1); seed <= 60; seed++ {
		cluster := newSimulatedCluster(t, seed, 3+int(seed%2)*2, 2)
		cluster.loss = 0.05 * float64(seed%4)
		for step := 1; step <= 8000 && !t.Failed(); step++ {
			cluster.step()
			// Quiet periods let every log catch up, so that any member can be elected.
			if quiet := step/500%2 == 1; step%4 == 0 && !quiet || step%200 == 0 {
				cluster.propose(step%100 == 0)
			}
			if step%150 == 0 {
				cluster.injectFault()
			}
		}
		cluster.awaitConvergence()
		total.elections += cluster.elections
		total.snapshotInstalls += cluster.snapshotInstalls
		total.stepsWithLease += cluster.stepsWithLease
		total.confirmedReads += cluster.confirmedReads
		total.membershipChanges += cluster.membershipChanges
		total.restarts += cluster.restarts
		total.highestApplied += cluster.highestApplied
	}
	t.Logf("elections %d, installs %d, steps with a lease %d, reads %d, changes %d, restarts %d, entries %d",
		total.elections, total.snapshotInstalls, total.stepsWithLease, total.confirmedReads,
		total.membershipChanges, total.restarts, total.highestApplied)
	for name, count := range map[string]int{
		"elections": total.elections, "snapshot installs": total.snapshotInstalls, "steps with a lease": total.stepsWithLease,
		"reads": total.confirmedReads, "membership changes": total.membershipChanges, "restarts": total.restarts,
	} {
		if count < 60 {
			t.Errorf("the run covered %d %s, want at least 60", count, name)
		}
	}
}
