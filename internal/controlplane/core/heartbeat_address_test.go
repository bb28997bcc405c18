package core_test

import (
	"fmt"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("the address that a back end is to send its heartbeats to", func() {
	const backEnds = 3000
	var f *fleet
	var net *network
	var leader *member
	BeforeEach(func() {
		f, net = newConnectedFleet(4)
		leader = f.lead(f.members[0])
		f.advance(100 * time.Millisecond)
	})
	// addressesFrom returns the address for each of many back ends of no zone of the core, as one member names it.
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

	It("spreads them over the members that do not lead, and all members name the same", func() {
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

	It("is in the back end's zone, else in its region, while a member there is up", func() {
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

	It("moves away from a member that is unreachable, and of the others none moves", func() {
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
		By("bringing it back")
		net.setPartitioned(f.members[2], false)
		f.advance(2 * relayInterval)
		Expect(addressesFrom(leader)).To(Equal(before))
		Expect(addressesFrom(f.members[1])).To(Equal(before))
	})

	It("is never that of a member whose address is not known, and none while the leader is alone", func() {
		f, net = newConnectedFleet(3)
		f.members[1].core.HttpAddress = ""
		leader = f.lead(f.members[0])
		f.advance(time.Second)
		Expect(counts(addressesFrom(leader))).To(Equal(map[string]int{httpAddress(2): backEnds}))
		net.setPartitioned(f.members[2], true)
		f.advance(relayExpiry)
		Expect(counts(addressesFrom(leader))).To(Equal(map[string]int{"": backEnds}))
	})

	It("follows the leader: a new one names the former one too", func() {
		next := f.lead(f.members[1])
		f.advance(relayInterval)
		counted := counts(addressesFrom(next))
		Expect(counted).To(HaveLen(3))
		Expect(counted).To(HaveKey(httpAddress(0)))
		Expect(counted).NotTo(HaveKey(httpAddress(1)))
	})
})
