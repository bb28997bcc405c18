package directory_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("a holder that gained a range", func() {
	lookup := func(holder *member, session string) protocol.DirectoryStatus {
		answer, _, _ := holder.directory.ServeLookup(holder.moment(), &protocol.LookupSessionRequest{Session: session})
		return answer.GetStatus()
	}
	registerNew := func(fleet *fleet, holder, from, session string) protocol.DirectoryStatus {
		node := fleet.nodes[holder]
		answer, _ := node.directory.ServeRegister(node.moment(), &protocol.RegisterSessionsRequest{
			ViewVersion: node.directory.ViewVersion(), Cause: protocol.RegistrationCause_CAUSE_NEW, From: from,
			Registrations: []*protocol.Registration{{
				Session: session, Owner: from, OwnerIncarnation: fleet.nodes[from].self.Incarnation,
			}},
		})
		return answer.GetResults()[0].GetStatus()
	}

	It("answers DIRECTORY_SETTLING until every front node has sent its completion", func() {
		members := []string{"a", "b", "c", "d"}
		fleet := newFleet(members...)
		session := sessionHeldBy(members, "c", "b")
		fleet.nodes["c"].down = true
		view := fleet.publish("b", "a")
		Expect(lookup(fleet.nodes["b"], session)).To(Equal(protocol.DirectoryStatus_DIRECTORY_SETTLING))
		Expect(registerNew(fleet, "b", "a", session)).To(Equal(protocol.DirectoryStatus_DIRECTORY_SETTLING))
		fleet.deliver(view, "d")
		Expect(lookup(fleet.nodes["b"], session)).To(Equal(protocol.DirectoryStatus_DIRECTORY_NOT_FOUND))
		Expect(registerNew(fleet, "b", "a", session)).To(Equal(protocol.DirectoryStatus_DIRECTORY_OK))
	})

	It("ends the transfer after the timeout when a node is unresponsive, and repeats its requests", func() {
		members := []string{"a", "b", "c", "d"}
		fleet := newFleet(members...)
		session := sessionHeldBy(members, "c", "b")
		fleet.nodes["c"].down = true
		fleet.nodes["d"].authority = false
		fleet.publish("a", "b")
		fleet.advance(directory.DefaultTransferTimeout - 100*time.Millisecond)
		Expect(lookup(fleet.nodes["b"], session)).To(Equal(protocol.DirectoryStatus_DIRECTORY_SETTLING))
		fleet.advance(200 * time.Millisecond)
		Expect(lookup(fleet.nodes["b"], session)).To(Equal(protocol.DirectoryStatus_DIRECTORY_NOT_FOUND))
		requestsBefore := fleet.nodes["b"].directory.Stats().ReregistrationRequests
		fleet.advance(10 * time.Second)
		Expect(fleet.nodes["b"].directory.Stats().ReregistrationRequests).To(BeNumerically(">", requestsBefore))
	})

	It("requests reregistration of a node that skipped the view", func() {
		fleet := newFleet(threeNodes...)
		session := sessionHeldBy(threeNodes, "c", "b")
		owner := fleet.nodes["a"]
		owner.resolve(session)
		// c leaves and rejoins under the same incarnation; b receives both views, a neither.
		before := fleet.nodes["c"].self
		fleet.nodes["c"].down = true
		fleet.publish("b")
		fleet.nodes["c"] = nil
		fleet.names = []string{"a", "b"}
		rejoined := fleet.add("c")
		rejoined.self = before
		rejoined.directory = directory.New(directory.Options{Self: before, Random: rand.New(rand.NewPCG(3, 4))})
		fleet.publish("b", "c")
		view := fleet.view()
		fleet.deliver(view, "b", "c", "a")
		Expect(owner.directory.OnSalvageList(session)).To(BeFalse(), "a saw no change of holder")
		fleet.settle()
		Expect(rejoined.registeredOwner(session)).To(Equal("a"))
	})

	It("receives the registrations of its ranges from the former holder when it joins", func() {
		fleet := newFleet("a", "b")
		session := sessionHeldBy(threeNodes, "c", "b")
		fleet.nodes["a"].resolve(session)
		former := fleet.nodes["a"]
		if fleet.nodes["b"].registeredOwner(session) != "" {
			former = fleet.nodes["b"]
		}
		fleet.add("c")
		fleet.sent = nil
		fleet.publish(threeNodes...)
		fleet.settle()
		Expect(fleet.nodes["c"].registeredOwner(session)).To(Equal("a"))
		Expect(former.registeredOwner(session)).To(BeEmpty())
		Expect(former.directory.HandOffLength()).To(BeZero())
		_, handedOff := countRegistrations(fleet, protocol.RegistrationCause_CAUSE_HAND_OFF)
		Expect(handedOff).To(BeNumerically(">", 0))
	})

	It("rejects the registration of an owner that is no longer in its view", func() {
		fleet := newFleet(threeNodes...)
		session := sessionHeldBy(threeNodes, "c", "")
		fleet.nodes["a"].down = true
		fleet.publish("b", "c")
		fleet.settle()
		Expect(registerNew(fleet, "c", "a", session)).To(Equal(protocol.DirectoryStatus_INCORRECT_PARTITION))
	})
})

var _ = Describe("a drain", func() {
	It("hands off the partition, yields sessions after their turns and accepts no new ones", func() {
		fleet := newFleet(threeNodes...)
		node := fleet.nodes["c"]
		inPartition := sessionHeldBy(threeNodes, "c", "b")
		fleet.nodes["a"].resolve(inPartition)
		idle, busy := sessionHeldBy(threeNodes, "a", ""), sessionHeldBy(threeNodes, "b", "")
		node.resolve(idle)
		node.resolve(busy)
		code, _ := node.directory.Begin(node.moment(), busy)
		Expect(code).To(BeEmpty())

		node.draining = true
		node.handle(directory.DrainBegun{})
		fleet.publish(threeNodes...)
		fleet.settle()
		Expect(node.directory.Drained()).To(BeFalse(), "a turn is in flight")
		Expect(fleet.nodes["a"].registeredOwner(idle)).To(BeEmpty())
		Expect(fleet.nodes["b"].registeredOwner(inPartition)).To(Equal("a"))
		newSession := node.resolve("never seen")
		Expect(newSession.Code).To(BeEmpty())
		Expect(newSession.Owner.Local).To(BeFalse())
		Expect(fleet.nodes[newSession.Owner.Name].owns("never seen")).To(BeTrue())

		node.handle(directory.GrantEnded{Session: busy})
		fleet.settle()
		Expect(node.directory.Drained()).To(BeTrue())
		Expect(node.yielded).To(HaveLen(2))
		Expect(fleet.nodes["a"].resolve(busy).Owner.Local).To(BeTrue())
	})

	It("ends immediately when no other node is left", func() {
		fleet := newFleet("a")
		node := fleet.nodes["a"]
		node.resolve("session")
		node.draining = true
		node.handle(directory.DrainBegun{})
		fleet.publish("a")
		Expect(node.directory.Drained()).To(BeTrue())
	})
})
