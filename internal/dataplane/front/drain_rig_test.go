package front_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/dataplane/front"
)

// drainingListener is a front node's own listener for callers of HTTP routes.
type drainingListener struct{ *front.RouteListener }

func newDrainingListener(r *rig, n *node) *drainingListener {
	listener := front.NewRouteListener("127.0.0.1:0", front.NewRouteHandler(n.service, testDialect), r.clock)
	Expect(listener.Start()).To(Succeed())
	DeferCleanup(listener.Stop)
	return &drainingListener{listener}
}

// connectionAnswer is an answer's body and whether its connection closes after it.
type connectionAnswer struct {
	body    string
	closing bool
}

// call sends a request over a connection that may be reused.
func (l *drainingListener) call(target string) connectionAnswer {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+l.Address()+target, nil)
	Expect(err).NotTo(HaveOccurred())
	request.Host = routeHost
	response, err := transport.RoundTrip(request) //nolint:bodyclose // readRouted closes it
	Expect(err).NotTo(HaveOccurred())
	return connectionAnswer{body: readRouted(response).body, closing: response.Close}
}

// openConnection is one connection of a caller, which stays open between requests.
type openConnection struct {
	net.Conn
	reader *bufio.Reader
}

func (l *drainingListener) connect() *openConnection {
	connection, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(connection.Close)
	return &openConnection{Conn: connection, reader: bufio.NewReader(connection)}
}

// call sends a request and reads its answer.
func (c *openConnection) call(target string) connectionAnswer {
	GinkgoHelper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+routeHost+target, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(request.Write(c)).To(Succeed())
	response, err := http.ReadResponse(c.reader, request) //nolint:bodyclose // readRouted closes it
	Expect(err).NotTo(HaveOccurred())
	return connectionAnswer{body: readRouted(response).body, closing: response.Close}
}

// ended reports whether the front node has closed the connection; it waits until something comes.
func (c *openConnection) ended() bool {
	_, err := c.reader.ReadByte()
	return errors.Is(err, io.EOF)
}
