package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

const (
	routedHeaderTimeout = 10 * time.Second
	routedIdleTimeout   = 60 * time.Second
	// drainLinger is how long a front node that drains still takes connections in,
	// until those who hand them out have noticed that it is not ready.
	drainLinger = 2500 * time.Millisecond
)

// routeListener serves the callers of HTTP routes on an address of their own.
type routeListener struct {
	address string
	sockets Sockets
	server  *http.Server
	done    chan error
	// draining is set once callers are to go to other front nodes.
	draining atomic.Bool
	// bound is the address in use once the listener is open.
	bound net.Addr
}

func newRouteListener(address string, handler http.Handler, sockets Sockets, logger *log.Logger) *routeListener {
	l := &routeListener{address: address, sockets: sockets, done: make(chan error, 1)}
	l.server = &http.Server{
		Handler: l.closing(handler), ReadHeaderTimeout: routedHeaderTimeout, IdleTimeout: routedIdleTimeout,
		MaxHeaderBytes: 2 * defaultRoutedHeaderBytes,
		ErrorLog:       logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	return l
}

// closing makes answers that begin during a drain the last ones of their connections.
func (l *routeListener) closing(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(&closingWriter{ResponseWriter: writer, draining: &l.draining}, request)
	})
}

// start opens the listener; without an address there is nothing to do.
func (l *routeListener) start() error {
	if l.address == "" {
		l.done <- nil
		return nil
	}
	listener, err := l.sockets.listen(l.address)
	if err != nil {
		return errors.Wrap(err, "listen for callers of HTTP routes")
	}
	l.bound = listener.Addr()
	go func() {
		err := l.server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		l.done <- err
	}()
	return nil
}

// beginDrain lets callers go to other front nodes; the channel tells when all must have noticed. Connections at rest
// stay open until then: a request may be on its way on each, and would be lost without an answer.
func (l *routeListener) beginDrain(clock Clock) <-chan time.Time {
	if l.address == "" {
		return nil
	}
	l.draining.Store(true)
	return clock.After(drainLinger)
}

// drain returns when all requests that were read are answered, or with the context's error.
func (l *routeListener) drain(ctx context.Context, noticed <-chan time.Time) error {
	if l.address == "" {
		return nil
	}
	select {
	case <-noticed:
	case <-ctx.Done():
	}
	return l.server.Shutdown(ctx)
}

// stop ends what is left.
func (l *routeListener) stop() error {
	if l.address == "" {
		return nil
	}
	return errors.CombineErrors(l.server.Close(), <-l.done)
}
