package front_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// Requests of session c1 of program p1, one of each kind.
var (
	ownedTurn = routedTurn{id: "r1", input: "in"}.sent()
	ownedTalk = routed{
		target: streamPath, body: "in",
		headers: with(testDialect.RequestID, "r1", testDialect.Session, "c1", testDialect.Program, "p1"),
	}
	ownedWrite = routed{target: nonRepeatablePath, body: "in", headers: ownedTalk.headers}
	ownedRead  = routed{target: repeatablePath, body: "in", headers: ownedTalk.headers}
)

var _ = Describe("a request of an HTTP route whose session another front node owns", func() {
	var r *rig
	var f1, f2 *node

	BeforeEach(func() {
		r = newRouteRig()
		f1, f2 = r.front("f1"), r.front("f2")
		f1.ownership.setOwner("c1", "f2")
	})

	// bothKinds answers streams with an event and others with a body.
	bothKinds := func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == streamPath || request.URL.Path == turnPath {
			streamOf("yes")(writer, request)
			return
		}
		answerWith(http.StatusOK, "yes")(writer, request)
	}
	// answerOf advances the clock over the backoffs until the answer arrives.
	answerOf := func(answered <-chan routedAnswer) (got routedAnswer) {
		Eventually(func() bool {
			r.clock.passBackoff()
			select {
			case got = <-answered:
				return true
			default:
				return false
			}
		}).Should(BeTrue())
		return got
	}

	DescribeTable("is forwarded to the owner and its answer relayed", func(sent routed, want string) {
		server := r.server("s1", bothKinds)
		f1.ownership.beginError = failure.New(failure.NotOwner, protocol.Outcome_NOT_RUN, "not here")
		got := f1.route(sent)
		Expect(got.status).To(Equal(http.StatusOK), got.body)
		Expect(got.body).To(Equal(want))
		Expect(got.broken).NotTo(HaveOccurred())
		Expect(server.bodies()).To(Equal([]string{"in"}))
	},
		Entry("a turn", ownedTurn, event(1, "yes")),
		Entry("a stream", ownedTalk, event(1, "yes")),
		Entry("a non-repeatable call", ownedWrite, "yes"),
		Entry("a repeatable call", ownedRead, "yes"),
	)

	DescribeTable("is forwarded to the next owner when the first did not accept it", func(sent routed, breakOwner func()) {
		server := r.server("s1", bothKinds)
		breakOwner()
		answered := f1.routeAside(sent)
		Eventually(func() int {
			f1.ownership.mutex.Lock()
			defer f1.ownership.mutex.Unlock()
			return f1.ownership.forgotten["c1"]
		}).Should(BeNumerically(">", 0))
		f1.ownership.setOwner("c1", "f1")
		got := answerOf(answered)
		Expect(got.status).To(Equal(http.StatusOK), got.body)
		Expect(server.requests()).To(HaveLen(1))
	},
		Entry("a turn to an unreachable owner", ownedTurn, func() { r.network.unreachable["f2"] = true }),
		Entry("a stream to an unreachable owner", ownedTalk, func() { r.network.unreachable["f2"] = true }),
		Entry("a call to an unreachable owner", ownedWrite, func() { r.network.unreachable["f2"] = true }),
		Entry("a turn to a front node that is not the owner", ownedTurn, func() {
			f2.ownership.beginError = failure.New(failure.NotOwner, protocol.Outcome_NOT_RUN, "not here")
		}),
		Entry("a stream to a front node that is not the owner", ownedTalk, func() {
			f2.ownership.beginError = failure.New(failure.NotOwner, protocol.Outcome_NOT_RUN, "not here")
		}),
		Entry("a call to an owner that drains", ownedWrite, func() {
			f2.ownership.beginError = failure.New(failure.Draining, protocol.Outcome_NOT_RUN, "draining")
		}),
	)

	DescribeTable("is answered 503 with Retry-After when no owner is found", func(sent routed) {
		server := r.server("s1", bothKinds)
		r.network.unreachable["f2"] = true
		got := answerOf(f1.routeAside(sent))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
		Expect(got.header).To(HaveKey("Retry-After"))
		Expect(server.requests()).To(BeEmpty())
	},
		Entry("a turn", ownedTurn),
		Entry("a stream", ownedTalk),
		Entry("a non-repeatable call", ownedWrite),
		Entry("a repeatable call", ownedRead),
	)

	DescribeTable("is answered with the outcome unknown and not retried when the owner is lost while a server runs it",
		func(sent routed) {
			arrived, release := make(chan struct{}), make(chan struct{})
			server := r.server("s1", func(writer http.ResponseWriter, request *http.Request) {
				close(arrived)
				<-release
				bothKinds(writer, request)
			})
			r.network.partitioned["f2"], r.network.partitionWhen["f2"] = 0, arrived
			got := f1.route(sent)
			close(release)
			Expect(got.status).To(Equal(http.StatusBadGateway), got.body)
			Expect(got.header).NotTo(HaveKey("Retry-After"))
			r.waitUntilIdle(f2)
			Expect(server.requests()).To(HaveLen(1))
		},
		Entry("a turn", ownedTurn),
		Entry("a stream", ownedTalk),
		Entry("a non-repeatable call", ownedWrite),
	)

	It("is retried when it is repeatable and the owner was lost", func() {
		arrived := make(chan struct{}, 2)
		r.server("s1", func(writer http.ResponseWriter, request *http.Request) {
			arrived <- struct{}{}
			bothKinds(writer, request)
		})
		lost := make(chan struct{})
		r.network.partitioned["f2"], r.network.partitionWhen["f2"] = 0, lost
		answered := f1.routeAside(ownedRead)
		<-arrived
		close(lost)
		Expect(answerOf(answered).status).To(Equal(http.StatusOK))
	})

	DescribeTable("is attempted at most as often as the route allows, also when its owner is lost",
		func(allowed uint32, status int) {
			r.changeBundle(func(active *protocol.Bundle) {
				for _, route := range active.HttpRoutes {
					route.MaxAttempts = allowed
				}
			})
			arrived := make(chan struct{}, 16)
			answersLost := func(http.ResponseWriter, *http.Request) {
				arrived <- struct{}{}
				panic(http.ErrAbortHandler)
			}
			var servers []*standIn
			for at := range 6 {
				servers = append(servers, r.server(fmt.Sprintf("s%d", at), answersLost))
			}
			lost := make(chan struct{})
			r.network.partitioned["f2"], r.network.partitionWhen["f2"] = 0, lost
			answered := f1.routeAside(ownedRead)
			<-arrived
			close(lost)
			Expect(answerOf(answered).status).To(Equal(status))
			r.waitUntilIdle(f1)
			r.waitUntilIdle(f2)
			Expect(count(servers...)).To(BeNumerically("<=", int(allowed)))
		},
		Entry("once: no further attempt", uint32(1), http.StatusBadGateway),
		Entry("twice", uint32(2), http.StatusBadGateway),
		Entry("three times", uint32(3), http.StatusBadGateway),
		Entry("four times", uint32(4), http.StatusBadGateway),
	)

	Describe("and that is lost after accepting it", func() {
		var server *standIn
		var reserving, rejected chan struct{}

		// loseBeforeReserving breaks the owner's stream while its reservation is delayed until the ingress
		// has requested the tombstone.
		loseBeforeReserving := func(tombstone func(*protocol.LedgerOperation) *protocol.LedgerResult) routedAnswer {
			reserving, rejected = make(chan struct{}), make(chan struct{})
			r.ledger.intercept = func(operation *protocol.LedgerOperation) *protocol.LedgerResult {
				if operation.GetReserveTurn() != nil {
					close(reserving)
					<-rejected
				}
				if operation.GetRefuseRequest() != nil {
					return tombstone(operation)
				}
				return nil
			}
			r.network.partitioned["f2"], r.network.partitionWhen["f2"] = 0, reserving
			got := f1.route(ownedTurn)
			close(rejected)
			r.waitUntilIdle(f2)
			return got
		}

		BeforeEach(func() { server = r.server("s1", bothKinds) })

		It("is answered 503 when the ledger stores its tombstone, and never runs", func() {
			got := loseBeforeReserving(func(*protocol.LedgerOperation) *protocol.LedgerResult { return nil })
			Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
			Expect(server.requests()).To(BeEmpty(), "the late reservation meets the tombstone")
		})

		It("is answered 502 when the ledger is unavailable", func() {
			got := loseBeforeReserving(func(*protocol.LedgerOperation) *protocol.LedgerResult {
				return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE)
			})
			Expect(got.status).To(Equal(http.StatusBadGateway), got.body)
			Expect(got.header).NotTo(HaveKey("Retry-After"))
		})
	})

	DescribeTable("is answered 503 when its server rejects it while the owner loses its authority", func(sent routed) {
		server := r.server("s1", func(writer http.ResponseWriter, request *http.Request) {
			f2.ownership.revoked.Store(true)
			rejectWith(http.StatusServiceUnavailable, "")(writer, request)
		})
		got := answerOf(f1.routeAside(sent))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
		Expect(got.header).To(HaveKey("Retry-After"))
		Expect(server.requests()).To(HaveLen(1))
	},
		Entry("a turn", ownedTurn),
		Entry("a stream", ownedTalk),
		Entry("a non-repeatable call", ownedWrite),
		Entry("a repeatable call", ownedRead),
	)

	It("breaks off when the owner is lost in mid-stream", func() {
		r.server("s1", streamOf("one", "two", "three"))
		r.network.partitioned["f2"] = 3
		got := f1.route(ownedTalk)
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(event(1, "one") + event(2, "two")))
		Expect(got.broken).To(HaveOccurred())
	})

	DescribeTable("is cancelled at its server when the caller disconnects", func(sent routed) {
		arrived, ended := make(chan struct{}), make(chan struct{})
		r.server("s1", func(_ http.ResponseWriter, request *http.Request) {
			close(arrived)
			<-request.Context().Done()
			close(ended)
		})
		f1.routeServer()
		ctx, disconnect := context.WithCancel(context.Background())
		callerError := make(chan error, 1)
		go func() {
			response, err := f1.begin(ctx, sent)
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			callerError <- err
		}()
		<-arrived
		disconnect()
		Expect(<-callerError).To(MatchError(context.Canceled))
		<-ended
	},
		Entry("a turn", ownedTurn),
		Entry("a call", ownedWrite),
	)

	DescribeTable("reaches no server when its time expires before it is forwarded", func(sent routed) {
		server := r.server("s1", bothKinds)
		f1.ownership.resolving = func() { r.clock.advance(routeTimeoutMillis*time.Millisecond + time.Millisecond) }
		got := f1.route(sent)
		Expect(got.status).To(BeElementOf(http.StatusServiceUnavailable, http.StatusGatewayTimeout))
		Expect(server.requests()).To(BeEmpty())
	},
		Entry("a turn", ownedTurn),
		Entry("a stream", ownedTalk),
		Entry("a call", ownedWrite),
	)
})

