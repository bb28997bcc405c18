package corelink_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/controlplane/views"
	"github.com/rosestand/rosestand/internal/protocol"
)

func membershipView(version uint64, numbers ...int) *protocol.MembershipView {
	view := &protocol.MembershipView{Version: version}
	for _, number := range numbers {
		view.Nodes = append(view.Nodes, &protocol.Node{Name: fmt.Sprintf("node-%d", number), Address: "10.0.0.1:1"})
	}
	return view
}

// deltaAddingNode3 returns a delta from version 7 that adds node-3, with the version, count and checksum of the
// given view.
func deltaAddingNode3(view *protocol.MembershipView) *protocol.MembershipDelta {
	return &protocol.MembershipDelta{
		BaseVersion: 7, Version: view.GetVersion(), Upserted: membershipView(0, 3).GetNodes(),
		Count: uint32(len(view.GetNodes())), Checksum: views.MembershipChecksum(view.GetNodes()),
	}
}

func TestGivenAMembershipDeltaThenItIsApplied(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		g.Expect(core.lastPoll().GetAcceptsDeltas()).To(BeTrue())
		next := membershipView(9, 3)
		core.publish(func(state *protocol.PollControlResponse) {
			state.Membership, state.MembershipDelta = next, deltaAddingNode3(next)
		})
		advance(100 * time.Millisecond)
		g.Expect(link.View().Membership.GetVersion()).To(BeEquivalentTo(9))
		g.Expect(core.snapshotPolls()).To(BeZero())
		core.publish(func(state *protocol.PollControlResponse) {
			state.Membership, state.MembershipDelta = membershipView(8, 1), &protocol.MembershipDelta{BaseVersion: 9, Version: 8}
		})
		advance(15 * time.Second)
		g.Expect(link.View().Membership.GetVersion()).To(BeEquivalentTo(9), "the version must not decrease")
	})
}

func TestGivenADeltaThatDoesNotApplyThenAFullSnapshotIsRequested(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		next := membershipView(9, 2, 3)
		core.publish(func(state *protocol.PollControlResponse) {
			state.Membership, state.MembershipDelta = next, deltaAddingNode3(next)
		})
		advance(time.Second)
		g.Expect(link.View().Membership.GetNodes()).To(HaveLen(2))
		g.Expect(core.snapshotPolls()).To(Equal(1))
		g.Expect(link.HasAuthority()).To(BeTrue())
	})
}

// snapshotPolls counts the polls after the first that requested a full snapshot of the membership.
func (c *fakeCore) snapshotPolls() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for _, poll := range c.polls[1:] {
		if poll.GetKnown().GetMembership() == 0 {
			count++
		}
	}
	return count
}
