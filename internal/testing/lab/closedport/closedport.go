// Package closedport reserves TCP ports of loopback on which nobody listens. The port of a closed listener may be given
// to the next process that binds one; a reserved port refuses every connection until it is released.
package closedport

import (
	"net"
	"os"
	"strconv"
	"syscall"

	"github.com/cockroachdb/errors"
)

const loopback = "127.0.0.1"

// Port is a reserved port.
type Port struct {
	descriptor int
	number     int
}

// Reserve reserves a free port. The caller must release it.
func Reserve() (*Port, error) {
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(os.NewSyscallError("socket", err), "hold a port")
	}
	number, err := bind(descriptor)
	if err != nil {
		_ = syscall.Close(descriptor)
		return nil, errors.Wrap(err, "hold a port")
	}
	return &Port{descriptor: descriptor, number: number}, nil
}

// bind gives a socket a free port and returns its number.
func bind(descriptor int) (int, error) {
	address := &syscall.SockaddrInet4{Addr: [4]byte(net.ParseIP(loopback).To4())}
	if err := syscall.Bind(descriptor, address); err != nil {
		return 0, os.NewSyscallError("bind", err)
	}
	bound, err := syscall.Getsockname(descriptor)
	if err != nil {
		return 0, os.NewSyscallError("getsockname", err)
	}
	return bound.(*syscall.SockaddrInet4).Port, nil
}

// Address is the host and port at which connections are refused.
func (p *Port) Address() string { return net.JoinHostPort(loopback, strconv.Itoa(p.number)) }

// Release gives the port back.
func (p *Port) Release() error {
	return errors.Wrap(os.NewSyscallError("close", syscall.Close(p.descriptor)), "release a port")
}
