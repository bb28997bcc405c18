package placement

import (
	"testing"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
)

// source is a link to the core whose view is set by the test.
type source struct {
	view  *corelink.View
	ready bool
}

func (s *source) View() *corelink.View { return s.view }
func (s *source) Ready() bool          { return s.ready }

// newView returns a view of an epoch in which each shard has replicas on stores a, b and c.
func newView(epoch uint64, shards uint32) *corelink.View {
	view := &corelink.View{Placement: &protocol.Placement{Epoch: epoch}, Membership: &protocol.MembershipView{}}
	stores := []string{"a", "b", "c"}
	for shard := range shards {
		placed := &protocol.ShardPlacement{Shard: shard, Epoch: epoch}
		for _, store := range stores {
			placed.Current = append(placed.Current, &protocol.Replica{
				Store: store, StorageId: "storage-" + store, State: protocol.ReplicaState_REPLICA_ACTIVE,
			})
		}
		view.Placement.Shards = append(view.Placement.Shards, placed)
	}
	for _, store := range stores {
		view.Membership.Nodes = append(view.Membership.Nodes, &protocol.Node{
			Name: store, Kind: protocol.NodeKind_STORE, Address: "address-" + store,
		})
	}
	return view
}

func newTestWatch(core Source) *Watch {
	return NewWatch(core, &protocol.Node{Name: "a", StorageId: "storage-a"})
}

func TestTopologyHasNoShardsUntilTheViewIsFresh(t *testing.T) {
	core := &source{view: newView(5, 2)}
	watch := newTestWatch(core)
	current, changed := watch.Refresh()
	if changed || len(current.Shards) != 0 || current.Addresses["b"] != "address-b" {
		t.Errorf("before the view is fresh: topology %+v, changed %v; want no shards, addresses and no change",
			current, changed)
	}
	core.ready = true
	if current, changed = watch.Refresh(); !changed || len(current.Shards) != 2 || current.Epoch != 5 {
		t.Errorf("once the view is fresh: topology %+v, changed %v; want 2 shards of epoch 5 and a change", current, changed)
	}
	core.ready = false
	if current, changed = watch.Refresh(); changed || len(current.Shards) != 2 {
		t.Errorf("after the core is not ready any more: topology %+v, changed %v; want 2 shards and no change",
			current, changed)
	}
}

func TestOlderPlacementDoesNotReplaceTheCurrentOne(t *testing.T) {
	core := &source{view: newView(5, 2), ready: true}
	watch := newTestWatch(core)
	watch.Refresh()
	core.view = newView(4, 1)
	if current, changed := watch.Refresh(); changed || current.Epoch != 5 || watch.Current() != current {
		t.Errorf("after a view of epoch 4: current topology %+v, changed %v; want the one of epoch 5 and no change",
			current, changed)
	}
}

func TestCoverageNeedsAMajorityOfEachShardUnderItsPlacement(t *testing.T) {
	watch := newTestWatch(&source{view: newView(5, 2), ready: true})
	current, _ := watch.Refresh()
	coverage := NewCoverage(current)
	for _, answer := range []struct {
		store    string
		shards   []uint32
		epoch    uint64
		complete bool
	}{
		{"a", []uint32{0, 1}, 5, false},
		{"a", []uint32{0, 1}, 5, false},
		{"b", []uint32{0, 1}, 4, false},
		{"b", []uint32{0}, 5, false},
		{"c", []uint32{1}, 5, true},
	} {
		coverage.Add(answer.store, answer.shards, answer.epoch)
		if got := coverage.IsComplete(); got != answer.complete {
			t.Errorf("after answer %+v IsComplete returned %v", answer, got)
		}
	}
	if stores := current.Stores("a"); len(stores) != 2 || stores[0] != "b" || stores[1] != "c" {
		t.Errorf("Stores without a returned %v, want [b c]", stores)
	}
}
