package controlstate_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/protocol"
)

// regionalHarness is a harness with stores in 3 regions of 2 zones each.
type regionalHarness struct {
	*harness
	t      *rapid.T
	stores []*protocol.Node
	shards int
}

func newRegionalHarness(t *rapid.T, perZone, shards int) *regionalHarness {
	r := &regionalHarness{harness: newHarness(), t: t, shards: shards}
	for number := range 6 * perZone {
		node := store(number, 1, "disk")
		node.Region, node.Zone = fmt.Sprint("r", number%3), fmt.Sprintf("r%d-z%d", number%3, number/3%2)
		r.stores = append(r.stores, node)
	}
	return r
}

func (r *regionalHarness) mustApply(command *protocol.Command) {
	if result := r.apply("", command); !result.GetAccepted() {
		r.t.Fatalf("%v was rejected: %v", command, result)
	}
}

func (r *regionalHarness) initialize(overRegions bool) {
	r.mustApply(&protocol.Command{Body: &protocol.Command_InitializePlacement{
		InitializePlacement: &protocol.InitializePlacementCommand{
			ShardCount: uint32(r.shards), ReplicaCount: 3,
			OverRegions: overRegions,
		},
	}})
}

// removeStores removes stores from the membership and returns their names.
func (r *regionalHarness) removeStores(isLost func(*protocol.Node) bool) (names []string) {
	for _, node := range r.stores {
		if isLost(node) {
			names = append(names, node.GetName())
			r.mustApply(&protocol.Command{Body: &protocol.Command_RemoveNode{RemoveNode: &protocol.RemoveNodeCommand{
				Name: node.GetName(), Incarnation: node.GetIncarnation(),
			}}})
		}
	}
	return names
}

// rebalance carries out moves, at most four at a time, until the planner has none, and returns their number.
func (r *regionalHarness) rebalance(lost ...string) (moves int) {
	for {
		steps := r.plan(lost...)
		if len(steps) > 4 {
			r.t.Fatalf("%d moves at a time, want at most 4", len(steps))
		}
		for _, step := range steps {
			r.mustApply(moveShard(step))
		}
		moves += len(steps)
		if copies := r.copyAll(lost...); len(steps)+copies == 0 {
			return moves
		}
		if moves > 6*r.shards {
			r.t.Fatalf("still moving after %d moves of %d shards", moves, r.shards)
		}
	}
}

func (r *regionalHarness) node(name string) *protocol.Node {
	return r.stores[slices.IndexFunc(r.stores, func(n *protocol.Node) bool { return n.GetName() == name })]
}

// checkSpread fails unless every shard has its replicas in 3 regions and is not being moved, and the stores of a region
// differ by at most one replica.
func (r *regionalHarness) checkSpread(isLost func(*protocol.Node) bool) {
	loads := map[string]int{}
	for _, shard := range r.state.View().Placement.GetShards() {
		regions := map[string]bool{}
		for _, replica := range shard.GetCurrent() {
			regions[r.node(replica.GetStore()).GetRegion()] = true
			loads[replica.GetStore()]++
		}
		if len(regions) != 3 || len(shard.GetNext()) > 0 {
			r.t.Fatalf("shard %v is in regions %v, want 3 regions and no move", shard, regions)
		}
	}
	for _, region := range []string{"r0", "r1", "r2"} {
		var replicas []int
		for _, node := range r.stores {
			if node.GetRegion() == region && !isLost(node) {
				replicas = append(replicas, loads[node.GetName()])
			}
		}
		if slices.Max(replicas)-slices.Min(replicas) > 1 {
			r.t.Fatalf("stores of region %s have %v replicas, want a difference of at most 1", region, replicas)
		}
	}
}

