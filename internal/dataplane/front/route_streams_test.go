package front_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/dataplane/front/sse"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("a stream of an HTTP route", func() {
	var r *rig
	var f1 *node

	BeforeEach(func() {
		r = newRouteRig()
		f1 = r.front("f1")
	})

	// streamServer adds a server that answers each request with a complete stream of these bytes.
	streamServer := func(text string) *standIn {
		return r.server("s1", func(writer http.ResponseWriter, request *http.Request) {
			streamHead(writer, request)
			_, _ = io.WriteString(writer, text)
		})
	}

	It("is forwarded event by event as each arrives", func() {
		next := make(chan struct{})
		r.server("s1", func(writer http.ResponseWriter, request *http.Request) {
			writer.Header().Set("X-Own", "kept")
			streamHead(writer, request)
			for number := 1; number <= 4; number++ {
				<-next
				_, _ = io.WriteString(writer, event(number, "piece"))
				writer.(http.Flusher).Flush()
			}
			<-next
		})
		response, err := f1.begin(context.Background(),
			routed{target: streamPath, headers: with(testDialect.RequestID, "r1")})
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		Expect(response.Header).To(HaveKeyWithValue("X-Own", []string{"kept"}), "the head does not wait for an event")
		Expect(response.Header).To(HaveKeyWithValue(testDialect.Signature, []string{"proof"}))
		Expect(response.Header).To(HaveKeyWithValue("Content-Type", []string{"text/event-stream"}))
		reader := bufio.NewReader(response.Body)
		for number := 1; number <= 4; number++ {
			next <- struct{}{}
			want := event(number, "piece")
			got := make([]byte, len(want))
			_, err := io.ReadFull(reader, got)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(got)).To(Equal(want), "before the server sends the next")
		}
		next <- struct{}{}
		rest, err := io.ReadAll(reader)
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(BeEmpty())
	})

	DescribeTable("is forwarded byte for byte", func(text string) {
		streamServer(text)
		got := f1.route(routed{target: streamPath})
		Expect(got.broken).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(text))
	},
		Entry("without an event", ""),
		Entry("with comments, names and several lines", ": hello\n\nevent: x\ndata: a\ndata:b\nid: 7\nretry: 10\n\n"),
		Entry("with carriage returns", "data: a\r\n\r\ndata: b\r\n\r\n"),
		Entry("with a version before the data", "rosestand-weights: 4\ndata: a\n\n"),
		Entry("with a large event", "data: "+strings.Repeat("x", 300_000)+"\n\n"),
		Entry("with a line that fills the read buffer",
			"data: "+strings.Repeat("x", sse.BufferBytes-6)+"\n\ndata: b\n\n"),
		Entry("that ends with a line that fills the read buffer",
			"data: "+strings.Repeat("x", sse.BufferBytes-6)+"\n\n"),
		Entry("with an extra blank line at its end", "data: a\n\n\n"),
	)

	for name, bad := range badStreams {
		It("that "+name+" ends the caller's connection after the last complete event", func() {
			server := r.rawServer("s1", func(server *standIn, connection net.Conn, reader *bufio.Reader) {
				if received, more := server.take(reader); more {
					_, _ = io.WriteString(connection, bad(received))
				}
			})
			got := f1.route(routed{target: streamPath, headers: with(testDialect.RequestID, "r1")})
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.broken).To(HaveOccurred(), "it must not look complete")
			Expect(got.body).To(Equal(event(1, "one")))
			Expect(server.requests()).To(HaveLen(1))
		})
	}

	It("is aborted when an event exceeds the size limit", func() {
		r.server("s1", func(writer http.ResponseWriter, request *http.Request) {
			streamHead(writer, request)
			_, _ = io.WriteString(writer, event(1, "one"))
			line := "data: " + strings.Repeat("x", 1000) + "\n"
			for sent := 0; sent < 2*sse.MaxEventBytes; sent += len(line) {
				if _, err := io.WriteString(writer, line); err != nil {
					return
				}
			}
			_, _ = io.WriteString(writer, "\n")
		})
		got := f1.route(routed{target: streamPath})
		Expect(got.broken).To(HaveOccurred())
		Expect(got.body).To(Equal(event(1, "one")))
	})

	It("is aborted at the route's time-out in mid-stream", func() {
		ended := make(chan struct{})
		r.server("s1", func(writer http.ResponseWriter, request *http.Request) {
			streamOf("one")(writer, request)
			<-request.Context().Done()
			close(ended)
		})
		response, err := f1.begin(context.Background(), routed{target: streamPath})
		Expect(err).NotTo(HaveOccurred())
		first := make([]byte, len(event(1, "one")))
		_, err = io.ReadFull(response.Body, first)
		Expect(err).NotTo(HaveOccurred())
		r.clock.advance(routeTimeoutMillis * time.Millisecond)
		got := readRouted(response)
		Expect(got.broken).To(HaveOccurred())
		Expect(got.body).To(BeEmpty())
		<-ended
	})

	It("never forwards more tokens than its turn requested, in complete events", func() {
		r.changeBundle(func(active *protocol.Bundle) {
			active.Groups[len(active.Groups)-1].Engine = &protocol.EngineProfile{EventTokens: 2}
		})
		ended := make(chan struct{})
		r.server("s1", func(writer http.ResponseWriter, request *http.Request) {
			streamOf("one", "two", "three")(writer, request)
			<-request.Context().Done()
			close(ended)
		})
		got := f1.route(routed{target: streamPath, headers: with(testDialect.TokenUsage, "10,3")})
		Expect(got.broken).To(HaveOccurred())
		Expect(got.body).To(Equal(event(1, "one")+event(2, "two")), "3 tokens are two events of 2")
		<-ended
	})

	It("needs no ledger when it has no budget and retains no turn", func() {
		r.ledger.setDown(true)
		r.server("s1", streamOf("one"))
		got := f1.route(routed{target: streamPath, headers: with(testDialect.Program, "p1", testDialect.Session, "s1")})
		Expect(got.body).To(Equal(event(1, "one")))
	})
})
