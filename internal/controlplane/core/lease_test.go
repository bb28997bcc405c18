package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("leases", func() {
	var f *fleet
	var leader *member
	BeforeEach(func() {
		f = newFleet(3, nil)
		leader = f.lead(f.members[0])
	})

	It("are written to the log once and renewed in memory", func() {
		Expect(leader.renew(frontNode("f1", 1), nil)).To(BeTrue())
		index := f.index
		for range 20 {
			f.advance(time.Second)
			Expect(leader.renew(frontNode("f1", 1), nil)).To(BeTrue())
		}
		Expect(f.index).To(Equal(index))
		Expect(leader.names()).To(Equal([]string{"f1"}))
	})

	It("end at the leader shortly after they end at the holder", func() {
		f.advance(6 * time.Second)
		leader.renew(frontNode("f1", 1), nil)
		f.advance(5 * time.Second)
		Expect(leader.names()).To(Equal([]string{"f1"}))
		f.advance(300 * time.Millisecond)
		Expect(leader.names()).To(BeEmpty())
	})

	It("are granted again to the same incarnation after they expired", func() {
		leader.renew(frontNode("f1", 1), nil)
		f.advance(12 * time.Second)
		Expect(leader.names()).To(BeEmpty())
		Expect(leader.renew(frontNode("f1", 1), nil)).To(BeTrue())
		Expect(leader.names()).To(Equal([]string{"f1"}))
	})

	It("are rejected for an older incarnation", func() {
		Expect(leader.renew(frontNode("f1", 2), nil)).To(BeTrue())
		Expect(leader.renew(frontNode("f1", 1), nil)).To(BeFalse())
		Expect(leader.renew(frontNode("f1", 3), nil)).To(BeTrue())
	})

	It("end at once when released", func() {
		leader.renew(frontNode("f1", 1), nil)
		_, err := leader.call(&protocol.Request{Body: &protocol.Request_RenewLease{
			RenewLease: &protocol.RenewLeaseRequest{Node: frontNode("f1", 1), Release: true},
		}})
		Expect(err).NotTo(HaveOccurred())
		Expect(leader.names()).To(BeEmpty())
	})

	It("are not ended by a new leader before it has led for their full duration", func() {
		leader.renew(frontNode("f1", 1), nil)
		f.advance(4 * time.Second)
		next := f.lead(f.members[1])
		f.advance(5 * time.Second)
		Expect(next.names()).To(Equal([]string{"f1"}))
		f.advance(400 * time.Millisecond)
		Expect(next.names()).To(BeEmpty())
	})

	It("start with their full duration when the same member leads again after a gap", func() {
		leader.renew(frontNode("f1", 1), nil)
		f.lead(nil)
		f.advance(20 * time.Second)
		f.lead(leader)
		f.advance(5 * time.Second)
		Expect(leader.names()).To(Equal([]string{"f1"}))
	})

	It("are extended after the leader itself was stalled", func() {
		leader.renew(frontNode("f1", 1), nil)
		f.awaitIdle(f.clock.step(30 * time.Second))
		f.advance(5 * time.Second)
		Expect(leader.names()).To(Equal([]string{"f1"}))
		f.advance(500 * time.Millisecond)
		Expect(leader.names()).To(BeEmpty())
	})

	It("are rejected while the outcome of the node's removal is unknown", func() {
		leader.renew(frontNode("f1", 1), nil)
		f.set(func() { leader.dropProposals = true })
		f.advance(5500 * time.Millisecond)
		Expect(leader.names()).To(Equal([]string{"f1"}))
		Expect(leader.renew(frontNode("f1", 1), nil)).To(BeFalse())
		f.set(func() { leader.dropProposals = false })
		f.advance(2 * time.Second)
		Expect(leader.names()).To(BeEmpty())
		Expect(leader.renew(frontNode("f1", 1), nil)).To(BeTrue())
	})

	It("are granted again after a removal that was applied although its response was lost", func() {
		leader.renew(frontNode("f1", 1), nil)
		f.set(func() { leader.loseAnswers = true })
		f.advance(5500 * time.Millisecond)
		f.set(func() { leader.loseAnswers = false })
		Expect(leader.names()).To(BeEmpty())
		Expect(leader.renew(frontNode("f1", 1), nil)).To(BeTrue())
		f.advance(4 * time.Second)
		Expect(leader.names()).To(Equal([]string{"f1"}))
	})

	It("are rejected with the reason when a later incarnation has one", func() {
		leader.renew(frontNode("f1", 7), nil)
		answer, err := leader.call(renewLeaseRequest(&protocol.RenewLeaseRequest{Node: frontNode("f1", 3)}))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetRenewLease().GetGranted()).To(BeFalse())
		Expect(answer.GetRenewLease().GetRefusal().GetCode()).To(Equal(string(failure.LeaseRejected)))
		Expect(answer.GetRenewLease().GetRefusal().GetMessage()).To(ContainSubstring("later incarnation"))
	})

	It("and other requests for the leader are rejected by followers", func() {
		for _, request := range []*protocol.Request{
			{Body: &protocol.Request_RenewLease{RenewLease: &protocol.RenewLeaseRequest{Node: frontNode("f1", 1)}}},
			{Body: &protocol.Request_PollControl{PollControl: &protocol.PollControlRequest{}}},
			{Body: &protocol.Request_PollControl{PollControl: &protocol.PollControlRequest{Fresh: true}}},
			{Body: &protocol.Request_RelayHeartbeats{RelayHeartbeats: &protocol.RelayHeartbeatsRequest{}}},
			{Body: &protocol.Request_DrainBackEnd{DrainBackEnd: &protocol.DrainBackEndRequest{Id: "x"}}},
			{Body: &protocol.Request_ShardCopied{ShardCopied: &protocol.ShardCopiedRequest{}}},
			{Body: &protocol.Request_ReportArms{ReportArms: &protocol.ReportArmsRequest{}}},
			{Body: &protocol.Request_Propose{Propose: &protocol.ProposeRequest{}}},
		} {
			_, err := f.members[2].call(request)
			Expect(failure.Is(err, failure.NotLeader)).To(BeTrue(), "%v: %v", request, err)
		}
		_, err := leader.call(&protocol.Request{Body: &protocol.Request_Ledger{}})
		Expect(failure.Is(err, failure.UnknownRequest)).To(BeTrue(), "%v", err)
	})
})

var _ = Describe("back ends", func() {
	It("stay while their heartbeats arrive and are removed five seconds after the last one", func() {
		f := newFleet(1, nil)
		leader := f.lead(f.members[0])
		f.advance(6 * time.Second)
		leader.heartbeat(modelServer("m1"), modelServer("m2"))
		index := f.index
		for range 10 {
			f.advance(time.Second)
			leader.heartbeat(modelServer("m1"))
		}
		Expect(f.index).To(Equal(index+1), "only the removal of m2 is written to the log")
		Expect(leader.machine.View().BackEnd("m1")).NotTo(BeNil())
		Expect(leader.machine.View().BackEnd("m2")).To(BeNil())
	})

	It("are not removed by a new leader before it has led for five seconds", func() {
		f := newFleet(2, nil)
		f.lead(f.members[0]).heartbeat(modelServer("m1"))
		f.advance(4 * time.Second)
		next := f.lead(f.members[1])
		f.advance(4900 * time.Millisecond)
		Expect(next.machine.View().BackEnd("m1")).NotTo(BeNil())
		f.advance(200 * time.Millisecond)
		Expect(next.machine.View().BackEnd("m1")).To(BeNil())
	})
})
