package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// chaos drives one fleet through random faults and remembers what was acknowledged.
type faultInjector struct {
	*fleet
	random         *rand.Rand
	acknowledged   []string
	unknownOutcome map[string]bool
	commands       int
	faultCounts    map[string]int
	// members and voters are how many stand when all is well.
	members, voters int
}

// newChaos drives a core of three voters and a standby.
func newFaultInjector(f *fleet, random *rand.Rand, provoked map[string]int) *faultInjector {
	return &faultInjector{fleet: f, random: random, unknownOutcome: map[string]bool{}, faultCounts: provoked, members: 4, voters: 3}
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

// disturb brings about one fault. A disk is lost only when every machine
// runs and is up to date, and again right after that is so.
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
		c.faultCounts["cut"]++
		c.setPartitioned(m.address, true)
	case 3:
		c.restartAll()
		c.eventually("all is whole before a disk is lost", c.isHealthy)
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

// whole reports whether all voters and standbys stand and every member is up to date.
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

// audit checks that every machine holds each acknowledged command once, in the order of
// acknowledgement, and nothing that was never proposed.
func (c *faultInjector) checkCommands(m *machine) {
	c.t.Helper()
	held, seen := m.state.all(), map[string]bool{}
	next := 0
	for _, command := range held {
		if seen[command] {
			c.t.Fatalf("%s applied %q twice", m.name, command)
		}
		seen[command] = true
		if next < len(c.acknowledged) && c.acknowledged[next] == command {
			next++
		} else if !c.unknownOutcome[command] {
			c.t.Fatalf("%s applied %q out of order", m.name, command)
		}
	}
	if next != len(c.acknowledged) {
		c.t.Fatalf("%s lacks the acknowledged %q", m.name, c.acknowledged[next])
	}
}

func TestAcknowledgedCommandsSurviveRandomFaults(t *testing.T) {
	provoked := map[string]int{}
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runScenario(t, func(f *fleet) {
				c := newFaultInjector(f, rand.New(rand.NewPCG(seed, 5)), provoked)
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
				c.eventually("everybody caught up", c.isHealthy)
				c.eventually("everybody applied the same", func() bool {
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
				provoked["acknowledged command"] += len(c.acknowledged)
			})
		})
	}
	t.Logf("provoked: %v", provoked)
	for _, fault := range []string{"loss of power", "loss of power everywhere", "cut", "lost disk", "failed sync", "acknowledged command"} {
		if provoked[fault] < 8 {
			t.Errorf("%s came only %d times", fault, provoked[fault])
		}
	}
}
