package replica

import (
	"testing"
	"time"
)

// A machine without power answers nothing, not even a rejection: a process that queries all addresses it
// knows must not wait for that one.

// addUnpoweredSeed makes the address of a machine without power one of the seeds.
func addUnpoweredSeed(f *fleet) {
	address := f.machine(9).address
	f.unpowered[address] = true
	f.seeds = append(f.seeds, address)
}

func TestAReplacedVoterJoinsAgainWhileASeedIsUnpowered(t *testing.T) {
	runScenario(t, func(f *fleet) {
		useShortTimeouts(f)
		addUnpoweredSeed(f)
		d := &sequentialFaults{faultInjector: newFaultInjector(f, nil, map[string]int{})}
		f.foundCluster(3)
		f.founders, f.seeds = nil, append(f.seeds, f.machine(1).address, f.machine(2).address, f.machine(3).address)
		f.machine(4).start()
		f.eventually("the standby is there", d.isHealthy)
		away := f.leader()
		f.setPartitioned(away.address, true)
		f.eventually("the standby has its place", func() bool {
			leader := f.leader()
			return leader != nil && leader != away && len(leader.members()) == 3
		})
		f.setPartitioned(away.address, false)
		began := time.Now()
		f.eventually("it is the standby", d.isHealthy)
		if took := time.Since(began); took > catchUpTime {
			t.Errorf("joining again took %v", took)
		}
	})
}

func TestAnEmptyMachineJoinsWhileASeedIsUnpowered(t *testing.T) {
	runScenario(t, func(f *fleet) {
		useShortTimeouts(f)
		d := &sequentialFaults{faultInjector: newFaultInjector(f, nil, map[string]int{})}
		f.foundCluster(3)
		f.founders, f.seeds = nil, []string{f.machine(1).address, f.machine(2).address, f.machine(3).address}
		addUnpoweredSeed(f)
		f.machine(4).start()
		began := time.Now()
		f.eventually("it is the standby", d.isHealthy)
		if took := time.Since(began); took > catchUpTime {
			t.Errorf("joining took %v", took)
		}
	})
}
