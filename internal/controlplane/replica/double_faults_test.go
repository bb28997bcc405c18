package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The scenarios of this file lose two machines of a core of five voters at once, and then the next two as soon as
// the first ones have had time to catch up.

const (
	// doubleFaultCatchUp is the time between the return of two machines and the loss of the next two.
	doubleFaultCatchUp = 6 * time.Second
	// maxLeaderlessDouble is the longest permitted time without a leader after two machines were lost at once.
	maxLeaderlessDouble = 1200 * time.Millisecond
)

// loss is a fault of one machine. begin injects it; end repairs the machine at the position, or starts a
// replacement for it.
type loss struct {
	name  string
	begin func(d *sequentialFaults, m *machine)
	end   func(d *sequentialFaults, position int)
}

func restartMachine(d *sequentialFaults, position int) {
	d.start(d.machine(d.machineNumbers[position]))
}

func startReplacement(d *sequentialFaults, position int) {
	d.machineNumbers[position] = d.nextNumber
	d.nextNumber++
	restartMachine(d, position)
}

var losses = []loss{
	{"power lost", func(_ *sequentialFaults, m *machine) { m.crash() }, restartMachine},
	{"disk lost", func(_ *sequentialFaults, m *machine) { m.crash(); m.disk.Lose() }, restartMachine},
	{"replaced", func(_ *sequentialFaults, m *machine) { m.crash() }, startReplacement},
	{
		"frozen", func(_ *sequentialFaults, m *machine) { m.freeze() },
		func(d *sequentialFaults, position int) { d.machine(d.machineNumbers[position]).resume() },
	},
	{
		"partitioned", func(d *sequentialFaults, m *machine) { d.setPartitioned(m.address, true) },
		func(d *sequentialFaults, position int) {
			d.setPartitioned(d.machine(d.machineNumbers[position]).address, false)
		},
	},
}

func newDoubleFaults(f *fleet, seed uint64) *sequentialFaults {
	f.options.TargetVoters = 5
	d := &sequentialFaults{
		faultInjector:  newFaultInjector(f, rand.New(rand.NewPCG(seed, 29)), map[string]int{}),
		machineNumbers: []int{1, 2, 3, 4, 5}, nextNumber: 6, seedNumbers: []int{1, 2, 3, 4, 5},
	}
	d.members, d.voters = 5, 5
	d.foundCluster(3)
	f.founders = nil
	f.seeds = []string{f.machine(1).address, f.machine(2).address, f.machine(3).address}
	f.machine(4).start()
	f.machine(5).start()
	d.eventually("there are five voters", func() bool { return d.isHealthy() && d.allCountVoters() })
	return d
}

// allCountVoters reports whether the newest configuration of every machine has all voters. The leader's own may have
// reached nobody else yet, and is then lost with the leader.
func (d *sequentialFaults) allCountVoters() bool {
	return !slices.ContainsFunc(d.running(), func(m *machine) bool { return len(m.voters()) != d.voters })
}

// injectTwoLosses injects two losses at once. In one case of four all other machines are killed during them and
// keep their disks.
func (d *sequentialFaults) injectTwoLosses() {
	positions := d.random.Perm(len(d.machineNumbers))[:2]
	if leader := d.leader(); leader != nil && d.random.IntN(2) == 0 {
		positions[0] = slices.IndexFunc(d.machineNumbers, func(number int) bool { return d.machine(number) == leader })
		positions[1] = (positions[0] + 1 + d.random.IntN(len(d.machineNumbers)-1)) % len(d.machineNumbers)
	}
	chosen := []loss{losses[d.random.IntN(len(losses))], losses[d.random.IntN(len(losses))]}
	lost := make([]*machine, len(positions))
	for i, position := range positions {
		lost[i] = d.machine(d.machineNumbers[position])
		d.faultCounts[chosen[i].name]++
		chosen[i].begin(d, lost[i])
	}
	d.runFor(d.duration(100*time.Millisecond, 4*time.Second), maxLeaderlessDouble)
	if d.random.IntN(4) == 0 {
		d.faultCounts["the others killed"]++
		d.killAllBut(lost)
	}
	for i, position := range positions {
		chosen[i].end(d, position)
	}
}

// killAllBut ends the processes of the other machines and starts them again with their disks.
func (d *sequentialFaults) killAllBut(lost []*machine) {
	var killed []*machine
	for _, m := range d.running() {
		if !slices.Contains(lost, m) {
			m.kill()
			killed = append(killed, m)
		}
	}
	d.advance(d.duration(50*time.Millisecond, time.Second))
	for _, m := range killed {
		d.start(m)
	}
	d.eventually("the others have a leader", func() bool { return d.leader() != nil })
}

func TestCommandsSurviveTwoLossesAfterEachCatchUp(t *testing.T) {
	counts, leaderless := map[string]int{}, time.Duration(0)
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runScenario(t, func(f *fleet) {
				useShortTimeouts(f)
				d := newDoubleFaults(f, seed)
				for range 8 {
					d.injectTwoLosses()
					d.runFor(doubleFaultCatchUp+d.duration(0, 300*time.Millisecond), maxLeaderlessDouble)
					d.seedNumbers = slices.Clone(d.machineNumbers)
				}
				d.losePowerAndTwoDisks()
				d.checkAcknowledged()
				leaderless = max(leaderless, d.maxLeaderless)
				d.addCounts(counts)
			})
		})
	}
	t.Logf("faults: %v; at most %v without a leader", counts, leaderless)
	checkCounts(t, counts, "power lost", "disk lost", "replaced", "frozen", "partitioned", "the others killed",
		acknowledgedCount)
}

// losePowerAndTwoDisks crashes all machines and loses the disks of two, right after an acknowledgement.
func (d *sequentialFaults) losePowerAndTwoDisks() {
	d.t.Helper()
	d.propose()
	for _, m := range d.running() {
		m.crash()
	}
	for _, position := range d.random.Perm(len(d.machineNumbers))[:2] {
		d.machine(d.machineNumbers[position]).disk.Lose()
	}
	d.startAll(nil)
}
