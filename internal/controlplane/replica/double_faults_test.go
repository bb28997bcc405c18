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
	twoLossesCatchUp = 6 * time.Second
	// twoLossesLeaderless is the longest time without a leader after two machines were lost at once.
	twoLossesLeaderless = 1200 * time.Millisecond
)

// loss is a way to lose a machine and to bring it, or its successor, back.
type loss struct {
	name  string
	begin func(d *badDay, m *machine)
	end   func(d *badDay, place int)
}

func startAgain(d *badDay, place int) { d.start(d.machine(d.at[place])) }

func startSuccessor(d *badDay, place int) {
	d.at[place] = d.next
	d.next++
	startAgain(d, place)
}

var losses = []loss{
	{"power lost", func(_ *badDay, m *machine) { m.crash() }, startAgain},
	{"disk lost", func(_ *badDay, m *machine) { m.crash(); m.disk.Lose() }, startAgain},
	{"replaced", func(_ *badDay, m *machine) { m.crash() }, startSuccessor},
	{"frozen", func(_ *badDay, m *machine) { m.freeze() }, func(d *badDay, place int) { d.machine(d.at[place]).wake() }},
	{
		"cut off", func(d *badDay, m *machine) { d.setCut(m.address, true) },
		func(d *badDay, place int) { d.setCut(d.machine(d.at[place]).address, false) },
	},
}

func newDayOfTwoLosses(f *fleet, seed uint64) *badDay {
	f.options.TargetVoters = 5
	d := &badDay{
		chaos: newChaos(f, rand.New(rand.NewPCG(seed, 29)), map[string]int{}),
		at:    []int{1, 2, 3, 4, 5}, next: 6, listed: []int{1, 2, 3, 4, 5},
	}
	d.members, d.voters = 5, 5
	d.found(3)
	f.founders = nil
	f.seeds = []string{f.machine(1).address, f.machine(2).address, f.machine(3).address}
	f.machine(4).start()
	f.machine(5).start()
	d.eventually("five voters stand", d.whole)
	return d
}

// loseTwo brings about two losses at once; now and then all others are killed meanwhile, which keep their disks.
func (d *badDay) loseTwo() {
	places := d.random.Perm(len(d.at))[:2]
	if leader := d.leader(); leader != nil && d.random.IntN(2) == 0 {
		places[0] = slices.IndexFunc(d.at, func(number int) bool { return d.machine(number) == leader })
		places[1] = (places[0] + 1 + d.random.IntN(len(d.at)-1)) % len(d.at)
	}
	chosen := []loss{losses[d.random.IntN(len(losses))], losses[d.random.IntN(len(losses))]}
	lost := make([]*machine, len(places))
	for each, place := range places {
		lost[each] = d.machine(d.at[place])
		d.provoked[chosen[each].name]++
		chosen[each].begin(d, lost[each])
	}
	d.live(d.duration(100*time.Millisecond, 4*time.Second), twoLossesLeaderless)
	if d.random.IntN(4) == 0 {
		d.provoked["the others killed"]++
		d.killOthers(lost)
	}
	for each, place := range places {
		chosen[each].end(d, place)
	}
}

// killOthers ends the processes of all machines that stand and starts them again with their disks.
func (d *badDay) killOthers(lost []*machine) {
	var killed []*machine
	for _, m := range d.running() {
		if !slices.Contains(lost, m) {
			m.halt()
			killed = append(killed, m)
		}
	}
	d.pass(d.duration(50*time.Millisecond, time.Second))
	for _, m := range killed {
		d.start(m)
	}
	d.eventually("the others have a leader", func() bool { return d.leader() != nil })
}

func TestTwoLossesAtOnceAfterEachCatchUpAreBorne(t *testing.T) {
	provoked, longest := map[string]int{}, time.Duration(0)
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			story(t, func(f *fleet) {
				quickOptions(f)
				d := newDayOfTwoLosses(f, seed)
				for range 8 {
					d.loseTwo()
					d.live(twoLossesCatchUp+d.duration(0, 300*time.Millisecond), twoLossesLeaderless)
					d.listed = slices.Clone(d.at)
				}
				d.finalFaultOfTwo()
				d.checkAcknowledged()
				longest = max(longest, d.longest)
				for kind, count := range d.provoked {
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
func (d *badDay) finalFaultOfTwo() {
	d.t.Helper()
	d.propose()
	for _, m := range d.running() {
		m.crash()
	}
	for _, place := range d.random.Perm(len(d.at))[:2] {
		d.machine(d.at[place]).disk.Lose()
	}
	d.startAll(nil)
}
