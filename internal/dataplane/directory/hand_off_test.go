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
		answer, _, _ := holder.directory.ServeLookup(holder.at(), &protocol.LookupSessionRequest{Session: session})
		return answer.GetStatus()
	}
	registerNew := func(fleet *fleet, holder, from, session string) protocol.DirectoryStatus {
		node := fleet.nodes[holder]
		answer, _ := node.directory.ServeRegister(node.at(), &protocol.RegisterSessionsRequest{
			ViewVersion: node.directory.ViewVersion(), Cause: protocol.RegistrationCause_CAUSE_NEW, From: from,
			Registrations: []*protocol.Registration{{
				Session: session, Owner: from, OwnerIncarnation: fleet.nodes[from].self.Incarnation,
			}},
		})
		return answer.GetResults()[0].GetStatus()
	}

	It("answers that it is transferring until every front node sent its completion", func() {
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

	It("is transferring no longer than the timeout when a node is unresponsive, and repeats its requests", func() {
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
		fleet := newFleet(trio...)
		session := sessionHeldBy(trio, "c", "b")
		owner := fleet.nodes["a"]
		owner.resolve(session)
		// c goes and comes back under the same incarnation as far as a can see: a saw neither view, b both.
		before := fleet.nodes["c"].self
		fleet.nodes["c"].down = true
		fleet.publish("b")
		fleet.nodes["c"] = nil
		fleet.names = []string{"a", "b"}
		fresh := fleet.add("c")
		fresh.self = before
		fresh.directory = directory.New(directory.Options{Self: before, Random: rand.New(rand.NewPCG(3, 4))})
		fleet.publish("b", "c")
		view := fleet.view()
		fleet.deliver(view, "b", "c", "a")
		Expect(owner.directory.OnSalvageList(session)).To(BeFalse(), "a saw no change of holder")
		fleet.settle()
		Expect(fresh.registeredOwner(session)).To(Equal("a"))
	})

	It("gets what moved from the former holder when it joins", func() {
		fleet := newFleet("a", "b")
		session := sessionHeldBy(trio, "c", "b")
		fleet.nodes["a"].resolve(session)
		former := fleet.nodes["a"]
		if fleet.nodes["b"].registeredOwner(session) != "" {
			former = fleet.nodes["b"]
		}
		fleet.add("c")
		fleet.sent = nil
		fleet.publish(trio...)
		fleet.settle()
		Expect(fleet.nodes["c"].registeredOwner(session)).To(Equal("a"))
		Expect(former.registeredOwner(session)).To(BeEmpty())
		Expect(former.directory.HandOffLength()).To(BeZero())
		_, handedOff := registrations(fleet, protocol.RegistrationCause_CAUSE_HAND_OFF)
		Expect(handedOff).To(BeNumerically(">", 0))
	})

	It("accepts no registration of an owner that its view no longer has", func() {
		fleet := newFleet(trio...)
		session := sessionHeldBy(trio, "c", "")
		fleet.nodes["a"].down = true
		fleet.publish("b", "c")
		fleet.settle()
		Expect(registerNew(fleet, "c", "a", session)).To(Equal(protocol.DirectoryStatus_INCORRECT_PARTITION))
	})
})

var _ = Describe("a drain", func() {
	It("hands the partition off, yields sessions after their turns and accepts no new ones", func() {
		fleet := newFleet(trio...)
		node := fleet.nodes["c"]
		inPartition := sessionHeldBy(trio, "c", "b")
		fleet.nodes["a"].resolve(inPartition)
		idle, busy := sessionHeldBy(trio, "a", ""), sessionHeldBy(trio, "b", "")
		node.resolve(idle)
		node.resolve(busy)
		code, _ := node.directory.Begin(node.at(), busy)
		Expect(code).To(BeEmpty())

		node.draining = true
		node.handle(directory.DrainBegun{})
		fleet.publish(trio...)
		fleet.settle()
		Expect(node.directory.Drained()).To(BeFalse(), "a turn is in flight")
		Expect(fleet.nodes["a"].registeredOwner(idle)).To(BeEmpty())
		Expect(fleet.nodes["b"].registeredOwner(inPartition)).To(Equal("a"))
		passedOn := node.resolve("never seen")
		Expect(passedOn.Code).To(BeEmpty())
		Expect(passedOn.Owner.Local).To(BeFalse())
		Expect(fleet.nodes[passedOn.Owner.Name].owns("never seen")).To(BeTrue())

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
