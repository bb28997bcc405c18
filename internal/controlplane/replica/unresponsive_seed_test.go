package replica

import (
	"testing"
	"time"
)

// A machine without power answers nothing, not even a refusal; a process that asks all it knows must not wait for it in vain.

// darkSeed makes the address of a machine that is gone one of the seeds.
func addUnpoweredSeed(f *fleet) {
	gone := f.machine(9).address
	f.unpowered[gone] = true
	f.seeds = append(f.seeds, gone)
}

func TestAReplacedVoterJoinsAgainWhileASeedIsDark(t *testing.T) {
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
			return leader != nil && leader != away && len(leader.replica.Status().GetConfiguration().GetMembers()) == 3
		})
		f.setPartitioned(away.address, false)
		began := time.Now()
		f.eventually("it is the standby", d.isHealthy)
		if took := time.Since(began); took > catchUpTime {
			t.Errorf("joining again took %v", took)
		}
	})
}

func TestAnEmptyMachineJoinsWhileASeedIsDark(t *testing.T) {
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
