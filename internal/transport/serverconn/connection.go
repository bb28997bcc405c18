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
	source  *boundedSource
	reader  *bufio.Reader
	expires time.Time
}

func newConnection(address string, opened net.Conn) *connection {
	source := &boundedSource{from: opened}
	return &connection{address: address, Conn: opened, source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
}

// boundedSource reads from a connection, up to a bound while there is one.
type boundedSource struct {
	from    io.Reader
	bounded bool
	left    int64
	// exceeded is set once more than the bound was asked for: readers of lines hide the error of a line cut short.
	exceeded bool
}

// bound lets so many more bytes be read before a *HeadTooLargeError.
func (s *boundedSource) bound(limit int64) { s.bounded, s.left = true, limit }

// unbound lets any number of bytes be read.
func (s *boundedSource) unbound() { s.bounded = false }

// Read implements io.Reader.
func (s *boundedSource) Read(buffer []byte) (int, error) {
	if !s.bounded {
		return s.from.Read(buffer)
	}
	if s.left <= 0 {
		s.exceeded = true
		return 0, &HeadTooLargeError{Limit: MaxHeadBytes}
	}
	count, err := s.from.Read(buffer[:min(int64(len(buffer)), s.left)])
	s.left -= int64(count)
	return count, err
}

// unreadTeller is a connection that is no socket and tells itself whether something has arrived that was not read.
type unreadTeller interface{ HasUnread() bool }

func (c *connection) close() { _ = c.Close() }

// isClean reports whether nothing has arrived on a resting connection: neither
// its end nor bytes that belong to no request.
func (c *connection) isClean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if simulated, isSimulated := c.Conn.(unreadTeller); isSimulated {
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
