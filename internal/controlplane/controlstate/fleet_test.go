package controlstate_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/controlplane/placement"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("membership", func() {
	var h *harness
	BeforeEach(func() { h = newHarness() })
	names := func() []string {
		var listed []string
		for _, node := range h.state.View().Membership.GetNodes() {
			listed = append(listed, fmt.Sprintf("%s/%d", node.GetName(), node.GetIncarnation()))
		}
		return listed
	}

	It("replaces the node with the same name or address, and rejects earlier incarnations", func() {
		h.accepted("", join(front(1, 10)))
		h.accepted("", join(front(1, 20)))
		Expect(names()).To(Equal([]string{"front-1/20"}))
		Expect(codes(h.rejected("", join(front(1, 15))))).To(Equal("lease_refused"))
		renamed := front(1, 30)
		renamed.Name = "front-9"
		h.accepted("", join(renamed))
		Expect(names()).To(Equal([]string{"front-9/30"}))
		Expect(codes(h.rejected("", join(front(1, 20))))).To(Equal("lease_refused"))
	})

	It("keeps its version when nothing changes and does not remove a later incarnation", func() {
		h.accepted("", join(front(1, 10)))
		version := h.state.View().Membership.GetVersion()
		h.accepted("", join(front(1, 10)))
		h.accepted("", removeNode("front-1", 9))
		Expect(h.state.View().Membership.GetVersion()).To(Equal(version))
		Expect(names()).To(Equal([]string{"front-1/10"}))
	})
})

var _ = Describe("back ends", func() {
	var h *harness
	server := func(incarnation uint64) *protocol.BackEnd {
		return &protocol.BackEnd{
			Id: "model-1", Address: "127.0.0.1:9001", Incarnation: incarnation, State: protocol.BackEndState_READY,
		}
	}
	BeforeEach(func() {
		h = newHarness()
		h.accepted("", upsert(server(5)))
	})
	state := func() protocol.BackEndState { return h.state.View().BackEnd("model-1").GetState() }

	It("keep a drained incarnation draining, also after its removal and a restart, until a new incarnation joins", func() {
		h.accepted("", drain("model-1", 5))
		Expect(state()).To(Equal(protocol.BackEndState_DRAINING))
		h.accepted("", upsert(server(5)))
		Expect(state()).To(Equal(protocol.BackEndState_DRAINING))
		Expect(h.state.View().Holds(server(5))).To(BeTrue())
		h.accepted("", removeBackEnd("model-1", 5))
		h.restart()
		h.accepted("", upsert(server(5)))
		Expect(state()).To(Equal(protocol.BackEndState_DRAINING))
		h.accepted("", upsert(server(6)))
		Expect(state()).To(Equal(protocol.BackEndState_READY))
	})

	It("do not drain a later incarnation than the one in the order", func() {
		h.accepted("", upsert(server(6)))
		h.accepted("", drain("model-1", 5))
		Expect(state()).To(Equal(protocol.BackEndState_READY))
		Expect(codes(h.rejected("", upsert(server(5))))).To(Equal("invalid_order"))
	})
})

// plan returns the planner's next steps for the current state when some stores are lost.
func (h *harness) plan(names ...string) []*protocol.MoveShardCommand {
	view := h.state.View()
	lost := map[string]bool{}
	for _, name := range names {
		lost[name] = true
	}
	return placement.Plan(placement.Input{
		Placement: view.Placement, Nodes: view.Membership.GetNodes(), Lost: lost, MaxMoves: 4,
	})
}

// settle carries out the planner's moves and their copies until there are none.
func (h *harness) settle(lost ...string) {
	GinkgoHelper()
	for range 2000 {
		steps := h.plan(lost...)
		for _, step := range steps {
			h.accepted("", moveShard(step))
		}
		copies := h.copyAll(lost...)
		if len(steps) == 0 && copies == 0 {
			return
		}
	}
	Fail("the planner still has moves or copies after 2000 rounds")
}

// copyAll reports every rebuilding replica as copied, except those on lost stores, and returns their number.
func (h *harness) copyAll(lost ...string) int {
	GinkgoHelper()
	copies := 0
	for _, shard := range h.state.View().Placement.GetShards() {
		for _, replicas := range [][]*protocol.Replica{shard.GetCurrent(), shard.GetNext()} {
			for _, replica := range replicas {
				if replica.GetState() != protocol.ReplicaState_REPLICA_REBUILDING || contains(lost, replica.GetStore()) {
					continue
				}
				copies++
				h.accepted("", shardCopied(replica.GetStore(), replica.GetStorageId(), shard.GetShard(),
					h.state.View().Placement.GetEpoch()))
			}
		}
	}
	return copies
}

