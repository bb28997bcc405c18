package front_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/dataplane/dialect"
	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Names that the specs of HTTP routes share.
const (
	routeHost  = "shop.example"
	routeGroup = "assistants-h"
	// routeTimeoutMillis is the time-out of the rig's routes.
	routeTimeoutMillis = 2000
	// Paths under the rig's routes, one of each kind.
	repeatablePath    = "/read/"
	nonRepeatablePath = "/write/"
	streamPath        = "/talk/"
	turnPath          = "/agent/"
)

// testDialect are the header names of the product's own dialect.
var testDialect = dialect.Default()

// standardRoutes returns one route of each kind, all to one group.
func standardRoutes() []*protocol.HttpRoute {
	route := func(name, prefix string, kind protocol.HttpRouteKind) *protocol.HttpRoute {
		return &protocol.HttpRoute{
			Name: name, Host: routeHost, Prefix: prefix, Kind: kind, TimeoutMillis: routeTimeoutMillis, MaxAttempts: 3,
			Targets: []*protocol.WeightedGroup{{Group: routeGroup, Weight: 1}},
		}
	}
	turns := route("turns", turnPath, protocol.HttpRouteKind_HTTP_STREAMING)
	turns.Stateful, turns.KeepMillis = true, 60_000
	return []*protocol.HttpRoute{
		route("reads", repeatablePath, protocol.HttpRouteKind_HTTP_REPEATABLE),
		route("writes", nonRepeatablePath, protocol.HttpRouteKind_HTTP_NON_REPEATABLE),
		route("talks", streamPath, protocol.HttpRouteKind_HTTP_STREAMING),
		turns,
	}
}

// newRouteRig returns a rig whose bundle has the standard routes.
func newRouteRig() *rig {
	r := newRig()
	r.changeBundle(func(active *protocol.Bundle) {
		active.HttpRoutes = standardRoutes()
		active.Groups = append(active.Groups, &protocol.ServerGroup{Name: routeGroup})
	})
	return r
}

// changeBundle puts a changed bundle in force at all front nodes.
func (r *rig) changeBundle(change func(active *protocol.Bundle)) {
	configuration := proto.CloneOf(r.view.Configuration)
	configuration.Version++
	change(configuration.Active)
	r.put(&corelink.View{Configuration: configuration, Membership: r.view.Membership, BackEnds: r.view.BackEnds})
}

// changeServer puts a changed description of a server in force at all front nodes.
func (r *rig) changeServer(id string, change func(server *protocol.BackEnd)) {
	next := proto.CloneOf(r.view.BackEnds)
	next.Version++
	for _, server := range next.GetBackEnds() {
		if server.GetId() == id {
			change(server)
		}
	}
	r.put(&corelink.View{Configuration: r.view.Configuration, Membership: r.view.Membership, BackEnds: next})
}

// announce adds a server of HTTP routes at an address.
func (r *rig) announce(id, group, address string) {
	next := proto.CloneOf(r.view.BackEnds)
	next.Version++
	next.BackEnds = append(next.BackEnds, &protocol.BackEnd{
		Id: id, Kind: protocol.BackEndKind_MODEL_SERVER, State: protocol.BackEndState_READY, Address: address,
		Zone: "z1", Group: group, Incarnation: 1, Capacity: 16,
	})
	r.put(&corelink.View{Configuration: r.view.Configuration, Membership: r.view.Membership, BackEnds: next})
}

// standIn is a server of HTTP routes that records the requests that it gets.
type standIn struct {
	id string

	mutex    sync.Mutex
	received []receivedRequest
}

// receivedRequest is a request as it came to a server.
type receivedRequest struct {
	method, target, host, body string
	header                     http.Header
}

func (s *standIn) record(request receivedRequest) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.received = append(s.received, request)
}

// requests returns those that arrived so far.
func (s *standIn) requests() []receivedRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]receivedRequest(nil), s.received...)
}

func (s *standIn) bodies() []string {
	var all []string
	for _, request := range s.requests() {
		all = append(all, request.body)
	}
	return all
}

// count is the number of requests that arrived at some servers.
func count(servers ...*standIn) int {
	total := 0
	for _, server := range servers {
		total += len(server.requests())
	}
	return total
}

// server adds a server of HTTP routes to the standard group. The body is read before its handler runs.
func (r *rig) server(id string, handler http.HandlerFunc) *standIn {
	return r.serverOf(routeGroup, id, handler)
}

func (r *rig) serverOf(group, id string, handler http.HandlerFunc) *standIn {
	stand := &standIn{id: id}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == testDialect.ReportPath {
			r.loadReport(writer, id)
			return
		}
		body, _ := io.ReadAll(request.Body)
		stand.record(receivedRequest{
			method: request.Method, target: request.RequestURI, host: request.Host, body: string(body),
			header: request.Header.Clone(),
		})
		request.Body = io.NopCloser(bytes.NewReader(body))
		handler(writer, request)
	}))
	DeferCleanup(server.Close)
	r.announce(id, group, strings.TrimPrefix(server.URL, "http://"))
	return stand
}

