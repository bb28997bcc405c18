package front

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/transport/httpdrain"
	"github.com/rosestand/rosestand/internal/transport/httpguard"
)

const (
	// defaultRoutedHeaderTimeout and defaultRoutedIdleTimeout apply unless the bundle sets others.
	defaultRoutedHeaderTimeout = 10 * time.Second
	defaultRoutedIdleTimeout   = 60 * time.Second
	// drainLinger is how long a draining front node still accepts connections, until the load balancers have
	// observed that it is not ready.
	drainLinger = 2500 * time.Millisecond
)

// routeListener serves the callers of HTTP routes on an address of their own.
type routeListener struct {
	address string
	sockets Sockets
	// guard holds the limits of the callers.
	guard  httpguard.Options
	server *http.Server
	done   <-chan error
	// drainer ends the server; nil until the listener is open.
	drainer *httpdrain.Server
	// bound is the address in use once the listener is open.
	bound net.Addr
}

func newRouteListener(
	address string, handler http.Handler, sockets Sockets, guard httpguard.Options, logger *log.Logger,
) *routeListener {
	l := &routeListener{address: address, sockets: sockets, guard: guard}
	l.server = &http.Server{
		Handler: handler, ConnContext: httpguard.ConnContext,
		// The guard keeps to the limits of the bundle in force, which are below this one.
		MaxHeaderBytes: bundle.MaxHeaderBytes,
		ErrorLog:       logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	return l
}

// start opens the listener; without an address there is nothing to do.
func (l *routeListener) start(ctx context.Context) error {
	if l.address == "" {
		return nil
	}
	listener, err := l.sockets.listen(ctx, l.address)
	if err != nil {
		return errors.Wrap(err, "listen for callers of HTTP routes")
	}
	l.bound = listener.Addr()
	l.drainer = httpdrain.New(l.server, httpguard.NewListener(listener, l.guard))
	l.done = l.drainer.Start()
	return nil
}

// beginDrain sends callers to other front nodes; the channel receives, or is closed, when all should have left. Idle
// connections stay open until then: a request may be in transit on each and would be lost without an answer.
func (l *routeListener) beginDrain(clock Clock) <-chan time.Time {
	if l.address == "" {
		nobody := make(chan time.Time)
		close(nobody)
		return nobody
	}
	l.drainer.BeginDrain()
	return clock.After(drainLinger)
}

// drain accepts no more connections and returns when all requests that have begun to arrive are answered, or with the
// context's error.
func (l *routeListener) drain(ctx context.Context) error {
	if l.address == "" {
		return nil
	}
	return l.drainer.Drain(ctx)
}

// stop ends what is left.
func (l *routeListener) stop() error {
	if l.address == "" {
		return nil
	}
	return errors.CombineErrors(l.server.Close(), <-l.done)
}

// callerLimits are the limits of the bundle in force on callers of HTTP routes.
func (s *Service) callerLimits() httpguard.Limits {
	limits := s.rollout.Policies().Active.Bundle().GetLimits()
	return httpguard.Limits{
		MaxHeadBytes:  int(cmp.Or(limits.GetMaxHeaderBytes(), defaultRoutedHeaderBytes)),
		HeaderTimeout: cmp.Or(millis(limits.GetHeaderTimeoutMillis()), defaultRoutedHeaderTimeout),
		IdleTimeout:   cmp.Or(millis(limits.GetIdleTimeoutMillis()), defaultRoutedIdleTimeout),
	}
}
