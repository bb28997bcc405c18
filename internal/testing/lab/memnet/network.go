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
	Min, Max time.Duration
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
	partitions  map[link]bool
	// inboundPartitions are hosts that receive nothing, outboundPartitions hosts whose bytes reach nobody.
	inboundPartitions, outboundPartitions map[string]bool
	// poweredOff hosts have no power.
	poweredOff map[string]bool
	nextPort   int
	// closed is set once nobody can connect any more.
	closed bool
}

// firstPort is the first port that is given for port 0.
const firstPort = 20_000

// New makes a network without hosts; latencies are drawn from random.
func New(random *rand.Rand, latency Latency) *Network {
	return &Network{
		latency: latency, random: random, listeners: map[string]*listener{}, connections: map[*connection]struct{}{},
		partitions: map[link]bool{}, inboundPartitions: map[string]bool{}, outboundPartitions: map[string]bool{},
		poweredOff: map[string]bool{}, nextPort: firstPort,
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
	return !n.partitions[link{from, to}] && !n.outboundPartitions[from] && !n.inboundPartitions[to] &&
		!n.poweredOff[from] && !n.poweredOff[to]
}

// delay draws the time that bytes take one way; the mutex is held.
func (n *Network) delay() time.Duration {
	spread := n.latency.Max - n.latency.Min
	if spread <= 0 {
		return n.latency.Min
	}
	return n.latency.Min + time.Duration(n.random.Int64N(int64(spread)))
}

// SetPartition delays, or delivers again, what one host sends to another.
func (n *Network) SetPartition(from, to string, partitioned bool) {
	n.change(func() { n.partitions[link{from, to}] = partitioned })
}

// Isolate sets the partitions between a host and all others, by direction. What is delayed arrives afterwards.
func (n *Network) Isolate(host string, inboundPartition, outboundPartition bool) {
	n.change(func() { n.inboundPartitions[host], n.outboundPartitions[host] = inboundPartition, outboundPartition })
}

// HealAll ends all partitions. Hosts without power stay as they are.
func (n *Network) HealAll() {
	n.change(func() {
		clear(n.partitions)
		clear(n.inboundPartitions)
		clear(n.outboundPartitions)
	})
}

// Crash ends the process of a host: its listeners close, and its peers are notified that their connections ended as
// soon as they are reachable. What it had sent before arrives.
func (n *Network) Crash(host string) {
	n.change(func() { n.endAll(host, func(c *connection) { c.endByCrash() }) })
}

// Reset resets all connections of a host whose process continues.
func (n *Network) Reset(host string) {
	n.change(func() {
		for c := range n.connections {
			if c.local == host || c.peer.local == host {
				c.endByReset()
			}
		}
	})
}

// LosePower ends the process of a host without notice to its peers.
func (n *Network) LosePower(host string) {
	n.change(func() {
		n.poweredOff[host] = true
		n.endAll(host, func(c *connection) { c.endByPowerLoss() })
	})
}

// PowerOn brings a host back; peers with a connection to its former incarnation are notified that it ended.
func (n *Network) PowerOn(host string) {
	n.change(func() {
		delete(n.poweredOff, host)
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

// change applies a change under the mutex and wakes all readers.
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
			// An opening packet without an answer is repeated until the context ends.
			wait = dialRetryInterval
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

// dialRetryInterval is the time between two opening packets.
const dialRetryInterval = 100 * time.Millisecond

// connect makes a connection to the listener of an address.
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
