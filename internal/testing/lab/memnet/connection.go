package memnet

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// segment is what one write sent.
type segment struct {
	data    []byte
	arrives time.Time
}

// connection is one side of a connection. The network's mutex guards all of it.
type connection struct {
	network    *Network
	near, far  *net.TCPAddr
	local      string
	peer       *connection
	received   []segment
	lastArrive time.Time
	// ended is why nothing follows what was received, from endArrives on; nil while more may come.
	ended      error
	endArrives time.Time
	// closed is set once this side is closed or its process has ended.
	closed bool
	// lostPower is set when this side's host lost power.
	lostPower                   bool
	readDeadline, writeDeadline time.Time
	// changed is closed and replaced when a reader should look again.
	changed chan struct{}
}

var _ net.Conn = (*connection)(nil)

// pair makes both sides of a connection; the mutex is held.
func (n *Network) pair(near, far *net.TCPAddr) (dialed, accepted *connection) {
	dialed = &connection{network: n, near: near, far: far, local: near.IP.String(), changed: make(chan struct{})}
	accepted = &connection{
		network: n, near: far, far: near, local: far.IP.String(), changed: make(chan struct{}),
		peer: dialed,
	}
	dialed.peer = accepted
	n.connections[dialed], n.connections[accepted] = struct{}{}, struct{}{}
	return dialed, accepted
}

// wake lets a reader look again; the mutex is held.
func (c *connection) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// arrival gives the time at which what is sent now to this side arrives, behind what was sent before; the mutex is
// held.
func (c *connection) arrival() time.Time {
	at := time.Now().Add(c.network.delay())
	if at.Before(c.lastArrive) {
		at = c.lastArrive
	}
	c.lastArrive = at
	return at
}

// endInbound says that nothing follows; the mutex is held.
func (c *connection) endInbound(cause error) {
	if c.ended == nil && !c.closed {
		c.ended, c.endArrives = cause, c.arrival()
		c.wake()
	}
}

// shut ends this side; the mutex is held.
func (c *connection) shut() {
	c.closed = true
	c.received = nil
	delete(c.network.connections, c)
	c.wake()
}

// endByCrash ends this side as the end of its process does; the mutex is held.
func (c *connection) endByCrash() {
	if c.closed {
		return
	}
	cause := error(syscall.ECONNRESET)
	if c.network.random.IntN(2) == 0 {
		cause = io.EOF
	}
	c.peer.endInbound(cause)
	c.shut()
}

// endByReset breaks the connection for this side; the mutex is held.
func (c *connection) endByReset() {
	c.received = nil
	c.ended, c.endArrives = syscall.ECONNRESET, time.Now()
	c.wake()
}

// endByPowerLoss ends this side without notice to the peer; the mutex is held.
func (c *connection) endByPowerLoss() {
	if !c.closed {
		c.lostPower = true
		c.shut()
	}
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	for {
		c.network.mutex.Lock()
		count, wait, err := c.look(buffer)
		changed := c.changed
		c.network.mutex.Unlock()
		if count > 0 || err != nil || len(buffer) == 0 {
			return count, err
		}
		if wait <= 0 {
			<-changed
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// look takes what has arrived, or says when to look again (zero: when something changes); the mutex is held.
func (c *connection) look(buffer []byte) (count int, wait time.Duration, err error) {
	now := time.Now()
	if c.closed {
		return 0, 0, c.failed("read", net.ErrClosed)
	}
	if !c.readDeadline.IsZero() && !now.Before(c.readDeadline) {
		return 0, 0, c.failed("read", os.ErrDeadlineExceeded)
	}
	next := time.Time{}
	if c.network.passes(c.peer.local, c.local) || c.peer.lostPower || c.network.closed {
		switch {
		case len(c.received) > 0 && !now.Before(c.received[0].arrives):
			return c.takeFirst(buffer), 0, nil
		case len(c.received) > 0:
			next = c.received[0].arrives
		case c.ended != nil && !now.Before(c.endArrives):
			if errors.Is(c.ended, io.EOF) {
				return 0, 0, io.EOF
			}
			return 0, 0, c.failed("read", c.ended)
		case c.ended != nil:
			next = c.endArrives
		}
	}
	if !c.readDeadline.IsZero() && (next.IsZero() || c.readDeadline.Before(next)) {
		next = c.readDeadline
	}
	if next.IsZero() {
		return 0, 0, nil
	}
	return 0, next.Sub(now), nil
}

// HasUnread reports whether bytes, or the end of the connection, have arrived and were not read. It is what a look into
// the buffer of a socket tells.
func (c *connection) HasUnread() bool {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	now := time.Now()
	if !c.network.passes(c.peer.local, c.local) && !c.peer.lostPower {
		return false
	}
	return len(c.received) > 0 && !now.Before(c.received[0].arrives) || c.ended != nil && !now.Before(c.endArrives)
}

func (c *connection) takeFirst(buffer []byte) int {
	first := &c.received[0]
	count := copy(buffer, first.data)
	first.data = first.data[count:]
	if len(first.data) == 0 {
		c.received = c.received[1:]
	}
	return count
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	switch {
	case c.closed:
		return 0, c.failed("write", net.ErrClosed)
	case !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline):
		return 0, c.failed("write", os.ErrDeadlineExceeded)
	case errors.Is(c.ended, syscall.ECONNRESET) && !time.Now().Before(c.endArrives):
		return 0, c.failed("write", syscall.ECONNRESET)
	}
	switch {
	case c.peer.lostPower:
	case c.peer.closed:
		// The other side answers with a reset, unless it is out of reach.
		if c.network.passes(c.local, c.peer.local) && c.network.passes(c.peer.local, c.local) {
			c.endByReset()
		}
	default:
		c.peer.received = append(c.peer.received, segment{data: append([]byte(nil), data...), arrives: c.peer.arrival()})
		c.peer.wake()
	}
	return len(data), nil
}

func (c *connection) failed(operation string, cause error) error {
	return &net.OpError{Op: operation, Net: networkName, Source: c.near, Addr: c.far, Err: cause}
}

// Close implements net.Conn. What was written before arrives.
func (c *connection) Close() error {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	if c.closed {
		return c.failed("close", net.ErrClosed)
	}
	c.peer.endInbound(io.EOF)
	c.shut()
	return nil
}

// LocalAddr implements net.Conn.
func (c *connection) LocalAddr() net.Addr { return c.near }

// RemoteAddr implements net.Conn.
func (c *connection) RemoteAddr() net.Addr { return c.far }

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(at time.Time) error {
	return c.setDeadlines(func() { c.readDeadline, c.writeDeadline = at, at })
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(at time.Time) error {
	return c.setDeadlines(func() { c.readDeadline = at })
}

// SetWriteDeadline implements net.Conn.
func (c *connection) SetWriteDeadline(at time.Time) error {
	return c.setDeadlines(func() { c.writeDeadline = at })
}

func (c *connection) setDeadlines(set func()) error {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	if c.closed {
		return c.failed("set", net.ErrClosed)
	}
	set()
	c.wake()
	return nil
}
