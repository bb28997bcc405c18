// Package relay forwards the connections between the processes of a fleet and can
// partition any two of them. A partitioned link delays bytes as a broken network
// does, in one direction or both, until it heals.
package relay

import (
	"context"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Link is one direction between two processes; an empty name stands for any process.
type Link struct{ From, To string }

// state is immutable; each change replaces it.
type state struct {
	partitions map[Link]bool
	changed    chan struct{}
}

// Network is the set of relays of one fleet.
type Network struct {
	state atomic.Pointer[state]
	// identify names the process that opened a connection from an address.
	identify func(source net.Addr) string
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

const (
	bufferBytes = 32 << 10
	dialTimeout = 2 * time.Second
)

// NewNetwork makes a network without partitions. Identify names the process behind a
// source address; an unknown one is the empty name.
func NewNetwork(identify func(source net.Addr) string) *Network {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Network{identify: identify, ctx: ctx, cancel: cancel}
	n.state.Store(&state{partitions: map[Link]bool{}, changed: make(chan struct{})})
	return n
}

// SetPartition partitions or heals links. It must not be called concurrently.
func (n *Network) SetPartition(partitioned bool, links ...Link) {
	former := n.state.Load()
	next := &state{partitions: maps.Clone(former.partitions), changed: make(chan struct{})}
	for _, link := range links {
		if partitioned {
			next.partitions[link] = true
		} else {
			delete(next.partitions, link)
		}
	}
	n.state.Store(next)
	close(former.changed)
}

func (s *state) partitioned(link Link) bool {
	return s.partitions[link] || s.partitions[Link{From: link.From}] || s.partitions[Link{To: link.To}]
}

// wait returns when the link is not partitioned, or an error when the context ended first.
func (n *Network) wait(ctx context.Context, link Link) error {
	for {
		current := n.state.Load()
		if !current.partitioned(link) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for link")
		case <-current.changed:
		}
	}
}

// Relay accepts connections for the process of that name and forwards them to its target address, until Close.
func (n *Network) Relay(listener net.Listener, name, target string) {
	n.running.Go(func() {
		<-n.ctx.Done()
		_ = listener.Close()
	})
	n.running.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			n.running.Go(func() { n.pass(connection, name, target) })
		}
	})
}

// Close ends all relays and their connections.
func (n *Network) Close() {
	n.cancel()
	n.running.Wait()
}

// pass carries one connection until either end closes it.
func (n *Network) pass(near net.Conn, name, target string) {
	defer func() { _ = near.Close() }()
	source := n.identify(near.RemoteAddr())
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	forth := Link{From: source, To: name}
	if n.wait(ctx, forth) != nil {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	far, err := dialer.DialContext(ctx, "tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	stop := context.AfterFunc(ctx, func() {
		_ = near.Close()
		_ = far.Close()
	})
	defer stop()
	var both errgroup.Group
	both.Go(func() error {
		defer cancel()
		return n.carry(ctx, near, far, forth)
	})
	both.Go(func() error {
		defer cancel()
		return n.carry(ctx, far, near, Link{From: name, To: source})
	})
	_ = both.Wait()
}

func (n *Network) carry(ctx context.Context, from, to net.Conn, link Link) error {
	buffer := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if err := n.wait(ctx, link); err != nil {
				return err
			}
			if _, err := to.Write(buffer[:count]); err != nil {
				return errors.Wrap(err, "write")
			}
		}
		if err != nil {
			// The end of a connection does not cross a partitioned link either.
			return errors.CombineErrors(errors.Wrap(err, "read"), n.wait(ctx, link))
		}
	}
}
