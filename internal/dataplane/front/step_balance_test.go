package front_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/dataplane/trainingstep"
	"github.com/rosestand/rosestand/internal/protocol"
)

// longTimeoutMillis is the time-out of routes in specs in which something waits.
const longTimeoutMillis = 60_000

// blockingServerVersion is the version of the weights of all blocking servers.
const blockingServerVersion = 4

// blockingServer answers live turns at once and blocks generations of steps until the spec releases them.
type blockingServer struct {
	*weightsServer
	// blockLive is set to block live turns too.
	blockLive atomic.Bool

	mutex   sync.Mutex
	blocked []chan struct{}
	// open, when set, releases all that arrive.
	open bool
}

func (r *rig) blockingServer(id string) *blockingServer {
	server := &blockingServer{}
	server.weightsServer = r.weightsServerWith(id, blockingServerVersion,
		func(_ *weightsServer, writer http.ResponseWriter, request *http.Request) {
			if server.blockLive.Load() || request.Header.Get(testDialect.ExpectedWeights) != "" {
				<-server.block()
			}
			writer.Header().Set(testDialect.WeightVersions, strconv.FormatUint(blockingServerVersion, 10))
			turnServer(writer, request)
		})
	DeferCleanup(server.openUp)
	return server
}

func (s *blockingServer) block() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	until := make(chan struct{})
	if s.open {
		close(until)
		return until
	}
	s.blocked = append(s.blocked, until)
	return until
}

// steps counts the generations that are blocked.
func (s *blockingServer) steps() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.blocked)
}

// openUp releases all generations, also those that arrive later.
func (s *blockingServer) openUp() {
	s.mutex.Lock()
	s.open = true
	s.mutex.Unlock()
	s.release(s.steps())
}

// release releases some generations, the oldest first.
func (s *blockingServer) release(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for range count {
		close(s.blocked[0])
		s.blocked = s.blocked[1:]
	}
}

var _ = Describe("generations of a training step and live turns", func() {
	var r *rig
	var f1 *node

	BeforeEach(func() {
		r = newRouteRig()
		r.changeBundle(func(active *protocol.Bundle) {
			for _, route := range active.HttpRoutes {
				route.TimeoutMillis = longTimeoutMillis
			}
		})
		f1 = r.front("f1")
		// Opened first, so that it is closed after the servers released all generations.
		f1.routeServer()
	})

	// flood sends generations that wait for their end.
	flood := func(count int) []<-chan routedAnswer {
		var answers []<-chan routedAnswer
		for number := range count {
			answers = append(answers, f1.routeAside(stepTurn(fmt.Sprint("flood", number))))
		}
		return answers
	}

	It("share a server so that live turns get a slot at once and all generations run eventually", func() {
		server := r.blockingServer("s1")
		answers := flood(40)
		Eventually(server.steps).Should(Equal(12), "three quarters of 16 slots")
		Consistently(server.steps, "20ms").Should(Equal(12))
		for number := range 20 {
			id := fmt.Sprint("live", number)
			f1.take(routedTurn{id: id, program: id, session: id, input: "x"})
		}
		for ran := 12; ran < 40; ran += 4 {
			server.release(4)
			Eventually(server.steps).Should(Equal(12))
		}
		server.release(12)
		for _, answered := range answers {
			Expect((<-answered).broken).NotTo(HaveOccurred())
		}
	})

	It("leave a quarter of a server to generations while live turns run", func() {
		server := r.blockingServer("s1")
		server.blockLive.Store(true)
		live := f1.routeAside(routedTurn{id: "live", input: "x"}.sent())
		Eventually(server.steps).Should(Equal(1))
		flood(20)
		Eventually(server.steps).Should(Equal(1 + 4))
		Consistently(server.steps, "20ms").Should(Equal(1 + 4))
		server.release(1)
		Expect((<-live).broken).NotTo(HaveOccurred())
		Eventually(func() int {
			// A front node reviews its servers twice a second.
			r.clock.advance(10 * time.Millisecond)
			return server.steps()
		}).Should(Equal(12), "once the live turn is over")
	})

	It("give priority to live turns that wait, and the step still progresses", func() {
		server := r.blockingServer("s1")
		r.changeBundle(func(active *protocol.Bundle) {
			active.Limits = &protocol.LimitPolicy{MaxConcurrent: 1, MaxQueued: 8, MaxQueueMillis: longTimeoutMillis}
		})
		begun, end := make(chan string, 2), make(chan struct{})
		r.drainServer("s1")
		r.server("s2", func(writer http.ResponseWriter, request *http.Request) {
			begun <- request.Header.Get(testDialect.RequestID)
			<-end
			turnServer(writer, request)
		})
		releaseLive := sync.OnceFunc(func() { close(end) })
		DeferCleanup(releaseLive)
		first := f1.routeAside(routedTurn{id: "live1", program: "p1", session: "c1", input: "x"}.sent())
		Eventually(begun).Should(Receive(Equal("live1")))
		second := f1.routeAside(routedTurn{id: "live2", program: "p2", session: "c2", input: "x"}.sent())
		Eventually(func() int { return f1.waitingLive(routeGroup) }).Should(Equal(1))
		r.changeServer("s1", func(server *protocol.BackEnd) { server.State = protocol.BackEndState_READY })
		flood(5)
		Consistently(server.steps, "20ms").Should(BeZero(), "a live turn waits")
		r.clock.advance(trainingstep.StarvationTimeout)
		Eventually(server.steps).Should(Equal(1), "a step progresses")
		Consistently(server.steps, "20ms").Should(Equal(1))
		releaseLive()
		Expect((<-first).broken).NotTo(HaveOccurred())
		Expect((<-second).broken).NotTo(HaveOccurred())
		Eventually(server.steps).Should(Equal(5))
	})

	It("are rejected with Retry-After when no slot becomes free", func() {
		server := r.blockingServer("s1")
		flood(12)
		Eventually(server.steps).Should(Equal(12))
		late := f1.routeAside(stepTurn("late"))
		Eventually(func() int { return f1.waitingSteps() }).Should(Equal(1))
		r.clock.advance(trainingstep.MaxWait)
		got := <-late
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.body).To(HavePrefix("overloaded: "))
		Expect(got.header).To(HaveKeyWithValue("Retry-After", []string{"1.000"}))
	})

	It("release their place in the queue when their time expires", func() {
		server := r.blockingServer("s1")
		flood(12)
		Eventually(server.steps).Should(Equal(12))
		sent := stepTurn("short")
		sent.headers.Set(testDialect.TimeLeft, "500")
		expiring := f1.routeAside(sent)
		Eventually(func() int { return f1.waitingSteps() }).Should(Equal(1))
		r.clock.advance(500 * time.Millisecond)
		Expect((<-expiring).status).To(Equal(http.StatusServiceUnavailable))
		f1.routeAside(stepTurn("next"))
		server.release(1)
		Eventually(server.steps).Should(Equal(12))
	})

	It("are balanced by outstanding work, not by count", func() {
		servers := []*blockingServer{r.blockingServer("s1"), r.blockingServer("s2")}
		long := stepTurn("long")
		long.headers.Set(testDialect.TokenUsage, "6000,4000")
		f1.routeAside(long)
		Eventually(func() int { return servers[0].steps() + servers[1].steps() }).Should(Equal(1))
		with, without := servers[0], servers[1]
		if with.steps() == 0 {
			with, without = without, with
		}
		for number := range 8 {
			f1.routeAside(stepTurn(fmt.Sprint("short", number)))
			Eventually(without.steps).Should(Equal(number + 1))
		}
		Expect(with.steps()).To(Equal(1))
	})
})
