package corelink_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
)

// The tests run in synctest bubbles: waits take no real time, and results do not depend on the wall clock.

// withLink runs a test with a link that was started a second ago; the bubble ends only when all goroutines have.
func withLink(t *testing.T, test func(g *WithT, core *fakeCore, link *corelink.Link)) {
	t.Helper()
	core := newFakeCore()
	withStartingLink(t, core, func(g *WithT, link *corelink.Link) {
		advance(time.Second)
		test(g, core, link)
	})
}

// withStartingLink runs a test with a link that was just started, before it sent anything.
func withStartingLink(t *testing.T, core *fakeCore, test func(g *WithT, link *corelink.Link)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		// A channel of the bubble, so that waiting for it counts as blocked.
		core.changed = make(chan struct{})
		link := newLink(core)
		g := NewWithT(t)
		g.Expect(link.Start(context.Background())).To(Succeed())
		defer func() {
			_ = link.Stop(context.Background())
			// Requests sent before the stop arrive, with a delay of up to an hour, so that their goroutines end.
			advance(2 * time.Hour)
		}()
		test(g, link)
	})
}

func newLink(core *fakeCore) *corelink.Link {
	return corelink.New(corelink.Options{
		Self:   &protocol.Node{Name: "front-1", Kind: protocol.NodeKind_FRONT, Incarnation: 5, Address: "10.0.0.5:1"},
		Seeds:  []string{seedAddress, "10.0.0.8:1"},
		Caller: core, Logger: log.New(io.Discard),
	})
}

// advance advances virtual time and waits until all goroutines are blocked.
func advance(duration time.Duration) {
	<-time.After(duration)
	synctest.Wait()
}

func TestGivenOnlySeedsWhenStartedThenItIsReadyWithAFreshView(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		g.Expect(link.Ready()).To(BeTrue())
		g.Expect(link.View().Membership.GetVersion()).To(BeEquivalentTo(7))
		g.Expect(core.polls[0].GetFresh()).To(BeTrue())
		g.Expect(link.LocateCore().GetLeaderAddress()).To(Equal(firstLeader))
		g.Expect(link.LocateCore().GetClusterId()).To(Equal("cluster"))
	})
}

func TestGivenALeaseWhenTimePassesThenItIsRenewedEachSecond(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		before := core.renewalCount()
		advance(10 * time.Second)
		g.Expect(core.renewalCount() - before).To(BeNumerically("~", 10, 1))
		g.Expect(link.HasAuthority()).To(BeTrue())
		g.Expect(link.Self().GetIncarnation()).To(BeEquivalentTo(5))
	})
}

func TestGivenSlowAnswersThenAuthorityIsCountedFromTheTimeOfSending(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		core.set(func() { core.delay = 800 * time.Millisecond })
		advance(5 * time.Second)
		g.Expect(time.Until(link.AuthorityExpiresAt())).To(BeNumerically("<=", 3700*time.Millisecond))
		g.Expect(link.HasAuthority()).To(BeTrue())
	})
}

func TestGivenAnUnreachableCoreThenAuthorityEndsAndResumesUnderANewIncarnation(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		core.set(func() { core.down = map[string]bool{firstLeader: true, secondLeader: true} })
		advance(4900 * time.Millisecond)
		g.Expect(link.HasAuthority()).To(BeFalse())
		g.Expect(link.Ready()).To(BeFalse())
		core.set(func() { core.down = nil })
		advance(3 * time.Second)
		g.Expect(link.Ready()).To(BeTrue())
		g.Expect(link.Self().GetIncarnation()).To(BeNumerically(">", 5))
		g.Expect(core.lastRenewal().GetNode().GetIncarnation()).To(Equal(link.Self().GetIncarnation()))
	})
}

// A node that can reach the core but receives no answers must not keep its ranges of the ring.
func TestGivenAnswersThatNeverArriveThenItStopsRequestingALease(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		core.set(func() { core.breakConnections = 1 << 30 })
		advance(7 * time.Second)
		g.Expect(link.HasAuthority()).To(BeFalse())
		renewals := core.renewalCount()
		advance(20 * time.Second)
		g.Expect(core.renewalCount()).To(Equal(renewals))
		core.set(func() { core.breakConnections = 0 })
		advance(3 * time.Second)
		g.Expect(link.Ready()).To(BeTrue())
	})
}

