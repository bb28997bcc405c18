package serverconn

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"time"
)

const readBufferBytes = 4 << 10

// connection is one connection to a server; one exchange uses it at a time.
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

// boundedReader reads from a connection, up to a bound while there is one.
type boundedReader struct {
	source io.Reader
	active bool
	left   int64
	// exceeded is set once more than the bound was requested: readers of lines hide the error of a truncated line.
	exceeded bool
}

// bound allows so many more bytes before a *HeadTooLargeError.
func (s *boundedReader) bound(limit int64) { s.active, s.left = true, limit }

// unbound removes the bound.
func (s *boundedReader) unbound() { s.active = false }

// Read implements io.Reader.
func (s *boundedReader) Read(buffer []byte) (int, error) {
	if !s.active {
		return s.source.Read(buffer)
	}
	if s.left <= 0 {
		s.exceeded = true
		return 0, &HeadTooLargeError{Limit: MaxHeadBytes}
	}
	count, err := s.source.Read(buffer[:min(int64(len(buffer)), s.left)])
	s.left -= int64(count)
	return count, err
}

// unreadChecker is a connection that is not a socket and reports itself whether unread bytes have arrived.
type unreadChecker interface{ HasUnread() bool }

func (c *connection) close() { _ = c.Close() }

// isClean reports whether nothing has arrived on an idle connection: neither
// its end nor bytes that do not belong to a request.
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
