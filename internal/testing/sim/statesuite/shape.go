package statesuite

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// Shape names a fleet.
type Shape string

// The fleets: one site of four zones, and three regions of two zones.
const (
	ShapeZones   Shape = "zones"
	ShapeRegions Shape = "regions"
)

// Shapes lists all of them.
func Shapes() []Shape { return []Shape{ShapeZones, ShapeRegions} }

// Delays that come on top between regions, one way.
const (
	leastDistance = 20 * time.Millisecond
	mostDistance  = 40 * time.Millisecond
)

// fleetShape says how many machines of each role there are and where they stand.
type fleetShape struct {
	cores, stores, voters int
	zones                 []string
	// regions gives the region of each zone; empty at a site without.
	regions map[string]string
	network sim.NetworkOptions
	// A snapshot pays a round for each chunk; with rounds of 80 ms it must be across before the log behind it is cut.
	retainedEntries uint64
	// readPatience is how long a link asks on before it pauses; over the distance of regions three attempts take longer.
	readPatience       time.Duration
	snapshotChunkBytes int
}

func shapeOf(shape Shape) fleetShape {
	if shape != ShapeRegions {
		return fleetShape{
			cores: coreCount, stores: storeCount, voters: 3, zones: []string{"zone-1", "zone-2", "zone-3", "zone-4"},
			readPatience: 4 * pollInterval, retainedEntries: 8, snapshotChunkBytes: 2 << 10,
		}
	}
	regions := map[string]string{
		"north-a": "north", "east-a": "east", "west-a": "west", "north-b": "north", "east-b": "east", "west-b": "west",
	}
	return fleetShape{
		cores: 7, stores: 6, voters: 5, regions: regions, readPatience: 8 * pollInterval, retainedEntries: 64, snapshotChunkBytes: 32 << 10,
		zones: []string{"north-a", "east-a", "west-a", "north-b", "east-b", "west-b"},
		network: sim.NetworkOptions{Distance: func(from, to string) (least, most time.Duration) {
			if regions[from] == regions[to] {
				return 0, 0
			}
			return leastDistance, mostDistance
		}},
	}
}

func (s fleetShape) zoneOf(number int) string { return s.zones[number%len(s.zones)] }

// order puts learners of the region and zone with fewest voters first and voters of the region with most last.
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
		return cmp.Or(cmp.Compare(regions[a.GetRegion()], regions[b.GetRegion()]), cmp.Compare(zones[a.GetZone()], zones[b.GetZone()]))
	}
	slices.SortStableFunc(voters, compare)
	slices.SortStableFunc(learners, compare)
}

// zonesIn lists the zones of a region.
func (s fleetShape) zonesIn(region string) []string {
	return slices.DeleteFunc(slices.Clone(s.zones), func(zone string) bool { return s.regions[zone] != region })
}
