package steptrace

import (
	"testing"

	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/owner"
	"github.com/rosestand/rosestand/internal/state/store/placement"
)

func TestMembersOfAReplicaUnderAnotherPlacementDoNotCount(t *testing.T) {
	g := owner.NewGroup(owner.Options{})
	table := g.Table(0)
	table.View.Role, table.View.Epoch = register.RoleActive, 1
	current := &placement.Topology{Epoch: 1, Shards: []register.ShardView{table.View}}
	if !membersFrom(g, 0, "17", 0, current).counts {
		t.Error("the members of an active replica under the current epoch do not count, want them counted")
	}
	table.View.Epoch = 2
	if membersFrom(g, 0, "17", 0, current).counts {
		t.Error("the members of a replica under epoch 2 count, want them ignored under epoch 1")
	}
	table.View.Epoch, table.View.Role = 1, register.RoleRebuilding
	if membersFrom(g, 0, "17", 0, current).counts {
		t.Error("the members of a rebuilding replica count, want them ignored")
	}
}
