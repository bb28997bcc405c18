package wire

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// readBufferBytes is enough for a few small frames; a larger frame is read directly
// into its own memory. The buffer is small because a node may have a connection to
// every other node.
const readBufferBytes = 8 << 10

// clientConnection is the client side of one connection. The mutex guards the fields below it.
type clientConnection struct {
	address    string
	connection net.Conn
	reader     *bufio.Reader
	writer     *frameWriter
	done       chan struct{}

	mutex     sync.Mutex
	exchanges map[uint64]*exchange
	nextID    uint64
	// cause is the error that broke the connection; nil until then.
	cause    error
	lastUse  time.Time
	activity peerActivity
}

// dial opens a connection and runs the handshake, in which both sides prove the cluster key.
func dial(ctx context.Context, address string, options PoolOptions, counters *Counters) (*clientConnection, error) {
	ctx, cancel := context.WithTimeout(ctx, options.DialTimeout)
	defer cancel()
	connection, err := options.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(&countingReader{connection: connection, counters: counters}, readBufferBytes)
	if err := clientHandshake(connection, reader, options.Key, options.Node); err != nil {
		_ = connection.Close()
		return nil, err
	}
	now := time.Now()
	return &clientConnection{
		address:    address,
		connection: connection,
		reader:     reader,
		writer:     newFrameWriter(connection, counters),
		done:       make(chan struct{}),
		exchanges:  make(map[uint64]*exchange),
		lastUse:    now,
		activity:   peerActivity{lastReceived: now, lastActivity: now},
	}, nil
}

// begin registers an exchange and queues its request.
func (c *clientConnection) begin(ctx context.Context, request *protocol.Request, single bool) (*exchange, error) {
	c.mutex.Lock()
	if c.cause != nil {
		c.mutex.Unlock()
		return nil, &NotSentError{Address: c.address, Cause: c.cause}
	}
	c.nextID++
	e := &exchange{id: c.nextID, client: c, ctx: ctx, single: single, notify: make(chan struct{}, 1)}
	c.exchanges[e.id] = e
	c.lastUse = time.Now()
	c.activity.recordExchange(c.lastUse, len(c.exchanges) == 1)
	c.mutex.Unlock()

	frame := &protocol.Frame{Kind: protocol.FrameKind_FRAME_REQUEST, Id: e.id, Request: request}
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			c.endExchange(e.id, false)
			return nil, &NotSentError{Address: c.address, Cause: context.DeadlineExceeded}
		}
		frame.TimeLeftMillis = uint32(remaining/time.Millisecond) + 1
	}
	if err := c.writer.write(frame); err != nil {
		c.endExchange(e.id, false)
		return nil, &NotSentError{Address: c.address, Cause: err}
	}
	return e, nil
}

// endExchange removes an exchange. If cancel is true, it also cancels the exchange at the peer.
func (c *clientConnection) endExchange(id uint64, cancel bool) {
	c.mutex.Lock()
	_, inFlight := c.exchanges[id]
	delete(c.exchanges, id)
	c.lastUse = time.Now()
	c.mutex.Unlock()
	if inFlight && cancel {
		_ = c.writer.write(&protocol.Frame{Kind: protocol.FrameKind_FRAME_CANCEL, Id: id})
	}
}

// read delivers frames until the connection ends, and returns the cause.
func (c *clientConnection) read() error {
	reader := frameReader{reader: c.reader, counters: c.writer.counters}
	for {
		frame := &protocol.Frame{}
		if err := reader.read(MaxFrameBytes, frame); err != nil {
			return err
		}
		if err := validateFrame(frame); err != nil {
			return err
		}
		c.deliver(frame)
	}
}

func (c *clientConnection) deliver(frame *protocol.Frame) {
	c.mutex.Lock()
	c.activity.recordFrame(time.Now(), frame.GetKind() != protocol.FrameKind_FRAME_PING)
	e := c.exchanges[frame.GetId()]
	c.mutex.Unlock()
	if e == nil {
		return
	}
	switch frame.GetKind() {
	case protocol.FrameKind_FRAME_RESPONSE:
		if !e.deliver(frame.GetResponse()) {
			c.endExchange(e.id, true)
		}
	case protocol.FrameKind_FRAME_END:
		var cause error
		if frame.GetFailure() != nil {
			cause = &failure.Error{Failure: frame.GetFailure()}
		}
		e.end(cause)
		c.endExchange(e.id, false)
	}
}

// fail breaks the connection and ends every exchange in flight.
func (c *clientConnection) fail(cause error) {
	c.mutex.Lock()
	if c.cause != nil {
		c.mutex.Unlock()
		return
	}
	c.cause = cause
	exchanges := c.exchanges
	c.exchanges = make(map[uint64]*exchange)
	c.mutex.Unlock()
	close(c.done)
	c.writer.fail(cause)
	_ = c.connection.Close()
	for _, e := range exchanges {
		e.end(&BrokenError{Address: c.address, Cause: cause})
	}
}
