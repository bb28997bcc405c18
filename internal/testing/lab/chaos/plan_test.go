package chaos_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/chaos"
	"github.com/rosestand/rosestand/internal/testing/lab/fleet"
)

var counts = chaos.Counts{Cores: 4, Stores: 4, Fronts: 10, BackEnds: 19}

func TestSchedulesFollowTheirSeed(t *testing.T) {
	first := chaos.Plan(counts, 5*time.Minute, 1)
	if !reflect.DeepEqual(first, chaos.Plan(counts, 5*time.Minute, 1)) {
		t.Fatal("one seed produces two schedules")
	}
	if reflect.DeepEqual(first, chaos.Plan(counts, 5*time.Minute, 2)) {
		t.Fatal("two seeds produce one schedule")
	}
}

// TestSchedulesStayWithinWhatTheSitesTolerate checks that a schedule loses one disk machine
// at a time, ends each fault within the run and injects nothing during a mass crash.
func TestSchedulesStayWithinWhatTheSitesTolerate(t *testing.T) {
	for seed := range uint64(200) {
		duration := 10 * time.Minute
		var diskFree time.Duration
		steps := chaos.Plan(counts, duration, seed)
		for i, step := range steps {
			if step.Length <= 0 || step.End() > duration {
				t.Fatalf("seed %d: %+v does not fit the run", seed, step)
			}
			if i > 0 && step.At < steps[i-1].At {
				t.Fatalf("seed %d: steps are out of order", seed)
			}
			mass := step.Action == chaos.CrashAll || step.Action == chaos.CrashFronts
			disk := step.Kind == fleet.KindCore || step.Kind == fleet.KindStore || step.Action == chaos.CrashAll
			if disk && step.At < diskFree {
				t.Fatalf("seed %d: %+v strikes a second disk machine", seed, step)
			}
			if disk {
				diskFree = step.End() + 15*time.Second
			}
			for _, other := range steps {
				if mass && other != step && other.At < step.End() && step.At < other.End() {
					t.Fatalf("seed %d: %+v strikes during %+v", seed, other, step)
				}
			}
		}
	}
}

func TestTenMinuteScheduleContainsEveryFault(t *testing.T) {
	seen := map[chaos.Action]bool{}
	for seed := range uint64(3) {
		for _, step := range chaos.Plan(counts, 10*time.Minute, seed) {
			seen[step.Action] = true
		}
	}
	for _, action := range []chaos.Action{
		chaos.Crash, chaos.Freeze, chaos.Restart, chaos.LoseDisk, chaos.Replace, chaos.Partition,
		chaos.InboundPartition, chaos.PartitionCore, chaos.CrashFronts, chaos.CrashAll,
	} {
		if !seen[action] {
			t.Errorf("no schedule of three contains %q", action)
		}
	}
}
