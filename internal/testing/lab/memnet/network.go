package memnet

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// Latency bounds the time that bytes take one way.
type Latency struct {
	Least, Most time.Duration
}

// link is one direction between two hosts.
type link struct{ from, to string }

// Network connects the hosts of one process. It may be used from any goroutine.
type Network struct {
	latency Latency

	mutex     sync.Mutex
	random    *rand.Rand
	listeners map[string]*listener
	// connections are those that no side has closed.
	connections map[*connection]struct{}
	cut         map[link]bool
	// deaf hosts hear nobody, mute ones reach nobody.
	deaf, mute map[string]bool
	// dark hosts have no power.
	dark     map[string]bool
	nextPort int
	// closed is set once nobody can connect any more.
	closed bool
}

// firstPort is the first port that is given to who asks for any.
const firstPort = 20_000

// New makes a network without hosts; latencies are drawn from random.
func New(random *rand.Rand, latency Latency) *Network {
	return &Network{
		latency: latency, random: random, listeners: map[string]*listener{}, connections: map[*connection]struct{}{},
		cut: map[link]bool{}, deaf: map[string]bool{}, mute: map[string]bool{}, dark: map[string]bool{}, nextPort: firstPort,
	}
}

// hostOf gives the host of an address.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// passes reports whether bytes of a host reach another one now; the mutex is held.
func (n *Network) passes(from, to string) bool {
	if from == to {
		return true
	}
	return !n.cut[link{from, to}] && !n.mute[from] && !n.deaf[to] && !n.dark[from] && !n.dark[to]
}

// delay draws the time that bytes take one way; the mutex is held.
func (n *Network) delay() time.Duration {
	spread := n.latency.Most - n.latency.Least
	if spread <= 0 {
		return n.latency.Least
	}
	return n.latency.Least + time.Duration(n.random.Int64N(int64(spread)))
}

// Cut holds back, or passes on again, what one host sends to another.
func (n *Network) Cut(from, to string, isCut bool) {
	n.change(func() { n.cut[link{from, to}] = isCut })
}

// Isolate sets whether a host hears others (deaf) and is heard by them (mute). What is held back arrives afterwards.
func (n *Network) Isolate(host string, deaf, mute bool) {
	n.change(func() { n.deaf[host], n.mute[host] = deaf, mute })
}

// HealAll ends all cuts and isolations. Hosts without power stay as they are.
func (n *Network) HealAll() {
	n.change(func() {
		clear(n.cut)
		clear(n.deaf)
		clear(n.mute)
	})
}

// Kill ends the process of a host: its listeners close, and its peers learn that their connections ended, as soon as they
// are reached. What it had sent before arrives.
func (n *Network) Kill(host string) {
	n.change(func() { n.endAll(host, func(c *connection) { c.endByKill() }) })
}

// Reset breaks all connections of a host whose process goes on.
func (n *Network) Reset(host string) {
	n.change(func() {
		for c := range n.connections {
			if c.local == host || c.peer.local == host {
				c.endByReset()
			}
		}
	})
}

// LosePower ends the process of a host without a word to its peers.
func (n *Network) LosePower(host string) {
	n.change(func() {
		n.dark[host] = true
		n.endAll(host, func(c *connection) { c.endByPowerLoss() })
	})
}

// PowerOn brings a host back; peers that still hold a connection to its former life learn that it ended.
func (n *Network) PowerOn(host string) {
	n.change(func() {
		delete(n.dark, host)
		for c := range n.connections {
			if c.peer.local == host && c.peer.lostPower {
				c.endByReset()
			}
		}
	})
}

// Close ends every connection and listener.
func (n *Network) Close() {
	n.change(func() {
		n.closed = true
		for _, each := range n.listeners {
			n.closeListener(each)
		}
		for c := range n.connections {
			c.endByReset()
		}
	})
}

// endAll closes the listeners of a host and ends its connections; the mutex is held.
func (n *Network) endAll(host string, end func(*connection)) {
	for _, each := range n.listeners {
		if each.host == host {
			n.closeListener(each)
		}
	}
	for c := range n.connections {
		if c.local == host {
			end(c)
		}
	}
}

// change makes a change under the mutex and wakes everybody who waits for bytes.
func (n *Network) change(change func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change()
	for c := range n.connections {
		c.wake()
	}
}

// Dialer gives the way in which processes of a host open connections.
func (n *Network) Dialer(host string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) { return n.dial(ctx, host, address) }
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	failed := func(cause error) error {
		return &net.OpError{Op: "dial", Net: networkName, Addr: parse(address), Err: cause}
	}
	for {
		n.mutex.Lock()
		reached := n.closed || n.passes(from, hostOf(address)) && n.passes(hostOf(address), from)
		wait := n.delay() + n.delay()
		n.mutex.Unlock()
		if !reached {
			// An opening packet that nobody answers is repeated until the caller gives up.
			wait = dialRepeat
		}
		select {
		case <-ctx.Done():
			return nil, failed(ctx.Err())
		case <-time.After(wait):
		}
		if !reached {
			continue
		}
		near, found := n.connect(from, address)
		if !found {
			return nil, failed(syscall.ECONNREFUSED)
		}
		return near, nil
	}
}

// dialRepeat is the pause between two opening packets.
const dialRepeat = 100 * time.Millisecond

// connect makes a connection to who listens at an address.
func (n *Network) connect(from, address string) (*connection, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	accepting := n.listeners[address]
	if accepting == nil || n.closed {
		return nil, false
	}
	n.nextPort++
	near, far := n.pair(&net.TCPAddr{IP: net.ParseIP(from), Port: n.nextPort}, parse(address))
	accepting.take(far)
	return near, true
}