func TestGivenARejectedLeaseThenAuthorityEndsImmediately(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		core.set(func() { core.rejectRenewals = true })
		advance(1100 * time.Millisecond)
		g.Expect(link.HasAuthority()).To(BeFalse())
		g.Expect(link.Self().GetIncarnation()).To(BeNumerically(">", 5))
	})
}

func TestGivenAnotherLeaderThenItIsFoundAndAuthorityIsKept(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		core.set(func() { core.leader, core.term = secondLeader, 2 })
		advance(10 * time.Second)
		g.Expect(link.HasAuthority()).To(BeTrue())
		g.Expect(link.LocateCore().GetLeaderAddress()).To(Equal(secondLeader))
		g.Expect(link.Self().GetIncarnation()).To(BeEquivalentTo(5))
	})
}

func TestGivenAnOlderViewThenTheVersionDoesNotDecrease(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		core.publish(func(state *protocol.PollControlResponse) { state.Membership = &protocol.MembershipView{Version: 9} })
		advance(100 * time.Millisecond)
		g.Expect(link.View().Membership.GetVersion()).To(BeEquivalentTo(9))
		core.publish(func(state *protocol.PollControlResponse) { state.Membership = &protocol.MembershipView{Version: 8} })
		advance(15 * time.Second)
		g.Expect(link.View().Membership.GetVersion()).To(BeEquivalentTo(9))
	})
}

// A poll whose connection is dead is cancelled when a renewal shows that there is a newer view.
func TestGivenAPollOnADeadConnectionThenTheNewViewIsStillReceived(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		core.set(func() { core.hangPolls = true })
		// The pending poll started before hangPolls was set and returns this change; the next poll hangs.
		core.publish(func(state *protocol.PollControlResponse) { state.Membership = &protocol.MembershipView{Version: 9} })
		advance(100 * time.Millisecond)
		core.publish(func(state *protocol.PollControlResponse) { state.Membership = &protocol.MembershipView{Version: 10} })
		advance(3500 * time.Millisecond)
		g.Expect(link.View().Membership.GetVersion()).To(BeEquivalentTo(10))
		g.Expect(link.HasAuthority()).To(BeTrue())
	})
}

func TestGivenASubscriberThatBlocksThenAuthorityEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, core := NewWithT(t), newFakeCore()
		link := newLink(core)
		blocked := make(chan struct{})
		link.Subscribe(func(view *corelink.View) {
			if view.Membership.GetVersion() == 9 {
				<-blocked
			}
		})
		g.Expect(link.Start(context.Background())).To(Succeed())
		advance(time.Second)
		core.publish(func(state *protocol.PollControlResponse) { state.Membership = &protocol.MembershipView{Version: 9} })
		advance(6500 * time.Millisecond)
		g.Expect(link.HasAuthority()).To(BeFalse())
		close(blocked)
		advance(3 * time.Second)
		g.Expect(link.Ready()).To(BeTrue())
		g.Expect(link.Stop(context.Background())).To(Succeed())
	})
}

func configuration(version uint64, routes ...string) *protocol.Configuration {
	active := &protocol.Bundle{Version: version}
	for _, name := range routes {
		active.Routes = append(active.Routes, &protocol.Route{Name: name, Model: name, Group: "group"})
	}
	return &protocol.Configuration{Version: version, Active: active, ActiveDigest: bundle.Digest(active)}
}

func TestGivenAConfigurationDeltaThenItIsAppliedAndAfterAWrongOneAFullSnapshotIsRequested(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		core.publish(func(state *protocol.PollControlResponse) { state.Configuration = configuration(10, "one") })
		advance(100 * time.Millisecond)
		g.Expect(link.View().Configuration.GetVersion()).To(BeEquivalentTo(10))

		next := configuration(11, "one", "two")
		step, fits := bundle.MakePartial(configuration(10, "one").GetActive(), next.GetActive())
		g.Expect(fits).To(BeTrue())
		core.publish(func(state *protocol.PollControlResponse) {
			state.Configuration = next
			state.ConfigurationDelta = &protocol.ConfigurationDelta{
				BaseVersion: 10, Version: 11, ActiveSteps: []*protocol.Bundle{step}, ActiveDigest: next.GetActiveDigest(),
			}
		})
		advance(100 * time.Millisecond)
		g.Expect(link.View().Configuration.GetActive().GetRoutes()).To(HaveLen(2))

		last := configuration(12, "three")
		core.publish(func(state *protocol.PollControlResponse) {
			state.Configuration = last
			state.ConfigurationDelta = &protocol.ConfigurationDelta{
				BaseVersion: 11, Version: 12, ActiveDigest: last.GetActiveDigest(), ActiveSteps: []*protocol.Bundle{step},
			}
		})
		advance(time.Second)
		g.Expect(link.View().Configuration.GetVersion()).To(BeEquivalentTo(12))
		g.Expect(link.View().Configuration.GetActive().GetRoutes()).To(HaveLen(1))
	})
}

