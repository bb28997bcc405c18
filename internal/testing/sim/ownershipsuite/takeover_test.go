package ownershipsuite_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
	"github.com/rosestand/rosestand/internal/testing/sim/ownershipsuite"
)

// losses are what may happen to front nodes and how long an owner may take to be found then.
var losses = map[string]struct {
	fault sim.Fault
	bound time.Duration
}{
	"one killed":          {sim.Fault{Kind: sim.FaultCrash, Targets: fronts(1), Duration: 3500 * time.Millisecond}, 200 * time.Millisecond},
	"five of nine killed": {sim.Fault{Kind: sim.FaultCrash, Targets: fronts(5), Duration: 3500 * time.Millisecond}, 400 * time.Millisecond},
	"one without power":   {sim.Fault{Kind: sim.FaultFreeze, Targets: fronts(1), Duration: 20 * time.Second}, 800 * time.Millisecond},
	"one frozen for 3 s":  {sim.Fault{Kind: sim.FaultFreeze, Targets: fronts(1), Duration: 3 * time.Second}, 800 * time.Millisecond},
	"two cut from each other": {
		sim.Fault{Kind: sim.FaultPartition, Targets: fronts(1), Peers: []sim.Address{"front-2"}, Duration: 10 * time.Second},
		800 * time.Millisecond,
	},
	"two cut from each other in one direction": {
		sim.Fault{Kind: sim.FaultOutboundPartition, Targets: fronts(1), Peers: []sim.Address{"front-2"}, Duration: 10 * time.Second},
		800 * time.Millisecond,
	},
}

// The front nodes bridge the loss of the core's leader by their leases.
func TestNobodyWaitsWhileTheCoreStandsStill(t *testing.T) {
	frozen := sim.Fault{Kind: sim.FaultFreeze, Targets: []sim.Address{"core"}, Duration: 3 * time.Second}
	for seed := int64(1); seed <= fixedSeeds; seed++ {
		report := lose(seed, frozen, 200*time.Millisecond, ownershipsuite.MutationNone)
		checkRun(t, report)
		if report.Lapses > 0 {
			t.Errorf("seed %d: %d front nodes lost authority", seed, report.Lapses)
		}
	}
}

// longestDrain bounds a stop whose last turn may wait for a back end or a late message.
const longestDrain = 4 * time.Second

func fronts(count int) []sim.Address {
	return []sim.Address{"front-1", "front-2", "front-3", "front-4", "front-5"}[:count]
}

func lose(seed int64, fault sim.Fault, bound time.Duration, mutation ownershipsuite.Mutation) ownershipsuite.Report {
	fault.At = 12 * time.Second
	return ownershipsuite.Run(seed, ownershipsuite.Options{
		Faults: []sim.Fault{fault}, FaultCount: -1, QuietNetwork: true, ResolveBound: bound, Mutation: mutation,
	})
}

// Whatever happens to a front node, the others find an owner for each session soon, without waiting for its lease.
func TestAnOwnerIsFoundSoonAfterALoss(t *testing.T) {
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

// Without suspicion a lookup waits for the lease of the lost node.
func TestAwaitingLeasesBreaksTheBound(t *testing.T) {
	for name, loss := range losses {
		t.Run(name, func(t *testing.T) {
			for seed := int64(1); seed <= fixedSeeds; seed++ {
				report := lose(seed, loss.fault, loss.bound, ownershipsuite.MutationAwaitLeases)
				if violates(report, ownershipsuite.RuleResolve) {
					logResolves(t, report)
					return
				}
			}
			t.Fatal("nothing waited")
		})
	}
}

func logResolves(t *testing.T, report ownershipsuite.Report) {
	t.Helper()
	count := len(report.Resolves)
	t.Logf("%d resolves, %d without an owner, p99 %s, longest %s, %d turns and %d calls done, %d answers refused", count, report.Unresolved,
		report.Resolves[count*99/100], report.Resolves[count-1], report.Turns, report.Calls, report.Refused)
}

// Half of the front nodes stop gently, one each 1.2 s, while callers go on to ask all of them.
func TestARollingRestartKeepsEverySessionServed(t *testing.T) {
	for seed := int64(1); seed <= fixedSeeds; seed++ {
		report := ownershipsuite.Run(seed, ownershipsuite.Options{
			FaultCount: -1, QuietNetwork: true, RollingStops: 5, ResolveBound: 800 * time.Millisecond,
		})
		checkRun(t, report)
		if len(report.Drains) != 5 {
			t.Errorf("seed %d: %d drains", seed, len(report.Drains))
		}
		for _, took := range report.Drains {
			if took > longestDrain {
				t.Errorf("seed %d: a drain took %s", seed, took)
			}
		}
		if seed == 1 {
			logResolves(t, report)
			t.Logf("drains %v, yields %v, %d lapses", report.Drains, report.Yields, report.Lapses)
		}
	}
}

// Of 76 front nodes 42 are killed at once; whoever is asked then goes round as many as stand before the session on the ring.
func TestAnOwnerIsFoundSoonAfterMostOfALargeFleetWasKilled(t *testing.T) {
	var killed []sim.Address
	for i := range 42 {
		killed = append(killed, sim.Address(fmt.Sprintf("front-%d", i+1)))
	}
	report := ownershipsuite.Run(1, ownershipsuite.Options{
		Fronts: 76, Sessions: 300, FaultCount: -1, QuietNetwork: true, ResolveBound: 800 * time.Millisecond,
		Faults: []sim.Fault{{At: 14 * time.Second, Kind: sim.FaultCrash, Targets: killed, Duration: 3500 * time.Millisecond}},
	})
	checkRun(t, report)
	logResolves(t, report)
}
