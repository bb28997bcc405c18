package ownershipsuite_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
	"github.com/rosestand/rosestand/internal/testing/sim/ownershipsuite"
)

// losses are faults of front nodes with the bound on the time to find an owner after each.
var losses = map[string]struct {
	fault sim.Fault
	bound time.Duration
}{
	"one crashed": {
		sim.Fault{Kind: sim.FaultCrash, Targets: fronts(1), Duration: 3500 * time.Millisecond},
		200 * time.Millisecond,
	},
	"five of nine crashed": {
		sim.Fault{Kind: sim.FaultCrash, Targets: fronts(5), Duration: 3500 * time.Millisecond},
		400 * time.Millisecond,
	},
	"one without power": {
		sim.Fault{Kind: sim.FaultFreeze, Targets: fronts(1), Duration: 20 * time.Second},
		800 * time.Millisecond,
	},
	"one frozen for 3 s": {
		sim.Fault{Kind: sim.FaultFreeze, Targets: fronts(1), Duration: 3 * time.Second},
		800 * time.Millisecond,
	},
	"two partitioned": {
		sim.Fault{Kind: sim.FaultPartition, Targets: fronts(1), Peers: []sim.Address{"front-2"}, Duration: 10 * time.Second},
		800 * time.Millisecond,
	},
	"two partitioned in one direction": {
		sim.Fault{
			Kind: sim.FaultOutboundPartition, Targets: fronts(1), Peers: []sim.Address{"front-2"},
			Duration: 10 * time.Second,
		},
		800 * time.Millisecond,
	},
}

// The front nodes bridge the loss of the core's leader by their leases.
func TestLeasesBridgeAFrozenCore(t *testing.T) {
	frozen := sim.Fault{Kind: sim.FaultFreeze, Targets: []sim.Address{"core"}, Duration: 3 * time.Second}
	for seed := int64(1); seed <= fixedSeeds; seed++ {
		report := lose(seed, frozen, 200*time.Millisecond, ownershipsuite.MutationNone)
		checkRun(t, report)
		if report.LostLeases > 0 {
			t.Errorf("seed %d: %d front nodes lost authority", seed, report.LostLeases)
		}
	}
}

// maxDrain bounds a drain whose last turn may wait for a back end or a delayed message.
const maxDrain = 4 * time.Second

func fronts(count int) []sim.Address {
	return []sim.Address{"front-1", "front-2", "front-3", "front-4", "front-5"}[:count]
}

func lose(seed int64, fault sim.Fault, bound time.Duration, mutation ownershipsuite.Mutation) ownershipsuite.Report {
	fault.At = 12 * time.Second
	return ownershipsuite.Run(seed, ownershipsuite.Options{
		Faults: []sim.Fault{fault}, FaultCount: -1, ReliableNetwork: true, ResolveBound: bound, Mutation: mutation,
	})
}

// After any loss of front nodes the others find an owner for each session within the bound, before the leases expire.
func TestOwnerIsFoundWithinBoundAfterLoss(t *testing.T) {
	for name, loss := range losses {
		t.Run(name, func(t *testing.T) {
			for seed := int64(1); seed <= fixedSeeds; seed++ {
				report := lose(seed, loss.fault, loss.bound, ownershipsuite.MutationNone)
				checkRun(t, report)
				if seed == 1 {
					logResolves(t, report)
				}
			}
		})
	}
}

// Without suspicion a lookup waits for the lease of the lost node to expire.
func TestAwaitingLeasesExceedsTheBound(t *testing.T) {
	for name, loss := range losses {
		t.Run(name, func(t *testing.T) {
			for seed := int64(1); seed <= fixedSeeds; seed++ {
				report := lose(seed, loss.fault, loss.bound, ownershipsuite.MutationIgnoreCallFailures)
				if violates(report, ownershipsuite.RuleResolveBound) {
					logResolves(t, report)
					return
				}
			}
			t.Fatal("no resolution exceeded the bound")
		})
	}
}

func logResolves(t *testing.T, report ownershipsuite.Report) {
	t.Helper()
	count := len(report.Resolves)
	t.Logf("%d resolves, %d without an owner, p99 %s, max %s, %d turns and %d calls done, %d rejections", count,
		report.Unresolved,
		report.Resolves[count*99/100], report.Resolves[count-1], report.Turns, report.Calls, report.Rejections)
}

// Half of the front nodes drain, one each 1.2 s, while callers send requests to all of them.
func TestRollingRestartServesEverySession(t *testing.T) {
	for seed := int64(1); seed <= fixedSeeds; seed++ {
		report := ownershipsuite.Run(seed, ownershipsuite.Options{
			FaultCount: -1, ReliableNetwork: true, RollingDrains: 5, ResolveBound: 800 * time.Millisecond,
		})
		checkRun(t, report)
		if len(report.Drains) != 5 {
			t.Errorf("seed %d: %d drains", seed, len(report.Drains))
		}
		for _, took := range report.Drains {
			if took > maxDrain {
				t.Errorf("seed %d: a drain took %s", seed, took)
			}
		}
		if seed == 1 {
			logResolves(t, report)
			t.Logf("drains %v, yields %v, %d leases lost", report.Drains, report.Yields, report.LostLeases)
		}
	}
}

// Of 76 front nodes 42 are crashed at once; a front node that looks up a session then tries as many as precede the
// session on the ring.
func TestOwnerIsFoundWithinBoundAfterMostOfALargeFleetCrashed(t *testing.T) {
	var crashed []sim.Address
	for i := range 42 {
		crashed = append(crashed, sim.Address(fmt.Sprintf("front-%d", i+1)))
	}
	report := ownershipsuite.Run(1, ownershipsuite.Options{
		Fronts: 76, Sessions: 300, FaultCount: -1, ReliableNetwork: true, ResolveBound: 800 * time.Millisecond,
		Faults: []sim.Fault{{
			At: 14 * time.Second, Kind: sim.FaultCrash, Targets: crashed,
			Duration: 3500 * time.Millisecond,
		}},
	})
	checkRun(t, report)
	logResolves(t, report)
}
