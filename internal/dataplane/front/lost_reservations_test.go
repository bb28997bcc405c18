package front_test

import (
	"context"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("a budget reserved by another front node", func() {
	const (
		budget           = 100
		reservationLimit = 90
	)
	var r *rig
	var n *node
	BeforeEach(func() {
		r = newRig()
		n = r.front("f1")
		r.backEnd("m1", protocol.BackEndKind_MODEL_SERVER, modelAnswer("hi"))
		for number := range 2 {
			session := fmt.Sprintf("other-%d", number)
			result, err := r.ledger.Do(context.Background(), &protocol.LedgerOperation{
				Program: "p1", Body: &protocol.LedgerOperation_ReserveTurn{ReserveTurn: &protocol.ReserveTurn{
					RequestId: "lost-" + session, Session: session, Ceiling: reservationLimit, Fork: true,
					Claim: &protocol.ClaimSession{Session: session, Owner: "f2", OwnerIncarnation: 7, Tenant: tenant, Budget: budget},
				}},
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(result.GetStatus()).To(Equal(protocol.LedgerStatus_LEDGER_OK))
		}
	})
	// setIncarnation puts a membership in force in which f2 has an incarnation.
	setIncarnation := func(incarnation uint64) {
		r.put(&corelink.View{
			Configuration: r.view.Configuration, BackEnds: r.view.BackEnds,
			Membership: &protocol.MembershipView{Version: 2, Nodes: []*protocol.Node{
				{Name: "f1", Kind: protocol.NodeKind_FRONT, Incarnation: 1},
				{Name: "f2", Kind: protocol.NodeKind_FRONT, Incarnation: incarnation},
			}},
		})
	}

	It("blocks new turns while that node is a member", func() {
		setIncarnation(7)
		Expect(n.turn(turnBody("c1", ""), nil).errorCode()).To(Equal("budget_held"))
		Expect(r.ledger.program("p1").GetReservations()).To(HaveLen(2))
	})

	It("is charged once that node is removed, and the rejection is final", func() {
		setIncarnation(8)
		Expect(n.turn(turnBody("c1", ""), nil).errorCode()).To(Equal("budget_spent"))
		Expect(r.ledger.program("p1").GetReservations()).To(BeEmpty())
		Expect(r.ledger.program("p1").GetSettled()).To(BeEquivalentTo(2 * reservationLimit))
	})
})