func TestGivenAFullConfigurationWithAnotherDigestThenItIsNotApplied(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		core.publish(func(state *protocol.PollControlResponse) {
			state.Configuration = configuration(10, "one")
			state.Configuration.ActiveDigest = "00"
		})
		advance(time.Second)
		g.Expect(link.View().Configuration).To(BeNil())
		g.Expect(link.HasAuthority()).To(BeTrue())
	})
}

func TestGivenASubscriberThenAViewIsAcknowledgedOnlyOnceItReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, core := NewWithT(t), newFakeCore()
		link := newLink(core)
		var seen []uint64
		blocked := make(chan struct{})
		link.Subscribe(func(view *corelink.View) {
			seen = append(seen, view.Membership.GetVersion())
			if view.Membership.GetVersion() == 7 {
				<-blocked
			}
		})
		g.Expect(link.Start(context.Background())).To(Succeed())
		advance(2500 * time.Millisecond)
		g.Expect(core.lastRenewal().GetInForce().GetMembership()).To(BeZero())
		close(blocked)
		advance(2 * time.Second)
		g.Expect(core.lastRenewal().GetInForce().GetMembership()).To(BeEquivalentTo(7))
		g.Expect(core.lastPoll().GetKnown().GetMembership()).To(BeEquivalentTo(7))
		g.Expect(seen).To(Equal([]uint64{0, 7}))
		g.Expect(link.Stop(context.Background())).To(Succeed())
	})
}

func TestGivenADrainThenItIsReported(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		link.SetDraining(true)
		advance(10 * time.Millisecond)
		g.Expect(core.lastRenewal().GetNode().GetDraining()).To(BeTrue())
	})
}

func TestGivenAStopThenTheLeaseIsReleasedAndAuthorityEnds(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		g.Expect(link.Stop(context.Background())).To(Succeed())
		g.Expect(core.lastRenewal().GetRelease()).To(BeTrue())
		g.Expect(link.HasAuthority()).To(BeFalse())
		advance(3 * time.Second)
		g.Expect(core.lastRenewal().GetRelease()).To(BeTrue())
	})
}

// A renewal that is in flight must not reach the core after the release.
func TestGivenARenewalInFlightWhenStoppedThenTheReleaseFollowsIt(t *testing.T) {
	withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
		core.set(func() { core.delay = 900 * time.Millisecond })
		advance(1200 * time.Millisecond)
		before := core.renewalCount()
		core.set(func() { core.delay = 0 })
		go func() { _ = link.Stop(context.Background()) }()
		advance(50 * time.Millisecond)
		g.Expect(link.HasAuthority()).To(BeFalse())
		advance(5 * time.Second)
		g.Expect(core.renewalCount()).To(Equal(before+2), "exactly the renewal in flight and the release must reach the core")
		g.Expect(core.lastRenewal().GetRelease()).To(BeTrue())
	})
}

func TestGivenABrokenConnectionThenOnlyIdempotentRequestsAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, core := NewWithT(t), newFakeCore()
		link := newLink(core)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		core.set(func() { core.breakConnections = 1 })
		_, err := link.CallCore(
			ctx, &protocol.Request{Body: &protocol.Request_ReportArms{ReportArms: &protocol.ReportArmsRequest{}}},
		)
		g.Expect(err).To(HaveOccurred())
		g.Expect(core.count("report_arms")).To(Equal(1))
		core.set(func() { core.breakConnections = 1 })
		_, err = link.CallCore(
			ctx, &protocol.Request{Body: &protocol.Request_CoreStatus{CoreStatus: &protocol.CoreStatusRequest{}}},
		)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(core.count("other")).To(Equal(2))
		synctest.Wait()
	})
}
