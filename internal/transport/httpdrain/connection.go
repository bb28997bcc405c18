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
	// finalReadTimeout is how long the server reads an idle connection for bytes that have just arrived before closing it.
	finalReadTimeout = time.Millisecond
	// closeTimeout bounds how long the server waits for the caller to close a connection after closingResponse.
	closeTimeout = 500 * time.Millisecond
	// headerTimeout bounds how long draining waits for the rest of a request's header.
	headerTimeout = 2500 * time.Millisecond
	// closingResponse announces the end of an idle connection (RFC 9110, section 15.5.9): a request that crosses it was
	// not run, and its caller may repeat it. Clients without a request in flight treat it as the end of the connection.
	closingResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// connection is a caller's connection that can be closed while it is idle. It is closed only if no byte of a request
// has arrived, and with a response that answers a request in transit as not run. The goroutine that serves the
// connection reads and writes; closeWhenIdle and setActive may be called from other goroutines.
type connection struct {
	net.Conn
	tracker *connectionTracker

	// mutex guards the fields below.
	mutex sync.Mutex
	// active is true from when a request's header was read until its answer is complete.
	active bool
	// requestStarted is true if bytes arrived since the last write, so a request has begun to arrive.
	requestStarted bool
	// draining is true once the connection is to be closed as soon as it is idle.
	draining bool
	// headerDeadline is when a header that has begun to arrive must be complete; zero unless draining.
	headerDeadline time.Time
}

// Read reads a request's bytes. An idle connection that is draining is closed here, by the goroutine that serves it.
func (c *connection) Read(content []byte) (int, error) {
	if c.shouldClose() {
		return c.closeUnlessArriving(content)
	}
	count, err := c.Conn.Read(content)
	if count > 0 {
		c.markRequestStarted()
		return count, err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.shouldClose() {
		return c.closeUnlessArriving(content)
	}
	return count, err
}

// Write writes bytes of an answer.
func (c *connection) Write(content []byte) (int, error) {
	c.mutex.Lock()
	c.requestStarted = false
	c.mutex.Unlock()
	return c.Conn.Write(content)
}

// CloseWrite closes the connection for writing only, if its kind supports that.
func (c *connection) CloseWrite() error {
	if halfCloser, supported := c.Conn.(interface{ CloseWrite() error }); supported {
		return halfCloser.CloseWrite()
	}
	return nil
}

// activityObserver is a wrapped connection that is told when a request begins to be served and when it is answered.
type activityObserver interface{ SetActive(active bool) }

// NetConn returns the wrapped connection.
func (c *connection) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *connection) Close() error {
	defer c.tracker.remove(c)
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn. A deadline after headerDeadline is replaced by headerDeadline.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.headerDeadline.IsZero() && deadline.After(c.headerDeadline) {
		deadline = c.headerDeadline
	}
	return c.Conn.SetReadDeadline(deadline)
}

// closeWhenIdle makes the serving goroutine close the connection as soon as it is idle. A request that has begun to
// arrive has headerTimeout for the rest of its header.
func (c *connection) closeWhenIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.draining = true
	switch {
	case c.active:
	case c.requestStarted:
		c.setHeaderDeadline()
	default:
		// Wake the serving goroutine, which waits for a request.
		_ = c.Conn.SetReadDeadline(time.Now())
	}
}

// setActive records whether a request is being served. headerDeadline does not apply to its body, which has the time
// that the server allows.
func (c *connection) setActive(active bool) {
	if observer, observes := c.Conn.(activityObserver); observes {
		observer.SetActive(active)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active = active
	if active && !c.headerDeadline.IsZero() {
		c.headerDeadline = time.Time{}
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// setHeaderDeadline is called with the mutex held.
func (c *connection) setHeaderDeadline() {
	c.headerDeadline = time.Now().Add(headerTimeout)
	_ = c.Conn.SetReadDeadline(c.headerDeadline)
}

func (c *connection) shouldClose() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.draining && !c.active && !c.requestStarted
}

// markRequestStarted records that a request has begun to arrive; while draining, its header must be complete by
// headerDeadline.
func (c *connection) markRequestStarted() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requestStarted = true
	if c.draining && !c.active && c.headerDeadline.IsZero() {
		c.setHeaderDeadline()
	}
}

// closeUnlessArriving returns the bytes of a request that have arrived by now; if there are none, it closes the
// connection.
func (c *connection) closeUnlessArriving(content []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout)); err != nil {
		return 0, err
	}
	count, err := c.Conn.Read(content)
	switch {
	case count > 0:
		c.markRequestStarted()
		return count, err
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return 0, err
	default:
		return 0, c.sendClosingResponse()
	}
}

// sendClosingResponse announces the end of the connection and waits until the caller has closed it: closing with
// unread bytes would reset the connection and could discard the response. It returns io.EOF, as if the caller had
// closed first.
func (c *connection) sendClosingResponse() error {
	if err := c.SetDeadline(time.Now().Add(closeTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(c.Conn, closingResponse); err == nil && c.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	return io.EOF
}
