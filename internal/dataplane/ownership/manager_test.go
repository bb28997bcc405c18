package ownership_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/dataplane/ownership"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

var threeNodes = []string{"a", "b", "c"}

func TestSessionHasOneOwnerThatAllNodesFind(t *testing.T) {
	withFleet(t, threeNodes, func(f *fleet) {
		session := f.ownedBy("a", "c", 1)[0]
		f.g.Expect(f.resolve("a", session).Local).To(BeTrue())
		f.g.Expect(f.resolve("b", session).Name).To(Equal("a"))
		f.g.Expect(f.resolve("b", session).CacheHit).To(BeTrue())
		f.g.Expect(f.resolve("c", session).Address).To(Equal("a"))
		sleep(time.Second)
		f.g.Expect(f.nodes["b"].metricSum("rosestand_directory_lookups_total")).To(BeNumerically(">=", 2))
		f.g.Expect(f.nodes["a"].metricSum("rosestand_directory_owned_sessions")).To(BeNumerically(">=", 1))
	})
}

func TestConcurrentResolvesAgreeOnOneOwner(t *testing.T) {
	withFleet(t, threeNodes, func(f *fleet) {
		owners := make(chan ownership.Owner, 30)
		for i := range 30 {
			go func() {
				owner, err := f.nodes[threeNodes[i%3]].manager.Resolve(context.Background(), "contended", "program")
				f.g.Expect(err).NotTo(HaveOccurred())
				owners <- owner
			}()
		}
		first := <-owners
		for range 29 {
			f.g.Expect((<-owners).Name).To(Equal(first.Name))
		}
	})
}

func TestGrantsStayInvalidAfterLossOfAuthority(t *testing.T) {
	withFleet(t, threeNodes, func(f *fleet) {
		owner, session := f.nodes["a"], f.ownedBy("a", "b", 1)[0]
		grant, err := owner.manager.Begin(session)
		f.g.Expect(err).NotTo(HaveOccurred())
		f.g.Expect(grant.Valid()).To(BeTrue())
		f.g.Expect(grant.Incarnation()).To(BeEquivalentTo(1))

		owner.link.updateAuthority(func(_ *protocol.Node, expiresAt *time.Time) { *expiresAt = time.Now().Add(time.Second) })
		sleep(time.Second)
		f.g.Expect(grant.Valid()).To(BeFalse(), "authority expires without a notification")
		_, err = owner.manager.Begin(session)
		f.g.Expect(failure.Is(err, failure.NoAuthority)).To(BeTrue())
		f.g.Expect(failure.From(err).GetOutcome()).To(Equal(protocol.Outcome_NOT_RUN))
		f.g.Expect(failure.From(err).GetRetryAfterMillis()).To(BeNumerically(">", 0))
		_, err = owner.manager.ServeDirectory(context.Background(), &protocol.Request{
			Body: &protocol.Request_LookupSession{LookupSession: &protocol.LookupSessionRequest{Session: "any"}},
		})
		f.g.Expect(failure.Is(err, failure.NoAuthority)).To(BeTrue())

		owner.link.updateAuthority(func(self *protocol.Node, expiresAt *time.Time) {
			self.Incarnation, *expiresAt = 2, time.Now().Add(time.Hour)
		})
		f.publish(threeNodes...)
		sleep(2 * time.Second)
		f.g.Expect(grant.Valid()).To(BeFalse(), "a new incarnation does not make the grant valid again")
		renewed, err := owner.manager.Begin(session)
		f.g.Expect(err).NotTo(HaveOccurred())
		f.g.Expect(renewed.Incarnation()).To(BeEquivalentTo(2))
		grant.End()
		renewed.End()
		renewed.End()
	})
}

func TestSessionsOfLostHolderAreRegisteredAgain(t *testing.T) {
	withFleet(t, threeNodes, func(f *fleet) {
		sessions := f.ownedBy("a", "c", 20)
		f.breakConnections("c")
		f.nodes["a"].manager.PeerBroken("c")
		f.publish("a", "b")
		sleep(2 * time.Second)
		for _, session := range sessions {
			f.g.Expect(f.resolve("b", session).Name).To(Equal("a"))
		}
		f.g.Expect(f.nodes["a"].yieldedSessions()).To(BeEmpty())
		f.g.Expect(f.nodes["a"].metricSum("rosestand_directory_salvaged_total")).To(BeNumerically(">=", 20))
		f.g.Expect(f.nodes["a"].metricSum("rosestand_directory_salvage_list_length")).To(BeZero())
		f.g.Expect(f.nodes["a"].metricSum("rosestand_directory_reregister_seconds")).To(BeNumerically(">=", 1))
	})
}

func TestEndSessionsPolicyEndsSessionsOfLostHolder(t *testing.T) {
	withFleet(t, threeNodes, func(f *fleet) {
		sessions := f.ownedBy("a", "c", 20)
		f.policy = &protocol.RecoveryPolicy{SalvageMode: protocol.SalvageMode_END_SESSIONS}
		f.publish(threeNodes...)
		f.breakConnections("c")
		f.publish("a", "b")
		sleep(2 * time.Second)
		f.g.Expect(f.nodes["a"].yieldedSessions()).To(ContainElements(sessions))
		f.g.Expect(f.nodes["a"].metricSum("rosestand_directory_yields_total")).To(BeNumerically(">=", 20))
		f.g.Expect(f.resolve("b", sessions[0]).Local).To(BeTrue())
	})
}

