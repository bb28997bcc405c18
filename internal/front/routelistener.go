package front

import (
	"context"
	"net"
	"net/http"
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
	server  *http.Server
	done    chan error
	// bound is the address in use once the listener is open.
	bound net.Addr
}

func newRouteListener(address string, handler http.Handler, logger *log.Logger) *routeListener {
	return &routeListener{address: address, done: make(chan error, 1), server: &http.Server{
		Handler: handler, ReadHeaderTimeout: routedHeaderTimeout, IdleTimeout: routedIdleTimeout,
		MaxHeaderBytes: 2 * defaultRoutedHeaderBytes,
		ErrorLog:       logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}}
}

// start opens the listener; without an address there is nothing to do.
func (l *routeListener) start() error {
	if l.address == "" {
		l.done <- nil
		return nil
	}
	listener, err := net.Listen("tcp", l.address)
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

// beginDrain lets callers go to other front nodes; the channel tells when all must have noticed.
func (l *routeListener) beginDrain(clock Clock) <-chan time.Time {
	if l.address == "" {
		return nil
	}
	l.server.SetKeepAlivesEnabled(false)
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
