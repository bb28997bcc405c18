package directory_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("a front node that has owned nothing", func() {
	members := []string{"a", "b", "c", "d"}
	var fleet *fleet

	BeforeEach(func() { fleet = newFleet(members...) })

	It("is not waited for by a holder that gained a range", func() {
		session := heldBy(members, "c", "b")
		fleet.nodes["c"].gone = true
		fleet.nodes["d"].nothing = true
		fleet.publish("b", "a")
		node := fleet.nodes["b"]
		answer, _, _ := node.directory.ServeLookup(node.at(), &protocol.LookupSessionRequest{Session: session})
		Expect(answer.GetStatus()).To(Equal(protocol.DirectoryStatus_DIRECTORY_NOT_FOUND), "a has said complete, and d owes no word")
	})

	It("tells nobody so when the whole fleet has returned", func() {
		for _, name := range members {
			fleet.nodes[name].nothing = true
			fleet.nodes[name].reincarnate()
		}
		fleet.sent = nil
		fleet.publish(members...)
		fleet.settle()
		Expect(fleet.sent).To(BeEmpty())
	})

	It("registers what it owns anew with the first view that shows that it owns any", func() {
		owner := fleet.nodes["a"]
		owner.nothing = true
		fleet.publish(members...)
		session := heldBy(members, "c", "b")
		owner.resolve(session)
		fleet.nodes["c"].gone = true
		// b gains the range and does not wait for a, which has not seen the view.
		fleet.publish("b", "d")
		Expect(fleet.nodes["b"].registeredOwner(session)).To(BeEmpty())
		fleet.nodes["c"].gone = false
		owner.nothing = false
		fleet.sent = nil
		fleet.publish("a")
		Expect(fleet.sent).To(ContainElement(HaveField("GetRegisterSessions()", HaveField("Registrations", HaveLen(1)))))
	})
})
