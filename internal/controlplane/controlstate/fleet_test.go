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
	var w *world
	BeforeEach(func() { w = newWorld() })
	names := func() []string {
		var listed []string
		for _, node := range w.state.View().Membership.GetNodes() {
			listed = append(listed, fmt.Sprintf("%s/%d", node.GetName(), node.GetIncarnation()))
		}
		return listed
	}

	It("ends the former incarnation of a name and of an address at once, and rejects older ones", func() {
		w.accepted("", join(front(1, 10)))
		w.accepted("", join(front(1, 20)))
		Expect(names()).To(Equal([]string{"front-1/20"}))
		Expect(codes(w.rejected("", join(front(1, 15))))).To(Equal("lease_refused"))
		renamed := front(1, 30)
		renamed.Name = "front-9"
		w.accepted("", join(renamed))
		Expect(names()).To(Equal([]string{"front-9/30"}))
		Expect(codes(w.rejected("", join(front(1, 20))))).To(Equal("lease_refused"))
	})

	It("keeps the version while nothing changes and removes no later incarnation", func() {
		w.accepted("", join(front(1, 10)))
		version := w.state.View().Membership.GetVersion()
		w.accepted("", join(front(1, 10)))
		w.accepted("", removeNode("front-1", 9))
		Expect(w.state.View().Membership.GetVersion()).To(Equal(version))
		Expect(names()).To(Equal([]string{"front-1/10"}))
	})
})

var _ = Describe("back ends", func() {
	var w *world
	server := func(incarnation uint64) *protocol.BackEnd {
		return &protocol.BackEnd{
			Id: "model-1", Address: "127.0.0.1:9001", Incarnation: incarnation, State: protocol.BackEndState_READY,
		}
	}
	BeforeEach(func() {
		w = newWorld()
		w.accepted("", upsert(server(5)))
	})
	state := func() protocol.BackEndState { return w.state.View().BackEnd("model-1").GetState() }

	It("keeps a drained incarnation draining, also after it was removed and came back, until a new one starts", func() {
		w.accepted("", drain("model-1", 5))
		Expect(state()).To(Equal(protocol.BackEndState_DRAINING))
		w.accepted("", upsert(server(5)))
		Expect(state()).To(Equal(protocol.BackEndState_DRAINING))
		Expect(w.state.View().Holds(server(5))).To(BeTrue())
		w.accepted("", removeBackEnd("model-1", 5))
		w.restart()
		w.accepted("", upsert(server(5)))
		Expect(state()).To(Equal(protocol.BackEndState_DRAINING))
		w.accepted("", upsert(server(6)))
		Expect(state()).To(Equal(protocol.BackEndState_READY))
	})

	It("does not drain a later incarnation than the one named", func() {
		w.accepted("", upsert(server(6)))
		w.accepted("", drain("model-1", 5))
		Expect(state()).To(Equal(protocol.BackEndState_READY))
		Expect(codes(w.rejected("", upsert(server(5))))).To(Equal("invalid_order"))
	})
})

// plan gives the planner's next steps for the present state.
func (w *world) plan(names ...string) []*protocol.MoveShardCommand {
	view := w.state.View()
	lost := map[string]bool{}
	for _, name := range names {
		lost[name] = true
	}
	return placement.Plan(placement.Input{
		Placement: view.Placement, Nodes: view.Membership.GetNodes(), Lost: lost, MaxMoves: 4,
	})
}

// settle carries out the planner's moves and the copies they ask for until there are none.
func (w *world) settle(lost ...string) {
	GinkgoHelper()
	for range 2000 {
		steps := w.plan(lost...)
		for _, step := range steps {
			w.accepted("", moveShard(step))
		}
		copies := w.copyAll(lost...)
		if len(steps) == 0 && copies == 0 {
			return
		}
	}
	Fail("the planner does not come to rest")
}

// copyAll reports every rebuilding replica as copied, but those on lost stores.
func (w *world) copyAll(lost ...string) int {
	GinkgoHelper()
	copies := 0
	for _, shard := range w.state.View().Placement.GetShards() {
		for _, replicas := range [][]*protocol.Replica{shard.GetCurrent(), shard.GetNext()} {
			for _, replica := range replicas {
				if replica.GetState() != protocol.ReplicaState_REPLICA_REBUILDING || contains(lost, replica.GetStore()) {
					continue
				}
				copies++
				w.accepted("", copied(replica.GetStore(), replica.GetStorageId(), shard.GetShard(),
					w.state.View().Placement.GetEpoch()))
			}
		}
	}
	return copies
}

