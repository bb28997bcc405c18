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
	// DefaultIdleLife is how long a connection may rest unless its server says otherwise.
	DefaultIdleLife = 30 * time.Second
	// idleMargin is kept from the time after which a server says that it closes a resting connection.
	idleMargin = 500 * time.Millisecond
	// keepAliveProbe is how often a silent connection is probed, so that a server without power is noticed.
	keepAliveProbe = 5 * time.Second
)

// Options configure a Pool; zero values take the defaults.
type Options struct {
	DialTimeout time.Duration
	IdleLife    time.Duration
	// Now tells the time, by which resting connections expire.
	Now func() time.Time
	// Dial opens a connection; TCP by default.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool keeps connections to servers by address. It is safe for concurrent use.
type Pool struct {
	options Options

	mutex  sync.Mutex
	idle   map[string][]*connection
	closed bool
	opened uint64
}

// New makes an empty pool.
func New(options Options) *Pool {
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.IdleLife == 0 {
		options.IdleLife = DefaultIdleLife
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Dial == nil {
		dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: 2,
		}}
		options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &Pool{options: options, idle: make(map[string][]*connection)}
}

// Opened is the number of connections opened so far.
func (p *Pool) Opened() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.opened
}

// Forget closes the resting connections to an address whose server is gone.
func (p *Pool) Forget(address string) {
	p.mutex.Lock()
	resting := p.idle[address]
	delete(p.idle, address)
	p.mutex.Unlock()
	for _, each := range resting {
		each.close()
	}
}

// Close closes all resting connections; those in use close when their exchange ends.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	idle := p.idle
	p.idle = make(map[string][]*connection)
	p.mutex.Unlock()
	for _, resting := range idle {
		for _, each := range resting {
			each.close()
		}
	}
}

// take returns a resting connection that is proved clean, or opens one.
func (p *Pool) take(ctx context.Context, address string) (*connection, error) {
	for {
		resting := p.pop(address)
		if resting == nil {
			return p.open(ctx, address)
		}
		if p.options.Now().Before(resting.expires) && resting.isClean() {
			return resting, nil
		}
		resting.close()
	}
}

func (p *Pool) pop(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	resting := p.idle[address]
	if len(resting) == 0 {
		return nil
	}
	last := resting[len(resting)-1]
	resting[len(resting)-1] = nil
	p.idle[address] = resting[:len(resting)-1]
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

// put lets a connection rest until it is used again or its server would close it.
func (p *Pool) put(used *connection, life time.Duration) {
	if life <= 0 || life > p.options.IdleLife {
		life = p.options.IdleLife
	}
	used.expires = p.options.Now().Add(life)
	p.mutex.Lock()
	if p.closed {
		p.mutex.Unlock()
		used.close()
		return
	}
	expired := p.prune(used.address)
	p.idle[used.address] = append(p.idle[used.address], used)
	p.mutex.Unlock()
	for _, each := range expired {
		each.close()
	}
}

// prune takes out the connections of an address that rested for too long: those used longest ago come first.
func (p *Pool) prune(address string) []*connection {
	resting := p.idle[address]
	now := p.options.Now()
	count := 0
	for count < len(resting) && !now.Before(resting[count].expires) {
		count++
	}
	expired := append([]*connection(nil), resting[:count]...)
	p.idle[address] = append(resting[:0], resting[count:]...)
	return expired
}
