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
	ask := func(known *protocol.ControlVersions, wait uint32, fresh bool) <-chan polled {
		outcome := make(chan polled, 1)
		go func() {
			answer, err := leader.call(&protocol.Request{Body: &protocol.Request_PollControl{PollControl: &protocol.PollControlRequest{
				Node: watcher.GetName(), Incarnation: 1, Known: known, WaitMillis: wait, AcceptsDeltas: true, Fresh: fresh,
			}}})
			outcome <- polled{answer: answer.GetPollControl(), err: err}
		}()
		return outcome
	}
	answered := func(outcome <-chan polled) *protocol.PollControlResponse {
		GinkgoHelper()
		var got polled
		Eventually(outcome).Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		return got.answer
	}
	// caughtUp makes the watcher hold all there is, long ago.
	caughtUp := func() *protocol.ControlVersions {
		GinkgoHelper()
		answered(ask(nil, 10_000, false))
		known := leader.machine.View().Versions()
		f.advance(time.Second)
		return known
	}

	It("is told at once when it begins after quiet, and then once in the coalescing interval", func() {
		known := caughtUp()
		first := ask(known, 10_000, false)
		Eventually(f.clock.waiting).Should(Equal(2))
		leader.renew(frontNode("f1", 2), nil)
		var got polled
		Eventually(first).Should(Receive(&got))
		Expect(got.answer.GetMembership()).To(BeNil())
		Expect(got.answer.GetMembershipDelta().GetUpserted()).To(HaveLen(1))

		known.Membership = got.answer.GetMembershipDelta().GetVersion()
		second := ask(known, 10_000, false)
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

	Context("of leases that end at one time", func() {
		var known *protocol.ControlVersions
		var held *protocol.MembershipView
		BeforeEach(func() {
			known = caughtUp()
			held = leader.machine.View().Membership
			Expect(held.GetNodes()).To(HaveLen(1 + burst))
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
		// take applies an answer, which holds the whole membership or what changed.
		take := func(answer *protocol.PollControlResponse) {
			GinkgoHelper()
			if delta := answer.GetMembershipDelta(); delta != nil {
				Expect(answer.GetMembership()).To(BeNil())
				applied, err := views.ApplyMembership(held, delta)
				Expect(err).NotTo(HaveOccurred())
				held = applied
			} else {
				Expect(answer.GetMembership()).NotTo(BeNil())
				held = answer.GetMembership()
			}
			known.Membership = held.GetVersion()
		}
		// expectCurrent checks that the watcher holds the membership that the leader holds, and how many nodes are in it.
		expectCurrent := func(nodes int) {
			GinkgoHelper()
			Expect(held.GetNodes()).To(HaveLen(nodes))
			Expect(proto.Equal(held, leader.machine.View().Membership)).To(BeTrue())
		}
		// takeHeldBack takes the answer of a poll that is held back until the coalescing interval has passed.
		takeHeldBack := func(outcome <-chan polled) {
			GinkgoHelper()
			Eventually(f.clock.waiting).Should(Equal(3))
			Expect(outcome).NotTo(Receive())
			f.advance(core.DefaultCoalesceInterval)
			take(answered(outcome))
		}

		It("is told in two answers", func() {
			first := ask(known, 30_000, false)
			Eventually(f.clock.waiting).Should(Equal(2))
			approachEnd()
			f.advance(100 * time.Millisecond)
			Expect(leader.names()).To(Equal([]string{"watcher"}))
			take(answered(first))
			if len(held.GetNodes()) > 1 {
				takeHeldBack(ask(known, 30_000, false))
			}
			expectCurrent(1)
		})

		It("wakes a poll at the first of them, and the others are told in one answer", func() {
			first := ask(known, 30_000, false)
			Eventually(f.clock.waiting).Should(Equal(2))
			gate := endBehindGate()
			Expect(first).NotTo(Receive())
			letThrough(gate, 1)
			take(answered(first))
			expectCurrent(burst)
			second := ask(known, 30_000, false)
			letThrough(gate, burst-1)
			takeHeldBack(second)
			expectCurrent(1)
		})

		DescribeTable("is told in two answers however many of them the first has", func(count int) {
			gate := endBehindGate()
			letThrough(gate, count)
			take(answered(ask(known, 30_000, false)))
			expectCurrent(1 + burst - count)
			second := ask(known, 30_000, false)
			letThrough(gate, burst-count)
			takeHeldBack(second)
			expectCurrent(1)
		},
			Entry("one", 1),
			Entry("half", burst/2),
			Entry("all but five", burst-5),
			Entry("all but one", burst-1),
		)

		It("is told in one answer that has all of them", func() {
			letThrough(endBehindGate(), burst)
			take(answered(ask(known, 30_000, false)))
			expectCurrent(1)
			second := ask(known, 1000, false)
			Eventually(f.clock.waiting).Should(Equal(2))
			f.advance(time.Second)
			Expect(proto.Equal(answered(second), &protocol.PollControlResponse{})).To(BeTrue())
		})
	})

	It("holds back no fresh poll and none that asks again for what was sent", func() {
		known := caughtUp()
		leader.renew(frontNode("f1", 2), nil)
		answered(ask(known, 10_000, false))
		leader.renew(frontNode("f2", 2), nil)
		answered(ask(known, 10_000, true))
		answered(ask(known, 10_000, false))
	})

	It("lets go of a poll that is held back when the leadership ends", func() {
		known := caughtUp()
		leader.renew(frontNode("f1", 2), nil)
		answered(ask(known, 10_000, false))
		leader.renew(frontNode("f2", 2), nil)
		held := ask(known, 10_000, false)
		Eventually(f.clock.waiting).Should(Equal(3))
		f.lead(nil)
		var got polled
		Eventually(held).Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
	})

	It("of a node that knows no deltas is told whole", func() {
		known := caughtUp()
		leader.renew(frontNode("f1", 2), nil)
		answer, err := leader.poll(watcher, known, 10_000)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetMembershipDelta()).To(BeNil())
		Expect(answer.GetMembership().GetNodes()).To(HaveLen(1 + burst))
	})

	It("is told whole to a node whose version is older than the leader's history", func() {
		known := caughtUp()
		leader.renew(frontNode("f1", 2), nil)
		leader.restart()
		leader.renew(frontNode("f2", 2), nil)
		var got polled
		Eventually(ask(known, 10_000, false)).Should(Receive(&got))
		Expect(got.answer.GetMembership().GetNodes()).To(HaveLen(1 + burst))
	})
})
