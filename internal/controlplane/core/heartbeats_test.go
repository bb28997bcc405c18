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
	// relayInterval is the longest that a heartbeat waits at a member for its batch, with the tick that sends it.
	relayInterval = 250 * time.Millisecond
	// relayExpiry is longer than a member may acknowledge heartbeats without an answer of the leader.
	relayExpiry = 1300 * time.Millisecond
)

var _ = Describe("heartbeats at a member that does not lead", func() {
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
	currentBackEnd := func() *protocol.BackEnd { return leader.machine.View().BackEnd("m1") }
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
		Expect(currentBackEnd()).NotTo(BeNil(), "a new back end is in the log before it is acknowledged")
	})

	It("are acknowledged there when they change nothing, and the leader keeps the lease", func() {
		before := logIndex()
		net.takeTraffic(leader)
		_, err := f.announceEverySecond(follower, server, 1, 12*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(currentBackEnd()).NotTo(BeNil())
		Expect(logIndex()).To(Equal(before))
		arrived := net.takeTraffic(leader)
		Expect(arrived.announcements).To(BeZero())
		Expect(arrived.heartbeats).To(Equal(12))
	})

	It("count for the lease from when the member received them, neither shorter nor longer", func() {
		_, err := f.announceEverySecond(follower, server, 1, 3*time.Second)
		Expect(err).NotTo(HaveOccurred())
		f.advance(core.DefaultBackEndLease - time.Second - 50*time.Millisecond)
		Expect(currentBackEnd()).NotTo(BeNil())
		f.advance(100 * time.Millisecond)
		Expect(currentBackEnd()).To(BeNil())
	})

	It("reach the leader with their true age when answers or batches were lost on the way", func() {
		for sequence, lose := range []func(*member, bool){net.setPartitioned, net.setLoseAnswers} {
			f.advance(time.Second)
			Expect(follower.announce(server, uint64(2*sequence+2))).To(Succeed())
			lose(follower, true)
			f.advance(800 * time.Millisecond)
			lose(follower, false)
			f.advance(core.DefaultBackEndLease - 850*time.Millisecond)
			Expect(currentBackEnd()).NotTo(BeNil())
			f.advance(100 * time.Millisecond)
			Expect(currentBackEnd()).To(BeNil())
			Expect(follower.announce(server, uint64(2*sequence+3))).To(Succeed(), "it comes back by the leader")
		}
	})

	It("do not shorten a lease that the leader counts from a later time", func() {
		net.setPartitioned(follower, true)
		Expect(follower.announce(server, 0)).To(Succeed())
		f.advance(900 * time.Millisecond)
		Expect(leader.announce(server, 0)).To(Succeed())
		net.setPartitioned(follower, false)
		f.advance(core.DefaultBackEndLease - 50*time.Millisecond)
		Expect(currentBackEnd()).NotTo(BeNil())
		f.advance(100 * time.Millisecond)
		Expect(currentBackEnd()).To(BeNil())
	})

	It("are rejected at once while it does not reach the leader, so that the back end goes to another one", func() {
		net.setPartitioned(follower, true)
		Expect(follower.announce(server, 2)).To(Succeed(), "the last batch was answered just now")
		f.advance(relayExpiry)
		for _, announced := range []*protocol.BackEnd{server, withCapacity(7), draining} {
			rejected := follower.announce(announced, 3)
			Expect(failure.Is(rejected, failure.Unavailable)).To(BeTrue(), "%v", rejected)
			Expect(failure.From(rejected).GetOutcome()).To(Equal(protocol.Outcome_NOT_RUN))
			Expect(failure.From(rejected).GetRetryAfterMillis()).NotTo(BeZero())
		}
		_, err := f.announceEverySecond(other, server, 3, 8*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(currentBackEnd()).NotTo(BeNil())
		By("healing the link")
		net.setPartitioned(follower, false)
		f.advance(relayInterval)
		Expect(follower.announce(server, 20)).To(Succeed())
	})

	It("are rejected while no leader is known, and accepted when the next one answered", func() {
		f.lead(nil)
		Expect(core.IsNotLeader(follower.announce(server, 2))).To(BeTrue())
		leader = f.lead(other)
		f.advance(50 * time.Millisecond)
		Expect(follower.announce(server, 3)).To(Succeed())
	})

	It("are rejected when a leader was reached just now but its successor is not", func() {
		net.setPartitioned(other, true)
		f.lead(other)
		Expect(failure.Is(follower.announce(server, 2), failure.Unavailable)).To(BeTrue())
	})

	It("are accepted after a change of leader while a batch to the former one is still in flight", func() {
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

	It("that change something are in the log before they are acknowledged", func() {
		Expect(follower.announce(withCapacity(7), 2)).To(Succeed())
		Expect(currentBackEnd().GetCapacity()).To(BeEquivalentTo(7))
		net.setPartitioned(leader, true)
		lost := follower.announce(withCapacity(8), 3)
		Expect(failure.From(lost).GetOutcome()).To(Equal(protocol.Outcome_UNKNOWN))
		Expect(currentBackEnd().GetCapacity()).To(BeEquivalentTo(7))
		net.setPartitioned(leader, false)
		invalid := follower.announce(&protocol.BackEnd{Id: "m2"}, 1)
		Expect(core.IsInvalid(invalid)).To(BeTrue(), "the leader's refusal comes back: %v", invalid)
	})

	It("of draining are acknowledged only when every front node has the view in force", func() {
		front := frontNode("f1", 1)
		leader.renew(front, leader.machine.View().Versions())
		outcome := make(chan error, 2)
		go func() { outcome <- follower.announce(draining, 2) }()
		Eventually(func() protocol.BackEndState { return currentBackEnd().GetState() }).Should(Equal(protocol.BackEndState_DRAINING))
		By("sending it again once the member's own view says so")
		go func() { outcome <- follower.announce(draining, 3) }()
		f.advance(time.Second)
		Expect(outcome).NotTo(Receive())
		leader.renew(front, leader.machine.View().Versions())
		Eventually(outcome).Should(Receive(BeNil()))
		Eventually(outcome).Should(Receive(BeNil()))
		Expect(follower.announce(server, 4)).To(Succeed())
		Expect(currentBackEnd().GetState()).To(Equal(protocol.BackEndState_DRAINING))
	})

	It("of draining are not acknowledged by a leader that lost its place", func() {
		leader.renew(frontNode("f1", 1), leader.machine.View().Versions())
		outcome := make(chan error, 1)
		go func() { outcome <- follower.announce(draining, 2) }()
		Eventually(func() protocol.BackEndState { return currentBackEnd().GetState() }).Should(Equal(protocol.BackEndState_DRAINING))
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
		Expect(currentBackEnd()).To(BeNil())
	})

	It("do not bring back one that was removed, also from a member that does not know of it", func() {
		f.set(func() { follower.lagging = true })
		Expect(leader.service.RemoveBackEnd(f.context(), "m1", 0)).To(Succeed())
		Expect(follower.announce(server, 8)).To(Succeed(), "its view still holds the back end")
		f.advance(time.Second)
		Expect(currentBackEnd()).To(BeNil())
		Expect(follower.announce(server, 9)).To(Succeed())
		follower.catchUp()
		before := logIndex()
		Expect(follower.announce(server, 10)).To(Succeed())
		f.advance(time.Second)
		Expect(currentBackEnd()).To(BeNil())
		Expect(logIndex()).To(Equal(before))
	})

	It("go to the leader when its view of the back end differs from the member's", func() {
		f.set(func() { follower.lagging = true })
		Expect(other.announce(withCapacity(7), 2)).To(Succeed())
		Expect(follower.announce(server, 3)).To(Succeed(), "the member cannot know yet")
		f.advance(relayInterval)
		Expect(currentBackEnd().GetCapacity()).To(BeEquivalentTo(7))
		Expect(follower.announce(server, 4)).To(Succeed())
		Expect(currentBackEnd().GetCapacity()).To(BeZero())
		follower.catchUp()
		net.takeTraffic(leader)
		Expect(follower.announce(server, 5)).To(Succeed())
		Expect(net.takeTraffic(leader).announcements).To(BeZero(), "the two agree again")
	})

	It("go to the leader when the lease expired", func() {
		f.advance(core.DefaultBackEndLease + 100*time.Millisecond)
		Expect(currentBackEnd()).To(BeNil())
		Expect(follower.announce(server, 2)).To(Succeed())
		Expect(currentBackEnd()).NotTo(BeNil())
	})

	It("go to the leader when the lease expired there and the member does not know of it", func() {
		f.set(func() { follower.lagging = true })
		f.advance(core.DefaultBackEndLease + 100*time.Millisecond)
		Expect(currentBackEnd()).To(BeNil())
		Expect(follower.announce(server, 2)).To(Succeed())
		f.advance(relayInterval)
		Expect(follower.announce(server, 3)).To(Succeed())
		Expect(currentBackEnd()).NotTo(BeNil())
	})

	It("are kept alive by a new leader, which gives every back end a full lease", func() {
		_, err := f.announceEverySecond(follower, server, 1, 4*time.Second)
		Expect(err).NotTo(HaveOccurred())
		leader = f.lead(other)
		f.advance(core.DefaultBackEndLease - 100*time.Millisecond)
		Expect(currentBackEnd()).NotTo(BeNil(), "before the new leader heard anything")
		sequence, err := f.announceEverySecond(follower, server, 10, 8*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(currentBackEnd()).NotTo(BeNil())
		By("making the member itself the leader")
		leader = f.lead(follower)
		_, err = f.announceEverySecond(other, server, sequence, 8*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(currentBackEnd()).NotTo(BeNil())
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

	It("go in several batches when they are more than one holds", func() {
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

var _ = Describe("the traffic of heartbeats at the leader", func() {
	// interval is the time between two heartbeats of a back end.
	const interval = time.Second
	// countTraffic counts for one interval what arrives at the leader when back ends use the addresses that they are given.
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

	It("does not grow by one request a back end", func() {
		directFew, few := countTraffic(300)
		directMany, many := countTraffic(3000)
		Expect(directFew).To(BeZero())
		Expect(directMany).To(BeZero())
		Expect(few.heartbeats).To(Equal(300))
		Expect(many.heartbeats).To(Equal(3000))
		Expect(many.announcements).To(BeZero())
		Expect(many.requests).To(Equal(few.requests))
		Expect(many.requests).To(BeNumerically("<=", 3*6), "three members, five batches a second each and one on the way")
		GinkgoWriter.Printf("3,000 back ends: %d requests, %d bytes in %v\n", many.requests, many.bytes, interval)
	})
})
