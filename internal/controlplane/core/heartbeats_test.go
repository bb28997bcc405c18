package core_test

import (
	"fmt"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/core"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// relayInterval is the longest time that a heartbeat waits at a follower for its batch, including the tick that
	// sends the batch.
	relayInterval = 250 * time.Millisecond
	// relayExpiry exceeds the time for which a follower acknowledges heartbeats without a response from the leader.
	relayExpiry = 1300 * time.Millisecond
)

var _ = Describe("heartbeats at a follower", func() {
	var f *fleet
	var net *network
	var leader, follower, other *member
	server := modelServer("m1")
	withCapacity := func(capacity uint32) *protocol.BackEnd {
		changed := proto.CloneOf(server)
		changed.Capacity = capacity
		return changed
	}
	draining := proto.CloneOf(server)
	draining.State = protocol.BackEndState_DRAINING
	current := func() *protocol.BackEnd { return leader.machine.View().BackEnd("m1") }
	logIndex := func() uint64 {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		return f.index
	}
	BeforeEach(func() {
		f, net = newConnectedFleet(3)
		leader, follower, other = f.lead(f.members[0]), f.members[1], f.members[2]
		f.advance(6 * time.Second)
		Expect(follower.announce(server, 1)).To(Succeed())
		Expect(current()).NotTo(BeNil(), "a new back end must be in the log before it is acknowledged")
	})

	It("are acknowledged there when they change nothing, and the leader renews the lease", func() {
		before := logIndex()
		net.takeTraffic(leader)
		_, err := f.announceEverySecond(follower, server, 1, 12*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(current()).NotTo(BeNil())
		Expect(logIndex()).To(Equal(before))
		arrived := net.takeTraffic(leader)
		Expect(arrived.announcements).To(BeZero())
		Expect(arrived.heartbeats).To(Equal(12))
	})

	It("renew the lease from exactly the time at which the follower received them", func() {
		_, err := f.announceEverySecond(follower, server, 1, 3*time.Second)
		Expect(err).NotTo(HaveOccurred())
		f.advance(core.DefaultBackEndLease - time.Second - 50*time.Millisecond)
		Expect(current()).NotTo(BeNil())
		f.advance(100 * time.Millisecond)
		Expect(current()).To(BeNil())
	})

	It("reach the leader with their true age after batches or responses were lost", func() {
		for sequence, lose := range []func(*member, bool){net.setPartitioned, net.setLoseAnswers} {
			f.advance(time.Second)
			Expect(follower.announce(server, uint64(2*sequence+2))).To(Succeed())
			lose(follower, true)
			f.advance(800 * time.Millisecond)
			lose(follower, false)
			f.advance(core.DefaultBackEndLease - 850*time.Millisecond)
			Expect(current()).NotTo(BeNil())
			f.advance(100 * time.Millisecond)
			Expect(current()).To(BeNil())
			Expect(follower.announce(server, uint64(2*sequence+3))).To(Succeed(), "the leader adds the expired back end again")
		}
	})

	It("do not shorten a lease that the leader renewed later", func() {
		net.setPartitioned(follower, true)
		Expect(follower.announce(server, 0)).To(Succeed())
		f.advance(900 * time.Millisecond)
		Expect(leader.announce(server, 0)).To(Succeed())
		net.setPartitioned(follower, false)
		f.advance(core.DefaultBackEndLease - 50*time.Millisecond)
		Expect(current()).NotTo(BeNil())
		f.advance(100 * time.Millisecond)
		Expect(current()).To(BeNil())
	})

	It("are rejected at once while the leader is unreachable, so that the back end uses another member", func() {
		net.setPartitioned(follower, true)
		Expect(follower.announce(server, 2)).To(Succeed(), "the leader has just responded to a batch")
		f.advance(relayExpiry)
		for _, announced := range []*protocol.BackEnd{server, withCapacity(7), draining} {
			rejected := follower.announce(announced, 3)
			Expect(failure.Is(rejected, failure.Unavailable)).To(BeTrue(), "%v", rejected)
			Expect(failure.From(rejected).GetOutcome()).To(Equal(protocol.Outcome_NOT_RUN))
			Expect(failure.From(rejected).GetRetryAfterMillis()).NotTo(BeZero())
		}
		_, err := f.announceEverySecond(other, server, 3, 8*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(current()).NotTo(BeNil())
		By("healing the link")
		net.setPartitioned(follower, false)
		f.advance(relayInterval)
		Expect(follower.announce(server, 20)).To(Succeed())
	})

	It("are rejected while no leader is known, and accepted once the next leader has responded", func() {
		f.lead(nil)
		Expect(core.IsNotLeader(follower.announce(server, 2))).To(BeTrue())
		leader = f.lead(other)
		f.advance(50 * time.Millisecond)
		Expect(follower.announce(server, 3)).To(Succeed())
	})

	It("are rejected while a new leader is unreachable, even if its predecessor has just responded", func() {
		net.setPartitioned(other, true)
		f.lead(other)
		Expect(failure.Is(follower.announce(server, 2), failure.Unavailable)).To(BeTrue())
	})

	It("are accepted after a change of leader while a batch to the former leader is still in flight", func() {
		release := net.setUnresponsive(leader)
		DeferCleanup(release)
		net.setPartitioned(other, true)
		net.takeTraffic(leader)
		f.clock.step(relayInterval)
		Eventually(func() int { return net.takeTraffic(leader).requests }).Should(Equal(1), "the follower's batch")
		net.setPartitioned(other, false)
		f.set(func() { f.leader, other.since = other, f.clock.Now() })
		Eventually(func() error {
			f.clock.step(50 * time.Millisecond)
			return follower.announce(server, 2)
		}).Should(Succeed())
	})

	It("are in the log before they are acknowledged if they change something", func() {
		Expect(follower.announce(withCapacity(7), 2)).To(Succeed())
		Expect(current().GetCapacity()).To(BeEquivalentTo(7))
		net.setPartitioned(leader, true)
		lost := follower.announce(withCapacity(8), 3)
		Expect(failure.From(lost).GetOutcome()).To(Equal(protocol.Outcome_UNKNOWN))
		Expect(current().GetCapacity()).To(BeEquivalentTo(7))
		net.setPartitioned(leader, false)
		invalid := follower.announce(&protocol.BackEnd{Id: "m2"}, 1)
		Expect(core.IsInvalid(invalid)).To(BeTrue(), "want the leader's rejection, got %v", invalid)
	})

	It("of draining are acknowledged only when the view is active on every front node", func() {
		front := frontNode("f1", 1)
		leader.renew(front, leader.machine.View().Versions())
		outcome := make(chan error, 2)
		go func() { outcome <- follower.announce(draining, 2) }()
		Eventually(func() protocol.BackEndState { return current().GetState() }).Should(Equal(protocol.BackEndState_DRAINING))
		By("sending it again once the back end is draining in the follower's own view")
		go func() { outcome <- follower.announce(draining, 3) }()
		f.advance(time.Second)
		Expect(outcome).NotTo(Receive())
		leader.renew(front, leader.machine.View().Versions())
		Eventually(outcome).Should(Receive(BeNil()))
		Eventually(outcome).Should(Receive(BeNil()))
		Expect(follower.announce(server, 4)).To(Succeed())
		Expect(current().GetState()).To(Equal(protocol.BackEndState_DRAINING))
	})

	It("of draining are not acknowledged by a former leader", func() {
		leader.renew(frontNode("f1", 1), leader.machine.View().Versions())
		outcome := make(chan error, 1)
		go func() { outcome <- follower.announce(draining, 2) }()
		Eventually(func() protocol.BackEndState { return current().GetState() }).Should(Equal(protocol.BackEndState_DRAINING))
		f.advance(50 * time.Millisecond)
		f.lead(other)
		var lost error
		Eventually(outcome).Should(Receive(&lost))
		Expect(core.IsNotLeader(lost)).To(BeTrue(), "%v", lost)
	})

	It("do not renew the lease when they are outdated", func() {
		Expect(leader.announce(server, 9)).To(Succeed())
		for range 6 {
			Expect(follower.announce(server, 8)).To(Succeed())
			f.advance(time.Second)
		}
		Expect(current()).To(BeNil())
	})

	It("do not restore a removed back end, even through a follower that has not applied the removal", func() {
		f.set(func() { follower.lagging = true })
		Expect(leader.service.RemoveBackEnd(f.context(), "m1", 0)).To(Succeed())
		Expect(follower.announce(server, 8)).To(Succeed(), "the follower's view still has the back end")
		f.advance(time.Second)
		Expect(current()).To(BeNil())
		Expect(follower.announce(server, 9)).To(Succeed())
		follower.catchUp()
		before := logIndex()
		Expect(follower.announce(server, 10)).To(Succeed())
		f.advance(time.Second)
		Expect(current()).To(BeNil())
		Expect(logIndex()).To(Equal(before))
	})

	It("are forwarded when the leader's view of the back end differs from the follower's", func() {
		f.set(func() { follower.lagging = true })
		Expect(other.announce(withCapacity(7), 2)).To(Succeed())
		Expect(follower.announce(server, 3)).To(Succeed(), "the follower cannot detect the difference yet")
		f.advance(relayInterval)
		Expect(current().GetCapacity()).To(BeEquivalentTo(7))
		Expect(follower.announce(server, 4)).To(Succeed())
		Expect(current().GetCapacity()).To(BeZero())
		follower.catchUp()
		net.takeTraffic(leader)
		Expect(follower.announce(server, 5)).To(Succeed())
		Expect(net.takeTraffic(leader).announcements).To(BeZero(), "the views are equal again")
	})

	It("are forwarded when the lease expired", func() {
		f.advance(core.DefaultBackEndLease + 100*time.Millisecond)
		Expect(current()).To(BeNil())
		Expect(follower.announce(server, 2)).To(Succeed())
		Expect(current()).NotTo(BeNil())
	})

	It("are forwarded when the lease expired at the leader and the follower has not applied the removal", func() {
		f.set(func() { follower.lagging = true })
		f.advance(core.DefaultBackEndLease + 100*time.Millisecond)
		Expect(current()).To(BeNil())
		Expect(follower.announce(server, 2)).To(Succeed())
		f.advance(relayInterval)
		Expect(follower.announce(server, 3)).To(Succeed())
		Expect(current()).NotTo(BeNil())
	})

	It("keep back ends in the view under a new leader, which starts with a full lease for each", func() {
		_, err := f.announceEverySecond(follower, server, 1, 4*time.Second)
		Expect(err).NotTo(HaveOccurred())
		leader = f.lead(other)
		f.advance(core.DefaultBackEndLease - 100*time.Millisecond)
		Expect(current()).NotTo(BeNil(), "before the new leader received any heartbeat")
		sequence, err := f.announceEverySecond(follower, server, 10, 8*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(current()).NotTo(BeNil())
		By("making the member itself the leader")
		leader = f.lead(follower)
		_, err = f.announceEverySecond(other, server, sequence, 8*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(current()).NotTo(BeNil())
	})

	It("are accepted from members of the core only", func() {
		answer, err := leader.call(renewBackEndsRequest(&protocol.RenewBackEndsRequest{Member: 77}))
		Expect(failure.Is(err, failure.Forbidden)).To(BeTrue(), "%v %v", answer, err)
		_, err = follower.call(renewBackEndsRequest(&protocol.RenewBackEndsRequest{Member: 3}))
		Expect(failure.Is(err, failure.NotLeader)).To(BeTrue(), "%v", err)
		tooMany := &protocol.RenewBackEndsRequest{Member: 2, Heard: make([]*protocol.HeardBackEnd, 4097)}
		_, err = leader.call(renewBackEndsRequest(tooMany))
		Expect(core.IsInvalid(err)).To(BeTrue(), "%v", err)
	})

	It("are relayed in several batches when they exceed the size of one", func() {
		const count = 5000
		for number := range count {
			Expect(leader.announce(modelServer(fmt.Sprintf("n%04d", number)), 1)).To(Succeed())
		}
		f.advance(core.DefaultBackEndLease - 500*time.Millisecond)
		for number := range count {
			Expect(follower.announce(modelServer(fmt.Sprintf("n%04d", number)), 2)).To(Succeed())
		}
		f.advance(2 * time.Second)
		Expect(leader.machine.View().BackEnds.GetBackEnds()).To(HaveLen(count))
	})
})

var _ = Describe("the heartbeat traffic at the leader", func() {
	// interval is the time between two heartbeats of a back end.
	const interval = time.Second
	// countTraffic returns the heartbeats sent to the leader directly and the requests that it receives in one interval
	// when all back ends use their heartbeat addresses.
	countTraffic := func(backEnds int) (direct int, relayed traffic) {
		f, net := newConnectedFleet(4)
		leader := f.lead(f.members[0])
		f.advance(100 * time.Millisecond)
		addresses := map[string]*member{}
		for _, m := range f.members {
			addresses[m.core.GetHttpAddress()] = m
		}
		for number := range backEnds {
			Expect(leader.announce(modelServer(strconv.Itoa(number)), 1)).To(Succeed())
		}
		f.advance(interval)
		net.takeTraffic(leader)
		for number := range backEnds {
			server := modelServer(strconv.Itoa(number))
			target := addresses[leader.service.HeartbeatAddress(server)]
			if target == leader {
				direct++
			}
			Expect(target.announce(server, 2)).To(Succeed())
		}
		f.advance(interval)
		return direct, net.takeTraffic(leader)
	}

	It("consists of as many requests for 3,000 back ends as for 300", func() {
		directFew, few := countTraffic(300)
		directMany, many := countTraffic(3000)
		Expect(directFew).To(BeZero())
		Expect(directMany).To(BeZero())
		Expect(few.heartbeats).To(Equal(300))
		Expect(many.heartbeats).To(Equal(3000))
		Expect(many.announcements).To(BeZero())
		Expect(many.requests).To(Equal(few.requests))
		Expect(many.requests).To(BeNumerically("<=", 3*6), "five batches a second and one in flight per follower")
		GinkgoWriter.Printf("3,000 back ends: %d requests, %d bytes in %v\n", many.requests, many.bytes, interval)
	})
})
