package wire_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// pipeListener accepts in-memory connections.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// peer is an in-memory server that can be isolated, like a machine that loses power.
type peer struct {
	listener *pipeListener
	server   *wire.Server
	pool     *wire.Pool
	isolated atomic.Bool
	dials    atomic.Int64
}

// isolatedConnection drops written data and delivers nothing while its peer is isolated.
type isolatedConnection struct {
	net.Conn
	peer   *peer
	closed chan struct{}
}

func (c *isolatedConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if c.peer.isolated.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return count, err
}

func (c *isolatedConnection) Write(data []byte) (int, error) {
	if c.peer.isolated.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (c *isolatedConnection) Close() error {
	close(c.closed)
	return c.Conn.Close()
}

// withPeer runs a test in virtual time with a server that answers after a delay.
func withPeer(t *testing.T, answerAfter time.Duration, test func(p *peer)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		p := &peer{listener: newPipeListener()}
		p.server = wire.NewServer(p.listener,
			handlerFunc(func(ctx context.Context, request *protocol.Request, send func(*protocol.Response) error) error {
				select {
				case <-time.After(answerAfter):
					return echo(ctx, request, send)
				case <-ctx.Done():
					return ctx.Err()
				}
			}), wire.ServerOptions{Key: testKey})
		p.server.Start()
		p.pool = wire.NewPool(wire.PoolOptions{Key: testKey, Node: "test", Dial: p.dial})
		test(p)
		p.pool.Close()
		p.server.Close()
	})
}

func (p *peer) dial(ctx context.Context, _ string) (net.Conn, error) {
	p.dials.Add(1)
	if p.isolated.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	here, there := net.Pipe()
	p.listener.connections <- there
	return &isolatedConnection{Conn: here, peer: p, closed: make(chan struct{})}, nil
}

func TestPoweredOffPeerIsDetectedInLessThanASecond(t *testing.T) {
	withPeer(t, time.Hour, func(p *peer) {
		go func() {
			<-time.After(10 * time.Second)
			p.isolated.Store(true)
		}()
		<-time.After(10 * time.Second)
		synctest.Wait()
		start := time.Now()
		_, err := p.pool.Call(context.Background(), "peer", explainRequest("x"))
		var notSent *wire.NotSentError
		if !errors.As(err, &notSent) || time.Since(start) > time.Second {
			t.Fatalf("dialing a powered-off peer: got %v after %s, want a *NotSentError within 1s", err, time.Since(start))
		}
	})
	withPeer(t, time.Hour, func(p *peer) {
		go func() {
			<-time.After(100 * time.Millisecond)
			p.isolated.Store(true)
		}()
		start := time.Now()
		_, err := p.pool.Call(context.Background(), "peer", explainRequest("x"))
		var unresponsive *wire.UnresponsivePeerError
		if !errors.As(err, &unresponsive) || time.Since(start) > time.Second {
			t.Fatalf(
				"calling a peer that lost power: got %v after %s, want an *UnresponsivePeerError within 1s",
				err, time.Since(start),
			)
		}
	})
}

func TestPeerThatAnswersSlowlyCountsAsResponsive(t *testing.T) {
	withPeer(t, 20*time.Second, func(p *peer) {
		if _, err := p.pool.Call(context.Background(), "peer", explainRequest("x")); err != nil {
			t.Fatal(err)
		}
		if frames := p.pool.Counters().SentFrames.Load(); frames > 50 {
			t.Fatalf("%d frames sent for one call with a late answer, want at most 50", frames)
		}
	})
}

func TestCallWaitsForASharedDialNoLongerThanItsOwnDeadline(t *testing.T) {
	withPeer(t, 0, func(p *peer) {
		p.isolated.Store(true)
		go func() { _, _ = p.pool.Call(context.Background(), "peer", explainRequest("x")) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		if _, err := p.pool.Call(ctx, "peer", explainRequest("y")); !errors.Is(err, context.DeadlineExceeded) ||
			time.Since(start) > 60*time.Millisecond {
			t.Fatalf("got %v after %s, want the deadline exceeded after 50ms", err, time.Since(start))
		}
		if p.dials.Load() != 1 {
			t.Fatalf("got %d dials, want 1 shared by both calls", p.dials.Load())
		}
	})
}
