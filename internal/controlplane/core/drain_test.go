package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// drainOutcome is the outcome of a drain that runs concurrently with the test.
type drainOutcome struct {
	Version uint64
	Err     error
}

func (m *member) drainAsync(id string) <-chan drainOutcome {
	outcome := make(chan drainOutcome, 1)
	go func() {
		answer, err := m.call(drainRequest(&protocol.DrainBackEndRequest{Id: id, Incarnation: 1}))
		outcome <- drainOutcome{Version: answer.GetDrainBackEnd().GetViewVersion(), Err: err}
	}()
	return outcome
}

var _ = Describe("the drain of a back end", func() {
	var f *fleet
	var leader *member
	f1, f2 := frontNode("f1", 1), frontNode("f2", 1)
	BeforeEach(func() {
		f = newFleet(2, nil)
		leader = f.lead(f.members[0])
		f.advance(6 * time.Second)
		leader.heartbeat(modelServer("m1"))
		leader.renew(f1, leader.machine.View().Versions())
		leader.renew(f2, leader.machine.View().Versions())
	})
	// startDrain starts a drain and waits until it is applied.
	startDrain := func() <-chan drainOutcome {
		GinkgoHelper()
		outcome := leader.drainAsync("m1")
		state := func() protocol.BackEndState { return leader.machine.View().BackEnd("m1").GetState() }
		Eventually(state).Should(Equal(protocol.BackEndState_DRAINING))
		f.advance(50 * time.Millisecond)
		return outcome
	}

	It("is acknowledged only when the view is active on every front node", func() {
		outcome := startDrain()
		Expect(outcome).NotTo(Receive())
		leader.renew(f1, leader.machine.View().Versions())
		f.advance(50 * time.Millisecond)
		Expect(outcome).NotTo(Receive())
		leader.renew(f2, leader.machine.View().Versions())
		var got drainOutcome
		Eventually(outcome).Should(Receive(&got))
		Expect(got.Err).NotTo(HaveOccurred())
		Expect(got.Version).To(Equal(leader.machine.View().BackEnds.GetVersion()))
	})

	It("is acknowledged by a poll of the incarnation with the lease, but not by one of another incarnation", func() {
		outcome := startDrain()
		leader.renew(f1, leader.machine.View().Versions())
		_, err := leader.poll(frontNode("f2", 7), leader.machine.View().Versions(), 0)
		Expect(err).NotTo(HaveOccurred())
		f.advance(50 * time.Millisecond)
		Expect(outcome).NotTo(Receive())
		_, err = leader.poll(f2, leader.machine.View().Versions(), 0)
		Expect(err).NotTo(HaveOccurred())
		Eventually(outcome).Should(Receive(HaveField("Err", BeNil())))
	})

	It("is acknowledged when the lease of an unresponsive front node has expired", func() {
		outcome := startDrain()
		for range 4 {
			f.advance(time.Second)
			leader.renew(f1, leader.machine.View().Versions())
		}
		Expect(outcome).NotTo(Receive())
		f.advance(1500 * time.Millisecond)
		Eventually(outcome).Should(Receive(HaveField("Err", BeNil())))
	})

	It("starts over under a new leader, which has no acknowledgements", func() {
		outcome := startDrain()
		next := f.lead(f.members[1])
		var got drainOutcome
		Eventually(outcome).Should(Receive(&got))
		Expect(failure.Is(got.Err, failure.NotLeader)).To(BeTrue(), "%v", got.Err)
		again := next.drainAsync("m1")
		next.renew(f1, next.machine.View().Versions())
		f.advance(time.Second)
		Expect(again).NotTo(Receive())
		next.renew(f2, next.machine.View().Versions())
		Eventually(again).Should(Receive(HaveField("Err", BeNil())))
	})

	It("succeeds after its removal when the view without it is active on every front node", func() {
		f.advance(5 * time.Second)
		leader.renew(f1, leader.machine.View().Versions())
		f.advance(200 * time.Millisecond)
		Expect(leader.machine.View().BackEnd("m1")).To(BeNil())
		leader.renew(f1, leader.machine.View().Versions())
		f.advance(time.Second)
		Eventually(leader.drainAsync("m1")).Should(Receive(HaveField("Err", BeNil())))
	})
})
