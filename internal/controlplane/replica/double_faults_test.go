package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The stories of this file play days on which a core of five voters loses two machines at once, and the next two as soon as
// these had their time to catch up.

const (
	// twoLossesCatchUp is the time that two machines have after their return before the next two may go.
	doubleFaultCatchUp = 6 * time.Second
	// twoLossesLeaderless is the longest time without a leader after two machines were lost at once.
	maxLeaderlessDouble = 1200 * time.Millisecond
)

// loss is a way to lose a machine and to bring it, or its successor, back.
type loss struct {
	name  string
	begin func(d *sequentialFaults, m *machine)
	end   func(d *sequentialFaults, place int)
}

func restartSame(d *sequentialFaults, place int) { d.start(d.machine(d.numbers[place])) }

func startSuccessor(d *sequentialFaults, place int) {
	d.numbers[place] = d.next
	d.next++
	restartSame(d, place)
}

var losses = []loss{
	{"power lost", func(_ *sequentialFaults, m *machine) { m.crash() }, restartSame},
	{"disk lost", func(_ *sequentialFaults, m *machine) { m.crash(); m.disk.Lose() }, restartSame},
	{"replaced", func(_ *sequentialFaults, m *machine) { m.crash() }, startSuccessor},
	{"frozen", func(_ *sequentialFaults, m *machine) { m.freeze() }, func(d *sequentialFaults, place int) { d.machine(d.numbers[place]).resume() }},
	{
		"cut off", func(d *sequentialFaults, m *machine) { d.setPartitioned(m.address, true) },
		func(d *sequentialFaults, place int) { d.setPartitioned(d.machine(d.numbers[place]).address, false) },
	},
}

func newDoubleFaults(f *fleet, seed uint64) *sequentialFaults {
	f.options.TargetVoters = 5
	d := &sequentialFaults{
		faultInjector: newFaultInjector(f, rand.New(rand.NewPCG(seed, 29)), map[string]int{}),
		numbers:       []int{1, 2, 3, 4, 5}, next: 6, seedNumbers: []int{1, 2, 3, 4, 5},
	}
	d.members, d.voters = 5, 5
	d.foundCluster(3)
	f.founders = nil
	f.seeds = []string{f.machine(1).address, f.machine(2).address, f.machine(3).address}
	f.machine(4).start()
	f.machine(5).start()
	d.eventually("five voters stand", d.isHealthy)
	return d
}

// loseTwo brings about two losses at once; now and then all others are killed meanwhile, which keep their disks.
func (d *sequentialFaults) injectTwoLosses() {
	places := d.random.Perm(len(d.numbers))[:2]
	if leader := d.leader(); leader != nil && d.random.IntN(2) == 0 {
		places[0] = slices.IndexFunc(d.numbers, func(number int) bool { return d.machine(number) == leader })
		places[1] = (places[0] + 1 + d.random.IntN(len(d.numbers)-1)) % len(d.numbers)
	}
	chosen := []loss{losses[d.random.IntN(len(losses))], losses[d.random.IntN(len(losses))]}
	lost := make([]*machine, len(places))
	for each, place := range places {
		lost[each] = d.machine(d.numbers[place])
		d.faultCounts[chosen[each].name]++
		chosen[each].begin(d, lost[each])
	}
	d.runFor(d.duration(100*time.Millisecond, 4*time.Second), maxLeaderlessDouble)
	if d.random.IntN(4) == 0 {
		d.faultCounts["the others killed"]++
		d.killAllBut(lost)
	}
	for each, place := range places {
		chosen[each].end(d, place)
	}
}

// killOthers ends the processes of all machines that stand and starts them again with their disks.
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

func TestTwoLossesAtOnceAfterEachCatchUpAreBorne(t *testing.T) {
	provoked, longest := map[string]int{}, time.Duration(0)
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runScenario(t, func(f *fleet) {
				useShortTimeouts(f)
				d := newDoubleFaults(f, seed)
				for range 8 {
					d.injectTwoLosses()
					d.runFor(doubleFaultCatchUp+d.duration(0, 300*time.Millisecond), maxLeaderlessDouble)
					d.seedNumbers = slices.Clone(d.numbers)
				}
				d.losePowerAndTwoDisks()
				d.checkAcknowledged()
				longest = max(longest, d.maxLeaderless)
				for kind, count := range d.faultCounts {
					provoked[kind] += count
				}
				provoked["acknowledged"] += len(d.acknowledged)
			})
		})
	}
	t.Logf("provoked: %v; at most %v without a leader", provoked, longest)
	for _, kind := range []string{"power lost", "disk lost", "replaced", "frozen", "cut off", "the others killed", "acknowledged"} {
		if provoked[kind] < 8 {
			t.Errorf("%s came only %d times", kind, provoked[kind])
		}
	}
}

// finalFaultOfTwo takes the power of all machines and the disks of two, right after an acknowledgement.
func (d *sequentialFaults) losePowerAndTwoDisks() {
	d.t.Helper()
	d.propose()
	for _, m := range d.running() {
		m.crash()
	}
	for _, place := range d.random.Perm(len(d.numbers))[:2] {
		d.machine(d.numbers[place]).disk.Lose()
	}
	d.startAll(nil)
}
