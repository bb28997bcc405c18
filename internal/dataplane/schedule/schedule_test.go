package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

func servers(loads ...uint32) []schedule.Candidate {
	candidates := make([]schedule.Candidate, len(loads))
	for at, load := range loads {
		candidates[at] = schedule.Candidate{
			ID: fmt.Sprintf("s%02d", at), Zone: fmt.Sprintf("z%d", at%2), Capacity: 10, Running: load, Weight: 1,
		}
	}
	return candidates
}

func reason(decision schedule.Decision, id string) string {
	for _, score := range decision.Scores {
		if score.ID == id {
			return score.Reason
		}
	}
	return "absent"
}

func TestLeastLoadedChoosesTheLeastRelativeLoad(t *testing.T) {
	candidates := servers(5, 3, 4)
	candidates[0].Capacity = 40
	decision := schedule.Choose(schedule.Request{Algorithm: protocol.SchedulingAlgorithm_LEAST_LOADED}, candidates, nil)
	if decision.Chosen != "s00" {
		t.Fatalf("chose %s", decision.Chosen)
	}
}

func TestRoundRobinChoosesEachInTurn(t *testing.T) {
	for sequence, want := range []string{"s00", "s01", "s02", "s00"} {
		request := schedule.Request{Algorithm: protocol.SchedulingAlgorithm_ROUND_ROBIN, Sequence: uint64(sequence)}
		if got := schedule.Choose(request, servers(9, 0, 4), nil).Chosen; got != want {
			t.Fatalf("turn %d: got %s, want %s", sequence, got, want)
		}
	}
}

func TestPowerOfTwoNeverChoosesTheMostLoaded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	seen := map[string]int{}
	for range 300 {
		seen[schedule.Choose(schedule.Request{Algorithm: protocol.SchedulingAlgorithm_POWER_OF_TWO}, servers(9, 0, 4),
			random).Chosen]++
	}
	if seen["s00"] != 0 || seen["s01"] <= seen["s02"] || seen["s02"] == 0 {
		t.Fatalf("shares %v", seen)
	}
}

func TestAffinityStaysWithTheLastServerUntilItsLoadIsOverTheBound(t *testing.T) {
	request := schedule.Request{AffinityKey: "program", LastServer: "s01"}
	if got := schedule.Choose(request, servers(2, 2, 2), nil).Chosen; got != "s01" {
		t.Fatalf("left the last server for %s", got)
	}
	decision := schedule.Choose(request, servers(0, 9, 0), nil)
	if decision.Chosen == "s01" || reason(decision, "s01") != schedule.ReasonOverBound {
		t.Fatalf("stayed over the bound: %+v", decision)
	}
}

func TestAffinityIsStableByKeyAndSpreadsKeys(t *testing.T) {
	seen := map[string]int{}
	for key := range 200 {
		request := schedule.Request{AffinityKey: fmt.Sprint("program", key)}
		first := schedule.Choose(request, servers(1, 1, 1, 1), nil).Chosen
		if again := schedule.Choose(request, servers(1, 1, 1, 1), nil).Chosen; again != first {
			t.Fatalf("key %d moved from %s to %s", key, first, again)
		}
		seen[first]++
	}
	for id, count := range seen {
		if count < 25 {
			t.Fatalf("%s got %d of 200", id, count)
		}
	}
}

func TestZoneLocalFirstSpillsOnlyWhenTheZoneIsFull(t *testing.T) {
	request := schedule.Request{Algorithm: protocol.SchedulingAlgorithm_LEAST_LOADED, Zone: "z0", ZoneLocalFirst: true}
	if got := schedule.Choose(request, servers(8, 0, 9, 0), nil); got.Chosen != "s00" || got.Spilled {
		t.Fatalf("left the zone: %+v", got)
	}
	if got := schedule.Choose(request, servers(10, 0, 10, 1), nil); got.Chosen != "s01" || !got.Spilled {
		t.Fatalf("did not spill: %+v", got)
	}
}

