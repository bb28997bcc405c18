package corelink_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
)

// maxTimeUntilReady bounds the time from the election of a leader until the node is ready.
const maxTimeUntilReady = 200 * time.Millisecond

// timeUntilReady advances virtual time until the link is ready, and returns how long that took.
func timeUntilReady(g *WithT, link *corelink.Link) time.Duration {
	start := time.Now()
	for !link.Ready() {
		advance(5 * time.Millisecond)
		g.Expect(time.Since(start)).To(BeNumerically("<", 30*time.Second))
	}
	return time.Since(start)
}

func TestGivenALeaderWhenStartedThenANodeIsReadyImmediately(t *testing.T) {
	withStartingLink(t, newFakeCore(), func(g *WithT, link *corelink.Link) {
		g.Expect(timeUntilReady(g, link)).To(BeNumerically("<=", 50*time.Millisecond))
	})
}

func TestGivenNoLeaderYetWhenOneIsElectedThenANodeIsReadySoon(t *testing.T) {
	for _, election := range []time.Duration{300 * time.Millisecond, 1900 * time.Millisecond} {
		core := newFakeCore()
		core.leader = ""
		withStartingLink(t, core, func(g *WithT, link *corelink.Link) {
			advance(election)
			core.set(func() { core.leader = firstLeader })
			g.Expect(timeUntilReady(g, link)).To(BeNumerically("<=", maxTimeUntilReady))
		})
	}
}

// One seed does not answer; the others have no leader yet.
func TestGivenAnUnresponsiveSeedWhenALeaderIsElectedThenItDelaysNothing(t *testing.T) {
	core := newFakeCore()
	core.leader = ""
	core.unresponsive = map[string]bool{seedAddress: true}
	withStartingLink(t, core, func(g *WithT, link *corelink.Link) {
		advance(time.Second)
		core.set(func() { core.leader = firstLeader })
		g.Expect(timeUntilReady(g, link)).To(BeNumerically("<=", maxTimeUntilReady))
	})
}

func TestGivenALeaseWhenTheLeaderIsLostForTwoSecondsThenAuthorityIsKept(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		core.set(func() { core.leader, core.down = "", map[string]bool{firstLeader: true} })
		for range 200 {
			advance(10 * time.Millisecond)
			g.Expect(link.Ready()).To(BeTrue())
		}
		renewals := core.renewalCount()
		core.set(func() { core.leader, core.term = secondLeader, 2 })
		advance(maxTimeUntilReady)
		g.Expect(core.renewalCount()).To(BeNumerically(">", renewals), "must renew immediately at the new leader")
		g.Expect(time.Until(link.AuthorityExpiresAt())).To(BeNumerically(">", 4*time.Second))
		g.Expect(link.Self().GetIncarnation()).To(BeEquivalentTo(5))
	})
}

func TestGivenALeaseWhenAllOfTheCoreIsDownThenAuthorityContinuesAndIsRenewedImmediatelyAfterwards(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		all := map[string]bool{firstLeader: true, secondLeader: true, seedAddress: true, "10.0.0.8:1": true}
		core.set(func() { core.down = all })
		advance(3 * time.Second)
		g.Expect(link.Ready()).To(BeTrue())
		renewals := core.renewalCount()
		core.set(func() { core.down = nil })
		advance(maxTimeUntilReady)
		g.Expect(core.renewalCount()).To(BeNumerically(">", renewals))

		core.set(func() { core.down = all })
		advance(10 * time.Second)
		g.Expect(link.HasAuthority()).To(BeFalse())
		core.set(func() { core.down = nil })
		g.Expect(timeUntilReady(g, link)).To(BeNumerically("<=", time.Second))
	})
}

func TestGivenOtherSeedsThenTheCoreIsFoundThroughThem(t *testing.T) {
	core := newFakeCore()
	core.down = map[string]bool{seedAddress: true, "10.0.0.8:1": true}
	withStartingLink(t, core, func(g *WithT, link *corelink.Link) {
		advance(2 * time.Second)
		g.Expect(link.Ready()).To(BeFalse())
		link.SetSeeds([]string{"10.0.0.8:1", secondLeader})
		g.Expect(timeUntilReady(g, link)).To(BeNumerically("<=", time.Second))
	})
}

func TestGivenManyCallersThenOneSearchServesThemAll(t *testing.T) {
	core := newFakeCore()
	core.leader = ""
	withStartingLink(t, core, func(g *WithT, link *corelink.Link) {
		advance(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		before := core.count("locates")
		for range 20 {
			go func() {
				_, _ = link.CallCore(
					ctx, &protocol.Request{Body: &protocol.Request_CoreStatus{CoreStatus: &protocol.CoreStatusRequest{}}},
				)
			}()
		}
		advance(time.Second)
		g.Expect(core.count("locates")-before).To(
			BeNumerically("<=", 20*4), "at most twenty searches per second of four processes, over all callers",
		)
	})
}

// The clock was set back while the node was down, so its earlier process has the larger incarnation.
func TestGivenAnEarlierProcessWithALargerIncarnationThenTheNodeSupersedesItImmediately(t *testing.T) {
	core := newFakeCore()
	previous := &protocol.Node{Name: "front-1", Kind: protocol.NodeKind_FRONT, Incarnation: 1 << 50, Address: "10.0.0.5:1"}
	core.latest = &protocol.PollControlResponse{
		Membership: &protocol.MembershipView{Version: 7, Nodes: []*protocol.Node{previous}},
	}
	core.rejectBelow = previous.GetIncarnation() + 1
	withStartingLink(t, core, func(g *WithT, link *corelink.Link) {
		g.Expect(timeUntilReady(g, link)).To(BeNumerically("<=", maxTimeUntilReady))
		g.Expect(link.Self().GetIncarnation()).To(BeNumerically(">", previous.GetIncarnation()))
	})
}

// Another machine uses the same name: the two must not alternately take the lease from each other.
func TestGivenTheNameAtAnotherAddressThenTheNodeDoesNotSupersedeIt(t *testing.T) {
	core := newFakeCore()
	other := &protocol.Node{Name: "front-1", Kind: protocol.NodeKind_FRONT, Incarnation: 1 << 50, Address: "10.0.0.6:1"}
	core.latest = &protocol.PollControlResponse{
		Membership: &protocol.MembershipView{Version: 7, Nodes: []*protocol.Node{other}},
	}
	core.rejectBelow = other.GetIncarnation() + 1
	withStartingLink(t, core, func(g *WithT, link *corelink.Link) {
		advance(10 * time.Second)
		g.Expect(link.HasAuthority()).To(BeFalse())
		g.Expect(link.Self().GetIncarnation()).To(BeNumerically("<", other.GetIncarnation()))
	})
}
