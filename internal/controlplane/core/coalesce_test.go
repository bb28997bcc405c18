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
	// burst is how many other nodes there are.
	const burst = 40
	BeforeEach(func() {
		f = newFleet(1, nil)
		leader = f.lead(f.members[0])
		leader.renew(watcher, nil)
		for i := range burst {
			leader.renew(frontNode(fmt.Sprintf("f%d", i), 1), nil)
		}
	})
	poll := func(known *protocol.ControlVersions, wait uint32, fresh bool) <-chan polled {
		outcome := make(chan polled, 1)
		go func() {
			answer, err := leader.call(pollRequest(&protocol.PollControlRequest{
				Node: watcher.GetName(), Incarnation: 1, Known: known, WaitMillis: wait, AcceptsDeltas: true, Fresh: fresh,
			}))
			outcome <- polled{answer: answer.GetPollControl(), err: err}
		}()
		return outcome
	}
	//nolint:unparam // the contexts below use the result
	expectAnswer := func(outcome <-chan polled) *protocol.PollControlResponse {
		GinkgoHelper()
		var got polled
		Eventually(outcome).Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		return got.answer
	}
	// caughtUp makes the watcher hold all there is, long ago.
	caughtUp := func() *protocol.ControlVersions {
		GinkgoHelper()
		expectAnswer(poll(nil, 10_000, false))
		known := leader.machine.View().Versions()
		f.advance(time.Second)
		return known
	}

	It("is sent at once when it begins after an idle time, and then once in the coalescing interval", func() {
		known := caughtUp()
		first := poll(known, 10_000, false)
		Eventually(f.clock.waiting).Should(Equal(2))
		leader.renew(frontNode("f1", 2), nil)
		var got polled
		Eventually(first).Should(Receive(&got))
		Expect(got.answer.GetMembership()).To(BeNil())
		Expect(got.answer.GetMembershipDelta().GetUpserted()).To(HaveLen(1))

		known.Membership = got.answer.GetMembershipDelta().GetVersion()
		second := poll(known, 10_000, false)
		Eventually(f.clock.waiting).Should(Equal(2))
		for i := range 20 {
			leader.renew(frontNode(fmt.Sprintf("f%d", i), 3), nil)
		}
		Eventually(f.clock.waiting).Should(Equal(3))
		Expect(second).NotTo(Receive())
		f.advance(100 * time.Millisecond)
		Eventually(second).Should(Receive(&got))
		Expect(got.answer.GetMembershipDelta().GetUpserted()).To(HaveLen(20), "all of them in one answer")
	})

	Context("of leases that expire at one time", func() {
		var known *protocol.ControlVersions
		var membership *protocol.MembershipView
		BeforeEach(func() {
			known = caughtUp()
			membership = leader.machine.View().Membership
			Expect(membership.GetNodes()).To(HaveLen(1 + burst))
		})
		// approachEnd stops one tick before the leases of all but the watcher end.
		approachEnd := func() {
			GinkgoHelper()
			for range 4 {
				f.advance(time.Second)
				leader.renew(watcher, nil)
			}
			f.advance(200 * time.Millisecond)
			Expect(leader.names()).To(HaveLen(1 + burst))
		}
		// endBehindGate ends the leases while no removal reaches the log.
		endBehindGate := func() *proposalGate {
			GinkgoHelper()
			approachEnd()
			gate := leader.shutGate()
			f.clock.step(50 * time.Millisecond)
			Eventually(gate.waiting).Should(Equal(burst))
			return gate
		}
		// letThrough lets removals reach the log and waits until it has them.
		letThrough := func(gate *proposalGate, count int) {
			GinkgoHelper()
			left := len(leader.names()) - count
			gate.let(count)
			Eventually(leader.names).Should(HaveLen(left))
		}
		// take applies an answer, which is the full snapshot of the membership or a delta.
		take := func(answer *protocol.PollControlResponse) {
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
		// expectCurrent checks that the watcher holds the membership that the leader holds, and how many nodes are in it.
		expectCurrent := func(nodes int) {
			GinkgoHelper()
			Expect(membership.GetNodes()).To(HaveLen(nodes))
			Expect(proto.Equal(membership, leader.machine.View().Membership)).To(BeTrue())
		}
		// takeDelayed takes the answer of a poll that is delayed until the coalescing interval has passed.
		takeDelayed := func(outcome <-chan polled) {
			GinkgoHelper()
			Eventually(f.clock.waiting).Should(Equal(3))
			Expect(outcome).NotTo(Receive())
			f.advance(core.DefaultCoalesceInterval)
			take(expectAnswer(outcome))
		}

		It("is sent in two answers", func() {
			first := poll(known, 30_000, false)
			Eventually(f.clock.waiting).Should(Equal(2))
			approachEnd()
			f.advance(100 * time.Millisecond)
			Expect(leader.names()).To(Equal([]string{"watcher"}))
			take(expectAnswer(first))
			if len(membership.GetNodes()) > 1 {
				takeDelayed(poll(known, 30_000, false))
			}
			expectCurrent(1)
		})

		It("wakes a poll at the first of them, and the others are sent in one answer", func() {
			first := poll(known, 30_000, false)
			Eventually(f.clock.waiting).Should(Equal(2))
			gate := endBehindGate()
			Expect(first).NotTo(Receive())
			letThrough(gate, 1)
			take(expectAnswer(first))
			expectCurrent(burst)
			second := poll(known, 30_000, false)
			letThrough(gate, burst-1)
			takeDelayed(second)
			expectCurrent(1)
		})

		DescribeTable("is sent in two answers however many of them the first has", func(count int) {
			gate := endBehindGate()
			letThrough(gate, count)
			take(expectAnswer(poll(known, 30_000, false)))
			expectCurrent(1 + burst - count)
			second := poll(known, 30_000, false)
			letThrough(gate, burst-count)
			takeDelayed(second)
			expectCurrent(1)
		},
			Entry("one", 1),
			Entry("half", burst/2),
			Entry("all but five", burst-5),
			Entry("all but one", burst-1),
		)

		It("is sent in one answer that has all of them", func() {
			letThrough(endBehindGate(), burst)
			take(expectAnswer(poll(known, 30_000, false)))
			expectCurrent(1)
			second := poll(known, 1000, false)
			Eventually(f.clock.waiting).Should(Equal(2))
			f.advance(time.Second)
			Expect(proto.Equal(expectAnswer(second), &protocol.PollControlResponse{})).To(BeTrue())
		})
	})

	It("delays no fresh poll and none that requests again what was sent", func() {
		known := caughtUp()
		leader.renew(frontNode("f1", 2), nil)
		expectAnswer(poll(known, 10_000, false))
		leader.renew(frontNode("f2", 2), nil)
		expectAnswer(poll(known, 10_000, true))
		expectAnswer(poll(known, 10_000, false))
	})

	It("ends a delayed poll when the leadership ends", func() {
		known := caughtUp()
		leader.renew(frontNode("f1", 2), nil)
		expectAnswer(poll(known, 10_000, false))
		leader.renew(frontNode("f2", 2), nil)
		delayed := poll(known, 10_000, false)
		Eventually(f.clock.waiting).Should(Equal(3))
		f.lead(nil)
		var got polled
		Eventually(delayed).Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
	})

	It("is sent as a full snapshot to a node that accepts no deltas", func() {
		known := caughtUp()
		leader.renew(frontNode("f1", 2), nil)
		answer, err := leader.poll(watcher, known, 10_000)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetMembershipDelta()).To(BeNil())
		Expect(answer.GetMembership().GetNodes()).To(HaveLen(1 + burst))
	})

	It("is sent as a full snapshot to a node whose version is older than the leader's history", func() {
		known := caughtUp()
		leader.renew(frontNode("f1", 2), nil)
		leader.restart()
		leader.renew(frontNode("f2", 2), nil)
		var got polled
		Eventually(poll(known, 10_000, false)).Should(Receive(&got))
		Expect(got.answer.GetMembership().GetNodes()).To(HaveLen(1 + burst))
	})
})
