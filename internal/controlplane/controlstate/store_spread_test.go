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

// newPlacedWorld has a store at each place, "region/zone", and shards of three replicas.
func newPlacedWorld(places ...string) *world {
	w := newWorld()
	for number, place := range places {
		node := store(number, 1, "disk")
		node.Region, node.Zone, _ = strings.Cut(place, "/")
		w.accepted("", join(node))
	}
	w.accepted("", &protocol.Command{Body: &protocol.Command_InitializePlacement{
		InitializePlacement: &protocol.InitializePlacementCommand{
			ShardCount: 8, ReplicaCount: 3, OverRegions: true,
			SharedZones: true,
		},
	}})
	return w
}

func (w *world) remove(number int) {
	w.accepted("", &protocol.Command{Body: &protocol.Command_RemoveNode{RemoveNode: &protocol.RemoveNodeCommand{
		Name: fmt.Sprint("store-", number), Incarnation: 1,
	}}})
}

// TestTheLastStoreOfANeededDomainIsNotEmptied orders stores to be emptied, one after the other, with some of the
// others absent.
func TestTheLastStoreOfANeededDomainIsNotEmptied(t *testing.T) {
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
			w := newPlacedWorld(test.places...)
			for _, number := range test.absent {
				w.remove(number)
			}
			for _, number := range test.accepted {
				w.accepted("", emptyKeepingSpread(fmt.Sprint("store-", number)))
			}
			for _, number := range test.rejected {
				rejection := w.rejected("", emptyKeepingSpread(fmt.Sprint("store-", number)))
				Expect(codes(rejection)).To(Equal(string(failure.TooFewStores)), "store-%d", number)
			}
			// An order sent again is acknowledged again.
			for _, number := range test.accepted {
				w.accepted("", emptyKeepingSpread(fmt.Sprint("store-", number)))
			}
		})
	}
}

func TestALastStoreIsEmptiedOnceItsRegionHasAnother(t *testing.T) {
	RegisterTestingT(t)
	w := newPlacedWorld("a/a0", "a/a1", "b/b0", "c/c0")
	w.rejected("", emptyKeepingSpread("store-2"))
	successor := store(4, 1, "disk")
	successor.Region, successor.Zone = "b", "b1"
	w.accepted("", join(successor))
	w.accepted("", emptyKeepingSpread("store-2"))
	w.settle()
	Expect(w.state.View().Placement.GetEmptied()).To(Equal([]string{"store-2"}))
}

// A log written before the spread was looked at must lead every member to the answer that it led to then.
func TestAnOrderOfAnEarlierLogIsAcceptedWhateverSpreadIsLost(t *testing.T) {
	RegisterTestingT(t)
	w := newPlacedWorld("a/a0", "a/a1", "b/b0", "c/c0")
	empty := &protocol.EmptyStoreCommand{Store: "store-2", StoresToKeep: 3}
	w.accepted("", &protocol.Command{Body: &protocol.Command_EmptyStore{EmptyStore: empty}})
}

// TestShardsAreInThreeRegionsWhateverStoresAreEmptied empties stores of three regions by any accepted orders.
func TestShardsAreInThreeRegionsWhateverStoresAreEmptied(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		r := newRegional(t, rapid.IntRange(1, 3).Draw(t, "stores a zone"), rapid.IntRange(1, 20).Draw(t, "shards"))
		for _, node := range r.stores {
			r.must(join(node))
		}
		r.initialize(true)
		for _, node := range rapid.Permutation(r.stores).Draw(t, "orders") {
			r.apply("", emptyKeepingSpread(node.GetName()))
			if rapid.Bool().Draw(t, "move between") {
				r.rest()
			}
		}
		r.rest()
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