// checkMajority fails unless every shard has two of its three voting replicas outside the lost stores.
func (r *regionalHarness) checkMajority(lost []string) {
	for _, shard := range r.state.View().Placement.GetShards() {
		left := 0
		for _, replica := range shard.GetCurrent() {
			if !contains(lost, replica.GetStore()) && replica.GetState() == protocol.ReplicaState_REPLICA_ACTIVE {
				left++
			}
		}
		if left < 2 {
			r.t.Fatalf("shard %v has %d active replicas outside the lost stores, want at least 2", shard, left)
		}
	}
}

func noStore(*protocol.Node) bool { return false }

func TestShardsSpreadOverRegions(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		r := newRegionalHarness(t, rapid.IntRange(1, 3).Draw(t, "stores a zone"), rapid.IntRange(1, 40).Draw(t, "shards"))
		for _, node := range r.stores {
			r.mustApply(join(node))
		}
		r.initialize(true)
		r.checkSpread(noStore)
		if moves := r.rebalance(); moves > 0 {
			t.Fatalf("%d moves after the first placement, want none", moves)
		}
		region := fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "region"))
		zone := region + fmt.Sprint("-z", rapid.IntRange(0, 1).Draw(t, "zone"))
		isLost := func(node *protocol.Node) bool { return node.GetZone() == zone }
		if rapid.Bool().Draw(t, "whole region") {
			isLost = func(node *protocol.Node) bool { return node.GetRegion() == region }
		}
		lost := r.removeStores(isLost)
		r.checkMajority(lost)
		if moves := r.rebalance(); moves > 0 {
			t.Fatalf("%d moves before the stores count as lost, want none", moves)
		}
		r.rebalance(lost...)
		r.checkMajority(lost)
		for _, shard := range r.state.View().Placement.GetShards() {
			for _, replica := range shard.GetCurrent() {
				if contains(lost, replica.GetStore()) {
					t.Fatalf("shard %v still has a replica on lost store %s", shard, replica.GetStore())
				}
			}
		}
		if len(lost) < len(r.stores)/3 {
			r.checkSpread(isLost)
		}
		for _, name := range lost {
			r.mustApply(join(r.node(name)))
			r.rebalance()
		}
		r.checkSpread(noStore)
	})
}

func TestPlacementImprovesWhenRegionsAppear(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		r := newRegionalHarness(t, rapid.IntRange(1, 3).Draw(t, "stores a zone"), rapid.IntRange(1, 40).Draw(t, "shards"))
		for _, node := range r.stores {
			former := store(0, 1, "disk")
			former.Name, former.Address = node.GetName(), node.GetAddress()
			former.Zone, former.Region = node.GetZone(), "default"
			r.mustApply(join(former))
			node.Incarnation = 2
		}
		r.initialize(true)
		if moves := r.rebalance(); moves > 0 {
			t.Fatalf("%d moves in a single region, want none", moves)
		}
		for _, node := range rapid.Permutation(r.stores).Draw(t, "order") {
			r.mustApply(join(node))
			if rapid.Bool().Draw(t, "plan between") {
				r.rebalance()
			}
		}
		r.rebalance()
		r.checkSpread(noStore)
		if steps := r.plan(); len(steps) > 0 {
			t.Fatalf("steps %v after rebalancing, want none", steps)
		}
	})
}

// TestInitialPlacementFromAnOlderLogIgnoresRegions replays an InitializePlacement command without over_regions, as logs
// written before regions existed have it. Every member must compute the placement that it computed then.
func TestInitialPlacementFromAnOlderLogIgnoresRegions(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		perZone, shards := rapid.IntRange(1, 3).Draw(t, "stores a zone"), rapid.IntRange(1, 40).Draw(t, "shards")
		placed := func(regions bool) string {
			r := newRegionalHarness(t, perZone, shards)
			for _, node := range r.stores {
				if !regions {
					node.Region = ""
				}
				r.mustApply(join(node))
			}
			r.initialize(false)
			return fmt.Sprint(r.state.View().Placement.GetShards())
		}
		if placed(true) != placed(false) {
			t.Fatal("regions changed the placement of a command without over_regions")
		}
	})
}
