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
	for i, load := range loads {
		candidates[i] = schedule.Candidate{
			ID: fmt.Sprintf("s%02d", i), Zone: fmt.Sprintf("z%d", i%2), Capacity: 10, Running: load, Weight: 1,
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
		t.Fatalf("chose %s, want s00", decision.Chosen)
	}
}

func TestRoundRobinChoosesEachInTurn(t *testing.T) {
	for sequence, want := range []string{"s00", "s01", "s02", "s00"} {
		request := schedule.Request{Algorithm: protocol.SchedulingAlgorithm_ROUND_ROBIN, Sequence: uint64(sequence)}
		if got := schedule.Choose(request, servers(9, 0, 4), nil).Chosen; got != want {
			t.Fatalf("request %d: chose %s, want %s", sequence, got, want)
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
		t.Fatalf("choices %v, want none of s00 and most of s01", seen)
	}
}

func TestAffinityStaysWithTheLastServerUntilItsLoadIsOverTheBound(t *testing.T) {
	request := schedule.Request{AffinityKey: "program", LastServer: "s01"}
	if got := schedule.Choose(request, servers(2, 2, 2), nil).Chosen; got != "s01" {
		t.Fatalf("left the last server for %s", got)
	}
	decision := schedule.Choose(request, servers(0, 9, 0), nil)
	if decision.Chosen == "s01" || reason(decision, "s01") != schedule.ReasonOverBound {
		t.Fatalf("stayed at a server over the bound: %+v", decision)
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
			t.Fatalf("%s got %d of 200 keys, want at least 25", id, count)
		}
	}
}

func TestZoneLocalFirstSpillsOnlyWhenTheZoneIsFull(t *testing.T) {
	request := schedule.Request{Algorithm: protocol.SchedulingAlgorithm_LEAST_LOADED, Zone: "z0", ZoneLocalFirst: true}
	if got := schedule.Choose(request, servers(8, 0, 9, 0), nil); got.Chosen != "s00" || got.Spilled {
		t.Fatalf("left the zone although it has a free slot: %+v", got)
	}
	if got := schedule.Choose(request, servers(10, 0, 10, 1), nil); got.Chosen != "s01" || !got.Spilled {
		t.Fatalf("did not leave the full zone: %+v", got)
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
			for i := range candidates {
				candidates[i].Zone, candidates[i].Region = zones[i].zone, zones[i].region
			}
			got := schedule.Choose(schedule.Request{
				Algorithm: protocol.SchedulingAlgorithm_LEAST_LOADED, Zone: "z0", Region: tt.region, ZoneLocalFirst: true,
			}, candidates, nil)
			if got.Chosen != tt.want || got.Spilled != tt.spilled {
				t.Fatalf("decision %+v, want %s with spilled %t", got, tt.want, tt.spilled)
			}
			for i, want := range tt.reasons {
				if actual := reason(got, candidates[i].ID); actual != want {
					t.Errorf("%s passed over as %q, want %q", candidates[i].ID, actual, want)
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
		t.Fatalf("chose %s, want s01, which has four times the weight", got)
	}
}

func TestEjectedServersAreReadmittedWhenNoOtherIsLeft(t *testing.T) {
	candidates := servers(0, 0)
	candidates[0].Ejected = true
	decision := schedule.Choose(schedule.Request{}, candidates, nil)
	if decision.Chosen != "s01" || reason(decision, "s00") != schedule.ReasonEjected {
		t.Fatalf("decision %+v, want s01 chosen and s00 passed over as ejected", decision)
	}
	candidates[1].Draining = true
	if decision = schedule.Choose(schedule.Request{}, candidates, nil); decision.Chosen != "s00" {
		t.Fatalf("decision %+v, want the ejected s00, the only server that is not draining", decision)
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
		t.Fatalf("used %d servers, want 5", len(chosen))
	}
	for i := range many {
		request := schedule.Request{SubsetSize: 5, Front: "f1", LastServer: many[i].ID}
		if got := schedule.Choose(request, many, nil).Chosen; got != many[i].ID {
			t.Fatalf("left the last server %s for %s", many[i].ID, got)
		}
	}
}

func TestEveryDecisionIsAllowedAndExplained(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 30).Draw(t, "count")
		candidates := make([]schedule.Candidate, count)
		usable := false
		for i := range candidates {
			candidates[i] = schedule.Candidate{
				ID: fmt.Sprintf("s%02d", i), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
				Draining: rapid.Bool().Draw(t, "draining"), Ejected: rapid.Bool().Draw(t, "ejected"),
				Capacity: uint32(rapid.IntRange(0, 20).Draw(t, "capacity")), Running: uint32(
					rapid.IntRange(0, 40).Draw(t, "running"),
				),
				InFlight: uint32(rapid.IntRange(0, 40).Draw(t, "in flight")), Weight: rapid.SampledFrom([]float64{0, 0.1, 1, 4}).
						Draw(t, "weight"),
			}
			usable = usable || !candidates[i].Draining && candidates[i].Weight > 0
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
			t.Fatalf("scores for %d of %d candidates", len(decision.Scores), count)
		}
		for i, score := range decision.Scores {
			if (score.Reason == "") != (score.ID == decision.Chosen) {
				t.Fatalf("score %+v although %q was chosen", score, decision.Chosen)
			}
			if score.ID == decision.Chosen && candidates[i].Draining {
				t.Fatalf("chose the draining %s", score.ID)
			}
		}
	})
}

func TestOutlierIsEjectedLongerEachTimeAndHasASlowStart(t *testing.T) {
	now := time.Unix(1000, 0)
	var outlier schedule.OutlierDetector
	if outlier.Share(now) != 1 || outlier.Ejected(now) {
		t.Fatal("a new server is ejected or gets less than its full share")
	}
	fail := func() (ejected bool) {
		for range 5 {
			ejected = outlier.Record(true, now)
		}
		return ejected
	}
	if !fail() || !outlier.Ejected(now.Add(4*time.Second)) || outlier.Ejected(now.Add(5*time.Second)) {
		t.Fatal("the first ejection does not last five seconds")
	}
	now = now.Add(5 * time.Second)
	if share := outlier.Share(now); share != 0.1 {
		t.Fatalf("share %v at the end of the ejection, want 0.1", share)
	}
	if share := outlier.Share(now.Add(5 * time.Second)); share < 0.5 || share > 0.6 {
		t.Fatalf("share %v after half of the slow start, want 0.5 to 0.6", share)
	}
	if !fail() || !outlier.Ejected(now.Add(9*time.Second)) || outlier.Ejected(now.Add(10*time.Second)) {
		t.Fatal("the second ejection does not last ten seconds")
	}
}

func TestOneSuccessResetsConsecutiveFaults(t *testing.T) {
	now := time.Unix(1000, 0)
	var outlier schedule.OutlierDetector
	for range 4 {
		outlier.Record(true, now)
	}
	outlier.Record(false, now)
	if outlier.Record(true, now); outlier.Ejected(now) {
		t.Fatal("ejected after one fault that followed a success")
	}
}
