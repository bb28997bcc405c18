package httpdrain

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// lookTime is how long a connection at rest is looked at for bytes that have just arrived, before it is ended.
	lookTime = time.Millisecond
	// closeTime bounds how long a connection that was ended waits for its caller to close it.
	closeTime = 500 * time.Millisecond
	// headTime bounds how long the end waits for the rest of a request's head.
	headTime = 2500 * time.Millisecond
	// endAnswer ends a connection at rest (RFC 9110, section 15.5.9): a request that has crossed it was not run, and its
	// caller may repeat it. Clients that have sent none take it for the end of the connection.
	endAnswer = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// connection is a caller's connection that can be ended while it rests: only when no byte of a request has arrived,
// and so that a request on its way is answered as not run.
type connection struct {
	net.Conn
	all *connections

	mutex sync.Mutex
	// active is true from the moment at which a request's head was read until its answer is complete.
	active bool
	// begun is true when bytes came after what was written last: a request has begun to arrive.
	begun bool
	// ending is true once the connection is to be closed as soon as it rests.
	ending bool
	// headBy is when the head that has begun to arrive must be whole; zero while nothing is to end.
	headBy time.Time
}

// Read reads a request's bytes. A connection that is to end and rests is ended here, by the goroutine that serves it.
func (c *connection) Read(content []byte) (int, error) {
	if c.endsNow() {
		return c.endRest(content)
	}
	count, err := c.Conn.Read(content)
	if count > 0 {
		c.noteBegun()
		return count, err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.endsNow() {
		return c.endRest(content)
	}
	return count, err
}

// Write writes a part of an answer.
func (c *connection) Write(content []byte) (int, error) {
	c.mutex.Lock()
	c.begun = false
	c.mutex.Unlock()
	return c.Conn.Write(content)
}

// CloseWrite ends the answers and leaves the connection open for reading, where its kind can do that.
func (c *connection) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	defer c.all.remove(c)
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(at time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.headBy.IsZero() && at.After(c.headBy) {
		at = c.headBy
	}
	return c.Conn.SetReadDeadline(at)
}

// end has the connection closed as soon as it rests. What has begun to arrive may still come whole.
func (c *connection) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ending = true
	switch {
	case c.active:
	case c.begun:
		c.boundHead()
	default:
		// Wakes the goroutine that waits for a request.
		_ = c.Conn.SetReadDeadline(time.Now())
	}
}

// setActive follows whether a request is served. Its body has the time that the server gives it.
func (c *connection) setActive(active bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active = active
	if active && !c.headBy.IsZero() {
		c.headBy = time.Time{}
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// boundHead is called with the mutex held.
func (c *connection) boundHead() {
	c.headBy = time.Now().Add(headTime)
	_ = c.Conn.SetReadDeadline(c.headBy)
}

func (c *connection) endsNow() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ending && !c.active && !c.begun
}

// noteBegun gives a request that begins to arrive when its connection is to end the time to come whole.
func (c *connection) noteBegun() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.begun = true
	if c.ending && !c.active && c.headBy.IsZero() {
		c.boundHead()
	}
}

// endRest gives the bytes of a request that have arrived by now; without any it ends the connection.
func (c *connection) endRest(content []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(lookTime)); err != nil {
		return 0, err
	}
	count, err := c.Conn.Read(content)
	switch {
	case count > 0:
		c.noteBegun()
		return count, err
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return 0, err
	default:
		return 0, c.sayEnd()
	}
}

// sayEnd tells the caller that the connection ends and waits until the caller has closed it: an earlier close would
// discard what was written when something is on its way. It returns io.EOF, as if the caller had closed first.
func (c *connection) sayEnd() error {
	if err := c.SetDeadline(time.Now().Add(closeTime)); err != nil {
		return err
	}
	if _, err := io.WriteString(c.Conn, endAnswer); err == nil && c.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	return io.EOF
}
