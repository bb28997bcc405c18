package front_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// routedTurn is a turn of a stateful route.
type routedTurn struct {
	id, previous, input string
	// program and session are p1 and c1 unless set.
	program, session string
	budget           int
	maxOutput        int
}

func (t routedTurn) sent() routed {
	set := with(testDialect.RequestID, t.id, testDialect.Program, "p1", testDialect.Session, "c1",
		testDialect.TokenBudget, "1000", testDialect.TokenUsage, "10,8")
	if t.program != "" {
		set.Set(testDialect.Program, t.program)
	}
	if t.session != "" {
		set.Set(testDialect.Session, t.session)
	}
	if t.previous != "" {
		set.Set(testDialect.PreviousTurn, t.previous)
	}
	if t.budget > 0 {
		set.Set(testDialect.TokenBudget, strconv.Itoa(t.budget))
	}
	if t.maxOutput > 0 {
		set.Set(testDialect.TokenUsage, fmt.Sprintf("10,%d", t.maxOutput))
	}
	return routed{target: turnPath, body: t.input, headers: set}
}

// turnServer answers each turn with two events whose data names it.
func turnServer(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(testDialect.RequestID)
	streamOf("a-"+id, "b-"+id)(writer, request)
}

// output is what turnServer's answer to a turn adds to the history.
func output(id string) string { return "a-" + id + "\nb-" + id + "\n" }

// drainServer puts a server into draining.
func (r *rig) drainServer(id string) {
	r.changeServer(id, func(server *protocol.BackEnd) { server.State = protocol.BackEndState_DRAINING })
}

// take sends a turn that must be answered completely.
func (n *node) take(t routedTurn) {
	got := n.route(t.sent())
	ExpectWithOffset(1, got.status).To(Equal(http.StatusOK), got.body)
	ExpectWithOffset(1, got.broken).NotTo(HaveOccurred())
}

// bodyOf is the body of the request with this id.
func (s *standIn) bodyOf(id string) string {
	for _, received := range s.requests() {
		if received.id() == id {
			return received.body
		}
	}
	return "the server never got " + id
}

