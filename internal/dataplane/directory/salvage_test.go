package directory_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// ownSessions makes a node the owner of count sessions whose registrations the holder holds.
func ownSessions(fleet *fleet, owner, holder string, count int) []string {
	var sessions []string
	for i := 0; len(sessions) < count; i++ {
		session := fmt.Sprintf("taken-%s-%d", owner, i)
		if fleet.nodes[owner].resolve(session).Owner.PartitionHolder == holder {
			sessions = append(sessions, session)
		}
	}
	return sessions
}

func countRegistrations(fleet *fleet, cause protocol.RegistrationCause) (requests, sessions int) {
	for _, request := range fleet.sent {
		if register := request.GetRegisterSessions(); register.GetCause() == cause && len(register.GetRegistrations()) > 0 {
			requests++
			sessions += len(register.GetRegistrations())
		}
	}
	return requests, sessions
}

var _ = Describe("the loss of a partition holder", func() {
	It("ends no session: the owners register their sessions again with the new holders, in batches", func() {
		fleet := newFleet(threeNodes...)
		sessions := ownSessions(fleet, "a", "c", 40)
		fleet.nodes["c"].down = true
		fleet.sent = nil
		fleet.publish("a", "b")
		fleet.settle()
		requests, registered := countRegistrations(fleet, protocol.RegistrationCause_CAUSE_SALVAGE)
		Expect(registered).To(BeNumerically(">", 0))
		Expect(requests).To(BeNumerically("<=", 2))
		Expect(fleet.nodes["a"].yielded).To(BeEmpty())
		Expect(fleet.nodes["a"].directory.SalvageLength()).To(BeZero())
		for _, session := range sessions {
			Expect(fleet.nodes["b"].resolve(session).Owner.Name).To(Equal("a"))
		}
	})

	It("keeps a session on the salvage list, and usable, until the new holder has received the view", func() {
		fleet := newFleet(threeNodes...)
		session := sessionHeldBy(threeNodes, "c", "b")
		owner := fleet.nodes["a"]
		owner.resolve(session)
		fleet.nodes["c"].down = true
		view := fleet.publish("a")
		fleet.advance(500 * time.Millisecond)
		Expect(owner.directory.OnSalvageList(session)).To(BeTrue())
		code, _ := owner.directory.Begin(owner.moment(), session)
		Expect(code).To(BeEmpty())
		rejections := owner.directory.Stats().IncorrectPartition
		Expect(rejections).To(And(BeNumerically(">=", 3), BeNumerically("<=", 9)), "the delay between attempts grows")

		fleet.deliver(view, "b")
		fleet.settle()
		Expect(owner.directory.OnSalvageList(session)).To(BeFalse())
		Expect(fleet.nodes["b"].registeredOwner(session)).To(Equal("a"))
	})

	It("keeps a session on the salvage list through lost calls and further changes of holder", func() {
		members := []string{"a", "b", "c", "d"}
		fleet := newFleet(members...)
		session := sessionHeldBy(members, "c", "b")
		fleet.nodes["a"].resolve(session)
		lost := true
		fleet.intercept = func(from, _ string, _ *protocol.Request) (*protocol.Response, bool) {
			return nil, lost && from == "a"
		}
		fleet.nodes["c"].down = true
		fleet.publish("a", "b", "d")
		fleet.advance(time.Second)
		fleet.nodes["b"].down = true
		fleet.publish("a", "d")
		fleet.advance(time.Second)
		Expect(fleet.nodes["a"].directory.OnSalvageList(session)).To(BeTrue())
		lost = false
		fleet.settle()
		Expect(fleet.nodes["a"].directory.OnSalvageList(session)).To(BeFalse())
		Expect(fleet.nodes["d"].resolve(session).Owner.Name).To(Equal("a"))
	})

	It("ends the sessions registered with it under the end-sessions policy, after their turns", func() {
		fleet := newFleet(threeNodes...)
		owner := fleet.nodes["a"]
		owner.handle(
			directory.PolicyChanged{
				Policy: directory.NewPolicy(&protocol.RecoveryPolicy{SalvageMode: protocol.SalvageMode_END_SESSIONS}),
			},
		)
		idle, busy := sessionHeldBy(threeNodes, "c", "b"), sessionHeldBy(threeNodes, "c", "a")
		unaffected := sessionHeldBy(threeNodes, "b", "")
		for _, session := range []string{idle, busy, unaffected} {
			owner.resolve(session)
		}
		code, _ := owner.directory.Begin(owner.moment(), busy)
		Expect(code).To(BeEmpty())
		fleet.nodes["c"].down = true
		fleet.publish("a", "b")
		fleet.settle()
		Expect(owner.yielded).To(ConsistOf(directory.Yielded{Session: idle, Reason: directory.YieldEnded}))
		owner.handle(directory.GrantEnded{Session: busy})
		Expect(owner.yielded).To(ContainElement(directory.Yielded{Session: busy, Reason: directory.YieldEnded}))
		Expect(owner.owns(unaffected)).To(BeTrue())
	})
})

