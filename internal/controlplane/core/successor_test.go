package core_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/controlplane/core"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("the shards of a lost store", func() {
	const step = 50 * time.Millisecond
	var leader *member
	var f *fleet
	// advance advances the clock while the stores renew their leases and report rebuilding replicas as copied.
	advance := func(duration time.Duration, stores ...*protocol.Node) {
		for range duration / step {
			for _, store := range stores {
				leader.renew(store, nil)
			}
			f.advance(step)
			leader.reportCopies()
		}
	}
	stores := func(numbers ...int) []*protocol.Node {
		var nodes []*protocol.Node
		for _, number := range numbers {
			nodes = append(nodes, storeNode(fmt.Sprintf("s%d", number), fmt.Sprintf("z%d", number)))
		}
		return nodes
	}
	// fullyReplicated reports whether every shard has three active replicas and none of them is on the excluded store.
	fullyReplicated := func(without string) bool {
		for _, shard := range leader.machine.View().Placement.GetShards() {
			if len(shard.GetNext()) > 0 || len(shard.GetCurrent()) != core.DefaultReplicaCount {
				return false
			}
			for _, replica := range shard.GetCurrent() {
				if replica.GetStore() == without || replica.GetState() != protocol.ReplicaState_REPLICA_ACTIVE {
					return false
				}
			}
		}
		return true
	}
	BeforeEach(func() {
		f = newFleet(1, nil)
		leader = f.lead(f.members[0])
		advance(3*time.Second, stores(0, 1, 2, 3)...)
		Expect(leader.machine.View().Placement.GetShards()).To(HaveLen(core.DefaultShardCount))
	})

	It("are on its successor within four seconds after the successor started", func() {
		advance(time.Second, stores(0, 1, 2)...)
		successor := storeNode("s4", "z3")
		advance(4*time.Second, append(stores(0, 1, 2), successor)...)
		Expect(fullyReplicated("s3")).To(BeTrue())
	})

	It("stay in place while the store is unresponsive for the duration of a restart and no other store has joined",
		func() {
			epoch := leader.machine.View().Placement.GetEpoch()
			advance(4*time.Second, stores(0, 1, 2)...)
			advance(time.Second, stores(0, 1, 2, 3)...)
			Expect(leader.machine.View().Placement.GetEpoch()).To(Equal(epoch))
		})

	It("are on the other stores after 40 seconds without a successor", func() {
		advance(40*time.Second, stores(0, 1, 2)...)
		Expect(fullyReplicated("s3")).To(BeTrue())
	})
})

var _ = Describe("the first placement", func() {
	DescribeTable("is made in deployments with few zones or stores as well", func(zones []string, replicas int) {
		f := newFleet(1, nil)
		leader := f.lead(f.members[0])
		for range 100 {
			for number, zone := range zones {
				leader.renew(storeNode(fmt.Sprintf("s%d", number), zone), nil)
			}
			f.advance(50 * time.Millisecond)
		}
		shards := leader.machine.View().Placement.GetShards()
		Expect(shards).To(HaveLen(core.DefaultShardCount))
		for _, shard := range shards {
			holders := map[string]bool{}
			for _, replica := range shard.GetCurrent() {
				holders[replica.GetStore()] = true
			}
			Expect(holders).To(HaveLen(replicas))
		}
	},
		Entry("three zones", []string{"z0", "z1", "z2"}, 3),
		Entry("two zones of two stores", []string{"z0", "z0", "z1", "z1"}, 3),
		Entry("one zone", []string{"z0", "z0", "z0"}, 3),
		Entry("two stores", []string{"z0", "z1"}, 1),
	)
})
