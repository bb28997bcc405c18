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
	// drained is closed by drainOnce once the server is draining and no connection is open.
	drained   chan struct{}
	drainOnce sync.Once
}

func newConnectionTracker() *connectionTracker {
	return &connectionTracker{open: map[*connection]struct{}{}, drained: make(chan struct{})}
}

func (t *connectionTracker) add(accepted net.Conn) *connection {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	added := &connection{Conn: accepted, tracker: t, draining: t.draining}
	t.open[added] = struct{}{}
	return added
}

func (t *connectionTracker) remove(closed *connection) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, tracked := t.open[closed]; tracked {
		delete(t.open, closed)
		t.signalIfDrained()
	}
}

// drain makes each connection close as soon as it is idle; the returned channel is closed when none is open.
func (t *connectionTracker) drain() <-chan struct{} {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.draining {
		return t.drained
	}
	t.draining = true
	for open := range t.open {
		open.closeWhenIdle()
	}
	t.signalIfDrained()
	return t.drained
}

func (t *connectionTracker) signalIfDrained() {
	if t.draining && len(t.open) == 0 {
		t.drainOnce.Do(func() { close(t.drained) })
	}
}

// connStateChanged is the ConnState hook of the http.Server.
func (t *connectionTracker) connStateChanged(served net.Conn, state http.ConnState) {
	if tracked, isTracked := served.(*connection); isTracked {
		tracked.setActive(state == http.StateActive)
	}
}