var _ = Describe("two owners of one session", func() {
	// twoOwners makes both a and b owners of a session whose holder c is lost: b registers it while a is partitioned.
	twoOwners := func(policy directory.Policy) (*fleet, string) {
		fleet := newFleet(threeNodes...)
		for _, name := range threeNodes {
			fleet.nodes[name].handle(directory.PolicyChanged{Policy: policy})
		}
		session := sessionHeldBy(threeNodes, "c", "b")
		fleet.nodes["a"].resolve(session)
		partitioned := true
		fleet.intercept = func(from, to string, _ *protocol.Request) (*protocol.Response, bool) {
			return nil, partitioned && (from == "a" || to == "a")
		}
		fleet.nodes["c"].down = true
		fleet.publish("a", "b")
		fleet.advance(directory.DefaultTransferTimeout + time.Second)
		Expect(fleet.nodes["b"].resolve(session).Owner.Local).To(BeTrue())
		partitioned = false
		return fleet, session
	}

	It("are reduced to the first registrant once the second has committed its turn and yielded", func() {
		fleet, session := twoOwners(directory.NewPolicy(nil))
		late := fleet.nodes["a"]
		code, _ := late.directory.Begin(late.moment(), session)
		Expect(code).To(BeEmpty())
		fleet.settle()
		Expect(late.directory.OnSalvageList(session)).To(BeFalse(), "a rejection removes it from the salvage list")
		Expect(late.owns(session)).To(BeTrue(), "the turn in flight is finished first")
		code, _ = late.directory.Begin(late.moment(), session)
		Expect(code).To(Equal(failure.NotOwner), "no further turn is begun")
		late.handle(directory.GrantEnded{Session: session})
		Expect(late.yielded).To(ConsistOf(directory.Yielded{Session: session, Reason: directory.YieldDuplicate}))
		Expect(late.resolve(session).Owner.Name).To(Equal("b"))
	})

	It("are reduced to the one with the higher view version under that policy, whichever registers second", func() {
		fleet, session := twoOwners(directory.Policy{HigherViewVersion: true, BatchSize: 10, RetryDelay: time.Millisecond})
		fleet.settle()
		Expect(fleet.nodes["a"].owns(session)).To(BeFalse())
		Expect(fleet.nodes["b"].owns(session)).To(BeTrue())
	})

	It("are reduced to one although the displaced owner is missing from the holder's older view", func() {
		fleet := newFleet(threeNodes...)
		policy := directory.Policy{HigherViewVersion: true, BatchSize: 10, RetryDelay: time.Millisecond}
		holder, displaced, newOwner := fleet.nodes["c"], fleet.nodes["a"], fleet.nodes["b"]
		holder.handle(directory.PolicyChanged{Policy: policy})
		session := sessionHeldBy(threeNodes, "c", "")
		displaced.resolve(session)
		// The displaced owner returns under a new incarnation, in a view that all nodes but the holder receive.
		displaced.reincarnate()
		view := fleet.publish("a", "b")
		fleet.settle()
		Expect(displaced.directory.OnSalvageList(session)).To(BeFalse())
		register := &protocol.RegisterSessionsRequest{
			ViewVersion: fleet.version, Cause: protocol.RegistrationCause_CAUSE_SALVAGE, From: "b",
			Registrations: []*protocol.Registration{{
				Session: session, Owner: "b", OwnerIncarnation: newOwner.self.Incarnation, ViewVersion: fleet.version,
			}},
		}
		holder.serve(&protocol.Request{Body: &protocol.Request_RegisterSessions{RegisterSessions: register}})
		Expect(displaced.owns(session)).To(BeTrue())
		fleet.deliver(view, "c")
		fleet.settle()
		Expect(displaced.owns(session)).To(BeFalse())
		Expect(displaced.yielded).To(ConsistOf(directory.Yielded{Session: session, Reason: directory.YieldDisplaced}))
	})
})

var _ = Describe("a node that lost its authority", func() {
	It("returns with its sessions, which it may use only once they are registered again", func() {
		fleet := newFleet(threeNodes...)
		node, session := fleet.nodes["a"], sessionHeldBy(threeNodes, "c", "")
		node.resolve(session)
		blocked := true
		fleet.intercept = func(from, _ string, _ *protocol.Request) (*protocol.Response, bool) {
			return nil, blocked && from == "a"
		}
		node.reincarnate()
		fleet.publish(threeNodes...)
		code, _ := node.directory.Begin(node.moment(), session)
		Expect(code).To(Equal(failure.NoAuthority))
		Expect(node.directory.PartitionSize()).To(BeZero())
		blocked = false
		fleet.settle()
		code, _ = node.directory.Begin(node.moment(), session)
		Expect(code).To(BeEmpty())
		Expect(fleet.nodes["b"].resolve(session).Owner.Incarnation).To(Equal(node.self.Incarnation))
	})

	It("yields a session that another node took over in the meantime", func() {
		fleet := newFleet(threeNodes...)
		node, session := fleet.nodes["a"], sessionHeldBy(threeNodes, "c", "")
		node.resolve(session)
		node.down = true
		fleet.publish("b", "c")
		fleet.settle()
		Expect(fleet.nodes["b"].resolve(session).Owner.Local).To(BeTrue())
		node.down = false
		node.reincarnate()
		fleet.publish(threeNodes...)
		fleet.settle()
		Expect(node.owns(session)).To(BeFalse())
		Expect(node.resolve(session).Owner.Name).To(Equal("b"))
	})
})
