package directory_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

var threeNodes = []string{"a", "b", "c"}

var _ = Describe("a session's owner", func() {
	It("is the node that first registered it; others find it by a lookup and then in their cache", func() {
		fleet := newFleet(threeNodes...)
		session := sessionHeldBy(threeNodes, "c", "")
		first := fleet.nodes["a"].resolve(session)
		Expect(first.Owner.Local).To(BeTrue())
		Expect(first.Owner.PartitionHolder).To(Equal("c"))
		Expect(fleet.nodes["c"].registeredOwner(session)).To(Equal("a"))

		second := fleet.nodes["b"].resolve(session)
		Expect(second.Owner.Name).To(Equal("a"))
		Expect(second.Owner.Address).To(Equal("a:1"))
		Expect(second.Owner.CacheHit).To(BeFalse())
		Expect(fleet.nodes["b"].resolve(session).Owner.CacheHit).To(BeTrue())

		By("looking up the owner again after it is dropped from the cache")
		fleet.nodes["b"].handle(directory.OwnerInvalidated{Session: session})
		Expect(fleet.nodes["b"].resolve(session).Owner.CacheHit).To(BeFalse())
	})

	It("can be the holder itself, without a call", func() {
		fleet := newFleet(threeNodes...)
		fleet.sent = nil
		Expect(fleet.nodes["c"].resolve(sessionHeldBy(threeNodes, "c", "")).Owner.Local).To(BeTrue())
		Expect(fleet.sent).To(BeEmpty())
	})

	It("begins turns only with authority and only for sessions it owns, and registers none without authority", func() {
		fleet := newFleet(threeNodes...)
		node := fleet.nodes["a"]
		session := sessionHeldBy(threeNodes, "b", "")
		node.resolve(session)
		code, _ := node.directory.Begin(node.moment(), session)
		Expect(code).To(BeEmpty())
		code, _ = node.directory.Begin(node.moment(), "another")
		Expect(code).To(Equal(failure.NotOwner))
		node.authority = false
		code, _ = node.directory.Begin(node.moment(), session)
		Expect(code).To(Equal(failure.NoAuthority))
		Expect(node.resolve(sessionHeldBy(threeNodes, "a", "")).Code).To(Equal(failure.NoAuthority))
	})

	It("is looked up once when several turns wait for it", func() {
		fleet := newFleet(threeNodes...)
		node, session := fleet.nodes["a"], sessionHeldBy(threeNodes, "b", "")
		blocked := true
		fleet.intercept = func(string, string, *protocol.Request) (*protocol.Response, bool) { return nil, blocked }
		one, other := node.beginResolve(session), node.beginResolve(session)
		blocked = false
		fleet.advance(resolveTimeout / 2)
		Expect(node.resolved[one].Owner.Local).To(BeTrue())
		Expect(node.resolved[other].Owner.Local).To(BeTrue())
		Expect(node.directory.Stats().RemoteLookups).To(BeNumerically("<=", 4))
	})
})

var _ = Describe("a lookup", func() {
	It("waits for a suspected holder, and fails in time with nothing run", func() {
		fleet := newFleet(threeNodes...)
		node, session := fleet.nodes["a"], sessionHeldBy(threeNodes, "c", "")
		fleet.nodes["c"].down = true
		node.handle(directory.PeerBroken{Address: "c:1"})
		fleet.sent = nil
		ticket := node.beginResolve(session)
		Expect(fleet.sent).To(BeEmpty())
		fleet.advance(resolveTimeout + step)
		Expect(node.resolved[ticket].Code).To(Equal(failure.Unavailable))
		Expect(node.resolved[ticket].RetryAfter).To(BeNumerically(">", 0))

		By("succeeding once a view without the holder arrives")
		fleet.publish("a", "b")
		Expect(node.resolve(session).Owner.Local).To(BeTrue())
	})

	It("is answered with DIRECTORY_SETTLING by a holder with an older view than the requesting node's", func() {
		fleet := newFleet(threeNodes...)
		request := &protocol.LookupSessionRequest{Session: sessionHeldBy(threeNodes, "c", ""), ViewVersion: fleet.version + 1}
		answer, _, _ := fleet.nodes["c"].directory.ServeLookup(fleet.nodes["c"].moment(), request)
		Expect(answer.GetStatus()).To(Equal(protocol.DirectoryStatus_DIRECTORY_SETTLING))
	})
})

var _ = Describe("a first registration whose answer is lost", func() {
	It("is completed although the requesting turn was cancelled", func() {
		fleet := newFleet(threeNodes...)
		node, session := fleet.nodes["a"], sessionHeldBy(threeNodes, "c", "")
		losing := true
		fleet.intercept = func(_, to string, request *protocol.Request) (*protocol.Response, bool) {
			if losing && request.GetLookupSession().GetRegistration() != nil {
				fleet.nodes[to].serve(request)
				return nil, true
			}
			return nil, losing
		}
		ticket := node.beginResolve(session)
		node.handle(directory.ResolveCancelled{Ticket: ticket})
		Expect(node.directory.OnSalvageList(session)).To(BeTrue())
		losing = false
		fleet.settle()
		Expect(node.directory.OnSalvageList(session)).To(BeFalse())
		Expect(fleet.nodes["b"].resolve(session).Owner.Name).To(Equal("a"))
		code, _ := node.directory.Begin(node.moment(), session)
		Expect(code).To(BeEmpty())
	})
})

var _ = Describe("a stale registration", func() {
	It("is withdrawn by the node registered as owner when a turn is forwarded to that node", func() {
		fleet := newFleet(threeNodes...)
		node, holder, session := fleet.nodes["a"], fleet.nodes["c"], sessionHeldBy(threeNodes, "c", "")
		stale := &protocol.RegisterSessionsRequest{
			ViewVersion: fleet.version, Cause: protocol.RegistrationCause_CAUSE_HAND_OFF, From: "b",
			Registrations: []*protocol.Registration{{Session: session, Owner: "a", OwnerIncarnation: node.self.Incarnation}},
		}
		holder.serve(&protocol.Request{Body: &protocol.Request_RegisterSessions{RegisterSessions: stale}})
		Expect(fleet.nodes["b"].resolve(session).Owner.Name).To(Equal("a"))
		code, commands := node.directory.Begin(node.moment(), session)
		Expect(code).To(Equal(failure.NotOwner))
		node.execute(commands)
		Expect(holder.registeredOwner(session)).To(BeEmpty())
		fleet.nodes["b"].handle(directory.OwnerInvalidated{Session: session})
		Expect(fleet.nodes["b"].resolve(session).Owner.Local).To(BeTrue())
	})

	It("is not removed by a late withdrawal of an earlier one", func() {
		fleet := newFleet(threeNodes...)
		holder, session := fleet.nodes["c"], sessionHeldBy(threeNodes, "c", "")
		fleet.nodes["a"].resolve(session)
		registered := holder.directory.Registrations()[0]
		withdraw := func(sequence uint64) {
			request := &protocol.UnregisterSessionsRequest{
				Registrations: []*protocol.Registration{{
					Session: session, Owner: "a", OwnerIncarnation: registered.GetOwnerIncarnation(), Sequence: sequence,
				}},
			}
			holder.serve(&protocol.Request{Body: &protocol.Request_UnregisterSessions{UnregisterSessions: request}})
		}
		withdraw(registered.GetSequence() - 1)
		Expect(holder.registeredOwner(session)).To(Equal("a"))
		withdraw(registered.GetSequence() + 1)
		Expect(holder.registeredOwner(session)).To(BeEmpty())
	})
})
