// Package httpdrain ends an HTTP server without losing requests that reach it at that moment.
//
// http.Server.Shutdown closes a connection at rest also when the first bytes of a request have come over it, or are on their way:
// its caller can't tell whether that request ran. Here such a connection is closed only when no byte has arrived, and with
// an answer that says so to a request that crosses the end.
package httpdrain

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Server is an HTTP server with the listener that it serves.
type Server struct {
	server      *http.Server
	listener    net.Listener
	connections *connections
	// closing is set once each answer is to be the last one of its connection.
	closing atomic.Bool
}

// New takes a server that serves nothing yet; its handler is wrapped and its ConnState hook used here.
func New(server *http.Server, listener net.Listener) *Server {
	tracked := newConnections()
	s := &Server{server: server, listener: &trackingListener{Listener: listener, connections: tracked}, connections: tracked}
	server.ConnState = tracked.changed
	server.Handler = closingHandler(server.Handler, &s.closing)
	return s
}

// Serve serves until the listener is closed, also by Drain or Close; that is no error.
func (s *Server) Serve() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// BeginDrain makes answers that begin from now on the last ones of their connections. Connections at rest stay open and new
// ones are taken: a request may be on its way on each.
func (s *Server) BeginDrain() { s.closing.Store(true) }

// Drain closes the listener and returns when every request that has begun to arrive is answered and every connection is
// closed, or with the context's error.
func (s *Server) Drain(ctx context.Context) error {
	s.BeginDrain()
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "close the listener")
	}
	select {
	case <-s.connections.end():
	case <-ctx.Done():
	}
	return s.server.Shutdown(ctx)
}

// Close ends what is left at once.
func (s *Server) Close() error { return s.server.Close() }
