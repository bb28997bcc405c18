package statesuite

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// Shape names the topology of a fleet.
type Shape string

// The topologies: one site of four zones, and three regions of two zones.
const (
	ShapeZones   Shape = "zones"
	ShapeRegions Shape = "regions"
)

// Shapes lists all topologies.
func Shapes() []Shape { return []Shape{ShapeZones, ShapeRegions} }

// Additional one-way delays between regions.
const (
	minRegionDelay = 20 * time.Millisecond
	maxRegionDelay = 40 * time.Millisecond
)

// fleetShape is the number of machines of each role, and their zones.
type fleetShape struct {
	cores, stores, voters int
	zones                 []string
	// regions maps zones to regions; empty at a single site.
	regions map[string]string
	network sim.NetworkOptions
	// retainedEntries: a snapshot takes a round trip for each chunk and must be installed before the entries behind it are
	// compacted; round trips between regions take 80 ms.
	retainedEntries uint64
	// readTimeout is the timeout of a link's reads; between regions three attempts take longer.
	readTimeout        time.Duration
	snapshotChunkBytes int
}

func shapeOf(shape Shape) fleetShape {
	if shape != ShapeRegions {
		return fleetShape{
			cores: coreCount, stores: storeCount, voters: 3, zones: []string{"zone-1", "zone-2", "zone-3", "zone-4"},
			readTimeout: 4 * pollInterval, retainedEntries: 8, snapshotChunkBytes: 2 << 10,
		}
	}
	regions := map[string]string{
		"north-a": "north", "east-a": "east", "west-a": "west", "north-b": "north", "east-b": "east", "west-b": "west",
	}
	return fleetShape{
		cores: 7, stores: 6, voters: 5, regions: regions, readTimeout: 8 * pollInterval, retainedEntries: 64,
		snapshotChunkBytes: 32 << 10,
		zones:              []string{"north-a", "east-a", "west-a", "north-b", "east-b", "west-b"},
		network: sim.NetworkOptions{Distance: func(from, to string) (minimum, maximum time.Duration) {
			if regions[from] == regions[to] {
				return 0, 0
			}
			return minRegionDelay, maxRegionDelay
		}},
	}
}

func (s fleetShape) zoneOf(number int) string { return s.zones[number%len(s.zones)] }

// order sorts learners of the region and zone with the fewest voters first and voters of the region with the most last.
func (s fleetShape) order(voters, learners []*protocol.CoreMember) {
	if len(s.regions) == 0 {
		return
	}
	regions, zones := map[string]int{}, map[string]int{}
	for _, voter := range voters {
		regions[voter.GetRegion()]++
		zones[voter.GetZone()]++
	}
	compare := func(a, b *protocol.CoreMember) int {
		return cmp.Or(cmp.Compare(regions[a.GetRegion()], regions[b.GetRegion()]),
			cmp.Compare(zones[a.GetZone()], zones[b.GetZone()]))
	}
	slices.SortStableFunc(voters, compare)
	slices.SortStableFunc(learners, compare)
}

// zonesIn lists the zones of a region.
func (s fleetShape) zonesIn(region string) []string {
	return slices.DeleteFunc(slices.Clone(s.zones), func(zone string) bool { return s.regions[zone] != region })
}
