package replica

import (
	"testing"
	"time"
)

// A machine without power neither answers nor rejects requests. A process that queries all known addresses must not
// use up all its time on that one.

// addUnpoweredSeed adds the address of a machine without power to the seeds.
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
		f.eventually("the standby has joined", d.isHealthy)
		replaced := f.leader()
		f.setPartitioned(replaced.address, true)
		f.eventually("the standby has replaced the partitioned voter", func() bool {
			leader := f.leader()
			return leader != nil && leader != replaced && len(leader.members()) == 3
		})
		f.setPartitioned(replaced.address, false)
		began := time.Now()
		f.eventually("the replaced voter is the standby", d.isHealthy)
		if took := time.Since(began); took > catchUpTime {
			t.Errorf("joining again took %v, want at most %v", took, catchUpTime)
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
		f.eventually("the empty machine is the standby", d.isHealthy)
		if took := time.Since(began); took > catchUpTime {
			t.Errorf("joining took %v, want at most %v", took, catchUpTime)
		}
	})
}
