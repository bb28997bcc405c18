package simulatednode

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// memoryNetwork connects the simulated nodes of this process with each other
// without sockets, of which a process may not have as many as they would need:
// each of 330 nodes may be connected to all others. The bytes are those that
// would go over the network.
type memoryNetwork struct {
	// listeners is filled before the first dial and not changed after it.
	listeners map[string]*memoryListener
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: map[string]*memoryListener{}}
}

// UnreachableError says that no simulated node listens at an address.
type UnreachableError struct{ Address string }

// Error implements error.
func (e *UnreachableError) Error() string { return "no simulated node listens at " + e.Address }

// listen gives the next node an address of its own. Nothing else listens there.
func (m *memoryNetwork) listen() *memoryListener {
	const nodesPerBlock = 250
	number := len(m.listeners)
	address := &net.TCPAddr{IP: net.IPv4(127, 1, byte(number/nodesPerBlock), byte(number%nodesPerBlock+1)), Port: 1}
	listener := &memoryListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	m.listeners[address.String()] = listener
	return listener
}

// dial connects to a simulated node.
func (m *memoryNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	listener := m.listeners[address]
	if listener == nil {
		return nil, &UnreachableError{Address: address}
	}
	near, far := net.Pipe()
	select {
	case listener.accepted <- far:
		return near, nil
	case <-listener.closed:
		return nil, &UnreachableError{Address: address}
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "dial %s", address)
	}
}

// memoryListener implements net.Listener.
type memoryListener struct {
	address  *net.TCPAddr
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept waits for the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener; connections stay.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr is the made-up address of the node.
func (l *memoryListener) Addr() net.Addr { return l.address }
