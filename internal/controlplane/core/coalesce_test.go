package core_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/core"
	"github.com/rosestand/rosestand/internal/controlplane/views"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("a burst of changes", func() {
	var f *fleet
	var leader *member
	watcher := frontNode("watcher", 1)
	// otherNodes is the number of nodes besides the watcher.
	const otherNodes = 40
	BeforeEach(func() {
		f = newFleet(1, nil)
		leader = f.lead(f.members[0])
		leader.renew(watcher, nil)
		for i := range otherNodes {
			leader.renew(frontNode(fmt.Sprintf("f%d", i), 1), nil)
		}
	})
	poll := func(known *protocol.ControlVersions, wait uint32, fresh bool) <-chan pollOutcome {
		outcome := make(chan pollOutcome, 1)
		go func() {
			answer, err := leader.call(pollRequest(&protocol.PollControlRequest{
				Node: watcher.GetName(), Incarnation: 1, Known: known, WaitMillis: wait, AcceptsDeltas: true, Fresh: fresh,
			}))
			outcome <- pollOutcome{answer: answer.GetPollControl(), err: err}
		}()
		return outcome
	}
	//nolint:unparam // the contexts below use the result
	expectAnswer := func(outcome <-chan pollOutcome) *protocol.PollControlResponse {
		GinkgoHelper()
		var got pollOutcome
		Eventually(outcome).Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		return got.answer
	}
	// syncWatcher sends the watcher all sections, lets the coalescing interval pass and returns the versions.
	syncWatcher := func() *protocol.ControlVersions {
		GinkgoHelper()
		expectAnswer(poll(nil, 10_000, false))
		known := leader.machine.View().Versions()
		f.advance(time.Second)
		return known
	}

	It("is sent at once after an idle period, and then once per coalescing interval", func() {
		known := syncWatcher()
		first := poll(known, 10_000, false)
		Eventually(f.clock.pendingTimers).Should(Equal(2))
		leader.renew(frontNode("f1", 2), nil)
		var got pollOutcome
		Eventually(first).Should(Receive(&got))
		Expect(got.answer.GetMembership()).To(BeNil())
		Expect(got.answer.GetMembershipDelta().GetUpserted()).To(HaveLen(1))

		known.Membership = got.answer.GetMembershipDelta().GetVersion()
		second := poll(known, 10_000, false)
		Eventually(f.clock.pendingTimers).Should(Equal(2))
		for i := range 20 {
			leader.renew(frontNode(fmt.Sprintf("f%d", i), 3), nil)
		}
		Eventually(f.clock.pendingTimers).Should(Equal(3))
		Expect(second).NotTo(Receive())
		f.advance(100 * time.Millisecond)
		Eventually(second).Should(Receive(&got))
		Expect(got.answer.GetMembershipDelta().GetUpserted()).To(HaveLen(20), "changes in one response")
	})

	Context("of leases that expire at the same time", func() {
		var known *protocol.ControlVersions
		var membership *protocol.MembershipView
		BeforeEach(func() {
			known = syncWatcher()
			membership = leader.machine.View().Membership
			Expect(membership.GetNodes()).To(HaveLen(1 + otherNodes))
		})
		// advanceToExpiry stops one tick before the leases of all nodes but the watcher expire.
		advanceToExpiry := func() {
			GinkgoHelper()
			for range 4 {
				f.advance(time.Second)
				leader.renew(watcher, nil)
			}
			f.advance(200 * time.Millisecond)
			Expect(leader.names()).To(HaveLen(1 + otherNodes))
		}
		// expireBehindGate lets the leases expire while a gate keeps the removals from the log.
		expireBehindGate := func() *proposalGate {
			GinkgoHelper()
			advanceToExpiry()
			gate := leader.blockProposals()
			f.clock.step(50 * time.Millisecond)
			Eventually(gate.blocked).Should(Equal(otherNodes))
			return gate
		}
		// commitRemovals releases that many removals from the gate and waits until they are applied.
		commitRemovals := func(gate *proposalGate, count int) {
			GinkgoHelper()
			left := len(leader.names()) - count
			gate.release(count)
			Eventually(leader.names).Should(HaveLen(left))
		}
		// applyAnswer applies a response, which holds the full snapshot of the membership or a delta.
		applyAnswer := func(answer *protocol.PollControlResponse) {
			GinkgoHelper()
			if delta := answer.GetMembershipDelta(); delta != nil {
				Expect(answer.GetMembership()).To(BeNil())
				applied, err := views.ApplyMembership(membership, delta)
				Expect(err).NotTo(HaveOccurred())
				membership = applied
			} else {
				Expect(answer.GetMembership()).NotTo(BeNil())
				membership = answer.GetMembership()
			}
			known.Membership = membership.GetVersion()
		}
		// expectCurrent checks that the watcher's membership equals the leader's and has that many nodes.
		expectCurrent := func(nodes int) {
			GinkgoHelper()
			Expect(membership.GetNodes()).To(HaveLen(nodes))
			Expect(proto.Equal(membership, leader.machine.View().Membership)).To(BeTrue())
		}
		// applyDelayed applies the response to a poll that is delayed until the coalescing interval has passed.
		applyDelayed := func(outcome <-chan pollOutcome) {
			GinkgoHelper()
			Eventually(f.clock.pendingTimers).Should(Equal(3))
			Expect(outcome).NotTo(Receive())
			f.advance(core.DefaultCoalesceInterval)
			applyAnswer(expectAnswer(outcome))
		}

		It("is sent in two responses", func() {
			first := poll(known, 30_000, false)
			Eventually(f.clock.pendingTimers).Should(Equal(2))
			advanceToExpiry()
			f.advance(100 * time.Millisecond)
			Expect(leader.names()).To(Equal([]string{"watcher"}))
			applyAnswer(expectAnswer(first))
			if len(membership.GetNodes()) > 1 {
				applyDelayed(poll(known, 30_000, false))
			}
			expectCurrent(1)
		})

		It("completes a pending poll at the first removal and is otherwise sent in one response", func() {
			first := poll(known, 30_000, false)
			Eventually(f.clock.pendingTimers).Should(Equal(2))
			gate := expireBehindGate()
			Expect(first).NotTo(Receive())
			commitRemovals(gate, 1)
			applyAnswer(expectAnswer(first))
			expectCurrent(otherNodes)
			second := poll(known, 30_000, false)
			commitRemovals(gate, otherNodes-1)
			applyDelayed(second)
			expectCurrent(1)
		})

		DescribeTable("is sent in two responses however many removals the first one has", func(count int) {
			gate := expireBehindGate()
			commitRemovals(gate, count)
			applyAnswer(expectAnswer(poll(known, 30_000, false)))
			expectCurrent(1 + otherNodes - count)
			second := poll(known, 30_000, false)
			commitRemovals(gate, otherNodes-count)
			applyDelayed(second)
			expectCurrent(1)
		},
			Entry("one", 1),
			Entry("half", otherNodes/2),
			Entry("all but five", otherNodes-5),
			Entry("all but one", otherNodes-1),
		)

		It("is sent in one response if all removals precede the poll", func() {
			commitRemovals(expireBehindGate(), otherNodes)
			applyAnswer(expectAnswer(poll(known, 30_000, false)))
			expectCurrent(1)
			second := poll(known, 1000, false)
			Eventually(f.clock.pendingTimers).Should(Equal(2))
			f.advance(time.Second)
			Expect(proto.Equal(expectAnswer(second), &protocol.PollControlResponse{})).To(BeTrue())
		})
	})

	It("does not delay a fresh poll, nor one that requests again what was sent", func() {
		known := syncWatcher()
		leader.renew(frontNode("f1", 2), nil)
		expectAnswer(poll(known, 10_000, false))
		leader.renew(frontNode("f2", 2), nil)
		expectAnswer(poll(known, 10_000, true))
		expectAnswer(poll(known, 10_000, false))
	})

	It("ends a delayed poll when the leadership ends", func() {
		known := syncWatcher()
		leader.renew(frontNode("f1", 2), nil)
		expectAnswer(poll(known, 10_000, false))
		leader.renew(frontNode("f2", 2), nil)
		delayed := poll(known, 10_000, false)
		Eventually(f.clock.pendingTimers).Should(Equal(3))
		f.lead(nil)
		var got pollOutcome
		Eventually(delayed).Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
	})

	It("is sent as a full snapshot to a node that accepts no deltas", func() {
		known := syncWatcher()
		leader.renew(frontNode("f1", 2), nil)
		answer, err := leader.poll(watcher, known, 10_000)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetMembershipDelta()).To(BeNil())
		Expect(answer.GetMembership().GetNodes()).To(HaveLen(1 + otherNodes))
	})

	It("is sent as a full snapshot to a node whose version is older than the leader's history", func() {
		known := syncWatcher()
		leader.renew(frontNode("f1", 2), nil)
		leader.restart()
		leader.renew(frontNode("f2", 2), nil)
		var got pollOutcome
		Eventually(poll(known, 10_000, false)).Should(Receive(&got))
		Expect(got.answer.GetMembership().GetNodes()).To(HaveLen(1 + otherNodes))
	})
})
