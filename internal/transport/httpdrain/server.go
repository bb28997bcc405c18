// Package httpdrain drains an HTTP server without losing requests that arrive during the drain.
//
// http.Server.Shutdown closes an idle connection even if the first bytes of a request have arrived or are in transit:
// the caller cannot determine whether that request ran. This package closes an idle connection only if no byte of a
// request has arrived, and sends a response by which the caller of a crossing request learns that it was not run.
//
// A Server is safe for concurrent use.
package httpdrain

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Server is an HTTP server that serves one listener and can be drained.
type Server struct {
	server   *http.Server
	listener *trackingListener
	tracker  *connectionTracker
	// draining is set by BeginDrain.
	draining atomic.Bool
	// requests is the context that those of all requests derive from; endRequests ends it.
	requests    context.Context
	endRequests context.CancelFunc
}

// finalAnswerTimeout is how long requests in progress may take to be answered once a drain was interrupted.
const finalAnswerTimeout = 200 * time.Millisecond

// New returns a Server for an http.Server that does not serve yet; it wraps the handler, sets the hooks ConnState and
// BaseContext, and leaves the number of header values to the size of the head.
func New(server *http.Server, listener net.Listener) *Server {
	tracker := newConnectionTracker()
	s := &Server{server: server, listener: newTrackingListener(listener, tracker), tracker: tracker}
	s.requests, s.endRequests = context.WithCancel(context.Background())
	server.BaseContext = func(net.Listener) context.Context { return s.requests }
	server.ConnState = tracker.connStateChanged
	server.Handler = closingHandler(server.Handler, &s.draining)
	AllowHeaderValues(server)
	return s
}

// Start begins to serve and returns the channel that receives the result of Serve. A drain that comes before the first
// connection is accepted still answers those that are established.
func (s *Server) Start() (done <-chan error) {
	s.listener.serving.Store(true)
	result := make(chan error, 1)
	go func() { result <- s.Serve() }()
	return result
}

// Serve serves until the listener is closed, such as by Drain or Close, which is not an error.
func (s *Server) Serve() error {
	s.listener.serving.Store(true)
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// BeginDrain makes each answer that begins from now on the last one of its connection. Idle connections stay open and
// new ones are accepted, because a request may be in transit on each.
func (s *Server) BeginDrain() { s.draining.Store(true) }

// Drain accepts what has connected, closes the listener and returns when every request that has begun to arrive is
// answered and every connection is closed. When the context ends before, the contexts of the requests in progress end
// too, so that their handlers answer what is known of them, and Drain returns with the context's error unless all are
// answered in time.
func (s *Server) Drain(ctx context.Context) error {
	s.BeginDrain()
	if err := s.listener.stop(ctx); err != nil {
		return err
	}
	select {
	case <-s.tracker.drain():
	case <-ctx.Done():
		s.awaitFinalAnswers()
	}
	return s.server.Shutdown(ctx)
}

// awaitFinalAnswers ends the requests in progress and waits until they are answered, for a limited time.
func (s *Server) awaitFinalAnswers() {
	s.endRequests()
	limit := time.NewTimer(finalAnswerTimeout)
	defer limit.Stop()
	select {
	case <-s.tracker.drain():
	case <-limit.C:
	}
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error {
	s.endRequests()
	return s.server.Close()
}
