package memnet

import (
	"net"
	"strconv"
	"sync"
	"syscall"
)

const networkName = "tcp"

// listener implements net.Listener.
type listener struct {
	network *Network
	host    string
	address *net.TCPAddr
	once    sync.Once
	closed  chan struct{}
	// arrived is signalled when connections wait; the network's mutex guards them.
	arrived chan struct{}
	waiting []*connection
}

var _ net.Listener = (*listener)(nil)

// Listen takes connections at an address; port 0 stands for any.
func (n *Network) Listen(address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if port == "0" {
		n.nextPort++
		port = strconv.Itoa(n.nextPort)
	}
	address = net.JoinHostPort(host, port)
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: networkName, Addr: parse(address), Err: syscall.EADDRINUSE}
	}
	opened := &listener{
		network: n, host: host, address: parse(address), closed: make(chan struct{}), arrived: make(chan struct{}, 1),
	}
	n.listeners[address] = opened
	return opened, nil
}

func parse(address string) *net.TCPAddr {
	host, text, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(text)
	return &net.TCPAddr{IP: net.ParseIP(host), Port: port}
}

// take queues a connection; the network's mutex is held.
func (l *listener) take(opened *connection) {
	l.waiting = append(l.waiting, opened)
	select {
	case l.arrived <- struct{}{}:
	default:
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if next := l.next(); next != nil {
			return next, nil
		}
		select {
		case <-l.closed:
			return nil, &net.OpError{Op: "accept", Net: networkName, Addr: l.address, Err: net.ErrClosed}
		case <-l.arrived:
		}
	}
}

func (l *listener) next() *connection {
	l.network.mutex.Lock()
	defer l.network.mutex.Unlock()
	if len(l.waiting) == 0 {
		return nil
	}
	first := l.waiting[0]
	l.waiting = l.waiting[1:]
	return first
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.network.mutex.Lock()
	defer l.network.mutex.Unlock()
	l.network.closeListener(l)
	return nil
}

// closeListener resets the waiting connections and rejects further ones; the mutex is held.
func (n *Network) closeListener(l *listener) {
	if n.listeners[l.address.String()] == l {
		delete(n.listeners, l.address.String())
	}
	l.once.Do(func() { close(l.closed) })
	for _, each := range l.waiting {
		each.endByCrash()
	}
	l.waiting = nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }
