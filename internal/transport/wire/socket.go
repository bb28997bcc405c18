package wire

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// userTimeoutMillis is how long, in milliseconds, the kernel keeps a connection whose peer does not acknowledge what
// was sent.
const userTimeoutMillis = 2000

// setUserTimeout has the kernel end a connection to a machine without power.
// It only backs the pings up, so that its errors are ignored.
func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	return connection.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis)
	})
}
