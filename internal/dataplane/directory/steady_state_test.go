package directory_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

var trio = []string{"a", "b", "c"}

var _ = Describe("a session's owner", func() {
	It("is the node that first registered it, and others find it, the second time in their cache", func() {
		fleet := newFleet(trio...)
		session := sessionHeldBy(trio, "c", "")
		first := fleet.nodes["a"].resolve(session)
		Expect(first.Owner.Local).To(BeTrue())
		Expect(first.Owner.PartitionHolder).To(Equal("c"))
		Expect(fleet.nodes["c"].registeredOwner(session)).To(Equal("a"))

		second := fleet.nodes["b"].resolve(session)
		Expect(second.Owner.Name).To(Equal("a"))
		Expect(second.Owner.Address).To(Equal("a:1"))
		Expect(second.Owner.CacheHit).To(BeFalse())
		Expect(fleet.nodes["b"].resolve(session).Owner.CacheHit).To(BeTrue())

		By("being looked up again after it was forgotten")
		fleet.nodes["b"].handle(directory.OwnerInvalidated{Session: session})
		Expect(fleet.nodes["b"].resolve(session).Owner.CacheHit).To(BeFalse())
	})

	It("can be the holder itself, without a message", func() {
		fleet := newFleet(trio...)
		fleet.sent = nil
		Expect(fleet.nodes["c"].resolve(sessionHeldBy(trio, "c", "")).Owner.Local).To(BeTrue())
		Expect(fleet.sent).To(BeEmpty())
	})

	It("begins turns only with authority, only of sessions it owns, and gives no answer as owner without a lease", func() {
		fleet := newFleet(trio...)
		node := fleet.nodes["a"]
		session := sessionHeldBy(trio, "b", "")
		node.resolve(session)
		code, _ := node.directory.Begin(node.at(), session)
		Expect(code).To(BeEmpty())
		code, _ = node.directory.Begin(node.at(), "another")
		Expect(code).To(Equal(failure.NotOwner))
		node.authority = false
		code, _ = node.directory.Begin(node.at(), session)
		Expect(code).To(Equal(failure.NoAuthority))
		Expect(node.resolve(sessionHeldBy(trio, "a", "")).Code).To(Equal(failure.NoAuthority))
	})

	It("is looked up once when several turns wait for it", func() {
		fleet := newFleet(trio...)
		node, session := fleet.nodes["a"], sessionHeldBy(trio, "b", "")
		blocked := true
		fleet.intercept = func(string, string, *protocol.Request) (*protocol.Response, bool) { return nil, blocked }
		one, other := node.request(session), node.request(session)
		blocked = false
		fleet.advance(resolveTimeout / 2)
		Expect(node.resolved[one].Owner.Local).To(BeTrue())
		Expect(node.resolved[other].Owner.Local).To(BeTrue())
		Expect(node.directory.Stats().RemoteLookups).To(BeNumerically("<=", 4))
	})
})

var _ = Describe("a lookup", func() {
	It("waits for a suspected holder, and fails in time with nothing run", func() {
		fleet := newFleet(trio...)
		node, session := fleet.nodes["a"], sessionHeldBy(trio, "c", "")
		fleet.nodes["c"].down = true
		node.handle(directory.PeerBroken{Address: "c:1"})
		fleet.sent = nil
		ticket := node.request(session)
		Expect(fleet.sent).To(BeEmpty())
		fleet.advance(resolveTimeout + step)
		Expect(node.resolved[ticket].Code).To(Equal(failure.Unavailable))
		Expect(node.resolved[ticket].RetryAfter).To(BeNumerically(">", 0))

		By("succeeding once the lease has decided")
		fleet.publish("a", "b")
		Expect(node.resolve(session).Owner.Local).To(BeTrue())
	})

	It("is answered as transferring by a holder that is behind the requesting node's view", func() {
		fleet := newFleet(trio...)
		request := &protocol.LookupSessionRequest{Session: sessionHeldBy(trio, "c", ""), ViewVersion: fleet.version + 1}
		answer, _, _ := fleet.nodes["c"].directory.ServeLookup(fleet.nodes["c"].at(), request)
		Expect(answer.GetStatus()).To(Equal(protocol.DirectoryStatus_DIRECTORY_SETTLING))
	})
})

var _ = Describe("a first registration whose answer is lost", func() {
	It("is completed although the requesting turn was cancelled", func() {
		fleet := newFleet(trio...)
		node, session := fleet.nodes["a"], sessionHeldBy(trio, "c", "")
		lose := true
		fleet.intercept = func(_, to string, request *protocol.Request) (*protocol.Response, bool) {
			if lose && request.GetLookupSession().GetRegistration() != nil {
				fleet.nodes[to].serve(request)
				return nil, true
			}
			return nil, lose
		}
		ticket := node.request(session)
		node.handle(directory.ResolveCancelled{Ticket: ticket})
		Expect(node.directory.OnSalvageList(session)).To(BeTrue())
		lose = false
		fleet.settle()
		Expect(node.directory.OnSalvageList(session)).To(BeFalse())
		Expect(fleet.nodes["b"].resolve(session).Owner.Name).To(Equal("a"))
		code, _ := node.directory.Begin(node.at(), session)
		Expect(code).To(BeEmpty())
	})
})

var _ = Describe("a stale registration", func() {
	It("is withdrawn by the node that it names when a turn is forwarded to it", func() {
		fleet := newFleet(trio...)
		node, holder, session := fleet.nodes["a"], fleet.nodes["c"], sessionHeldBy(trio, "c", "")
		stale := &protocol.RegisterSessionsRequest{
			ViewVersion: fleet.version, Cause: protocol.RegistrationCause_CAUSE_HAND_OFF, From: "b",
			Registrations: []*protocol.Registration{{Session: session, Owner: "a", OwnerIncarnation: node.self.Incarnation}},
		}
		holder.serve(&protocol.Request{Body: &protocol.Request_RegisterSessions{RegisterSessions: stale}})
		Expect(fleet.nodes["b"].resolve(session).Owner.Name).To(Equal("a"))
		code, commands := node.directory.Begin(node.at(), session)
		Expect(code).To(Equal(failure.NotOwner))
		node.execute(commands)
		Expect(holder.registeredOwner(session)).To(BeEmpty())
		fleet.nodes["b"].handle(directory.OwnerInvalidated{Session: session})
		Expect(fleet.nodes["b"].resolve(session).Owner.Local).To(BeTrue())
	})

	It("cannot be made by a late withdrawal of an earlier registration", func() {
		fleet := newFleet(trio...)
		holder, session := fleet.nodes["c"], sessionHeldBy(trio, "c", "")
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
