package core_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("a burst of changes", func() {
	var f *fleet
	var leader *member
	watcher := frontNode("watcher", 1)
	BeforeEach(func() {
		f = newFleet(1, nil)
		leader = f.lead(f.members[0])
		leader.renew(watcher, nil)
		for i := range 40 {
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
		Consistently(second, "20ms").ShouldNot(Receive())
		f.advance(100 * time.Millisecond)
		Eventually(second).Should(Receive(&got))
		Expect(got.answer.GetMembershipDelta().GetUpserted()).To(HaveLen(20), "all of them in one answer")
	})

	It("of leases that end at one time is told in two answers", func() {
		known := caughtUp()
		first := ask(known, 30_000, false)
		for range 4 {
			f.advance(time.Second)
			leader.renew(watcher, nil)
		}
		f.advance(300 * time.Millisecond)
		Expect(leader.names()).To(Equal([]string{"watcher"}))
		told := answered(first)
		known.Membership = told.GetMembershipDelta().GetVersion() + told.GetMembership().GetVersion()
		second := ask(known, 30_000, false)
		f.advance(100 * time.Millisecond)
		left := leader.machine.View().Membership.GetVersion()
		if known.GetMembership() < left {
			known.Membership = answered(second).GetMembership().GetVersion()
		}
		Expect(known.GetMembership()).To(Equal(left))
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
		Expect(answer.GetMembership().GetNodes()).To(HaveLen(41))
	})

	It("is told whole to a node whose version is older than the leader's history", func() {
		known := caughtUp()
		leader.renew(frontNode("f1", 2), nil)
		leader.restart()
		leader.renew(frontNode("f2", 2), nil)
		var got polled
		Eventually(ask(known, 10_000, false)).Should(Receive(&got))
		Expect(got.answer.GetMembership().GetNodes()).To(HaveLen(41))
	})
})