func TestSpillGoesToTheOwnRegionBeforeOthers(t *testing.T) {
	zones := []struct{ zone, region string }{{"z0", "r0"}, {"z1", "r0"}, {"z2", "r1"}}
	cases := []struct {
		name    string
		region  string
		loads   [3]uint32
		want    string
		spilled bool
		reasons [3]string
	}{
		{
			"the own zone has a free slot", "r0",
			[3]uint32{9, 0, 0},
			"s00", false,
			[3]string{"", schedule.ReasonOtherZone, schedule.ReasonOtherZone},
		},
		{
			"the own region has a free slot", "r0",
			[3]uint32{10, 9, 0},
			"s01", true,
			[3]string{schedule.ReasonLower, "", schedule.ReasonFarRegion},
		},
		{
			"the own region is full", "r0",
			[3]uint32{10, 10, 1},
			"s02", true,
			[3]string{schedule.ReasonLower, schedule.ReasonLower, ""},
		},
		{
			"everything is full", "r0",
			[3]uint32{12, 11, 13},
			"s01", true,
			[3]string{schedule.ReasonLower, "", schedule.ReasonLower},
		},
		{
			"without a region all other zones are alike", "",
			[3]uint32{10, 9, 0},
			"s02", true,
			[3]string{schedule.ReasonLower, schedule.ReasonLower, ""},
		},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			candidates := servers(tt.loads[:]...)
			for at := range candidates {
				candidates[at].Zone, candidates[at].Region = zones[at].zone, zones[at].region
			}
			got := schedule.Choose(schedule.Request{
				Algorithm: protocol.SchedulingAlgorithm_LEAST_LOADED, Zone: "z0", Region: tt.region, ZoneLocalFirst: true,
			}, candidates, nil)
			if got.Chosen != tt.want || got.Spilled != tt.spilled {
				t.Fatalf("%+v", got)
			}
			for at, want := range tt.reasons {
				if found := reason(got, candidates[at].ID); found != want {
					t.Errorf("%s passed over as %q, want %q", candidates[at].ID, found, want)
				}
			}
		})
	}
}

func TestWeightScalesTheLoad(t *testing.T) {
	candidates := servers(2, 2)
	candidates[1].Weight = 4
	request := schedule.Request{Algorithm: protocol.SchedulingAlgorithm_LEAST_LOADED}
	if got := schedule.Choose(request, candidates, nil).Chosen; got != "s01" {
		t.Fatalf("chose %s", got)
	}
}

func TestEjectedServersAreReadmittedWhenNoOtherIsLeft(t *testing.T) {
	candidates := servers(0, 0)
	candidates[0].Ejected = true
	decision := schedule.Choose(schedule.Request{}, candidates, nil)
	if decision.Chosen != "s01" || reason(decision, "s00") != schedule.ReasonEjected {
		t.Fatalf("%+v", decision)
	}
	candidates[1].Draining = true
	if decision = schedule.Choose(schedule.Request{}, candidates, nil); decision.Chosen != "s00" {
		t.Fatalf("%+v", decision)
	}
}

func TestSubsetIsStableAndIncludesTheLastServer(t *testing.T) {
	many := servers(make([]uint32, 60)...)
	chosen := map[string]bool{}
	for sequence := range uint64(200) {
		request := schedule.Request{
			Algorithm: protocol.SchedulingAlgorithm_ROUND_ROBIN, SubsetSize: 5, Front: "f1", Sequence: sequence,
		}
		chosen[schedule.Choose(request, many, nil).Chosen] = true
	}
	if len(chosen) != 5 {
		t.Fatalf("used %d servers", len(chosen))
	}
	for at := range many {
		request := schedule.Request{SubsetSize: 5, Front: "f1", LastServer: many[at].ID}
		if got := schedule.Choose(request, many, nil).Chosen; got != many[at].ID {
			t.Fatalf("left %s for %s", many[at].ID, got)
		}
	}
}