var _ = Describe("a stateful turn of an HTTP route", func() {
	var r *rig
	var f1 *node

	BeforeEach(func() {
		r = newRouteRig()
		f1 = r.front("f1")
	})

	Describe("sends its server the preceding conversation", func() {
		var server *standIn
		const first, second, third = "one\x00\xff", "two", "three\n"
		const before = first + "a-t1\nb-t1\n" + second + "a-t2\nb-t2\n"

		BeforeEach(func() {
			server = r.server("s1", turnServer)
			f1.take(routedTurn{id: "t1", input: first})
			f1.take(routedTurn{id: "t2", previous: "t1", input: second})
		})

		It("over several turns", func() {
			f1.take(routedTurn{id: "t3", previous: "t2", input: third})
			Expect(server.bodies()).To(Equal([]string{first, first + output("t1") + second, before + third}))
		})

		It("at another front node after the owner was lost", func() {
			r.front("f2").take(routedTurn{id: "t3", previous: "t2", input: third})
			Expect(server.bodyOf("t3")).To(Equal(before + third))
		})

		It("over more turns than one ledger read returns", func() {
			const turns = 300
			conversation := before
			var appended strings.Builder
			for number := 3; number <= turns; number++ {
				id := fmt.Sprint("t", number)
				f1.take(routedTurn{id: id, previous: fmt.Sprint("t", number-1), input: "+"})
				appended.WriteString("+" + output(id))
			}
			conversation += appended.String()
			r.front("f2").take(routedTurn{id: "last", previous: fmt.Sprint("t", turns), input: third})
			Expect(server.bodyOf("last")).To(Equal(conversation + third))
		})

		DescribeTable("over a turn of another program and its continuation", func(lost bool) {
			at := f1
			if lost {
				at = r.front("f2")
			}
			at.take(routedTurn{id: "x1", previous: "t2", program: "p2", session: "c2", input: third})
			Expect(server.bodyOf("x1")).To(Equal(before + third))
			if lost {
				at = r.front("f3")
			}
			at.take(routedTurn{id: "x2", previous: "x1", program: "p2", session: "c3", input: "four"})
			Expect(server.bodyOf("x2")).To(Equal(before + third + output("x1") + "four"))
		},
			Entry("at its owner", false),
			Entry("at other front nodes", true),
		)

		It("when two continue one turn concurrently and one continues an older turn", func() {
			both := &sync.WaitGroup{}
			both.Add(2)
			r.drainServer("s1")
			twins := r.server("s2", func(writer http.ResponseWriter, request *http.Request) {
				both.Done()
				both.Wait()
				turnServer(writer, request)
			})
			left := f1.routeAside(routedTurn{id: "l", previous: "t2", input: "left"}.sent())
			right := f1.routeAside(routedTurn{id: "r", previous: "t2", input: "right"}.sent())
			Expect((<-left).broken).NotTo(HaveOccurred())
			Expect((<-right).broken).NotTo(HaveOccurred())
			Expect(twins.bodies()).To(ConsistOf(before+"left", before+"right"))
			both.Add(1)
			f1.take(routedTurn{id: "o", previous: "t1", input: "older"})
			Expect(twins.bodyOf("o")).To(Equal(first + output("t1") + "older"))
			both.Add(1)
			f1.take(routedTurn{id: "l2", previous: "l", input: "on"})
			Expect(twins.bodyOf("l2")).To(Equal(before + "left" + output("l") + "on"))
		})

		It("when it is retried after its answer was lost", func() {
			r.drainServer("s1")
			var requests atomic.Int32
			breaking := r.server("s2", func(writer http.ResponseWriter, request *http.Request) {
				if requests.Add(1) == 1 {
					streamOf("lost")(writer, request)
					panic(http.ErrAbortHandler)
				}
				turnServer(writer, request)
			})
			Expect(f1.route(routedTurn{id: "t3", previous: "t2", input: third}.sent()).broken).To(HaveOccurred())
			f1.take(routedTurn{id: "t3-anew", previous: "t2", input: third})
			Expect(breaking.bodies()).To(Equal([]string{before + third, before + third}))
			f1.take(routedTurn{id: "t4", previous: "t3-anew", input: "four"})
			Expect(breaking.bodyOf("t4")).To(Equal(before + third + output("t3-anew") + "four"))
			Expect(f1.route(routedTurn{id: "t5", previous: "t3", input: "x"}.sent()).status).To(Equal(http.StatusNotFound),
				"a turn counts from the end of its answer on")
		})

		It("with events without data, of several lines and with an empty one", func() {
			r.drainServer("s1")
			odd := r.server("s2", func(writer http.ResponseWriter, request *http.Request) {
				streamHead(writer, request)
				_, _ = io.WriteString(writer, ": comment\n\nid: 1\ndata: x\ndata: y\n\ndata:\n\n"+
					"rosestand-weights: 2\ndata:  z\r\n\r\n")
			})
			f1.take(routedTurn{id: "t3", previous: "t2", input: third})
			f1.take(routedTurn{id: "t4", previous: "t3", input: "four"})
			Expect(odd.bodyOf("t4")).To(Equal(before + third + "x\ny\n" + "\n" + " z\n" + "four"))
			Expect(r.ledger.turn("t3").GetOutputTokens()).To(BeEquivalentTo(3))
		})
	})

	It("under a reused id is neither run again nor answered as complete", func() {
		server := r.server("s1", turnServer)
		f1.take(routedTurn{id: "t1", input: "one"})
		got := f1.route(routedTurn{id: "t1", input: "one"}.sent())
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(server.requests()).To(HaveLen(1))
	})

	Describe("that continues a turn", func() {
		var server *standIn

		BeforeEach(func() { server = r.server("s1", turnServer) })

		It("which the ledger reports missing is answered 404", func() {
			for _, program := range []string{"p1", "p2"} {
				got := f1.route(routedTurn{id: "n" + program, previous: "none", program: program, input: "x"}.sent())
				Expect(got.status).To(Equal(http.StatusNotFound))
			}
			Expect(server.requests()).To(BeEmpty())
		})

		It("is answered 503 with Retry-After while the ledger is unreachable", func() {
			f1.take(routedTurn{id: "t1", input: "one"})
			f2 := r.front("f2")
			r.ledger.setDown(true)
			got := f2.route(routedTurn{id: "t2", previous: "t1", input: "two"}.sent())
			Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
			Expect(got.header).To(HaveKey("Retry-After"))
			Expect(server.requests()).To(HaveLen(1))
			r.ledger.setDown(false)
			f2.take(routedTurn{id: "t2-anew", previous: "t1", input: "two"})
		})

		It("is answered 503, not 404, when only the search in other programs fails", func() {
			f1.take(routedTurn{id: "t1", input: "one"})
			r.ledger.intercept = func(operation *protocol.LedgerOperation) *protocol.LedgerResult {
				if operation.GetFindTurn() != nil {
					return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE)
				}
				return nil
			}
			got := f1.route(routedTurn{id: "t2", previous: "t1", program: "p2", session: "c2", input: "two"}.sent())
			Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
			Expect(server.requests()).To(HaveLen(1))
		})

		It("is rejected unless it names its program", func() {
			sent := routedTurn{id: "t1", previous: "t0", input: "one"}.sent()
			sent.headers.Del(testDialect.Program)
			sent.headers.Del(testDialect.Session)
			Expect(f1.route(sent).status).To(Equal(http.StatusBadRequest))
			Expect(server.requests()).To(BeEmpty())
		})
	})

	Describe("and the budget of its program", func() {
		It("is answered 402 once that is spent, without a request to a server", func() {
			server := r.server("s1", turnServer)
			f1.take(routedTurn{id: "t1", input: "one", budget: 4})
			f1.take(routedTurn{id: "t2", previous: "t1", input: "two", budget: 4})
			for at, n := range []*node{f1, r.front("f2")} {
				got := n.route(routedTurn{
					id: fmt.Sprint("spent", at), previous: "t2", input: "x",
					session: fmt.Sprint("c", at),
				}.sent())
				Expect(got.status).To(Equal(http.StatusPaymentRequired))
				Expect(got.header).NotTo(HaveKey(testDialect.Signature))
			}
			Expect(server.requests()).To(HaveLen(2))
			Expect(r.ledger.program("p1").GetSettled()).To(BeEquivalentTo(4))
		})

		It("is charged what was forwarded before a stream broke", func() {
			r.server("s1", func(writer http.ResponseWriter, request *http.Request) {
				streamOf("a", "b", "c")(writer, request)
				panic(http.ErrAbortHandler)
			})
			got := f1.route(routedTurn{id: "t1", input: "one", budget: 3}.sent())
			Expect(got.body).To(Equal(event(1, "a") + event(2, "b") + event(3, "c")))
			r.waitUntilIdle(f1)
			Expect(r.ledger.program("p1").GetSettled()).To(BeEquivalentTo(3))
			Expect(f1.route(routedTurn{id: "t2", input: "x"}.sent()).status).To(Equal(http.StatusPaymentRequired))
		})

		It("is never charged beyond the turn's reservation, whatever the server sends", func() {
			var reserved atomic.Uint64
			r.ledger.intercept = func(operation *protocol.LedgerOperation) *protocol.LedgerResult {
				if reserve := operation.GetReserveTurn(); reserve != nil {
					reserved.Store(reserve.GetCeiling())
				}
				return nil
			}
			r.server("s1", streamOf("a", "b", "c", "d", "e"))
			got := f1.route(routedTurn{id: "t1", input: "one", maxOutput: 3}.sent())
			Expect(got.broken).To(HaveOccurred())
			Expect(got.body).To(Equal(event(1, "a") + event(2, "b") + event(3, "c")))
			Expect(reserved.Load()).To(BeEquivalentTo(3))
			r.waitUntilIdle(f1)
			Expect(r.ledger.program("p1").GetSettled()).To(BeEquivalentTo(3))
			Expect(r.ledger.program("p1").GetReservations()).To(BeEmpty())
		})

		It("gets its reservation back when nothing ran", func() {
			r.server("s1", rejectWith(http.StatusServiceUnavailable, ""))
			Expect(f1.route(routedTurn{
				id: "t1", input: "one",
				budget: 5,
			}.sent()).status).To(Equal(http.StatusServiceUnavailable))
			r.waitUntilIdle(f1)
			Expect(r.ledger.program("p1").GetSettled()).To(BeZero())
			Expect(r.ledger.program("p1").GetReservations()).To(BeEmpty())
		})
	})

	Describe("and the ledger", func() {
		It("has its reservation before it is issued to a server", func() {
			reserved := make(chan []*protocol.Reservation, 1)
			r.server("s1", func(writer http.ResponseWriter, request *http.Request) {
				reserved <- r.ledger.program("p1").GetReservations()
				turnServer(writer, request)
			})
			f1.take(routedTurn{id: "t1", input: "one"})
			reservations := <-reserved
			Expect(reservations).To(HaveLen(1))
			Expect(reservations[0].GetRequestId()).To(Equal("t1"))
			Expect(reservations[0].GetCeiling()).To(BeEquivalentTo(8))
		})

		It("that rejects the reservation keeps the turn from every server", func() {
			server := r.server("s1", turnServer)
			r.ledger.setDown(true)
			got := f1.route(routedTurn{id: "t1", input: "one"}.sent())
			Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			Expect(got.header).To(HaveKey("Retry-After"))
			Expect(server.requests()).To(BeEmpty())
		})

		It("stores the turn before the caller's stream ends", func() {
			r.server("s1", turnServer)
			arrived, release := make(chan struct{}), make(chan struct{})
			r.ledger.intercept = func(operation *protocol.LedgerOperation) *protocol.LedgerResult {
				if operation.GetSettleTurn() != nil {
					close(arrived)
					<-release
				}
				return nil
			}
			answered := f1.routeAside(routedTurn{id: "t1", input: "one"}.sent())
			<-arrived
			Consistently(answered, "20ms").ShouldNot(Receive())
			close(release)
			Expect((<-answered).broken).NotTo(HaveOccurred())
			Expect(r.ledger.turn("t1").GetOutput()[0].GetData()).To(Equal([]byte(output("t1"))))
			Expect(r.ledger.turn("t1").GetKeepUntilMillis()).To(Equal(r.clock.Now().UnixMilli() + 60_000))
		})

		It("that does not commit the turn never lets its stream look complete", func() {
			r.server("s1", turnServer)
			r.ledger.intercept = func(operation *protocol.LedgerOperation) *protocol.LedgerResult {
				if operation.GetSettleTurn() != nil {
					return ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_FENCED)
				}
				return nil
			}
			got := f1.route(routedTurn{id: "t1", input: "one"}.sent())
			Expect(got.body).To(Equal(event(1, "a-t1") + event(2, "b-t1")))
			Expect(got.broken).To(HaveOccurred())
		})

		It("commits the tokens of a turn whose caller disconnected, without retaining the turn", func() {
			ended := make(chan struct{})
			r.server("s1", func(writer http.ResponseWriter, request *http.Request) {
				streamOf("a")(writer, request)
				<-request.Context().Done()
				close(ended)
			})
			ctx, disconnect := context.WithCancel(context.Background())
			response, err := f1.begin(ctx, routedTurn{id: "t1", input: "one"}.sent())
			Expect(err).NotTo(HaveOccurred())
			first := make([]byte, len(event(1, "a")))
			_, err = io.ReadFull(response.Body, first)
			Expect(err).NotTo(HaveOccurred())
			disconnect()
			<-ended
			_ = response.Body.Close()
			r.waitUntilIdle(f1)
			Expect(r.ledger.program("p1").GetSettled()).To(BeEquivalentTo(1))
			Expect(r.ledger.turn("t1")).To(BeNil())
		})
	})
})
