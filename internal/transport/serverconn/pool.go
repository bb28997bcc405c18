package serverconn

import (
	"context"
	"net"
	"sync"
	"time"
)

// Defaults of Options.
const (
	DefaultDialTimeout = 600 * time.Millisecond
	// DefaultIdleTimeout is how long a connection may be idle unless its server announces a shorter timeout.
	DefaultIdleTimeout = 30 * time.Second
	// idleMargin is subtracted from the time after which a server closes an idle connection.
	idleMargin = 500 * time.Millisecond
	// keepAliveInterval is the interval of TCP keep-alive probes, so that a server without power is detected.
	keepAliveInterval = 5 * time.Second
)

// Options configure a Pool; zero values take the defaults.
type Options struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
	// Now returns the time for the expiry of idle connections; time.Now by default.
	Now func() time.Time
	// Dial opens a connection; TCP by default.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool holds the idle connections to servers, by address. It is safe for concurrent use; the mutex guards the fields
// below it.
type Pool struct {
	options Options

	mutex  sync.Mutex
	idle   map[string][]*connection
	closed bool
	opened uint64
}

// New returns an empty pool.
func New(options Options) *Pool {
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Dial == nil {
		dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2,
		}}
		options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &Pool{options: options, idle: make(map[string][]*connection)}
}

// Opened returns the number of connections opened so far, including attempts that failed.
func (p *Pool) Opened() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.opened
}

// CloseIdle closes the idle connections to an address. Call it when the server at the address was removed.
func (p *Pool) CloseIdle(address string) {
	p.mutex.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mutex.Unlock()
	for _, unused := range idle {
		unused.close()
	}
}

// Close closes all idle connections; those in use close when their exchange ends.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	idleByAddress := p.idle
	p.idle = make(map[string][]*connection)
	p.mutex.Unlock()
	for _, idle := range idleByAddress {
		for _, unused := range idle {
			unused.close()
		}
	}
}

// acquire returns an idle connection that has not expired and is clean, or opens one.
func (p *Pool) acquire(ctx context.Context, address string) (*connection, error) {
	for {
		idle := p.popIdle(address)
		if idle == nil {
			return p.open(ctx, address)
		}
		if p.options.Now().Before(idle.expires) && idle.isClean() {
			return idle, nil
		}
		idle.close()
	}
}

func (p *Pool) popIdle(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	idle[len(idle)-1] = nil
	p.idle[address] = idle[:len(idle)-1]
	return last
}

func (p *Pool) open(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	p.mutex.Lock()
	closed := p.closed
	p.opened++
	p.mutex.Unlock()
	if closed {
		return nil, &ClosedError{}
	}
	opened, err := p.options.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConnection(address, opened), nil
}

// release returns a connection to the pool, where it stays idle until it is reused or the timeout expires.
func (p *Pool) release(used *connection, timeout time.Duration) {
	if timeout <= 0 || timeout > p.options.IdleTimeout {
		timeout = p.options.IdleTimeout
	}
	used.expires = p.options.Now().Add(timeout)
	p.mutex.Lock()
	if p.closed {
		p.mutex.Unlock()
		used.close()
		return
	}
	expired := p.prune(used.address)
	p.idle[used.address] = append(p.idle[used.address], used)
	p.mutex.Unlock()
	for _, stale := range expired {
		stale.close()
	}
}

// prune removes the expired connections of an address from the pool and returns them. The idle connections are in
// order of their last use, the oldest first.
func (p *Pool) prune(address string) []*connection {
	idle := p.idle[address]
	now := p.options.Now()
	count := 0
	for count < len(idle) && !now.Before(idle[count].expires) {
		count++
	}
	expired := append([]*connection(nil), idle[:count]...)
	p.idle[address] = append(idle[:0], idle[count:]...)
	return expired
}
