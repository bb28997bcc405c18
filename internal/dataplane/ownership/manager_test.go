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

var trio = []string{"a", "b", "c"}

func TestGivenAFleetWhenASessionBeginsThenOneNodeOwnsItAndAllFindIt(t *testing.T) {
	given(t, trio, func(f *fleet) {
		session := f.ownedBy("a", "c", 1)[0]
		f.g.Expect(f.resolve("a", session).Local).To(BeTrue())
		f.g.Expect(f.resolve("b", session).Name).To(Equal("a"))
		f.g.Expect(f.resolve("b", session).CacheHit).To(BeTrue())
		f.g.Expect(f.resolve("c", session).Address).To(Equal("a"))
		pass(time.Second)
		f.g.Expect(f.nodes["b"].metric("rosestand_directory_lookups_total")).To(BeNumerically(">=", 2))
		f.g.Expect(f.nodes["a"].metric("rosestand_directory_owned_sessions")).To(BeNumerically(">=", 1))
	})
}

func TestGivenConcurrentResolvesThenOnlyOneBecomesTheOwner(t *testing.T) {
	given(t, trio, func(f *fleet) {
		owners := make(chan ownership.Owner, 30)
		for i := range 30 {
			go func() {
				owner, err := f.nodes[trio[i%3]].manager.Resolve(context.Background(), "contended", "program")
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

func TestGivenAnEndOfAuthorityThenGrantsAreVoidForGood(t *testing.T) {
	given(t, trio, func(f *fleet) {
		owner, session := f.nodes["a"], f.ownedBy("a", "b", 1)[0]
		grant, err := owner.manager.Begin(session)
		f.g.Expect(err).NotTo(HaveOccurred())
		f.g.Expect(grant.Valid()).To(BeTrue())
		f.g.Expect(grant.Incarnation()).To(BeEquivalentTo(1))

		owner.link.change(func(_ *protocol.Node, ends *time.Time) { *ends = time.Now().Add(time.Second) })
		pass(time.Second)
		f.g.Expect(grant.Valid()).To(BeFalse(), "authority expires without a notification")
		_, err = owner.manager.Begin(session)
		f.g.Expect(failure.Is(err, failure.NoAuthority)).To(BeTrue())
		f.g.Expect(failure.From(err).GetOutcome()).To(Equal(protocol.Outcome_NOT_RUN))
		f.g.Expect(failure.From(err).GetRetryAfterMillis()).To(BeNumerically(">", 0))
		_, err = owner.manager.ServeDirectory(context.Background(), &protocol.Request{
			Body: &protocol.Request_LookupSession{LookupSession: &protocol.LookupSessionRequest{Session: "any"}},
		})
		f.g.Expect(failure.Is(err, failure.NoAuthority)).To(BeTrue())

		owner.link.change(func(self *protocol.Node, ends *time.Time) {
			self.Incarnation, *ends = 2, time.Now().Add(time.Hour)
		})
		f.publish(trio...)
		pass(2 * time.Second)
		f.g.Expect(grant.Valid()).To(BeFalse(), "a new incarnation does not revive it")
		renewed, err := owner.manager.Begin(session)
		f.g.Expect(err).NotTo(HaveOccurred())
		f.g.Expect(renewed.Incarnation()).To(BeEquivalentTo(2))
		grant.End()
		renewed.End()
		renewed.End()
	})
}

func TestGivenALostHolderThenItsSessionsStayAndAreRegisteredAgain(t *testing.T) {
	given(t, trio, func(f *fleet) {
		sessions := f.ownedBy("a", "c", 20)
		f.lose("c")
		f.nodes["a"].manager.PeerBroken("c")
		f.publish("a", "b")
		pass(2 * time.Second)
		for _, session := range sessions {
			f.g.Expect(f.resolve("b", session).Name).To(Equal("a"))
		}
		f.g.Expect(f.nodes["a"].yieldedSessions()).To(BeEmpty())
		f.g.Expect(f.nodes["a"].metric("rosestand_directory_salvaged_total")).To(BeNumerically(">=", 20))
		f.g.Expect(f.nodes["a"].metric("rosestand_directory_salvage_list_length")).To(BeZero())
		f.g.Expect(f.nodes["a"].metric("rosestand_directory_reregister_seconds")).To(BeNumerically(">=", 1))
	})
}

func TestGivenTheEndSessionsPolicyThenTheyAreEnded(t *testing.T) {
	given(t, trio, func(f *fleet) {
		sessions := f.ownedBy("a", "c", 20)
		f.policy = &protocol.RecoveryPolicy{SalvageMode: protocol.SalvageMode_END_SESSIONS}
		f.publish(trio...)
		f.lose("c")
		f.publish("a", "b")
		pass(2 * time.Second)
		f.g.Expect(f.nodes["a"].yieldedSessions()).To(ContainElements(sessions))
		f.g.Expect(f.nodes["a"].metric("rosestand_directory_yields_total")).To(BeNumerically(">=", 20))
		f.g.Expect(f.resolve("b", sessions[0]).Local).To(BeTrue())
	})
}

func TestGivenNoViewThenAResolveFailsInTimeWithNothingRun(t *testing.T) {
	given(t, trio, func(f *fleet) {
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

func TestGivenADrainThenItReturnsWhenSessionsAndPartitionAreHandedOff(t *testing.T) {
	given(t, trio, func(f *fleet) {
		idle, busy := f.ownedBy("c", "a", 1)[0], f.ownedBy("c", "b", 1)[0]
		others := f.ownedBy("a", "c", 5)
		grant, err := f.nodes["c"].manager.Begin(busy)
		f.g.Expect(err).NotTo(HaveOccurred())

		drained := make(chan error, 1)
		go func() { drained <- f.nodes["c"].manager.Drain(context.Background()) }()
		pass(100 * time.Millisecond)
		f.publish(trio...)
		pass(3 * time.Second)
		f.g.Expect(drained).NotTo(Receive(), "a turn is under way")
		f.g.Expect(grant.Valid()).To(BeTrue())
		f.g.Expect(f.nodes["c"].yieldedSessions()).To(ContainElement(idle))
		grant.End()
		pass(time.Second)
		f.g.Expect(drained).To(Receive(BeNil()))
		f.g.Expect(f.nodes["c"].metric("rosestand_directory_partition_sessions")).To(BeZero())
		for _, session := range others {
			f.g.Expect(f.resolve("b", session).Name).To(Equal("a"))
		}
		f.g.Expect(f.resolve("b", busy).Local).To(BeTrue())
	})
}

func TestGivenADrainWithoutAnEndThenItsContextEndsIt(t *testing.T) {
	given(t, trio, func(f *fleet) {
		_, err := f.nodes["c"].manager.Begin(f.ownedBy("c", "a", 1)[0])
		f.g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		f.g.Expect(f.nodes["c"].manager.Drain(ctx)).To(MatchError(context.DeadlineExceeded))
	})
}

// No core answers any more, so no view without the node's places will come.
func TestGivenADrainWhenAuthorityEndsThenItWaitsNoLonger(t *testing.T) {
	given(t, trio, func(f *fleet) {
		_, err := f.nodes["c"].manager.Begin(f.ownedBy("c", "a", 1)[0])
		f.g.Expect(err).NotTo(HaveOccurred())
		f.nodes["c"].link.change(func(_ *protocol.Node, ends *time.Time) { *ends = time.Now().Add(4 * time.Second) })
		drained := make(chan error, 1)
		go func() { drained <- f.nodes["c"].manager.Drain(context.Background()) }()
		pass(3900 * time.Millisecond)
		f.g.Expect(drained).NotTo(Receive())
		pass(500 * time.Millisecond)
		f.g.Expect(drained).To(Receive(BeNil()))
	})
}

// The core has no leader, so no view without the node's places comes although it has authority.
func TestGivenADrainWithoutANewViewThenAnIdleNodeIsDoneInOneSecond(t *testing.T) {
	given(t, trio, func(f *fleet) {
		session := f.ownedBy("c", "a", 1)[0]
		began := time.Now()
		f.g.Expect(f.nodes["c"].manager.Drain(context.Background())).To(Succeed())
		f.g.Expect(time.Since(began)).To(BeNumerically("<=", ownership.DefaultHandOffTimeout+300*time.Millisecond))
		f.g.Expect(f.resolve("b", session).Local).To(BeTrue())
	})
}

func TestGivenAFencedOwnerThenTheSessionIsYielded(t *testing.T) {
	given(t, trio, func(f *fleet) {
		session := f.ownedBy("a", "b", 1)[0]
		f.nodes["a"].manager.Fenced(session)
		pass(100 * time.Millisecond)
		f.g.Expect(f.nodes["a"].yieldedSessions()).To(ConsistOf(session))
		_, err := f.nodes["a"].manager.Begin(session)
		f.g.Expect(failure.Is(err, failure.NotOwner)).To(BeTrue())
		f.g.Expect(f.resolve("c", session).Local).To(BeTrue())
	})
}

func TestGivenAnInvalidatedOwnerThenItIsLookedUpAgain(t *testing.T) {
	given(t, trio, func(f *fleet) {
		session := f.ownedBy("a", "c", 1)[0]
		f.resolve("b", session)
		f.nodes["b"].manager.Forget(session)
		f.g.Expect(f.resolve("b", session).CacheHit).To(BeFalse())
	})
}

func TestGivenAManagerThatDoesNotRunThenNothingHangs(t *testing.T) {
	given(t, []string{"a"}, func(f *fleet) {
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
