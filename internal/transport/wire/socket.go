package wire

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// userTimeoutMillis is how long, in milliseconds, the kernel keeps a connection whose peer does not acknowledge what
// was sent.
const userTimeoutMillis = 2000

// setUserTimeout makes the kernel end a connection to a powered-off machine. It is
// only a fallback for the pings, so its errors are ignored.
func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	return connection.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis)
	})
}
