package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// faultInjector injects random faults into a fleet and records the acknowledged commands.
type faultInjector struct {
	*fleet
	random         *rand.Rand
	acknowledged   []string
	unknownOutcome map[string]bool
	commands       int
	// faultCounts counts the injected faults by kind.
	faultCounts map[string]int
	// members and voters are the numbers of members and voters in a healthy core.
	members, voters int
}

// newFaultInjector returns an injector for a core of three voters and a standby.
func newFaultInjector(f *fleet, random *rand.Rand, counts map[string]int) *faultInjector {
	return &faultInjector{
		fleet: f, random: random, unknownOutcome: map[string]bool{}, faultCounts: counts, members: 4, voters: 3,
	}
}

func (c *faultInjector) propose() {
	leader := c.leader()
	if leader == nil {
		return
	}
	c.commands++
	command := fmt.Sprint("command ", c.commands)
	if err := leader.propose(command); err != nil {
		c.unknownOutcome[command] = true
		return
	}
	c.acknowledged = append(c.acknowledged, command)
}

// injectRandomFault injects one fault, or repairs all. A disk is lost only while every machine runs and is up to
// date.
func (c *faultInjector) injectRandomFault() {
	m := c.machine(1 + c.random.IntN(4))
	switch c.random.IntN(6) {
	case 0:
		c.faultCounts["loss of power"]++
		m.crash()
	case 1:
		c.faultCounts["loss of power everywhere"]++
		for _, other := range c.running() {
			other.crash()
		}
		c.restartAll()
	case 2:
		c.faultCounts["partition"]++
		c.setPartitioned(m.address, true)
	case 3:
		c.restartAll()
		c.eventually("all members are up to date before a disk is lost", c.isHealthy)
		c.faultCounts["lost disk"]++
		m.crash()
		m.disk.Lose()
		m.start()
	case 4:
		if leader := c.leader(); leader != nil && leader.replica.Status().GetFirstIndex() > 0 {
			c.faultCounts["failed sync"]++
			leader.disk.FailSyncs(c.random.IntN(3), 1)
			c.propose()
			leader.crash()
			leader.disk.FailSyncs(0, 0)
		}
	default:
		c.restartAll()
	}
}

func (c *faultInjector) restartAll() {
	for number := 1; number <= 4; number++ {
		m := c.machine(number)
		c.setPartitioned(m.address, false)
		if m.replica == nil {
			m.start()
		}
	}
}

// isHealthy reports whether all machines run and are members, and every member is up to date.
func (c *faultInjector) isHealthy() bool {
	leader := c.leader()
	if leader == nil || len(c.running()) != c.members || len(leader.voters()) != c.voters {
		return false
	}
	status := leader.replica.Status()
	for _, contact := range status.GetContacts() {
		if contact.GetSilentMillis() > 500 || contact.GetMatch() < status.GetCommit() {
			return false
		}
	}
	return len(status.GetContacts()) == c.members-1
}

// checkCommands checks that a machine has each acknowledged command once, in the order of
// acknowledgement, and nothing that was never proposed.
func (c *faultInjector) checkCommands(m *machine) {
	c.t.Helper()
	seen := map[string]bool{}
	next := 0
	for _, command := range m.state.all() {
		if seen[command] {
			c.t.Fatalf("%s applied %q twice", m.name, command)
		}
		seen[command] = true
		if next < len(c.acknowledged) && c.acknowledged[next] == command {
			next++
		} else if !c.unknownOutcome[command] {
			c.t.Fatalf("%s applied %q out of order, or it was never proposed", m.name, command)
		}
	}
	if next != len(c.acknowledged) {
		c.t.Fatalf("%s did not apply the acknowledged command %q", m.name, c.acknowledged[next])
	}
}

// acknowledgedCount is the key of the number of acknowledged commands in the counts of faults.
const acknowledgedCount = "acknowledged"

// addCounts adds the faults and the acknowledged commands of this run to the counts of a test.
func (c *faultInjector) addCounts(counts map[string]int) {
	for kind, count := range c.faultCounts {
		counts[kind] += count
	}
	counts[acknowledgedCount] += len(c.acknowledged)
}

// checkCounts checks that a test injected each kind of fault often enough to be meaningful.
func checkCounts(t *testing.T, counts map[string]int, kinds ...string) {
	t.Helper()
	const minCount = 8
	for _, kind := range kinds {
		if counts[kind] < minCount {
			t.Errorf("count of %q = %d, want at least %d", kind, counts[kind], minCount)
		}
	}
}

func TestAcknowledgedCommandsSurviveRandomFaults(t *testing.T) {
	counts := map[string]int{}
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runScenario(t, func(f *fleet) {
				c := newFaultInjector(f, rand.New(rand.NewPCG(seed, 5)), counts)
				c.foundCluster(3)
				f.seeds = []string{f.machine(1).address, f.machine(2).address, f.machine(3).address}
				f.machine(4).start()
				for range 150 {
					for range 1 + c.random.IntN(20) {
						c.propose()
					}
					if c.random.IntN(3) == 0 {
						c.injectRandomFault()
					}
					c.advance(time.Duration(c.random.IntN(3000)) * time.Millisecond)
				}
				c.restartAll()
				c.waitForLeader()
				c.eventually("all members have caught up", c.isHealthy)
				c.eventually("all machines have applied as many commands as the leader", func() bool {
					leader := c.leader()
					for _, m := range c.running() {
						if leader == nil || len(m.state.all()) != len(leader.state.all()) {
							return false
						}
					}
					return true
				})
				for _, m := range c.running() {
					c.checkCommands(m)
				}
				counts[acknowledgedCount] += len(c.acknowledged)
			})
		})
	}
	t.Logf("faults: %v", counts)
	checkCounts(t, counts, "loss of power", "loss of power everywhere", "partition", "lost disk", "failed sync",
		acknowledgedCount)
}
