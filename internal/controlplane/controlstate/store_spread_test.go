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

// emptyKeepingSpread is the order as operators and adapters give it.
func emptyKeepingSpread(name string) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_EmptyStore{
		EmptyStore: &protocol.EmptyStoreCommand{Store: name, StoresToKeep: 3, KeepSpread: new(true)},
	}}
}

// newPlacedHarness has a store at each place, "region/zone", and shards of three replicas.
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

// TestLastStoreOfARequiredFailureDomainIsNotEmptied orders stores to be emptied, one after the other, with some of the
// others absent.
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
		"four zones of one region spare one": {
			places: oneRegion, accepted: []int{0},
			rejected: []int{1, 2, 3},
		},
		"a store that restarts keeps its zone": {
			places: oneRegion, absent: []int{3}, accepted: []int{0},
			rejected: []int{1, 2},
		},
		"five zones of two stores spare all but three zones": {places: []string{
			"r/z0", "r/z1", "r/z2", "r/z3",
			"r/z4", "r/z0", "r/z1", "r/z2", "r/z3", "r/z4",
		}, accepted: []int{0, 5, 1, 6, 2, 3, 4}, rejected: []int{7, 8, 9}},
		"the last store of one of three zones stays": {places: []string{
			"r/z0", "r/z0", "r/z0", "r/z1",
			"r/z2",
		}, accepted: []int{1}, rejected: []int{3, 4}},
		"two zones bear no spread that could be lost": {
			places:   []string{"r/z0", "r/z0", "r/z0", "r/z1"},
			accepted: []int{3},
		},
		"a region of three keeps one store": {
			places: threeRegions, accepted: []int{2},
			rejected: []int{3},
		},
		"each region of three keeps one store": {
			places: threeRegions, accepted: []int{0, 2, 4},
			rejected: []int{1, 3, 5},
		},
		"a fourth region may be given up": {
			places:   append([]string{"d/d0"}, threeRegions...),
			accepted: []int{0, 1}, rejected: []int{2},
		},
		"two regions have no spread over regions": {
			places:   []string{"a/a0", "a/a1", "a/a2", "b/b0"},
			accepted: []int{3},
		},
		"another region that is cut off leaves none to give up": {
			places: threeRegions, absent: []int{4, 5},
			accepted: []int{0}, rejected: []int{1},
		},
		"with a store of the same region away the other one stays": {
			places: threeRegions, absent: []int{3},
			rejected: []int{2},
		},
		"with a store of another region absent one of two may be emptied": {
			places: threeRegions, absent: []int{3},
			accepted: []int{4}, rejected: []int{5},
		},
		"a store that is away may be emptied": {
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
			// An order sent again is acknowledged again.
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

// A log written before the spread was looked at must lead every member to the answer that it led to then.
func TestEmptyOrderFromAnOlderLogSkipsTheSpreadCheck(t *testing.T) {
	RegisterTestingT(t)
	h := newPlacedHarness("a/a0", "a/a1", "b/b0", "c/c0")
	empty := &protocol.EmptyStoreCommand{Store: "store-2", StoresToKeep: 3}
	h.accepted("", &protocol.Command{Body: &protocol.Command_EmptyStore{EmptyStore: empty}})
}

// TestShardsStayInThreeRegionsWhenStoresAreEmptied empties stores of three regions by any accepted orders.
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
			t.Fatalf("%d of %d stores are empty", len(emptied), len(r.stores))
		}
		for _, shard := range r.state.View().Placement.GetShards() {
			regions := map[string]bool{}
			for _, replica := range shard.GetCurrent() {
				regions[r.node(replica.GetStore()).GetRegion()] = true
			}
			if len(regions) != 3 {
				t.Fatalf("shard %v is in %d regions", shard, len(regions))
			}
		}
	})
}
