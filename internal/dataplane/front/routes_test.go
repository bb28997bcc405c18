package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("a request of an HTTP route", func() {
	var r *rig
	var f1 *node

	BeforeEach(func() {
		r = newRouteRig()
		f1 = r.front("f1")
	})

	DescribeTable("reaches the server unchanged", func(method, body string, chunked bool) {
		server := r.server("s1", answerWith(http.StatusOK, "ok"))
		const target = "/write/a%2Fb/%E2%82%AC/..;v=1/?q=a+b&&r=%41&s"
		got := f1.route(routed{
			method: method, target: target, host: "SHOP.example:8080", body: body, chunked: chunked,
			headers: with(testDialect.RequestID, "r1", "X-Many", "one", "X-Many", "two", "Content-Type", "a/b", "Cookie",
				"c=d; e",
				"Connection", "X-Hop", "X-Hop", "here", "Te", "gzip", "Proxy-Authorization", "secret", "Accept-Encoding",
				"identity"),
		})
		Expect(got.status).To(Equal(http.StatusOK), got.body)
		Expect(server.requests()).To(HaveLen(1))
		received := server.requests()[0]
		Expect(received.method).To(Equal(method))
		Expect(received.target).To(Equal(target))
		Expect(received.host).To(Equal("SHOP.example:8080"))
		Expect(received.body).To(Equal(body))
		want := http.Header{
			http.CanonicalHeaderKey(testDialect.RequestID): {"r1"}, "X-Many": {"one", "two"}, "Content-Type": {"a/b"},
			"Cookie": {"c=d; e"}, "Accept-Encoding": {"identity"}, testDialect.TimeLeft: {"2000"},
			testDialect.TargetServer: {"s1"},
		}
		if length, present := received.header["Content-Length"]; present {
			want["Content-Length"] = length
		}
		Expect(received.header).To(Equal(want))
	},
		Entry("without a body", http.MethodGet, "", false),
		Entry("with a body of known length", http.MethodPost, "some bytes\x00\xff", false),
		Entry("with a body in chunks", http.MethodPut, strings.Repeat("piece ", 3000), true),
		Entry("with a non-standard method", "REPORT", "x", false),
	)

	DescribeTable("carries the front node's headers in place of its caller's", func(path string, names []string) {
		server := r.server("s1", answerWith(http.StatusOK, "ok"))
		sent := with(testDialect.TimeLeft, "700", testDialect.TargetServer, "other", testDialect.ServerRank, "0")
		Expect(f1.route(routed{target: path, headers: sent}).status).To(Equal(http.StatusOK))
		received := server.requests()[0].header
		for _, name := range names {
			Expect(received[name]).To(HaveLen(1), name)
		}
		Expect(received.Get(testDialect.TargetServer)).To(Equal("s1"))
	},
		Entry("on a call", nonRepeatablePath, []string{testDialect.TimeLeft, testDialect.TargetServer}),
		Entry("on a stream", streamPath, []string{testDialect.TimeLeft, testDialect.TargetServer, testDialect.ServerRank}),
	)

	It("gets a request id when it has none, which the server's answer must carry", func() {
		server := r.server("s1", answerWith(http.StatusOK, "ok"))
		Expect(f1.route(routed{target: "/write/"}).status).To(Equal(http.StatusOK))
		Expect(f1.route(routed{target: "/write/"}).status).To(Equal(http.StatusOK))
		first, second := server.requests()[0].id(), server.requests()[1].id()
		Expect(first).NotTo(BeEmpty())
		Expect(second).NotTo(Equal(first))
	})

	Describe("route selection", func() {
		BeforeEach(func() {
			r.changeBundle(func(active *protocol.Bundle) {
				add := func(host, prefix, group string) {
					active.HttpRoutes = append(active.HttpRoutes, &protocol.HttpRoute{
						Name: host + prefix, Host: host, Prefix: prefix, Kind: protocol.HttpRouteKind_HTTP_NON_REPEATABLE,
						TimeoutMillis: 1000, Targets: []*protocol.WeightedGroup{{Group: group, Weight: 1}},
					})
				}
				add(routeHost, "/a/", "short")
				add(routeHost, "/a/b/", "long")
				add("other.example", "/a/", "other")
			})
			for _, group := range []string{"short", "long", "other"} {
				r.serverOf(group, group, answerWith(http.StatusOK, group))
			}
		})

		DescribeTable("takes the longest prefix of its host", func(host, target, want string) {
			Expect(f1.route(routed{target: target, host: host}).body).To(Equal(want))
		},
			Entry("the longer one", routeHost, "/a/b/c", "long"),
			Entry("the longer one itself", routeHost, "/a/b/", "long"),
			Entry("the shorter one where the longer does not begin the path", routeHost, "/a/bc/", "short"),
			Entry("an escaped slash is not a separator", routeHost, "/a/b%2Fc", "short"),
			Entry("another host", "other.example", "/a/b/c", "other"),
			Entry("a query is not part of the path", routeHost, "/a/?/a/b/", "short"),
		)

		DescribeTable("is answered 404 without one", func(host, target string) {
			got := f1.route(routed{target: target, host: host})
			Expect(got.status).To(Equal(http.StatusNotFound))
			Expect(got.header).NotTo(HaveKey(testDialect.Signature))
		},
			Entry("an unknown path", routeHost, "/b/"),
			Entry("a prefix without its slash", routeHost, "/a"),
			Entry("an unknown host", "none.example", "/a/"),
		)
	})

	It("uses a new bundle as soon as it is in force", func() {
		former, next := r.server("s1", answerWith(http.StatusOK, "former")),
			r.serverOf("next", "n1", answerWith(http.StatusOK, "next"))
		Expect(f1.route(routed{target: "/write/"}).body).To(Equal("former"))
		Expect(f1.route(routed{target: "/new/"}).status).To(Equal(http.StatusNotFound))
		r.changeBundle(func(active *protocol.Bundle) {
			moved, added := active.HttpRoutes[1], proto.CloneOf(active.HttpRoutes[0])
			moved.Targets = []*protocol.WeightedGroup{{Group: "next", Weight: 1}}
			added.Name, added.Prefix = "added", "/new/"
			active.HttpRoutes = []*protocol.HttpRoute{moved, added}
		})
		Expect(f1.route(routed{target: "/write/"}).body).To(Equal("next"))
		Expect(f1.route(routed{target: "/new/"}).body).To(Equal("former"))
		Expect(f1.route(routed{target: "/read/"}).status).To(Equal(http.StatusNotFound))
		Expect(count(former)).To(Equal(2))
		Expect(count(next)).To(Equal(1))
	})

	It("is answered 503 with Retry-After while no bundle is in force", func() {
		r.put(&corelink.View{
			Configuration: &protocol.Configuration{Version: 9}, Membership: r.view.Membership,
			BackEnds: r.view.BackEnds,
		})
		got := f1.route(routed{target: "/read/"})
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).To(Equal("1.100"), "what a start takes")
		r.clock.advance(600 * time.Millisecond)
		Expect(f1.route(routed{target: "/read/"}).header.Get("Retry-After")).To(Equal("0.500"), "what is left of it")
		r.clock.advance(time.Minute)
		Expect(f1.route(routed{target: "/read/"}).header.Get("Retry-After")).To(Equal("0.300"), "no start takes as long")
	})

	Describe("limits", func() {
		var server *standIn

		BeforeEach(func() {
			r.changeBundle(func(active *protocol.Bundle) {
				active.Limits.MaxHeaderBytes, active.Limits.MaxBodyBytes = 1000, 100
			})
			server = r.server("s1", answerWith(http.StatusOK, "ok"))
		})

		DescribeTable("accept it within and reject it beyond", func(sent routed, status int) {
			sent.target = "/write/"
			Expect(f1.route(sent).status).To(Equal(status))
			Expect(server.requests()).To(HaveLen(map[int]int{http.StatusOK: 1}[status]))
		},
			Entry("a body at the limit", routed{body: strings.Repeat("x", 100)}, http.StatusOK),
			Entry("a body over the limit", routed{body: strings.Repeat("x", 101)}, http.StatusRequestEntityTooLarge),
			Entry("a chunked body over the limit", routed{body: strings.Repeat("x", 101), chunked: true},
				http.StatusRequestEntityTooLarge),
			Entry("a header within the limit", routed{headers: with("X-Long", strings.Repeat("x", 900))}, http.StatusOK),
			Entry("a header over the limit", routed{headers: with("X-Long", strings.Repeat("x", 1000))},
				http.StatusRequestHeaderFieldsTooLarge),
			Entry("many headers over the limit",
				routed{headers: with("X-A", strings.Repeat("x", 500), "X-B", strings.Repeat("x", 500))},
				http.StatusRequestHeaderFieldsTooLarge),
		)
	})

	Describe("time left", func() {
		DescribeTable("is forwarded, never more than the caller's or the route's", func(sent http.Header, want string) {
			server := r.server("s1", answerWith(http.StatusOK, "ok"))
			Expect(f1.route(routed{target: "/write/", headers: sent}).status).To(Equal(http.StatusOK))
			Expect(server.requests()[0].header[testDialect.TimeLeft]).To(Equal([]string{want}))
		},
			Entry("the caller's when it is shorter", with(testDialect.TimeLeft, "700"), "700"),
			Entry("a fraction is truncated", with(testDialect.TimeLeft, "700.9"), "700"),
			Entry("the route's when the caller's is longer", with(testDialect.TimeLeft, "70000"), "2000"),
			Entry("the route's when the caller's overflows", with(testDialect.TimeLeft, "99999999999999999999"),
				"2000"),
			Entry("the route's when the caller sends none", nil, "2000"),
		)

		DescribeTable("that has expired keeps the request from every server", func(path string) {
			server := r.server("s1", answerWith(http.StatusOK, "ok"))
			for _, timeLeft := range []string{"0", "0.4"} {
				got := f1.route(routed{target: path, headers: with(testDialect.TimeLeft, timeLeft)})
				Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			}
			Expect(server.requests()).To(BeEmpty())
		},
			Entry("a call", nonRepeatablePath),
			Entry("a stream", streamPath),
		)

		DescribeTable("is reduced by the time spent before a retry", func(path string, answer http.HandlerFunc) {
			slow := func(writer http.ResponseWriter, request *http.Request) {
				r.clock.advance(300 * time.Millisecond)
				rejectWith(http.StatusServiceUnavailable, "")(writer, request)
			}
			first := true
			handler := func(writer http.ResponseWriter, request *http.Request) {
				if first {
					first = false
					slow(writer, request)
					return
				}
				answer(writer, request)
			}
			s1, s2 := r.server("s1", handler), r.server("s2", handler)
			Expect(f1.route(routed{target: path, headers: with(testDialect.TimeLeft, "1000")}).status).To(Equal(http.StatusOK))
			var timesLeft []string
			for _, received := range append(s1.requests(), s2.requests()...) {
				timesLeft = append(timesLeft, received.header.Get(testDialect.TimeLeft))
			}
			Expect(timesLeft).To(ConsistOf("1000", "700"))
		},
			Entry("a call", nonRepeatablePath, answerWith(http.StatusOK, "ok")),
			Entry("a stream", streamPath, streamOf("a")),
		)

		It("sends a repeatable call to another server when its answer does not come", func() {
			arrived, cancelled := make(chan struct{}), make(chan struct{})
			var requests atomic.Int32
			handler := func(writer http.ResponseWriter, request *http.Request) {
				if requests.Add(1) > 1 {
					answerWith(http.StatusOK, "ok")(writer, request)
					return
				}
				close(arrived)
				<-request.Context().Done()
				close(cancelled)
			}
			r.server("s1", handler)
			r.server("s2", handler)
			answered := f1.routeAside(routed{target: repeatablePath})
			<-arrived
			r.clock.advance(routeTimeoutMillis / 4 * time.Millisecond)
			Expect((<-answered).status).To(Equal(http.StatusOK))
			<-cancelled
			Expect(requests.Load()).To(BeEquivalentTo(2))
		})

		DescribeTable("ends a request at an unresponsive server with the outcome unknown", func(path string) {
			arrived, cancelled := make(chan struct{}), make(chan struct{})
			r.server("s1", func(_ http.ResponseWriter, request *http.Request) {
				close(arrived)
				<-request.Context().Done()
				close(cancelled)
			})
			answered := f1.routeAside(routed{target: path})
			<-arrived
			r.clock.advance(routeTimeoutMillis * time.Millisecond)
			Expect((<-answered).status).To(Equal(http.StatusGatewayTimeout))
			<-cancelled
		},
			Entry("a repeatable call", repeatablePath),
			Entry("a non-repeatable call", nonRepeatablePath),
			Entry("a stream", streamPath),
		)
	})
})

