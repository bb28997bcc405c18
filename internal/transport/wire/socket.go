package wire

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// unacknowledgedMillis is how long the kernel keeps a connection whose peer does not acknowledge what was sent.
const unacknowledgedMillis = 2000

// boundUnacknowledged has the kernel end a connection to a machine without power.
// It is a bound behind the pings; a kernel that refuses it is no fault.
func boundUnacknowledged(_, _ string, connection syscall.RawConn) error {
	return connection.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, unacknowledgedMillis)
	})
}
