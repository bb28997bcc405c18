package wire

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
)

// PoolOptions configure a Pool; zero values take the defaults.
type PoolOptions struct {
	// Key is the cluster key.
	Key []byte
	// Node is the name of this process, sent to peers in the handshake.
	Node string
	// IdleTimeout is how long a connection may be without exchanges before it is closed.
	IdleTimeout time.Duration
	// DialTimeout bounds connecting and the handshake.
	DialTimeout time.Duration
	// Dial opens a connection; it is net.Dialer over TCP by default.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func (o *PoolOptions) setDefaults() {
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.Dial == nil {
		dialer := &net.Dialer{Control: setUserTimeout}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialHedged(
				ctx, func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", address) },
			)
		}
	}
}

// Pool calls peers over one connection per address, opened on demand. The mutex guards slots, open, onBroken and
// closed; a slot has its own mutex, which is locked before the pool's.
type Pool struct {
	options  PoolOptions
	counters Counters
	routines sync.WaitGroup

	mutex    sync.Mutex
	slots    map[string]*slot
	open     map[*clientConnection]struct{}
	onBroken []func(address string)
	closed   bool
	stop     chan struct{}
	// dialing is the context of dials, which are shared by concurrent callers and end only with Close.
	dialing      context.Context
	stopDialing  context.CancelFunc
	activeSignal chan struct{}
	// frequentChecks is true while the connections are checked every activeInterval.
	frequentChecks atomic.Bool
}

// slot holds the connection to one address, or the one being opened, which concurrent callers share.
type slot struct {
	mutex      sync.Mutex
	connection *clientConnection
	opening    *openingConnection
}

// openingConnection is a connection that is being opened; the results may be read once done is closed.
type openingConnection struct {
	done       chan struct{}
	connection *clientConnection
	err        error
}

// NewPool makes an empty pool.
func NewPool(options PoolOptions) *Pool {
	options.setDefaults()
	p := &Pool{
		options: options, slots: make(map[string]*slot), open: make(map[*clientConnection]struct{}),
		stop: make(chan struct{}), activeSignal: make(chan struct{}, 1),
	}
	p.dialing, p.stopDialing = context.WithCancel(context.Background())
	p.routines.Add(1)
	go p.watch()
	return p
}

func (p *Pool) connections() []*clientConnection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	open := make([]*clientConnection, 0, len(p.open))
	for connection := range p.open {
		open = append(open, connection)
	}
	return open
}

// Counters returns the counters of the traffic of all connections of the pool.
func (p *Pool) Counters() *Counters { return &p.counters }

// OnBroken registers a function that is called with the address of each connection
// that broke while it was in use or whose peer became unresponsive. The function must not block.
func (p *Pool) OnBroken(notify func(address string)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.onBroken = append(p.onBroken, notify)
}

// Call implements Caller.
func (p *Pool) Call(ctx context.Context, address string, request *protocol.Request) (*protocol.Response, error) {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		bounded, cancel := context.WithTimeout(ctx, defaultCallDeadline)
		defer cancel()
		ctx = bounded
	}
	stream, err := p.start(ctx, address, request, true)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	answer, err := stream.Receive()
	if errors.Is(err, io.EOF) {
		return nil, &EmptyAnswerError{Address: address}
	}
	return answer, err
}

// Open implements Caller.
func (p *Pool) Open(ctx context.Context, address string, request *protocol.Request) (Stream, error) {
	opened, err := p.start(ctx, address, request, false)
	if err != nil {
		return nil, err
	}
	return opened, nil
}

func (p *Pool) start(ctx context.Context, address string, request *protocol.Request, single bool) (*exchange, error) {
	connection, err := p.connect(ctx, address)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	opened, err := connection.begin(ctx, request, single)
	if err != nil {
		return nil, err
	}
	p.signalActive()
	return opened, nil
}

func (p *Pool) slot(address string) (*slot, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, &ClosedError{}
	}
	s := p.slots[address]
	if s == nil {
		s = &slot{}
		p.slots[address] = s
	}
	return s, nil
}

// connect returns the connection to an address, and opens one if there is none.
// It waits no longer than the context, even if another caller is opening the connection.
func (p *Pool) connect(ctx context.Context, address string) (*clientConnection, error) {
	s, err := p.slot(address)
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	if s.connection != nil {
		defer s.mutex.Unlock()
		return s.connection, nil
	}
	opening := s.opening
	if opening == nil {
		opening = &openingConnection{done: make(chan struct{})}
		s.opening = opening
		if !p.startGoroutine(func() { p.openSlot(s, address, opening) }) {
			s.opening = nil
			s.mutex.Unlock()
			return nil, &ClosedError{}
		}
	}
	s.mutex.Unlock()
	select {
	case <-opening.done:
		return opening.connection, opening.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// startGoroutine starts a goroutine that Close waits for. It reports false if the pool is closed.
func (p *Pool) startGoroutine(run func()) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return false
	}
	p.routines.Go(run)
	return true
}

// openSlot opens the connection of a slot for all callers that wait for it.
func (p *Pool) openSlot(s *slot, address string, opening *openingConnection) {
	connection, err := dial(p.dialing, address, p.options, &p.counters)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err == nil && !p.addConnection(s, connection) {
		_ = connection.connection.Close()
		connection, err = nil, &ClosedError{}
	}
	opening.connection, opening.err = connection, err
	s.connection, s.opening = connection, nil
	close(opening.done)
}

// addConnection starts the reader and the writer of a new connection. It reports false if the pool is closed.
func (p *Pool) addConnection(s *slot, connection *clientConnection) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return false
	}
	p.open[connection] = struct{}{}
	p.routines.Go(func() { p.runReader(s, connection) })
	p.routines.Go(func() { p.runWriter(connection) })
	return true
}

func (p *Pool) runWriter(connection *clientConnection) {
	if err := connection.writer.run(connection.done); err != nil {
		connection.fail(err)
	}
}

func (p *Pool) runReader(s *slot, connection *clientConnection) {
	connection.fail(connection.read())
	s.mutex.Lock()
	if s.connection == connection {
		s.connection = nil
	}
	s.mutex.Unlock()
	p.mutex.Lock()
	delete(p.open, connection)
	p.mutex.Unlock()
	connection.mutex.Lock()
	cause := connection.cause
	connection.mutex.Unlock()
	if errors.HasType(cause, (*IdleError)(nil)) || errors.HasType(cause, (*ClosedError)(nil)) {
		return
	}
	p.mutex.Lock()
	callbacks := p.onBroken
	p.mutex.Unlock()
	for _, callback := range callbacks {
		callback(connection.address)
	}
}

// Close breaks all connections and waits for their goroutines.
func (p *Pool) Close() {
	p.mutex.Lock()
	if !p.closed {
		close(p.stop)
		p.stopDialing()
	}
	p.closed = true
	p.mutex.Unlock()
	for _, connection := range p.connections() {
		connection.fail(&ClosedError{})
	}
	p.routines.Wait()
}
