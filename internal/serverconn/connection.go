package serverconn

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const readBufferBytes = 4 << 10

// connection is one connection to a server; one exchange uses it at a time.
type connection struct {
	address string
	net.Conn
	reader  *bufio.Reader
	expires time.Time
}

func newConnection(address string, opened net.Conn) *connection {
	return &connection{address: address, Conn: opened, reader: bufio.NewReaderSize(opened, readBufferBytes)}
}

func (c *connection) close() { _ = c.Close() }

// isClean reports whether nothing has arrived on a resting connection: neither
// its end nor bytes that belong to no request.
func (c *connection) isClean() bool {
	if c.reader.Buffered() > 0 {
		return false
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