// rawServer adds a server that handles its connections itself.
func (r *rig) rawServer(id string, serve func(stand *standIn, connection net.Conn, reader *bufio.Reader)) *standIn {
	stand := &standIn{id: id}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var connections sync.WaitGroup
	var opened []net.Conn
	connections.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				for _, each := range opened {
					_ = each.Close()
				}
				return
			}
			opened = append(opened, connection)
			connections.Go(func() {
				defer func() { _ = connection.Close() }()
				serve(stand, connection, bufio.NewReader(connection))
			})
		}
	})
	DeferCleanup(func() {
		_ = listener.Close()
		connections.Wait()
	})
	r.announce(id, routeGroup, listener.Addr().String())
	return stand
}

// take reads one request from a raw connection; false means that the connection ended.
func (s *standIn) take(reader *bufio.Reader) (receivedRequest, bool) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return receivedRequest{}, false
	}
	body, _ := io.ReadAll(request.Body)
	received := receivedRequest{
		method: request.Method, target: request.RequestURI, host: request.Host, body: string(body),
		header: request.Header,
	}
	s.record(received)
	return received, true
}

// id is the request id that a request carries.
func (s receivedRequest) id() string { return s.header.Get(testDialect.RequestID) }

// rawHead is the head of a server's proper answer to a request, with more header lines.
func rawHead(request receivedRequest, lines string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: proof\r\n%s\r\n", testDialect.RequestID, request.id(),
		testDialect.Signature, lines)
}

// prove sets the headers that a server sets on each of its own answers.
func prove(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(testDialect.RequestID, request.Header.Get(testDialect.RequestID))
	writer.Header().Set(testDialect.Signature, "proof")
}

// answerWith sends a complete answer.
func answerWith(status int, body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		prove(writer, request)
		writer.WriteHeader(status)
		_, _ = io.WriteString(writer, body)
	}
}

// rejectWith states that the request was not run.
func rejectWith(status int, retryAfter string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		prove(writer, request)
		writer.Header().Set(testDialect.NotExecuted, "1")
		if retryAfter != "" {
			writer.Header().Set("Retry-After", retryAfter)
		}
		writer.WriteHeader(status)
	}
}

// breakOff closes the connection without an answer.
func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// event is one event of a stream with this data.
func event(number int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", number, data) }

// streamHead begins a stream.
func streamHead(writer http.ResponseWriter, request *http.Request) {
	prove(writer, request)
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.WriteHeader(http.StatusOK)
	writer.(http.Flusher).Flush()
}

// streamOf answers with one event for each data.
func streamOf(data ...string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		streamHead(writer, request)
		for at, each := range data {
			_, _ = io.WriteString(writer, event(at+1, each))
			writer.(http.Flusher).Flush()
		}
	}
}

// routed is a request of a caller of HTTP routes.
type routed struct {
	method  string
	target  string
	host    string
	headers http.Header
	body    string
	// chunked sends the body without a length.
	chunked bool
}

// routedAnswer is what a caller of an HTTP route got.
type routedAnswer struct {
	status int
	header http.Header
	body   string
	// broken is the error that ended the body, if it was not complete.
	broken error
}

// routeTransport adds nothing to requests and opens a connection for each.
var routeTransport = &http.Transport{DisableCompression: true, DisableKeepAlives: true}

// routeServer is the address at which a front node takes requests of HTTP routes.
func (n *node) routeServer() *httptest.Server {
	if n.routes == nil {
		n.routes = httptest.NewServer(front.NewRouteHandler(n.service, testDialect))
		DeferCleanup(n.routes.Close)
	}
	return n.routes
}

// begin sends a request and returns when the head of the answer has arrived.
func (n *node) begin(ctx context.Context, sent routed) (*http.Response, error) {
	at, err := url.Parse(n.routeServer().URL)
	Expect(err).NotTo(HaveOccurred())
	var body io.Reader
	if sent.body != "" {
		body = strings.NewReader(sent.body)
		if sent.chunked {
			body = struct{ io.Reader }{body}
		}
	}
	method := sent.method
	if method == "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, at.String(), body)
	Expect(err).NotTo(HaveOccurred())
	request.URL.Opaque = sent.target
	request.Host = sent.host
	if request.Host == "" {
		request.Host = routeHost
	}
	request.Header = sent.headers.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	if request.Header.Get("User-Agent") == "" {
		request.Header["User-Agent"] = []string{""}
	}
	return routeTransport.RoundTrip(request)
}

// route sends a request and reads the complete answer.
func (n *node) route(sent routed) routedAnswer {
	response, err := n.begin(context.Background(), sent) //nolint:bodyclose // readRouted closes it
	Expect(err).NotTo(HaveOccurred())
	return readRouted(response)
}

func readRouted(response *http.Response) routedAnswer {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return routedAnswer{status: response.StatusCode, header: response.Header, body: string(body), broken: err}
}

// routeAside sends a request on a goroutine of its own.
func (n *node) routeAside(sent routed) <-chan routedAnswer {
	n.routeServer()
	answered := make(chan routedAnswer, 1)
	go func() {
		defer GinkgoRecover()
		answered <- n.route(sent)
	}()
	return answered
}

// with returns headers of names and values.
func with(pairs ...string) http.Header {
	header := http.Header{}
	for at := 0; at+1 < len(pairs); at += 2 {
		header.Add(pairs[at], pairs[at+1])
	}
	return header
}

// waitUntilIdle returns when nothing is in progress at a front node any more.
func (r *rig) waitUntilIdle(n *node) {
	Eventually(n.service.UnderWay).Should(BeZero())
	Expect(n.service.Drain(context.Background())).To(Succeed())
}
