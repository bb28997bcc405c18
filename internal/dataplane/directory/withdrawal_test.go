package directory_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("a withdrawal whose holder is unreachable", func() {
	It("does not prevent the session from being looked up", func() {
		members := []string{"a", "b", "c"}
		fleet := newFleet(members...)
		session := sessionHeldBy(members, "c", "b")
		owner := fleet.nodes["a"]
		Expect(owner.resolve(session).Owner.Local).To(BeTrue())
		fleet.failure = directory.CallConnectionRefused
		fleet.intercept = func(from, to string, request *protocol.Request) (*protocol.Response, bool) {
			// a and c cannot reach each other; b does not consider itself the holder, since it can reach c.
			return nil, from == "a" && to == "c" || from == "c" && to == "a"
		}
		holder := fleet.nodes["c"]
		takeover := &protocol.Registration{
			Session: session, Owner: "b", OwnerIncarnation: fleet.nodes["b"].self.Incarnation, Claim: 1 << 60,
		}
		_, commands := holder.directory.ServeRegister(holder.moment(), &protocol.RegisterSessionsRequest{
			ViewVersion: holder.directory.ViewVersion(), Cause: protocol.RegistrationCause_CAUSE_SALVAGE, From: "b",
			Registrations: []*protocol.Registration{takeover},
		})
		holder.execute(commands)
		owner.handle(directory.OwnershipLost{Session: session})
		resolved := owner.resolve(session)
		Expect(resolved.Code).To(BeEmpty(), "the owner is found while a and c are still partitioned")
		Expect(resolved.Owner.Name).To(Equal("b"))
	})
})
