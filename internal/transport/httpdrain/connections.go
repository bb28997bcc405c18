package httpdrain

import (
	"net"
	"net/http"
	"sync"
)

// connections are the open ones of a server.
type connections struct {
	mutex  sync.Mutex
	open   map[*connection]struct{}
	ending bool
	// none is closed once all are to end and none is left.
	none chan struct{}
}

func newConnections() *connections {
	return &connections{open: map[*connection]struct{}{}, none: make(chan struct{})}
}

func (c *connections) add(accepted net.Conn) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	added := &connection{Conn: accepted, all: c, ending: c.ending}
	c.open[added] = struct{}{}
	return added
}

func (c *connections) remove(closed *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, held := c.open[closed]; held {
		delete(c.open, closed)
		c.noteNone()
	}
}

// end closes each connection as soon as it rests; the channel is closed when none is left.
func (c *connections) end() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ending {
		return c.none
	}
	c.ending = true
	for open := range c.open {
		open.end()
	}
	c.noteNone()
	return c.none
}

func (c *connections) noteNone() {
	if c.ending && len(c.open) == 0 {
		close(c.none)
	}
}

// changed follows a connection's state, as a hook of http.Server.
func (c *connections) changed(served net.Conn, state http.ConnState) {
	if tracked, is := served.(*connection); is {
		tracked.setActive(state == http.StateActive)
	}
}

// trackingListener hands out connections that know whether they rest.
type trackingListener struct {
	net.Listener
	connections *connections
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.connections.add(accepted), nil
}
