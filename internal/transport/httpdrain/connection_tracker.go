package httpdrain

import (
	"net"
	"net/http"
	"sync"
)

// connectionTracker tracks the open connections of a server.
type connectionTracker struct {
	// mutex guards the fields below; it is locked before that of a connection.
	mutex    sync.Mutex
	open     map[*connection]struct{}
	draining bool
	// drained is closed once the server is draining and no connection is open.
	drained chan struct{}
}

func newConnectionTracker() *connectionTracker {
	return &connectionTracker{open: map[*connection]struct{}{}, drained: make(chan struct{})}
}

func (c *connectionTracker) add(accepted net.Conn) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	added := &connection{Conn: accepted, tracker: c, draining: c.draining}
	c.open[added] = struct{}{}
	return added
}

func (c *connectionTracker) remove(closed *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, tracked := c.open[closed]; tracked {
		delete(c.open, closed)
		c.signalIfDrained()
	}
}

// drain makes each connection close as soon as it is idle; the returned channel is closed when none is open.
func (c *connectionTracker) drain() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.draining {
		return c.drained
	}
	c.draining = true
	for open := range c.open {
		open.closeWhenIdle()
	}
	c.signalIfDrained()
	return c.drained
}

func (c *connectionTracker) signalIfDrained() {
	if c.draining && len(c.open) == 0 {
		close(c.drained)
	}
}

// connStateChanged is the ConnState hook of the http.Server.
func (c *connectionTracker) connStateChanged(served net.Conn, state http.ConnState) {
	if tracked, isTracked := served.(*connection); isTracked {
		tracked.setActive(state == http.StateActive)
	}
}

// trackingListener adds the connections that it accepts to a tracker.
type trackingListener struct {
	net.Listener
	tracker *connectionTracker
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tracker.add(accepted), nil
}
