package site_test

import (
	"slices"
	"testing"

	"github.com/rosestand/rosestand/internal/testing/lab/site"
)

func zonesOf(sizes site.Sizes, count int) []int {
	zones := make([]int, count)
	for i := range zones {
		zones[i] = sizes.ZoneOf(i)
	}
	return zones
}

func TestProcessesAreSpreadOverTheZones(t *testing.T) {
	if got := zonesOf(site.Sizes{Zones: 3}, 5); !slices.Equal(got, []int{0, 1, 2, 0, 1}) {
		t.Errorf("zones %v", got)
	}
}

func TestWeightsSpreadProcessesUnevenly(t *testing.T) {
	sizes := site.Sizes{Zones: 3, ZoneWeights: []int{3, 2, 1}}
	if got := zonesOf(sizes, 8); !slices.Equal(got, []int{0, 0, 0, 1, 1, 2, 0, 0}) {
		t.Errorf("zones %v", got)
	}
	if name := sizes.ZoneName(2); name != "zone-3" {
		t.Errorf("name %s", name)
	}
}

func TestBuiltInSizesHaveNoFaults(t *testing.T) {
	for _, name := range []site.Name{site.Caroni, site.Menon, site.Both} {
		sizes, err := site.SizesOf(name)
		if err != nil || len(sizes.Faults()) > 0 {
			t.Errorf("%s: %v, %v", name, sizes.Faults(), err)
		}
	}
}

func TestFaultsNameEachUnusableSize(t *testing.T) {
	sizes := site.Sizes{Voters: 3, Standbys: -1, Stores: 1, Fronts: 1, Zones: 2, ZoneWeights: []int{1, 0}, ModelServers: 1}
	want := []string{
		"tool_servers must be 1 or more", "standbys must not be negative",
		"zone_weights must name a weight of 1 or more for each zone",
	}
	if got := sizes.Faults(); !slices.Equal(got, want) {
		t.Errorf("faults %q", got)
	}
}
