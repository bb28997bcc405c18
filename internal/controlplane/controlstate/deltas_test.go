package controlstate_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/views"
	"github.com/rosestand/rosestand/internal/protocol"
)

// earlierView has the sections of an earlier view, as a node may have them.
type earlierView struct {
	membership *protocol.MembershipView
	backEnds   *protocol.BackEndView
	placement  *protocol.Placement
}

var _ = Describe("deltas of the views", func() {
	// expectDeltas checks that the delta of each section from an earlier version, if there is one, results in the
	// current section. It returns the number of deltas.
	expectDeltas := func(view *controlstate.View, from earlierView) (deltas int) {
		GinkgoHelper()
		if delta := view.MembershipDelta(from.membership.GetVersion(),
			views.MembershipChecksum(view.Membership.GetNodes())); delta != nil {
			applied, err := views.ApplyMembership(from.membership, delta)
			Expect(err).NotTo(HaveOccurred())
			Expect(proto.Equal(applied, view.Membership)).To(BeTrue())
			deltas++
		}
		if delta := view.BackEndDelta(from.backEnds.GetVersion(),
			views.BackEndsChecksum(view.BackEnds.GetBackEnds())); delta != nil {
			applied, err := views.ApplyBackEnds(from.backEnds, delta)
			Expect(err).NotTo(HaveOccurred())
			Expect(proto.Equal(applied, view.BackEnds)).To(BeTrue())
			deltas++
		}
		if delta := view.PlacementDelta(from.placement.GetEpoch(), views.PlacementChecksum(view.Placement)); delta != nil {
			applied, err := views.ApplyPlacement(from.placement, delta)
			Expect(err).NotTo(HaveOccurred())
			Expect(proto.Equal(applied, view.Placement)).To(BeTrue())
			deltas++
		}
		return deltas
	}

	It("result in the current view from every earlier version, over random commands and restarts", func() {
		random := rand.New(rand.NewPCG(11, 12))
		h := newHarness()
		for i := range 6 {
			h.accepted("", join(store(i, 1, "disk")))
		}
		h.accepted("", initializePlacement(32, 3))
		var earlier []earlierView
		deltas := 0
		for step := range 1500 {
			number, incarnation := random.IntN(30), uint64(step+2)
			switch random.IntN(7) {
			case 0, 1:
				h.apply("", join(front(number, incarnation)))
			case 2:
				// A node with another name at the same address replaces the front node.
				replacing := front(number, incarnation)
				replacing.Name = fmt.Sprintf("taker-%d", number)
				h.apply("", join(replacing))
			case 3:
				if node := h.state.View().Node(fmt.Sprintf("front-%d", number)); node != nil {
					h.apply("", removeNode(node.GetName(), node.GetIncarnation()))
				}
			case 4:
				h.apply("", upsert(&protocol.BackEnd{
					Id:      fmt.Sprintf("b%d", number),
					Address: fmt.Sprintf("10.0.0.1:%d", random.IntN(30)), Incarnation: incarnation,
				}))
			case 5:
				h.apply("", drain(fmt.Sprintf("b%d", number), 0))
			default:
				h.apply("", join(store(number%6, incarnation, fmt.Sprintf("disk-%d", random.IntN(3)))))
			}
			view := h.state.View()
			if step%25 == 0 {
				earlier = append(earlier, earlierView{
					membership: view.Membership, backEnds: view.BackEnds,
					placement: view.Placement,
				})
			}
			for _, from := range earlier[max(0, len(earlier)-4):] {
				deltas += expectDeltas(view, from)
			}
			if step%400 == 399 {
				h.restart()
			}
		}
		Expect(deltas).To(BeNumerically(">", 1000))
	})
})