func TestResolveWithoutViewFailsInTimeWithNothingRun(t *testing.T) {
	withFleet(t, threeNodes, func(f *fleet) {
		newcomer := f.add("d").manager
		before := time.Now()
		_, err := newcomer.Resolve(context.Background(), "session", "program")
		f.g.Expect(failure.Is(err, failure.Unavailable)).To(BeTrue())
		f.g.Expect(failure.From(err).GetOutcome()).To(Equal(protocol.Outcome_NOT_RUN))
		f.g.Expect(failure.From(err).GetRetryAfterMillis()).To(BeNumerically(">", 0))
		f.g.Expect(time.Since(before)).To(BeNumerically("<=", ownership.DefaultResolveTimeout+300*time.Millisecond))

		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err = newcomer.Resolve(ctx, "session", "program")
		f.g.Expect(failure.From(err).GetOutcome()).To(Equal(protocol.Outcome_NOT_RUN))
	})
}

func TestDrainReturnsAfterYieldsAndHandOff(t *testing.T) {
	withFleet(t, threeNodes, func(f *fleet) {
		idle, busy := f.ownedBy("c", "a", 1)[0], f.ownedBy("c", "b", 1)[0]
		others := f.ownedBy("a", "c", 5)
		grant, err := f.nodes["c"].manager.Begin(busy)
		f.g.Expect(err).NotTo(HaveOccurred())

		drained := make(chan error, 1)
		go func() { drained <- f.nodes["c"].manager.Drain(context.Background()) }()
		sleep(100 * time.Millisecond)
		f.publish(threeNodes...)
		sleep(3 * time.Second)
		f.g.Expect(drained).NotTo(Receive(), "a turn is in flight")
		f.g.Expect(grant.Valid()).To(BeTrue())
		f.g.Expect(f.nodes["c"].yieldedSessions()).To(ContainElement(idle))
		grant.End()
		sleep(time.Second)
		f.g.Expect(drained).To(Receive(BeNil()))
		f.g.Expect(f.nodes["c"].metricSum("rosestand_directory_partition_sessions")).To(BeZero())
		for _, session := range others {
			f.g.Expect(f.resolve("b", session).Name).To(Equal("a"))
		}
		f.g.Expect(f.resolve("b", busy).Local).To(BeTrue())
	})
}

func TestDrainReturnsWhenContextEnds(t *testing.T) {
	withFleet(t, threeNodes, func(f *fleet) {
		_, err := f.nodes["c"].manager.Begin(f.ownedBy("c", "a", 1)[0])
		f.g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		f.g.Expect(f.nodes["c"].manager.Drain(ctx)).To(MatchError(context.DeadlineExceeded))
	})
}

// No core is reachable, so no view that shows the drain will arrive.
func TestDrainReturnsWhenAuthorityEnds(t *testing.T) {
	withFleet(t, threeNodes, func(f *fleet) {
		_, err := f.nodes["c"].manager.Begin(f.ownedBy("c", "a", 1)[0])
		f.g.Expect(err).NotTo(HaveOccurred())
		f.nodes["c"].link.updateAuthority(func(_ *protocol.Node, expiresAt *time.Time) {
			*expiresAt = time.Now().Add(4 * time.Second)
		})
		drained := make(chan error, 1)
		go func() { drained <- f.nodes["c"].manager.Drain(context.Background()) }()
		sleep(3900 * time.Millisecond)
		f.g.Expect(drained).NotTo(Receive())
		sleep(500 * time.Millisecond)
		f.g.Expect(drained).To(Receive(BeNil()))
	})
}

// The core has no leader, so no view that shows the drain arrives although the node still has authority.
func TestDrainOfIdleNodeWithoutNewViewTakesOneSecond(t *testing.T) {
	withFleet(t, threeNodes, func(f *fleet) {
		session := f.ownedBy("c", "a", 1)[0]
		startedAt := time.Now()
		f.g.Expect(f.nodes["c"].manager.Drain(context.Background())).To(Succeed())
		f.g.Expect(time.Since(startedAt)).To(BeNumerically("<=", ownership.DefaultHandOffTimeout+300*time.Millisecond))
		f.g.Expect(f.resolve("b", session).Local).To(BeTrue())
	})
}

func TestFencedSessionIsYielded(t *testing.T) {
	withFleet(t, threeNodes, func(f *fleet) {
		session := f.ownedBy("a", "b", 1)[0]
		f.nodes["a"].manager.Fenced(session)
		sleep(100 * time.Millisecond)
		f.g.Expect(f.nodes["a"].yieldedSessions()).To(ConsistOf(session))
		_, err := f.nodes["a"].manager.Begin(session)
		f.g.Expect(failure.Is(err, failure.NotOwner)).To(BeTrue())
		f.g.Expect(f.resolve("c", session).Local).To(BeTrue())
	})
}

func TestForgottenOwnerIsLookedUpAgain(t *testing.T) {
	withFleet(t, threeNodes, func(f *fleet) {
		session := f.ownedBy("a", "c", 1)[0]
		f.resolve("b", session)
		f.nodes["b"].manager.Forget(session)
		f.g.Expect(f.resolve("b", session).CacheHit).To(BeFalse())
	})
}

func TestStoppedManagerDoesNotBlock(t *testing.T) {
	withFleet(t, []string{"a"}, func(f *fleet) {
		manager := f.nodes["a"].manager
		f.g.Expect(manager.Stop(context.Background())).To(Succeed())
		_, err := manager.Resolve(context.Background(), "session", "program")
		f.g.Expect(failure.Is(err, failure.NotReady)).To(BeTrue())
		_, err = manager.Begin("session")
		f.g.Expect(failure.Is(err, failure.NoAuthority)).To(BeTrue())
		f.g.Expect(manager.Drain(context.Background())).To(HaveOccurred())
		_, err = manager.ServeDirectory(context.Background(), &protocol.Request{})
		f.g.Expect(err).To(HaveOccurred())
		manager.Forget("session")
	})
}
