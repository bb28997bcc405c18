package directory_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("a front node with a fresh start", func() {
	members := []string{"a", "b", "c", "d"}
	var fleet *fleet

	BeforeEach(func() { fleet = newFleet(members...) })

	It("is not awaited by a holder that gained a range", func() {
		session := sessionHeldBy(members, "c", "b")
		fleet.nodes["c"].down = true
		fleet.nodes["d"].freshStart = true
		fleet.publish("b", "a")
		node := fleet.nodes["b"]
		answer, _, _ := node.directory.ServeLookup(node.moment(), &protocol.LookupSessionRequest{Session: session})
		Expect(answer.GetStatus()).To(
			Equal(protocol.DirectoryStatus_DIRECTORY_NOT_FOUND), "a has sent its completion, and d's is not needed",
		)
	})

	It("sends no completion after a mass restart", func() {
		for _, name := range members {
			fleet.nodes[name].freshStart = true
			fleet.nodes[name].reincarnate()
		}
		fleet.sent = nil
		fleet.publish(members...)
		fleet.settle()
		Expect(fleet.sent).To(BeEmpty())
	})

	It("registers its sessions again with the first view that shows it as an owner of sessions", func() {
		owner := fleet.nodes["a"]
		owner.freshStart = true
		fleet.publish(members...)
		session := sessionHeldBy(members, "c", "b")
		owner.resolve(session)
		fleet.nodes["c"].down = true
		// b gains the range and does not await a, which has not received the view.
		fleet.publish("b", "d")
		Expect(fleet.nodes["b"].registeredOwner(session)).To(BeEmpty())
		fleet.nodes["c"].down = false
		owner.freshStart = false
		fleet.sent = nil
		fleet.publish("a")
		Expect(fleet.sent).To(ContainElement(HaveField("GetRegisterSessions()", HaveField("Registrations", HaveLen(1)))))
	})
})
