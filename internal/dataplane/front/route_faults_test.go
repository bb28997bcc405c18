package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/lab/closedport"
)

// badAnswer is what a server sends on a connection in place of the answer to a request; then it closes.
type badAnswer func(received receivedRequest) string

// badAnswers are those after which the request may have run.
var badAnswers = map[string]badAnswer{
	"no answer":               func(receivedRequest) string { return "" },
	"bytes that are not HTTP": func(receivedRequest) string { return "\x16\x03\x01 garbage\r\n\r\n" },
	"a truncated head": func(received receivedRequest) string {
		return rawHead(received, "Content-Length: 2\r\n")[:40]
	},
	"a body shorter than declared": func(received receivedRequest) string {
		return rawHead(received, "Content-Length: 10\r\n") + "short"
	},
	"chunks without the last one": func(received receivedRequest) string {
		return rawHead(received, "Transfer-Encoding: chunked\r\n") + "5\r\nshort\r\n"
	},
	"an invalid chunk size": func(received receivedRequest) string {
		return rawHead(received, "Transfer-Encoding: chunked\r\n") + "zz\r\nshort\r\n0\r\n\r\n"
	},
	"an answer without proof": func(received receivedRequest) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 5\r\n\r\nfalse",
			testDialect.RequestID, received.id())
	},
	"an answer to another request": func(receivedRequest) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: other\r\n%s: proof\r\nContent-Length: 5\r\n\r\nfalse",
			testDialect.RequestID, testDialect.Signature)
	},
	"an answer without a request id": func(receivedRequest) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: proof\r\nContent-Length: 5\r\n\r\nfalse", testDialect.Signature)
	},
	"a rejection of another request": func(receivedRequest) string {
		return fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: other\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", testDialect.RequestID,
			testDialect.NotExecuted)
	},
	"a 421 for another request": func(receivedRequest) string {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected\r\n%s: other\r\nContent-Length: 0\r\n\r\n", testDialect.RequestID)
	},
	"a 503 without the not-executed header": func(received receivedRequest) string {
		return fmt.Sprintf("HTTP/1.1 503 Busy\r\n%s: %s\r\n%s: proof\r\nContent-Length: 4\r\n\r\nbusy", testDialect.RequestID,
			received.id(), testDialect.Signature)
	},
}

// badStreams are answers of streams after which the caller must see a broken connection.
var badStreams = map[string]badAnswer{
	"ends inside an event": func(received receivedRequest) string {
		return rawHead(received, "Content-Type: text/event-stream\r\nConnection: close\r\n") + event(1,
			"one") + "id: 2\ndata: tw"
	},
	"ends before the blank line of an event": func(received receivedRequest) string {
		return rawHead(received, "Content-Type: text/event-stream\r\nConnection: close\r\n") + event(1,
			"one") + "id: 2\ndata: two\n"
	},
	"breaks between events": func(received receivedRequest) string {
		return rawHead(received, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") + chunk(event(1, "one"))
	},
	"breaks inside a chunk": func(received receivedRequest) string {
		return rawHead(received, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") + chunk(event(1,
			"one")) + "40\r\nid: 2\n"
	},
	"turns into garbage": func(received receivedRequest) string {
		return rawHead(received, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") + chunk(event(1,
			"one")) + "\x00\xff?\r\n"
	},
}

func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

