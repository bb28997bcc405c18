package core_test

import (
	"fmt"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("the heartbeat address of a back end", func() {
	const backEnds = 3000
	var f *fleet
	var net *network
	var leader *member
	BeforeEach(func() {
		f, net = newConnectedFleet(4)
		leader = f.lead(f.members[0])
		f.advance(100 * time.Millisecond)
	})
	// addressesFrom returns the address that a member assigns to each of many back ends outside all zones of the core.
	addressesFrom := func(m *member) map[string]string {
		addresses := map[string]string{}
		for number := range backEnds {
			id := fmt.Sprint("server-", number)
			addresses[id] = m.service.HeartbeatAddress(&protocol.BackEnd{Id: id, Zone: "elsewhere"})
		}
		return addresses
	}
	counts := func(addresses map[string]string) map[string]int {
		counted := map[string]int{}
		for _, address := range addresses {
			counted[address]++
		}
		return counted
	}
	httpAddress := func(index int) string { return f.members[index].core.GetHttpAddress() }

	It("is spread evenly over the followers and is the same from every member", func() {
		addresses := addressesFrom(leader)
		counted := counts(addresses)
		Expect(counted).To(HaveLen(3))
		Expect(counted).NotTo(HaveKey(httpAddress(0)))
		for address, count := range counted {
			Expect(count).To(BeNumerically("~", backEnds/3, backEnds/30), address)
		}
		f.advance(time.Second)
		for _, m := range f.members {
			Expect(addressesFrom(m)).To(Equal(addresses), m.core.GetName())
		}
	})

	It("is that of a follower in the back end's zone, else in its region, if there is one", func() {
		f.members[3].core.Region = "south"
		for number := range 100 {
			sameZone := &protocol.BackEnd{Id: strconv.Itoa(number), Zone: "zone-c"}
			Expect(leader.service.HeartbeatAddress(sameZone)).To(Equal(httpAddress(2)))
			sameRegion := &protocol.BackEnd{Id: strconv.Itoa(number), Zone: "elsewhere", Region: "south"}
			Expect(leader.service.HeartbeatAddress(sameRegion)).To(Equal(httpAddress(3)))
			leaderZone := &protocol.BackEnd{Id: strconv.Itoa(number), Zone: "zone-a"}
			Expect(leader.service.HeartbeatAddress(leaderZone)).NotTo(Equal(httpAddress(0)))
		}
	})

	It("moves away from an unreachable member and otherwise stays the same", func() {
		before := addressesFrom(leader)
		net.setPartitioned(f.members[2], true)
		f.advance(relayExpiry)
		for _, m := range []*member{leader, f.members[1], f.members[3]} {
			after := addressesFrom(m)
			Expect(counts(after)).NotTo(HaveKey(httpAddress(2)))
			for id, address := range before {
				if address != httpAddress(2) {
					Expect(after[id]).To(Equal(address))
				}
			}
		}
		By("healing the partition")
		net.setPartitioned(f.members[2], false)
		f.advance(2 * relayInterval)
		Expect(addressesFrom(leader)).To(Equal(before))
		Expect(addressesFrom(f.members[1])).To(Equal(before))
	})

	It("is never that of a member without a known address, and is empty while no follower is reachable", func() {
		f, net = newConnectedFleet(3)
		f.members[1].core.HttpAddress = ""
		leader = f.lead(f.members[0])
		f.advance(time.Second)
		Expect(counts(addressesFrom(leader))).To(Equal(map[string]int{httpAddress(2): backEnds}))
		net.setPartitioned(f.members[2], true)
		f.advance(relayExpiry)
		Expect(counts(addressesFrom(leader))).To(Equal(map[string]int{"": backEnds}))
	})

	It("may be that of the former leader after a change of leader, but not that of the new one", func() {
		next := f.lead(f.members[1])
		f.advance(relayInterval)
		counted := counts(addressesFrom(next))
		Expect(counted).To(HaveLen(3))
		Expect(counted).To(HaveKey(httpAddress(0)))
		Expect(counted).NotTo(HaveKey(httpAddress(1)))
	})
})
