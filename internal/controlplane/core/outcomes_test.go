package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("the health of back ends", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet(2, nil) })
	share := func(m *member, node string, faults uint32) (*protocol.ShareOutcomesResponse, error) {
		answer, err := m.call(shareOutcomesRequest(&protocol.ShareOutcomesRequest{
			Node: node, Zone: "z1", Outcomes: []*protocol.BackEndOutcomes{{Id: "s1", Incarnation: 3, Faults: faults}},
		}))
		return answer.GetShareOutcomes(), err
	}

	It("is merged by the leader from the reports of front nodes and returned to each node that reports next", func() {
		leader := f.lead(f.members[0])
		answer, err := share(leader, "f1", 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetSuspects()).To(BeEmpty())
		answer, err = share(leader, "f2", 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetSuspects()).To(HaveLen(1))
		Expect(answer.GetSuspects()[0].GetId()).To(Equal("s1"))
		Expect(answer.GetSuspects()[0].GetIncarnation()).To(BeEquivalentTo(3))
		Expect(answer.GetSuspects()[0].GetLeftMillis()).To(BeNumerically(">", 1000))
		f.advance(20 * time.Second)
		answer, err = share(leader, "f3", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetSuspects()).To(BeEmpty(), "the ejection must have ended")
	})

	It("is rejected by a follower", func() {
		f.lead(f.members[0])
		_, err := share(f.members[1], "f1", 2)
		Expect(failure.Is(err, failure.NotLeader)).To(BeTrue(), "%v", err)
	})

	It("is rejected if a report has too many outcomes", func() {
		leader := f.lead(f.members[0])
		_, err := leader.call(shareOutcomesRequest(&protocol.ShareOutcomesRequest{
			Node: "f1", Outcomes: make([]*protocol.BackEndOutcomes, 5000),
		}))
		Expect(failure.Is(err, failure.InvalidField)).To(BeTrue(), "%v", err)
	})

	watch := func(m *member, known uint64, wait time.Duration) <-chan *protocol.WatchSuspectsResponse {
		answered := make(chan *protocol.WatchSuspectsResponse, 1)
		go func() {
			defer GinkgoRecover()
			answer, err := m.call(watchSuspectsRequest(&protocol.WatchSuspectsRequest{
				Zone: "z2", Known: known, WaitMillis: uint32(wait / time.Millisecond),
			}))
			Expect(err).NotTo(HaveOccurred())
			answered <- answer.GetWatchSuspects()
		}()
		return answered
	}

	It("is sent to watchers at once when another back end is suspect", func() {
		leader := f.lead(f.members[0])
		watched := watch(leader, 0, time.Minute)
		_, err := share(leader, "f1", 2)
		Expect(err).NotTo(HaveOccurred())
		Consistently(watched, "20ms").ShouldNot(Receive(), "the reports of one front node do not make a back end suspect")
		_, err = share(leader, "f2", 2)
		Expect(err).NotTo(HaveOccurred())
		var answer *protocol.WatchSuspectsResponse
		Eventually(watched, "30s").Should(Receive(&answer))
		Expect(answer.GetSuspects()).To(HaveLen(1))
		Expect(answer.GetSuspects()[0].GetId()).To(Equal("s1"))

		watched = watch(leader, answer.GetVersion(), 300*time.Millisecond)
		Consistently(watched, "20ms").ShouldNot(Receive(), "the watcher has this version already")
		known := answer.GetVersion()
		f.advance(time.Second)
		Eventually(watched, "30s").Should(Receive(&answer))
		Expect(answer.GetSuspects()).To(BeEmpty())
		Expect(answer.GetVersion()).To(Equal(known))
	})

	It("cannot be watched at a follower", func() {
		f.lead(f.members[0])
		_, err := f.members[1].call(watchSuspectsRequest(&protocol.WatchSuspectsRequest{}))
		Expect(failure.Is(err, failure.NotLeader)).To(BeTrue(), "%v", err)
	})
})