var _ = Describe("an answer on an HTTP route", func() {
	// exchange returns the bytes of an answer as a caller reads them.
	exchange := func(n *node, method, target string) string {
		connection, err := net.Dial("tcp", n.routeServer().Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = connection.Close() }()
		_, err = fmt.Fprintf(connection, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: r1\r\nConnection: close\r\n\r\n", method, target,
			routeHost, testDialect.RequestID)
		Expect(err).NotTo(HaveOccurred())
		answer, err := io.ReadAll(connection)
		Expect(err).NotTo(HaveOccurred())
		return string(answer)
	}
	// parts splits an answer into its status line, the sorted header lines without those of the connection, and its body.
	parts := func(answer string) (status string, lines []string, body string) {
		head, body, found := strings.Cut(answer, "\r\n\r\n")
		Expect(found).To(BeTrue(), answer)
		all := strings.Split(head, "\r\n")
		for _, line := range all[1:] {
			if line != "Connection: close" {
				lines = append(lines, line)
			}
		}
		return all[0], lines, body
	}

	DescribeTable("is the server's, byte for byte", func(method, path, status, lines, body string) {
		r := newRouteRig()
		f1 := r.front("f1")
		r.rawServer("s1", func(server *standIn, connection net.Conn, reader *bufio.Reader) {
			for {
				if _, more := server.take(reader); !more {
					return
				}
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 %s\r\n%s: r1\r\n%s: proof\r\n%s\r\n%s", status, testDialect.RequestID,
					testDialect.Signature, lines, body)
			}
		})
		gotStatus, gotLines, gotBody := parts(exchange(f1, method, path))
		Expect(gotStatus).To(Equal("HTTP/1.1 " + status))
		want := []string{testDialect.RequestID + ": r1", testDialect.Signature + ": proof"}
		for line := range strings.SplitSeq(strings.TrimSuffix(lines, "\r\n"), "\r\n") {
			if line != "" && !strings.HasPrefix(line, "Keep-Alive") {
				want = append(want, line)
			}
		}
		Expect(gotLines).To(ConsistOf(want))
		Expect(gotBody).To(Equal(body))
	},
		Entry("a success without a type or date", "GET", repeatablePath, "200 OK", "Content-Length: 2\r\n", "ok"),
		Entry("with headers given twice and an encoding", "POST", nonRepeatablePath, "203 Non-Authoritative Information",
			"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nContent-Encoding: x-own\r\nDate: long ago\r\nContent-Length: 3\r\n",
			"\x00\xff\n"),
		Entry("of a server that sends Keep-Alive", "GET", repeatablePath, "200 OK",
			"Keep-Alive: timeout=3\r\nContent-Length: 2\r\n", "ok"),
		Entry("an empty body", "POST", nonRepeatablePath, "200 OK", "Content-Length: 0\r\n", ""),
		Entry("without content", "POST", nonRepeatablePath, "204 No Content", "", ""),
		Entry("not modified", "GET", repeatablePath, "304 Not Modified", "Etag: \"x\"\r\n", ""),
		Entry("a 404 of the server", "GET", repeatablePath, "404 Not Found", "Content-Length: 4\r\n", "none"),
		Entry("a failure of the server", "POST", nonRepeatablePath, "500 Internal Server Error", "Content-Length: 4\r\n",
			"oops"),
		Entry("a failure in place of a stream", "POST", streamPath, "500 Internal Server Error", "Content-Length: 4\r\n",
			"oops"),
		Entry("a success in place of a stream", "POST", streamPath, "200 OK",
			"Content-Type: text/plain\r\nContent-Length: 4\r\n", "oops"),
		Entry("a HEAD response", "HEAD", repeatablePath, "200 OK", "Content-Length: 4711\r\n", ""),
	)

	It("may have no length and end with its connection", func() {
		r := newRouteRig()
		f1 := r.front("f1")
		r.rawServer("s1", func(server *standIn, connection net.Conn, reader *bufio.Reader) {
			received, _ := server.take(reader)
			_, _ = io.WriteString(connection, rawHead(received, "Connection: close\r\n")+"until the end")
		})
		Expect(f1.route(routed{target: repeatablePath}).body).To(Equal("until the end"))
	})
})
