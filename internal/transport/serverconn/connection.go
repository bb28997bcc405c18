package serverconn

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"time"
)

const readBufferBytes = 4 << 10

// connection is a connection to a server. At most one exchange uses it at a time.
type connection struct {
	address string
	net.Conn
	bounded *boundedReader
	reader  *bufio.Reader
	expires time.Time
}

func newConnection(address string, opened net.Conn) *connection {
	source := &boundedReader{source: opened}
	return &connection{
		address: address, Conn: opened, bounded: source, reader: bufio.NewReaderSize(source, readBufferBytes),
	}
}

// boundedReader reads from a connection, and limits the number of bytes read while a bound is active.
type boundedReader struct {
	source io.Reader
	active bool
	left   int64
	// exceeded is set once more bytes than the bound were requested. It is needed because parsers that read lines may
	// hide the error at a truncated line.
	exceeded bool
}

// bound limits the bytes that may be read from now on; reading more returns a *HeadTooLargeError.
func (b *boundedReader) bound(limit int64) { b.active, b.left = true, limit }

// unbound removes the bound.
func (b *boundedReader) unbound() { b.active = false }

// Read implements io.Reader.
func (b *boundedReader) Read(buffer []byte) (int, error) {
	if !b.active {
		return b.source.Read(buffer)
	}
	if b.left <= 0 {
		b.exceeded = true
		return 0, &HeadTooLargeError{Limit: MaxHeadBytes}
	}
	count, err := b.source.Read(buffer[:min(int64(len(buffer)), b.left)])
	b.left -= int64(count)
	return count, err
}

// unreadChecker is implemented by simulated connections, which are not sockets, to report whether unread bytes have
// arrived.
type unreadChecker interface{ HasUnread() bool }

func (c *connection) close() { _ = c.Close() }

// isClean reports whether an idle connection is still open and no unread bytes
// have arrived on it.
func (c *connection) isClean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if simulated, isSimulated := c.Conn.(unreadChecker); isSimulated {
		return !simulated.HasUnread()
	}
	raw, isSocket := c.Conn.(syscall.Conn)
	if !isSocket {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = err == syscall.EAGAIN || err == syscall.EINTR
		return true
	})
	return err == nil && clean
}