func TestEveryDecisionIsAllowedAndExplained(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 30).Draw(t, "count")
		candidates := make([]schedule.Candidate, count)
		usable := false
		for at := range candidates {
			candidates[at] = schedule.Candidate{
				ID: fmt.Sprintf("s%02d", at), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
				Draining: rapid.Bool().Draw(t, "draining"), Ejected: rapid.Bool().Draw(t, "ejected"),
				Capacity: uint32(rapid.IntRange(0, 20).Draw(t, "capacity")), Running: uint32(
					rapid.IntRange(0, 40).Draw(t, "running"),
				),
				InFlight: uint32(rapid.IntRange(0, 40).Draw(t, "in flight")), Weight: rapid.SampledFrom([]float64{0, 0.1, 1, 4}).
						Draw(t, "weight"),
			}
			usable = usable || !candidates[at].Draining && candidates[at].Weight > 0
		}
		request := schedule.Request{
			Algorithm:  protocol.SchedulingAlgorithm(rapid.IntRange(0, 5).Draw(t, "algorithm")),
			SubsetSize: uint32(rapid.IntRange(0, 8).Draw(t, "subset")), Front: "f", Zone: "a",
			ZoneLocalFirst: rapid.Bool().Draw(t, "local"), AffinityKey: rapid.String().Draw(t, "key"),
			LastServer: fmt.Sprintf("s%02d", rapid.IntRange(0, 31).Draw(t, "last")),
			Sequence:   rapid.Uint64().Draw(t, "sequence"),
		}
		decision := schedule.Choose(request, candidates, rand.New(rand.NewPCG(3, 4)))
		if (decision.Chosen != "") != usable {
			t.Fatalf("chose %q although usable is %v", decision.Chosen, usable)
		}
		if len(decision.Scores) != count {
			t.Fatalf("%d of %d candidates explained", len(decision.Scores), count)
		}
		for at, score := range decision.Scores {
			if (score.Reason == "") != (score.ID == decision.Chosen) {
				t.Fatalf("score %+v with %q chosen", score, decision.Chosen)
			}
			if score.ID == decision.Chosen && candidates[at].Draining {
				t.Fatalf("chose the draining %s", score.ID)
			}
		}
	})
}

func TestOutlierIsEjectedLongerEachTimeAndHasASlowStart(t *testing.T) {
	now := time.Unix(1000, 0)
	var outlier schedule.OutlierDetector
	if outlier.Share(now) != 1 || outlier.Ejected(now) {
		t.Fatal("a new server must be healthy")
	}
	fail := func() (ejected bool) {
		for range 5 {
			ejected = outlier.Record(true, now)
		}
		return ejected
	}
	if !fail() || !outlier.Ejected(now.Add(4*time.Second)) || outlier.Ejected(now.Add(5*time.Second)) {
		t.Fatal("first ejection must last five seconds")
	}
	now = now.Add(5 * time.Second)
	if share := outlier.Share(now); share != 0.1 {
		t.Fatalf("returned with %v", share)
	}
	if share := outlier.Share(now.Add(5 * time.Second)); share < 0.5 || share > 0.6 {
		t.Fatalf("half way back with %v", share)
	}
	if !fail() || !outlier.Ejected(now.Add(9*time.Second)) || outlier.Ejected(now.Add(10*time.Second)) {
		t.Fatal("second ejection must last ten seconds")
	}
}

func TestOneSuccessEndsConsecutiveFaults(t *testing.T) {
	now := time.Unix(1000, 0)
	var outlier schedule.OutlierDetector
	for range 4 {
		outlier.Record(true, now)
	}
	outlier.Record(false, now)
	if outlier.Record(true, now); outlier.Ejected(now) {
		t.Fatal("ejected after one fault")
	}
}
