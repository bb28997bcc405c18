package httpguard

import (
	"bytes"
	"container/list"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/transport/memorybudget"
)

const (
	// A head costs so much memory for each byte and each line: the parsed headers, the message that forwards them and
	// the buffers of both.
	headBytesPerByte = 3
	headBytesPerLine = 320
	// readBufferBytes is the size of the buffer through which net/http reads a head.
	readBufferBytes = 4 << 10
	// headSlackBytes is what the reads of a head may count too much: the beginning of the body behind it, and white
	// space that a parser drops.
	headSlackBytes = 2 * readBufferBytes

	// finalReadTimeout is how long a read whose deadline has passed waits for bytes that have already arrived.
	finalReadTimeout = time.Millisecond
	// A connection that is refused is read for so long and so far, since closing it with unread bytes would reset it
	// and could discard the answer.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10

	// refusedRetryAfter is answered with a refusal for want of memory, in seconds.
	refusedRetryAfter = "0.5"
)

// pastDeadline ends a read at once.
var pastDeadline = time.Unix(1, 0)

// connection is a client's connection. The goroutine that serves it reads; SetActive, SetReadDeadline and the eviction
// may come from others.
type connection struct {
	net.Conn
	listener *Listener
	account  *memorybudget.Account

	// The listener's mutex guards element, the place among the connections that rest, and uncounted, which is true once
	// the connection does not count as open.
	element   *list.Element
	uncounted bool

	// The serving goroutine owns the fields of the head that arrives.
	headBytes int
	// lineTail is how many lines the last read held that may belong to the next head.
	lineTail int
	// lingers is true from when the connection was refused until it is closed.
	lingers atomic.Bool

	// mutex guards the fields below.
	mutex sync.Mutex
	// active is true from when a head was read until its request is answered.
	active bool
	// restingSince is when the connection was accepted or its last request answered, headSince when the first byte of a
	// head arrived; zero before.
	restingSince time.Time
	headSince    time.Time
	// serverDeadline is the read deadline that the server has set.
	serverDeadline time.Time
	evicted        bool
}

// Read implements net.Conn. While a head arrives, it keeps to the limits and accounts for what it returns.
func (c *connection) Read(content []byte) (int, error) {
	if c.isActive() {
		return c.readActive(content)
	}
	limits := c.listener.options.Limits()
	count, err := c.readWithin(content, limits)
	if count == 0 {
		return 0, c.resultOf(err)
	}
	if failure := c.accountHead(content[:count], limits); failure != nil {
		return 0, failure
	}
	return count, err
}

// readActive reads a body, or what follows it.
func (c *connection) readActive(content []byte) (int, error) {
	count, err := c.Conn.Read(content)
	c.lineTail = linesIn(content[:count])
	c.account.RecordProgress(int64(count))
	if c.isEvicted() {
		return 0, &memorybudget.EvictedError{}
	}
	return count, err
}

// linesIn counts the lines in the part of a read that the server's buffer may keep for the next head.
func linesIn(content []byte) int {
	return bytes.Count(content[max(0, len(content)-readBufferBytes):], []byte{'\n'})
}

// readWithin reads until the deadline of the limits. A deadline that has passed does not keep it from reading what has
// already arrived.
func (c *connection) readWithin(content []byte, limits Limits) (int, error) {
	deadline := c.applyDeadline(limits)
	count, err := c.Conn.Read(content)
	if count > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || deadline.IsZero() || time.Now().Before(deadline) {
		return count, err
	}
	if c.isEvicted() || c.isServerDeadlineOver() {
		return 0, err
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(content)
}

// applyDeadline sets the earlier one of the deadlines of the server and of the limits, and returns that of the limits.
func (c *connection) applyDeadline(limits Limits) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var deadline time.Time
	switch {
	case !c.headSince.IsZero() && limits.HeaderTimeout > 0:
		deadline = c.headSince.Add(limits.HeaderTimeout)
	case c.headSince.IsZero() && limits.IdleTimeout > 0:
		deadline = c.restingSince.Add(limits.IdleTimeout)
	}
	if !c.evicted {
		_ = c.Conn.SetReadDeadline(earlier(deadline, c.serverDeadline))
	}
	return deadline
}

