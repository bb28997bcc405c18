package controlstate_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// emptyKeepingSpread returns an order to empty a store with the options that operators and adapters set.
func emptyKeepingSpread(name string) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_EmptyStore{
		EmptyStore: &protocol.EmptyStoreCommand{Store: name, StoresToKeep: 3, KeepSpread: new(true)},
	}}
}

// newPlacedHarness returns a harness with a store at each place, "region/zone", and a placement of three replicas a
// shard.
func newPlacedHarness(places ...string) *harness {
	h := newHarness()
	for number, place := range places {
		node := store(number, 1, "disk")
		node.Region, node.Zone, _ = strings.Cut(place, "/")
		h.accepted("", join(node))
	}
	h.accepted("", &protocol.Command{Body: &protocol.Command_InitializePlacement{
		InitializePlacement: &protocol.InitializePlacementCommand{
			ShardCount: 8, ReplicaCount: 3, OverRegions: true,
			SharedZones: true,
		},
	}})
	return h
}

func (h *harness) remove(number int) {
	h.accepted("", &protocol.Command{Body: &protocol.Command_RemoveNode{RemoveNode: &protocol.RemoveNodeCommand{
		Name: fmt.Sprint("store-", number), Incarnation: 1,
	}}})
}

// TestLastStoreOfARequiredFailureDomainIsNotEmptied empties stores one after the other while some stores are absent.
// The last store of a zone or region that the spread of the shards requires must be rejected.
func TestLastStoreOfARequiredFailureDomainIsNotEmptied(t *testing.T) {
	RegisterTestingT(t)
	oneRegion := []string{"r/z0", "r/z1", "r/z2", "r/z3"}
	threeRegions := []string{"a/a0", "a/a1", "b/b0", "b/b1", "c/c0", "c/c1"}
	for name, test := range map[string]struct {
		places   []string
		absent   []int
		accepted []int
		rejected []int
	}{
		"one of four zones in one region may be emptied": {
			places: oneRegion, accepted: []int{0},
			rejected: []int{1, 2, 3},
		},
		"an absent store counts as a zone": {
			places: oneRegion, absent: []int{3}, accepted: []int{0},
			rejected: []int{1, 2},
		},
		"three of five zones with two stores each keep one store": {places: []string{
			"r/z0", "r/z1", "r/z2", "r/z3",
			"r/z4", "r/z0", "r/z1", "r/z2", "r/z3", "r/z4",
		}, accepted: []int{0, 5, 1, 6, 2, 3, 4}, rejected: []int{7, 8, 9}},
		"the last store of one of three zones is kept": {places: []string{
			"r/z0", "r/z0", "r/z0", "r/z1",
			"r/z2",
		}, accepted: []int{1}, rejected: []int{3, 4}},
		"two zones have no spread to lose": {
			places:   []string{"r/z0", "r/z0", "r/z0", "r/z1"},
			accepted: []int{3},
		},
		"one of three regions keeps one store": {
			places: threeRegions, accepted: []int{2},
			rejected: []int{3},
		},
		"each region of three keeps one store": {
			places: threeRegions, accepted: []int{0, 2, 4},
			rejected: []int{1, 3, 5},
		},
		"a fourth region may be emptied": {
			places:   append([]string{"d/d0"}, threeRegions...),
			accepted: []int{0, 1}, rejected: []int{2},
		},
		"two regions have no spread over regions": {
			places:   []string{"a/a0", "a/a1", "a/a2", "b/b0"},
			accepted: []int{3},
		},
		"no region may be emptied while another one is absent": {
			places: threeRegions, absent: []int{4, 5},
			accepted: []int{0}, rejected: []int{1},
		},
		"the only present store of a region is kept": {
			places: threeRegions, absent: []int{3},
			rejected: []int{2},
		},
		"one of two stores of a region may be emptied while a store of another region is absent": {
			places: threeRegions, absent: []int{3},
			accepted: []int{4}, rejected: []int{5},
		},
		"an absent store may be emptied": {
			places: threeRegions, absent: []int{2, 3},
			accepted: []int{2},
		},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			h := newPlacedHarness(test.places...)
			for _, number := range test.absent {
				h.remove(number)
			}
			for _, number := range test.accepted {
				h.accepted("", emptyKeepingSpread(fmt.Sprint("store-", number)))
			}
			for _, number := range test.rejected {
				rejection := h.rejected("", emptyKeepingSpread(fmt.Sprint("store-", number)))
				Expect(codes(rejection)).To(Equal(string(failure.TooFewStores)), "store-%d", number)
			}
			// A repeated order is acknowledged again.
			for _, number := range test.accepted {
				h.accepted("", emptyKeepingSpread(fmt.Sprint("store-", number)))
			}
		})
	}
}

func TestLastStoreOfARegionIsEmptiedOnceAnotherJoins(t *testing.T) {
	RegisterTestingT(t)
	h := newPlacedHarness("a/a0", "a/a1", "b/b0", "c/c0")
	h.rejected("", emptyKeepingSpread("store-2"))
	successor := store(4, 1, "disk")
	successor.Region, successor.Zone = "b", "b1"
	h.accepted("", join(successor))
	h.accepted("", emptyKeepingSpread("store-2"))
	h.settle()
	Expect(h.state.View().Placement.GetEmptied()).To(Equal([]string{"store-2"}))
}

// TestEmptyOrderFromAnOlderLogSkipsTheSpreadCheck replays an EmptyStore command without keep_spread, as logs written
// before the spread check existed have it. Every member must return the result that it returned then.
func TestEmptyOrderFromAnOlderLogSkipsTheSpreadCheck(t *testing.T) {
	RegisterTestingT(t)
	h := newPlacedHarness("a/a0", "a/a1", "b/b0", "c/c0")
	empty := &protocol.EmptyStoreCommand{Store: "store-2", StoresToKeep: 3}
	h.accepted("", &protocol.Command{Body: &protocol.Command_EmptyStore{EmptyStore: empty}})
}

// TestShardsStayInThreeRegionsWhenStoresAreEmptied orders all stores of three regions to be emptied, in any sequence.
// One store a region must be kept, and every shard must stay in three regions.
func TestShardsStayInThreeRegionsWhenStoresAreEmptied(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		r := newRegionalHarness(t, rapid.IntRange(1, 3).Draw(t, "stores a zone"), rapid.IntRange(1, 20).Draw(t, "shards"))
		for _, node := range r.stores {
			r.mustApply(join(node))
		}
		r.initialize(true)
		for _, node := range rapid.Permutation(r.stores).Draw(t, "orders") {
			r.apply("", emptyKeepingSpread(node.GetName()))
			if rapid.Bool().Draw(t, "move between") {
				r.rebalance()
			}
		}
		r.rebalance()
		emptied := r.state.View().Placement.GetEmptied()
		if len(emptied) != len(r.stores)-3 {
			t.Fatalf("%d of %d stores are emptied, want all but 3", len(emptied), len(r.stores))
		}
		for _, shard := range r.state.View().Placement.GetShards() {
			regions := map[string]bool{}
			for _, replica := range shard.GetCurrent() {
				regions[r.node(replica.GetStore()).GetRegion()] = true
			}
			if len(regions) != 3 {
				t.Fatalf("shard %v is in %d regions, want 3", shard, len(regions))
			}
		}
	})
}
