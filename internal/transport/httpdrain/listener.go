package httpdrain

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// pendingAcceptTimeout is how long a listener that is to be closed waits for one more connection. Those that have
	// been established wait for nothing.
	pendingAcceptTimeout = 5 * time.Millisecond
	// maxPendingAccepts bounds how long it accepts connections that keep coming.
	maxPendingAccepts = 100 * time.Millisecond
)

// trackingListener adds the connections that it accepts to a tracker.
//
// Invariant: once stop has returned, every connection that was accepted is tracked, and no connection that was
// established before is left without having been accepted, unless more than maxPendingAccepts were needed for that. The
// kernel resets connections that are not accepted, although their callers may have sent whole requests.
type trackingListener struct {
	net.Listener
	tracker *connectionTracker
	// serving is true once the server accepts connections, or is about to.
	serving atomic.Bool
	// stopping is set by stop: from then on only pending connections are accepted.
	stopping atomic.Bool
	// acceptUntil is the time until which they are; zero before the first attempt. The goroutine that accepts owns it.
	acceptUntil time.Time
	// ended is closed by endOnce once no connection will be accepted.
	ended   chan struct{}
	endOnce sync.Once
}

func newTrackingListener(listener net.Listener, tracker *connectionTracker) *trackingListener {
	return &trackingListener{Listener: listener, tracker: tracker, ended: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil && l.stopping.Load() {
		accepted, err = l.acceptPending(err)
	}
	if err != nil {
		return nil, err
	}
	return l.tracker.add(accepted), nil
}

// acceptPending accepts a connection that is established already. The error is net.ErrClosed if there is none, or that
// of the last accept if the listener is closed.
func (l *trackingListener) acceptPending(last error) (net.Conn, error) {
	if l.acceptUntil.IsZero() {
		l.acceptUntil = time.Now().Add(maxPendingAccepts)
	}
	if errors.Is(last, os.ErrDeadlineExceeded) && time.Now().Before(l.acceptUntil) {
		if err := l.setDeadline(time.Now().Add(pendingAcceptTimeout)); err == nil {
			accepted, err := l.Listener.Accept()
			if err == nil {
				return accepted, nil
			}
		}
	}
	l.endOnce.Do(func() { close(l.ended) })
	return nil, net.ErrClosed
}

// stop accepts the connections that are established already and closes the listener.
func (l *trackingListener) stop(ctx context.Context) error {
	l.stopping.Store(true)
	var closed error
	if !l.serving.Load() || l.setDeadline(time.Now()) != nil {
		closed = l.Close()
	}
	if l.serving.Load() {
		select {
		case <-l.ended:
		case <-ctx.Done():
		}
	}
	return errors.CombineErrors(closed, l.Close())
}

// Close implements net.Listener. It may be called more than once.
func (l *trackingListener) Close() error {
	if err := l.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "close the listener")
	}
	return nil
}

// setDeadline sets the deadline of Accept, if the listener has one.
func (l *trackingListener) setDeadline(deadline time.Time) error {
	limited, hasDeadline := l.Listener.(interface {
		SetDeadline(deadline time.Time) error
	})
	if !hasDeadline {
		return errors.ErrUnsupported
	}
	return limited.SetDeadline(deadline)
}