func contains(list []string, wanted string) bool {
	return slices.Contains(list, wanted)
}

func copied(name, storage string, shard uint32, epoch uint64) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_ShardCopied{ShardCopied: &protocol.ShardCopiedCommand{
		Store: name, StorageId: storage, Shard: shard, Epoch: epoch,
	}}}
}

// joiner is the store that a moving shard is copied to.
func joiner(w *world, shard uint32) string {
	GinkgoHelper()
	for _, placed := range w.state.View().Placement.GetShards() {
		if placed.GetShard() != shard {
			continue
		}
		for _, replica := range placed.GetNext() {
			if replica.GetState() == protocol.ReplicaState_REPLICA_REBUILDING {
				return replica.GetStore()
			}
		}
	}
	Fail("the shard does not move")
	return ""
}

// involves reports whether a shard is on a store or moves to it.
func involves(w *world, shard uint32, name string) bool {
	for _, placed := range w.state.View().Placement.GetShards() {
		for _, replica := range slices.Concat(placed.GetCurrent(), placed.GetNext()) {
			if placed.GetShard() == shard && replica.GetStore() == name {
				return true
			}
		}
	}
	return false
}

var _ = Describe("placement", func() {
	var w *world
	initialize := &protocol.Command{Body: &protocol.Command_InitializePlacement{
		InitializePlacement: &protocol.InitializePlacementCommand{ShardCount: 64, ReplicaCount: 3},
	}}
	loads := func() map[string]int {
		counts := map[string]int{}
		for _, report := range w.state.View().ReportStores() {
			counts[report.Name] = report.Shards
		}
		return counts
	}
	expectWhole := func() {
		GinkgoHelper()
		for _, shard := range w.state.View().Placement.GetShards() {
			zones := map[string]bool{}
			for _, replica := range shard.GetCurrent() {
				zones[w.state.View().Node(replica.GetStore()).GetZone()] = true
				Expect(replica.GetState()).To(Equal(protocol.ReplicaState_REPLICA_ACTIVE))
			}
			Expect(zones).To(HaveLen(3))
			Expect(shard.GetNext()).To(BeEmpty())
		}
	}
	BeforeEach(func() {
		w = newWorld()
		for number := range 3 {
			w.accepted("", join(store(number, 1, "disk")))
		}
	})

	It("waits for stores in distinct zones and then spreads the shards evenly", func() {
		w = newWorld()
		for number := range 4 {
			node := store(number, 1, "disk")
			node.Zone = []string{"z0", "z0", "z1", "z2"}[number]
			if number < 3 {
				w.accepted("", join(node))
				w.rejected("", initialize)
				continue
			}
			w.accepted("", join(node))
		}
		w.accepted("", initialize)
		Expect(loads()).To(Equal(map[string]int{"store-0": 32, "store-1": 32, "store-2": 64, "store-3": 64}))
		expectWhole()
		epoch := w.state.View().Placement.GetEpoch()
		w.accepted("", initialize)
		Expect(w.state.View().Placement.GetEpoch()).To(Equal(epoch))
	})

	It("balances onto a store that was added, a bounded number of shards at a time", func() {
		w.accepted("", initialize)
		Expect(w.plan()).To(BeEmpty())
		w.accepted("", join(store(3, 1, "disk")))
		Expect(w.plan()).To(HaveLen(4))
		for _, step := range w.plan() {
			w.accepted("", moveShard(step))
		}
		Expect(w.plan()).To(BeEmpty())
		w.settle()
		Expect(loads()).To(Equal(map[string]int{"store-0": 48, "store-1": 48, "store-2": 48, "store-3": 48}))
		expectWhole()
	})

	It("acknowledges a store as empty only when every shard has its full set elsewhere, and retires it for good", func() {
		w.accepted("", join(store(3, 1, "disk")))
		w.accepted("", initialize)
		w.accepted("e", emptyStore("store-1"))
		Expect(codes(w.rejected("r1", retireStore("store-1")))).To(Equal("store_not_emptied"))
		w.settle()
		Expect(w.state.View().Placement.GetEmptied()).To(Equal([]string{"store-1"}))
		expectWhole()
		w.accepted("r2", retireStore("store-1"))
		Expect(w.state.View().Node("store-1")).To(BeNil())
		Expect(codes(w.rejected("", join(store(1, 2, "disk"))))).To(Equal("lease_refused"))
		w.restart()
		Expect(codes(w.rejected("", join(store(1, 2, "disk"))))).To(Equal("lease_refused"))
		w.accepted("", join(store(1, 3, "new disk")))
		w.settle()
		Expect(loads()["store-1"]).To(Equal(48))
	})

	It("does not acknowledge a store as empty while another replica of a shard is being rebuilt", func() {
		w.accepted("", join(store(3, 1, "disk")))
		w.accepted("", join(store(4, 1, "disk")))
		w.accepted("", initialize)
		w.accepted("e", emptyStore("store-1"))
		finish := func(step *protocol.MoveShardCommand) {
			shard := step.GetShard()
			w.accepted("", copied(joiner(w, shard), "disk", shard, w.state.View().Placement.GetEpoch()))
		}
		var last *protocol.MoveShardCommand
		for loads()["store-1"] > 1 {
			for _, step := range w.plan() {
				w.accepted("", moveShard(step))
				if loads()["store-1"] == 1 {
					last = step
					break
				}
				finish(step)
			}
		}
		if last == nil {
			last = w.plan()[0]
			w.accepted("", moveShard(last))
		}
		bystander := ""
		for _, number := range []int{0, 2, 3, 4} {
			if name := fmt.Sprint("store-", number); !involves(w, last.GetShard(), name) {
				bystander = name
				w.accepted("", join(store(number, 2, "other disk")))
			}
		}
		Expect(bystander).NotTo(BeEmpty())
		finish(last)
		Expect(loads()["store-1"]).To(BeZero())
		Expect(w.state.View().Placement.GetEmptied()).To(BeEmpty(), "shards of "+bystander+" lack a replica")
		w.settle()
		expectWhole()
		Expect(w.state.View().Placement.GetEmptied()).To(Equal([]string{"store-1"}))
	})

	It("lets a store that lost its folder vote again only after a copy begun since then", func() {
		w.accepted("", initialize)
		before := w.state.View().Placement.GetEpoch()
		w.accepted("", join(store(1, 2, "other disk")))
		shard := w.state.View().Placement.GetShards()[0]
		Expect(w.plan()).To(BeEmpty())
		rebuilding := 0
		for _, replica := range shard.GetCurrent() {
			if replica.GetState() == protocol.ReplicaState_REPLICA_REBUILDING {
				rebuilding++
				Expect(replica.GetStore()).To(Equal("store-1"))
			}
		}
		Expect(rebuilding).To(Equal(1))
		Expect(codes(w.rejected("", copied("store-1", "disk", 0, before)))).To(Equal("invalid_order"))
		Expect(codes(w.rejected("", copied("store-1", "other disk", 0, before)))).To(Equal("invalid_order"))
		w.settle()
		expectWhole()
	})

	It("places the shards of a store lost for good elsewhere and cancels moves towards it", func() {
		w.accepted("", initialize)
		w.accepted("", join(store(3, 1, "disk")))
		for _, step := range w.plan() {
			w.accepted("", moveShard(step))
		}
		w.settle("store-3")
		Expect(loads()["store-3"]).To(BeZero())
		w.settle("store-0")
		for name, count := range loads() {
			Expect(count).To(Equal(map[string]int{"store-0": 0, "store-1": 64, "store-2": 64, "store-3": 64}[name]), name)
		}
	})

	It("rejects a step that would leave no majority able to vote, or that was planned on an older placement", func() {
		w.accepted("", initialize)
		w.accepted("", join(store(3, 1, "disk")))
		step := w.plan()[0]
		stale := &protocol.MoveShardCommand{
			Shard: step.GetShard(), ExpectedEpoch: step.GetExpectedEpoch() - 1,
			Next: step.GetNext(),
		}
		Expect(codes(w.rejected("", moveShard(stale)))).To(Equal("change_under_way"))
		retained := step.GetNext()[0].GetStore()
		w.accepted("", join(store(int(retained[len(retained)-1]-'0'), 2, "other disk")))
		step.ExpectedEpoch = w.state.View().Placement.GetShards()[step.GetShard()].GetEpoch()
		Expect(codes(w.rejected("", moveShard(step)))).To(Equal("change_under_way"))
	})
})
