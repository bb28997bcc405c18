package httpguard

import (
	"container/list"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/transport/memorybudget"
)

// Limits bound the requests of clients. A zero field sets no limit.
type Limits struct {
	// MaxHeadBytes is the maximum size of a request line and its headers.
	MaxHeadBytes int
	// HeaderTimeout is how long a head may take from its first byte on.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be open without a request.
	IdleTimeout time.Duration
}

// Options configure a Listener.
type Options struct {
	// Budget accounts for the memory of the requests; nil sets no limit.
	Budget *memorybudget.Budget
	// Limits returns the limits in force.
	Limits func() Limits
	// MaxOpen is the maximum number of open connections; zero sets no limit.
	MaxOpen int
}

// Listener accepts connections that are guarded. It is safe for concurrent use.
type Listener struct {
	net.Listener
	options Options

	// mutex guards the fields below; it is locked after that of a connection.
	mutex sync.Mutex
	open  int
	// resting are the connections without a request that is being served, the one that rests longest first.
	resting *list.List
}

// NewListener returns a listener that guards the connections of another one.
func NewListener(listener net.Listener, options Options) *Listener {
	return &Listener{Listener: listener, options: options, resting: list.New()}
}

// Accept implements net.Listener. Where too many connections are open, it closes the one that has rested longest, or
// the new one if none rests.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if guarded := l.admit(accepted); guarded != nil {
			return guarded, nil
		}
		_ = accepted.Close()
	}
}

// SetDeadline sets the deadline of Accept. The error is errors.ErrUnsupported if the wrapped listener has none.
func (l *Listener) SetDeadline(deadline time.Time) error {
	limited, hasDeadline := l.Listener.(interface {
		SetDeadline(deadline time.Time) error
	})
	if !hasDeadline {
		return errors.ErrUnsupported
	}
	return limited.SetDeadline(deadline)
}

// admit returns a guarded connection, or nil if there is no place for it.
func (l *Listener) admit(accepted net.Conn) *connection {
	l.mutex.Lock()
	victim, full := l.makePlace()
	if full {
		l.mutex.Unlock()
		return nil
	}
	l.open++
	guarded := &connection{
		Conn: accepted, listener: l, account: l.options.Budget.Open(), restingSince: time.Now(),
	}
	guarded.element = l.resting.PushBack(guarded)
	l.mutex.Unlock()
	if victim != nil {
		_ = victim.Conn.Close()
	}
	return guarded
}

// makePlace selects a connection to close where as many as may be are open; full is true if there is none. Its place
// counts as free at once, since its descriptor is closed before the next accept.
func (l *Listener) makePlace() (victim *connection, full bool) {
	if l.options.MaxOpen == 0 || l.open < l.options.MaxOpen {
		return nil, false
	}
	front := l.resting.Front()
	if front == nil {
		return nil, true
	}
	victim = front.Value.(*connection)
	l.resting.Remove(front)
	victim.element = nil
	l.open--
	victim.uncounted = true
	return victim, false
}

// rest puts a connection behind the others that rest.
func (l *Listener) rest(c *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if c.element == nil && !c.uncounted {
		c.element = l.resting.PushBack(c)
	}
}

// work takes a connection out of those that rest.
func (l *Listener) work(c *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.removeResting(c)
}

func (l *Listener) removeResting(c *connection) {
	if c.element != nil {
		l.resting.Remove(c.element)
		c.element = nil
	}
}

// remove ends the count of a closed connection.
func (l *Listener) remove(c *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.removeResting(c)
	if !c.uncounted {
		c.uncounted = true
		l.open--
	}
}

type contextKey struct{}

// ConnContext is the ConnContext hook of an http.Server that serves a Listener.
func ConnContext(ctx context.Context, served net.Conn) context.Context {
	for {
		if guarded, isGuarded := served.(*connection); isGuarded {
			return context.WithValue(ctx, contextKey{}, guarded)
		}
		wrapper, isWrapper := served.(interface{ NetConn() net.Conn })
		if !isWrapper {
			return ctx
		}
		served = wrapper.NetConn()
	}
}

// connectionOf returns the connection that a request came on; nil if it is not guarded.
func connectionOf(ctx context.Context) *connection {
	guarded, _ := ctx.Value(contextKey{}).(*connection)
	return guarded
}