var _ = Describe("a draining front node", func() {
	It("answers what it has read completely and with Connection: close, before it closes", func() {
		r := newRouteRig()
		r.changeBundle(func(active *protocol.Bundle) {
			for _, route := range active.HttpRoutes {
				route.TimeoutMillis = 60_000
			}
		})
		f1 := r.front("f1")
		arrived, release := make(chan struct{}), make(chan struct{})
		r.server("s1", func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path != nonRepeatablePath {
				answerWith(http.StatusOK, "quick")(writer, request)
				return
			}
			close(arrived)
			<-release
			answerWith(http.StatusOK, "slow")(writer, request)
		})
		releaseAll := sync.OnceFunc(func() { close(release) })
		DeferCleanup(releaseAll)
		listener := newDrainingListener(r, f1)
		Expect(listener.call(repeatablePath)).To(Equal(connectionAnswer{body: "quick"}))
		slow := make(chan connectionAnswer, 1)
		go func() {
			defer GinkgoRecover()
			slow <- listener.call(nonRepeatablePath)
		}()
		<-arrived

		listener.BeginDrain()
		drained := make(chan error, 1)
		go func() { drained <- listener.Drain(context.Background()) }()
		Expect(listener.call(repeatablePath)).To(Equal(connectionAnswer{body: "quick", closing: true}),
			"those who hand connections out have not noticed yet")
		r.clock.advance(10 * time.Second)
		Consistently(drained, "20ms").ShouldNot(Receive(), "a request is in progress")
		releaseAll()
		Expect(<-slow).To(Equal(connectionAnswer{body: "slow", closing: true}))
		Expect(<-drained).To(Succeed())
		_, err := http.Get("http://" + listener.Address() + repeatablePath)
		Expect(err).To(HaveOccurred())
	})

	It("answers a request on an idle connection, then closes that connection", func() {
		r := newRouteRig()
		f1 := r.front("f1")
		r.server("s1", answerWith(http.StatusOK, "quick"))
		listener := newDrainingListener(r, f1)
		connection := listener.connect()
		Expect(connection.call(repeatablePath)).To(Equal(connectionAnswer{body: "quick"}))

		listener.BeginDrain()
		Expect(connection.call(repeatablePath)).To(Equal(connectionAnswer{body: "quick", closing: true}),
			"it was sent before its caller could know")
		Expect(connection.ended()).To(BeTrue())
	})
})