// earlier returns the earlier one of two deadlines, of which a zero one is none.
func earlier(one, other time.Time) time.Time {
	if one.IsZero() || !other.IsZero() && other.Before(one) {
		return other
	}
	return one
}

// resultOf returns what a read without bytes ends with. A client that has begun a head is told that it was not run.
func (c *connection) resultOf(err error) error {
	switch {
	case c.isEvicted():
		return c.refuse(http.StatusServiceUnavailable)
	case errors.Is(err, os.ErrDeadlineExceeded) && !c.isServerDeadlineOver() && c.hasBegunHead():
		return c.refuse(http.StatusRequestTimeout)
	default:
		return err
	}
}

// accountHead adds what has arrived of a head to the account. It returns an error once the connection was refused.
func (c *connection) accountHead(content []byte, limits Limits) error {
	lines := bytes.Count(content, []byte{'\n'})
	if c.beginHead() {
		c.headBytes = 0
		c.account.AllowEviction(c.evict)
		// What the last read held beyond its request is the beginning of this head.
		lines += c.lineTail
	}
	c.headBytes += len(content)
	if limits.MaxHeadBytes > 0 && c.headBytes > limits.MaxHeadBytes+headSlackBytes {
		return c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	}
	c.account.RecordProgress(int64(len(content)))
	if err := c.grow(int64(len(content)*headBytesPerByte+lines*headBytesPerLine), limits); err != nil {
		return c.refuse(http.StatusServiceUnavailable)
	}
	c.lineTail = linesIn(content)
	return nil
}

// grow waits for memory as long as a head may take.
func (c *connection) grow(bytes int64, limits Limits) error {
	if c.account.TryGrow(bytes) {
		return nil
	}
	ctx := context.Background()
	if limits.HeaderTimeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, limits.HeaderTimeout)
		defer cancel()
		ctx = bounded
	}
	return c.account.Grow(ctx, bytes)
}

// beginHead records that a head arrives; it reports whether it has just begun.
func (c *connection) beginHead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.headSince.IsZero() {
		return false
	}
	c.headSince = time.Now()
	return true
}

// refuse answers a request that has not arrived completely and returns io.EOF, as if the client had closed the
// connection. Close then leaves the client time to do so.
func (c *connection) refuse(status int) error {
	if err := c.Conn.SetDeadline(time.Now().Add(lingerTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(c.Conn, refusal(status)); err == nil && c.CloseWrite() == nil {
		c.lingers.Store(true)
	}
	return io.EOF
}

// refusal is an answer after which the connection is closed.
func refusal(status int) string {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: " + refusedRetryAfter + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status,
		http.StatusText(status), retry)
}

// evict ends the reading of a request for the benefit of others.
func (c *connection) evict() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.evicted = true
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

func (c *connection) isEvicted() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.evicted
}

func (c *connection) isActive() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.active
}

func (c *connection) hasBegunHead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.headSince.IsZero()
}

func (c *connection) isServerDeadlineOver() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.serverDeadline.IsZero() && !time.Now().Before(c.serverDeadline)
}

// SetActive records that a head was read, or that its request is answered. The server calls it by its ConnState hook.
func (c *connection) SetActive(active bool) {
	if active {
		c.listener.work(c)
		c.account.ForbidEviction()
	} else {
		c.account.Release()
		c.listener.rest(c)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active = active
	c.headSince, c.restingSince = time.Time{}, time.Now()
	if active && !c.evicted {
		_ = c.Conn.SetReadDeadline(c.serverDeadline)
	}
}

// SetReadDeadline implements net.Conn for the server, whose deadlines count beside those of the limits.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.serverDeadline = deadline
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(deadline time.Time) error {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return c.SetReadDeadline(deadline)
}

// CloseWrite closes the connection for writing only, if its kind supports that.
func (c *connection) CloseWrite() error {
	if halfCloser, supported := c.Conn.(interface{ CloseWrite() error }); supported {
		return halfCloser.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. Of a refused connection it discards in the background what still arrives, for a short
// while; the memory of its request is free at once.
func (c *connection) Close() error {
	c.account.Release()
	if !c.lingers.Swap(false) {
		c.listener.remove(c)
		return c.Conn.Close()
	}
	go func() {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
		c.listener.remove(c)
		_ = c.Conn.Close()
	}()
	return nil
}
