package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

type pollOutcome struct {
	answer *protocol.PollControlResponse
	err    error
}

func (m *member) pollAsync(known *protocol.ControlVersions, wait uint32) <-chan pollOutcome {
	outcome := make(chan pollOutcome, 1)
	go func() {
		answer, err := m.poll(frontNode("f1", 1), known, wait)
		outcome <- pollOutcome{answer: answer, err: err}
	}()
	return outcome
}

var _ = Describe("polls", func() {
	var f *fleet
	var leader *member
	BeforeEach(func() {
		f = newFleet(2, nil)
		leader = f.lead(f.members[0])
		leader.renew(frontNode("f1", 1), nil)
	})

	It("return at once with the sections that are newer, and no others", func() {
		leader.heartbeat(modelServer("m1"))
		answer, err := leader.poll(frontNode("f1", 1), nil, 10_000)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetMembership().GetNodes()).To(HaveLen(1))
		Expect(answer.GetBackEnds().GetBackEnds()).To(HaveLen(1))
		known := leader.machine.View().Versions()
		known.BackEnds = 0
		answer, err = leader.poll(frontNode("f1", 1), known, 10_000)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetMembership()).To(BeNil())
		Expect(answer.GetBackEnds().GetBackEnds()).To(HaveLen(1))
	})

	It("wait until something changes", func() {
		outcome := leader.pollAsync(leader.machine.View().Versions(), 10_000)
		Consistently(outcome, "20ms").ShouldNot(Receive())
		leader.renew(frontNode("f2", 1), nil)
		var got pollOutcome
		Eventually(outcome).Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.answer.GetMembership().GetNodes()).To(HaveLen(2))
	})

	It("return without sections when the requested wait time has passed", func() {
		f.advance(time.Second)
		outcome := leader.pollAsync(leader.machine.View().Versions(), 2000)
		Eventually(f.clock.pendingTimers).Should(Equal(3))
		leader.renew(frontNode("f1", 1), nil)
		f.advance(1900 * time.Millisecond)
		Expect(outcome).NotTo(Receive())
		f.advance(200 * time.Millisecond)
		var got pollOutcome
		Eventually(outcome).Should(Receive(&got))
		Expect(proto.Equal(got.answer, &protocol.PollControlResponse{})).To(BeTrue())
	})

	It("end when the leadership ends", func() {
		outcome := leader.pollAsync(leader.machine.View().Versions(), 10_000)
		Eventually(f.clock.pendingTimers).Should(Equal(3))
		f.lead(f.members[1])
		var got pollOutcome
		Eventually(outcome).Should(Receive(&got))
		Expect(failure.Is(got.err, failure.NotLeader)).To(BeTrue(), "%v", got.err)
	})
})

// pendingTimers returns the number of timers that have not fired.
func (c *virtualClock) pendingTimers() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.timers)
}