var _ = Describe("a server of HTTP routes", func() {
	var r *rig
	var f1 *node
	var arrivals atomic.Int32

	BeforeEach(func() {
		r = newRouteRig()
		f1 = r.front("f1")
		arrivals.Store(0)
	})

	// badOnce adds two servers, of which the first to get a request gives the bad answer.
	badOnce := func(bad badAnswer, good func(received receivedRequest) string) [2]*standIn {
		var servers [2]*standIn
		for at := range servers {
			servers[at] = r.rawServer(fmt.Sprintf("s%d", at+1),
				func(server *standIn, connection net.Conn, reader *bufio.Reader) {
					for {
						received, more := server.take(reader)
						if !more {
							return
						}
						if arrivals.Add(1) == 1 {
							_, _ = io.WriteString(connection, bad(received))
							return
						}
						_, _ = io.WriteString(connection, good(received))
					}
				})
		}
		return servers
	}
	complete := func(received receivedRequest) string { return rawHead(received, "Content-Length: 4\r\n") + "true" }

	for name, bad := range badAnswers {
		It("that gives "+name+" ends a non-repeatable request with the outcome unknown and without a retry", func() {
			servers := badOnce(bad, complete)
			got := f1.route(routed{target: nonRepeatablePath, headers: with(testDialect.RequestID, "r1")})
			Expect(got.status).To(Equal(http.StatusBadGateway), got.body)
			Expect(got.header).NotTo(HaveKey(testDialect.Signature))
			Expect(got.header).NotTo(HaveKey("Retry-After"))
			Expect(got.body).NotTo(ContainSubstring("false"))
			Expect(count(servers[0], servers[1])).To(Equal(1))
		})

		It("that gives "+name+" ends a stream with the outcome unknown and without a retry", func() {
			servers := badOnce(bad, complete)
			got := f1.route(routed{target: streamPath, headers: with(testDialect.RequestID, "r1")})
			Expect(got.status).To(Equal(http.StatusBadGateway), got.body)
			Expect(got.header).NotTo(HaveKey(testDialect.Signature))
			Expect(count(servers[0], servers[1])).To(Equal(1))
		})

		It("that gives "+name+" is followed by a retry at another server for a repeatable request", func() {
			servers := badOnce(bad, complete)
			got := f1.route(routed{target: repeatablePath, headers: with(testDialect.RequestID, "r1")})
			Expect(got.status).To(Equal(http.StatusOK), got.body)
			Expect(got.body).To(Equal("true"))
			Expect(servers[0].requests()).To(HaveLen(1))
			Expect(servers[1].requests()).To(HaveLen(1))
		})
	}

	DescribeTable("is retried for a repeatable request up to the route's limit", func(allowed uint32, sends int) {
		r.changeBundle(func(active *protocol.Bundle) { active.HttpRoutes[0].MaxAttempts = allowed })
		var servers []*standIn
		for at := range 6 {
			servers = append(servers, r.server(fmt.Sprintf("s%d", at), breakOff))
		}
		got := f1.route(routed{target: repeatablePath})
		Expect(got.status).To(Equal(http.StatusBadGateway), got.body)
		Expect(count(servers...)).To(Equal(sends))
	},
		Entry("once when the route sets no limit", uint32(0), 1),
		Entry("once", uint32(1), 1),
		Entry("twice", uint32(2), 2),
		Entry("four times", uint32(4), 4),
	)

	for name, rejection := range map[string]http.HandlerFunc{
		"503":   rejectWith(http.StatusServiceUnavailable, ""),
		"429":   rejectWith(http.StatusTooManyRequests, "1"),
		"a 421": answerWith(http.StatusMisdirectedRequest, ""),
		"a 400 without a request id": func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set(testDialect.NotExecuted, "1")
			writer.WriteHeader(http.StatusBadRequest)
		},
	} {
		DescribeTable("that rejects with "+name+" is followed by another server",
			func(path string, answer http.HandlerFunc, want string) {
				var servers []*standIn
				for at := range 3 {
					handler := func(writer http.ResponseWriter, request *http.Request) {
						if arrivals.Add(1) < 3 {
							rejection(writer, request)
							return
						}
						answer(writer, request)
					}
					servers = append(servers, r.server(fmt.Sprintf("s%d", at), handler))
				}
				got := f1.route(routed{target: path, headers: with(testDialect.RequestID, "r1"), body: "b"})
				Expect(got.status).To(Equal(http.StatusOK), got.body)
				Expect(got.body).To(Equal(want))
				for _, server := range servers {
					Expect(server.bodies()).To(Equal([]string{"b"}), "each is asked once")
				}
			},
			Entry("for a repeatable request", repeatablePath, answerWith(http.StatusOK, "yes"), "yes"),
			Entry("for a non-repeatable request", nonRepeatablePath, answerWith(http.StatusOK, "yes"), "yes"),
			Entry("for a stream", streamPath, streamOf("yes"), event(1, "yes")),
		)
	}

	DescribeTable("that keeps rejecting has the caller rejected with Retry-After", func(path string) {
		var servers []*standIn
		for at := range 6 {
			servers = append(servers, r.server(fmt.Sprintf("s%d", at), rejectWith(http.StatusServiceUnavailable, "1.5")))
		}
		got := f1.route(routed{target: path})
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).To(Equal("1.500"))
		Expect(got.header).NotTo(HaveKey(testDialect.Signature))
		Expect(count(servers...)).To(Equal(3), "attempts are bounded")
	},
		Entry("for a repeatable request", repeatablePath),
		Entry("for a non-repeatable request", nonRepeatablePath),
		Entry("for a stream", streamPath),
	)

	DescribeTable("that is missing or unreachable rejects the request with Retry-After", func(path string) {
		got := f1.route(routed{target: path})
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header).To(HaveKey("Retry-After"))
		closed, err := closedport.Reserve()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closed.Release)
		r.announce("gone", routeGroup, closed.Address())
		got = f1.route(routed{target: path})
		Expect(got.status).To(Equal(http.StatusServiceUnavailable), "nothing was sent")
		Expect(got.header).To(HaveKey("Retry-After"))
	},
		Entry("for a call", nonRepeatablePath),
		Entry("for a stream", streamPath),
	)

	It("that rejects after an attempt that may have run leaves the outcome unknown", func() {
		var servers []*standIn
		for at := range 2 {
			servers = append(servers, r.server(fmt.Sprintf("s%d", at), func(writer http.ResponseWriter, request *http.Request) {
				if arrivals.Add(1) == 1 {
					breakOff(writer, request)
				}
				rejectWith(http.StatusServiceUnavailable, "")(writer, request)
			}))
		}
		Expect(f1.route(routed{target: repeatablePath}).status).To(Equal(http.StatusBadGateway))
		Expect(count(servers...)).To(Equal(2))
	})

	DescribeTable("that drains gets no requests", func(path string) {
		server := r.server("s1", answerWith(http.StatusOK, "ok"))
		Expect(f1.route(routed{target: path}).status).To(Equal(http.StatusOK))
		r.changeServer("s1", func(server *protocol.BackEnd) { server.State = protocol.BackEndState_DRAINING })
		Expect(f1.route(routed{target: path}).status).To(Equal(http.StatusServiceUnavailable))
		r.server("s2", answerWith(http.StatusOK, "ok"))
		for range 5 {
			Expect(f1.route(routed{target: path}).status).To(Equal(http.StatusOK))
		}
		Expect(server.requests()).To(HaveLen(1))
	},
		Entry("for a call", nonRepeatablePath),
		Entry("for a stream", streamPath),
	)

	DescribeTable("that sends surplus bytes after an answer never gets them forwarded", func(path string) {
		r.rawServer("s1", func(server *standIn, connection net.Conn, reader *bufio.Reader) {
			received, more := server.take(reader)
			if !more {
				return
			}
			surplus := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: r%d\r\n%s: proof\r\nContent-Length: 5\r\n\r\nwrong",
				testDialect.RequestID, len(server.requests())+1, testDialect.Signature)
			_, _ = io.WriteString(connection, complete(received)+surplus)
			_, _ = reader.ReadByte()
		})
		for number := 1; number <= 5; number++ {
			got := f1.route(routed{target: path, headers: with(testDialect.RequestID, fmt.Sprintf("r%d", number))})
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.body).To(Equal("true"))
		}
	},
		Entry("for a call", nonRepeatablePath),
		Entry("for a stream", streamPath),
	)

	DescribeTable("stops when the caller disconnects", func(path string, begin func(http.ResponseWriter, *http.Request)) {
		arrived, ended := make(chan struct{}), make(chan struct{})
		servers := []*standIn{}
		for at := range 2 {
			servers = append(servers, r.server(fmt.Sprintf("s%d", at), func(writer http.ResponseWriter, request *http.Request) {
				begin(writer, request)
				close(arrived)
				<-request.Context().Done()
				close(ended)
			}))
		}
		ctx, disconnect := context.WithCancel(context.Background())
		f1.routeServer()
		callerError := make(chan error, 1)
		go func() {
			response, err := f1.begin(ctx, routed{target: path})
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			callerError <- err
		}()
		<-arrived
		disconnect()
		Expect(<-callerError).To(MatchError(context.Canceled))
		<-ended
		r.waitUntilIdle(f1)
		Expect(count(servers...)).To(Equal(1))
	},
		Entry("a repeatable call", repeatablePath, func(http.ResponseWriter, *http.Request) {}),
		Entry("a non-repeatable call", nonRepeatablePath, func(http.ResponseWriter, *http.Request) {}),
		Entry("a stream before its first event", streamPath, func(http.ResponseWriter, *http.Request) {}),
		Entry("a stream after its first event", streamPath, func(writer http.ResponseWriter, request *http.Request) {
			streamOf("one")(writer, request)
		}),
	)
})