func contains(list []string, wanted string) bool {
	return slices.Contains(list, wanted)
}

func shardCopied(name, storage string, shard uint32, epoch uint64) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_ShardCopied{ShardCopied: &protocol.ShardCopiedCommand{
		Store: name, StorageId: storage, Shard: shard, Epoch: epoch,
	}}}
}

// joiningStore returns the store that a shard is being moved to.
func joiningStore(h *harness, shard uint32) string {
	GinkgoHelper()
	for _, placed := range h.state.View().Placement.GetShards() {
		if placed.GetShard() != shard {
			continue
		}
		for _, replica := range placed.GetNext() {
			if replica.GetState() == protocol.ReplicaState_REPLICA_REBUILDING {
				return replica.GetStore()
			}
		}
	}
	Fail(fmt.Sprintf("shard %d is not being moved", shard))
	return ""
}

// hasReplica reports whether a shard has a replica on a store or is being moved to it.
func hasReplica(h *harness, shard uint32, name string) bool {
	for _, placed := range h.state.View().Placement.GetShards() {
		for _, replica := range slices.Concat(placed.GetCurrent(), placed.GetNext()) {
			if placed.GetShard() == shard && replica.GetStore() == name {
				return true
			}
		}
	}
	return false
}

var _ = Describe("placement", func() {
	var h *harness
	initialize := &protocol.Command{Body: &protocol.Command_InitializePlacement{
		InitializePlacement: &protocol.InitializePlacementCommand{ShardCount: 64, ReplicaCount: 3},
	}}
	loads := func() map[string]int {
		counts := map[string]int{}
		for _, report := range h.state.View().ReportStores() {
			counts[report.Name] = report.Shards
		}
		return counts
	}
	expectWhole := func() {
		GinkgoHelper()
		for _, shard := range h.state.View().Placement.GetShards() {
			zones := map[string]bool{}
			for _, replica := range shard.GetCurrent() {
				zones[h.state.View().Node(replica.GetStore()).GetZone()] = true
				Expect(replica.GetState()).To(Equal(protocol.ReplicaState_REPLICA_ACTIVE))
			}
			Expect(zones).To(HaveLen(3))
			Expect(shard.GetNext()).To(BeEmpty())
		}
	}
	BeforeEach(func() {
		h = newHarness()
		for number := range 3 {
			h.accepted("", join(store(number, 1, "disk")))
		}
	})

	It("requires stores in distinct zones and spreads the shards evenly over the zones", func() {
		h = newHarness()
		for number := range 4 {
			node := store(number, 1, "disk")
			node.Zone = []string{"z0", "z0", "z1", "z2"}[number]
			if number < 3 {
				h.accepted("", join(node))
				h.rejected("", initialize)
				continue
			}
			h.accepted("", join(node))
		}
		h.accepted("", initialize)
		Expect(loads()).To(Equal(map[string]int{"store-0": 32, "store-1": 32, "store-2": 64, "store-3": 64}))
		expectWhole()
		epoch := h.state.View().Placement.GetEpoch()
		h.accepted("", initialize)
		Expect(h.state.View().Placement.GetEpoch()).To(Equal(epoch))
	})

	It("moves shards to an added store, at most four at a time", func() {
		h.accepted("", initialize)
		Expect(h.plan()).To(BeEmpty())
		h.accepted("", join(store(3, 1, "disk")))
		Expect(h.plan()).To(HaveLen(4))
		for _, step := range h.plan() {
			h.accepted("", moveShard(step))
		}
		Expect(h.plan()).To(BeEmpty())
		h.settle()
		Expect(loads()).To(Equal(map[string]int{"store-0": 48, "store-1": 48, "store-2": 48, "store-3": 48}))
		expectWhole()
	})

	It("marks a store as emptied once every shard has all its replicas elsewhere, and retires it permanently", func() {
		h.accepted("", join(store(3, 1, "disk")))
		h.accepted("", initialize)
		h.accepted("e", emptyStore("store-1"))
		Expect(codes(h.rejected("r1", retireStore("store-1")))).To(Equal("store_not_emptied"))
		h.settle()
		Expect(h.state.View().Placement.GetEmptied()).To(Equal([]string{"store-1"}))
		expectWhole()
		h.accepted("r2", retireStore("store-1"))
		Expect(h.state.View().Node("store-1")).To(BeNil())
		Expect(codes(h.rejected("", join(store(1, 2, "disk"))))).To(Equal("lease_refused"))
		h.restart()
		Expect(codes(h.rejected("", join(store(1, 2, "disk"))))).To(Equal("lease_refused"))
		h.accepted("", join(store(1, 3, "new disk")))
		h.settle()
		Expect(loads()["store-1"]).To(Equal(48))
	})

	It("does not mark a store as emptied while a replica of any shard is being rebuilt", func() {
		h.accepted("", join(store(3, 1, "disk")))
		h.accepted("", join(store(4, 1, "disk")))
		h.accepted("", initialize)
		h.accepted("e", emptyStore("store-1"))
		finish := func(step *protocol.MoveShardCommand) {
			shard := step.GetShard()
			h.accepted("", shardCopied(joiningStore(h, shard), "disk", shard, h.state.View().Placement.GetEpoch()))
		}
		var last *protocol.MoveShardCommand
		for loads()["store-1"] > 1 {
			for _, step := range h.plan() {
				h.accepted("", moveShard(step))
				if loads()["store-1"] == 1 {
					last = step
					break
				}
				finish(step)
			}
		}
		if last == nil {
			last = h.plan()[0]
			h.accepted("", moveShard(last))
		}
		bystander := ""
		for _, number := range []int{0, 2, 3, 4} {
			if name := fmt.Sprint("store-", number); !hasReplica(h, last.GetShard(), name) {
				bystander = name
				h.accepted("", join(store(number, 2, "other disk")))
			}
		}
		Expect(bystander).NotTo(BeEmpty())
		finish(last)
		Expect(loads()["store-1"]).To(BeZero())
		Expect(h.state.View().Placement.GetEmptied()).To(BeEmpty(), "replicas on "+bystander+" are still being rebuilt")
		h.settle()
		expectWhole()
		Expect(h.state.View().Placement.GetEmptied()).To(Equal([]string{"store-1"}))
	})

	It("lets a store that lost its data folder vote again only after a copy that began later", func() {
		h.accepted("", initialize)
		before := h.state.View().Placement.GetEpoch()
		h.accepted("", join(store(1, 2, "other disk")))
		shard := h.state.View().Placement.GetShards()[0]
		Expect(h.plan()).To(BeEmpty())
		rebuilding := 0
		for _, replica := range shard.GetCurrent() {
			if replica.GetState() == protocol.ReplicaState_REPLICA_REBUILDING {
				rebuilding++
				Expect(replica.GetStore()).To(Equal("store-1"))
			}
		}
		Expect(rebuilding).To(Equal(1))
		Expect(codes(h.rejected("", shardCopied("store-1", "disk", 0, before)))).To(Equal("invalid_order"))
		Expect(codes(h.rejected("", shardCopied("store-1", "other disk", 0, before)))).To(Equal("invalid_order"))
		h.settle()
		expectWhole()
	})

	It("moves the shards of a lost store to others and cancels moves to it", func() {
		h.accepted("", initialize)
		h.accepted("", join(store(3, 1, "disk")))
		for _, step := range h.plan() {
			h.accepted("", moveShard(step))
		}
		h.settle("store-3")
		Expect(loads()["store-3"]).To(BeZero())
		h.settle("store-0")
		for name, count := range loads() {
			Expect(count).To(Equal(map[string]int{"store-0": 0, "store-1": 64, "store-2": 64, "store-3": 64}[name]), name)
		}
	})

	It("rejects a step that leaves no majority able to vote, or that is based on an older epoch of the shard", func() {
		h.accepted("", initialize)
		h.accepted("", join(store(3, 1, "disk")))
		step := h.plan()[0]
		stale := &protocol.MoveShardCommand{
			Shard: step.GetShard(), ExpectedEpoch: step.GetExpectedEpoch() - 1,
			Next: step.GetNext(),
		}
		Expect(codes(h.rejected("", moveShard(stale)))).To(Equal("change_under_way"))
		retained := step.GetNext()[0].GetStore()
		h.accepted("", join(store(int(retained[len(retained)-1]-'0'), 2, "other disk")))
		step.ExpectedEpoch = h.state.View().Placement.GetShards()[step.GetShard()].GetEpoch()
		Expect(codes(h.rejected("", moveShard(step)))).To(Equal("change_under_way"))
	})
})
