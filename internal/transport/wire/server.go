package wire

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/memorybudget"
)

// serverIdleTimeout is how long a connection may be without requests and pings before it is closed; it is longer than
// any pool's idle timeout.
const serverIdleTimeout = 150 * time.Second

const (
	// accountedFrameBytes is the size from which a frame is accounted for.
	accountedFrameBytes = 4 << 10
	// awaitedFrameBytes is the size from which a response is awaited until it was written.
	awaitedFrameBytes = 64 << 10
	// frameCopies is how often a request may stand in memory at the same time: as its frame, decoded, and in the
	// messages and records that its handler makes of it.
	frameCopies = 4
	// headerFieldBytes is what a header field takes beside its encoding, decoded and in the request to a server.
	headerFieldBytes = 256
	// memoryRetryAfter is the wait that is advised to a peer whose request found no memory.
	memoryRetryAfter = 100 * time.Millisecond
)

// acceptRetryInterval is the wait after a failed accept.
const acceptRetryInterval = 50 * time.Millisecond

// ServerOptions configure a Server.
type ServerOptions struct {
	// Key is the cluster key.
	Key []byte
	// OnRejected, if any, is called for each connection whose handshake failed.
	OnRejected func(remote net.Addr, err error)
	// Memory accounts for the requests that arrive; nil sets no limit.
	Memory *memorybudget.Budget
	// OnPanic, if any, is called for each handler that panicked, with its stack.
	OnPanic func(recovered any, stack []byte)
}

// Server serves the connections of one listener. The mutex guards the fields below it.
type Server struct {
	listener net.Listener
	handler  Handler
	options  ServerOptions
	counters Counters
	ctx      context.Context
	cancel   context.CancelFunc
	routines sync.WaitGroup

	// mutex guards the fields below. Of a connection whose handshake is not done, connections has no writer.
	mutex       sync.Mutex
	connections map[net.Conn]*frameWriter
	closed      bool
}

// closeFlushTimeout bounds how long Close waits until the answers of requests that were served are written.
const closeFlushTimeout = 100 * time.Millisecond

// NewServer returns a server that has not been started.
func NewServer(listener net.Listener, handler Handler, options ServerOptions) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		listener:    listener,
		handler:     handler,
		options:     options,
		ctx:         ctx,
		cancel:      cancel,
		connections: make(map[net.Conn]*frameWriter),
	}
}

// Counters returns the counters of the traffic of all connections of the server.
func (s *Server) Counters() *Counters { return &s.counters }

// Start accepts connections in the background until Close.
func (s *Server) Start() {
	s.routines.Go(func() {
		for {
			connection, err := s.listener.Accept()
			if err != nil {
				if !s.waitToAcceptAgain(err) {
					return
				}
				continue
			}
			if !s.track(connection) {
				return
			}
			go s.serveConnection(connection)
		}
	})
}

// waitToAcceptAgain waits after a failed accept, as when file descriptors have
// run out; it reports false once the server or its listener was closed.
func (s *Server) waitToAcceptAgain(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	timer := time.NewTimer(acceptRetryInterval)
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (s *Server) track(connection net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		_ = connection.Close()
		return false
	}
	s.connections[connection] = nil
	s.routines.Add(1)
	return true
}

func (s *Server) untrack(connection net.Conn) {
	_ = connection.Close()
	s.mutex.Lock()
	delete(s.connections, connection)
	s.mutex.Unlock()
	s.routines.Done()
}

// Close stops accepting, writes the answers of requests that were served, cancels the requests in flight and waits for
// their handlers.
func (s *Server) Close() {
	s.awaitAnswersWritten()
	s.mutex.Lock()
	s.closed = true
	for connection := range s.connections {
		_ = connection.Close()
	}
	s.mutex.Unlock()
	s.cancel()
	_ = s.listener.Close()
	s.routines.Wait()
}

// awaitAnswersWritten waits until what is queued on all connections is written, for a limited time.
func (s *Server) awaitAnswersWritten() {
	expired := make(chan struct{})
	timer := time.AfterFunc(closeFlushTimeout, func() { close(expired) })
	defer timer.Stop()
	for _, writer := range s.writers() {
		writer.awaitWritten(expired)
	}
}

func (s *Server) writers() []*frameWriter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var writers []*frameWriter
	for _, writer := range s.connections {
		if writer != nil {
			writers = append(writers, writer)
		}
	}
	return writers
}

// setWriter records the writer of a connection that is being served.
func (s *Server) setWriter(connection net.Conn, writer *frameWriter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.connections[connection] = writer
}

func (s *Server) serveConnection(connection net.Conn) {
	defer s.untrack(connection)
	if socket, isSocket := connection.(syscall.Conn); isSocket {
		if raw, err := socket.SyscallConn(); err == nil {
			_ = setUserTimeout("", "", raw)
		}
	}
	reader := bufio.NewReaderSize(&countingReader{connection: connection, counters: &s.counters}, readBufferBytes)
	if _, err := serverHandshake(connection, reader, s.options.Key); err != nil {
		if s.options.OnRejected != nil {
			s.options.OnRejected(connection.RemoteAddr(), err)
		}
		return
	}
	served := newServedConnection(s, connection)
	defer served.finish()
	s.setWriter(connection, served.writer)
	served.read(reader)
}

// servedConnection is the server side of one connection. The mutex guards cancels, which is keyed by request id.
type servedConnection struct {
	server     *Server
	connection net.Conn
	writer     *frameWriter
	ctx        context.Context
	cancel     context.CancelFunc
	routines   sync.WaitGroup

	mutex   sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func newServedConnection(server *Server, connection net.Conn) *servedConnection {
	ctx, cancel := context.WithCancel(server.ctx)
	served := &servedConnection{
		server:     server,
		connection: connection,
		writer:     newFrameWriter(connection, &server.counters),
		ctx:        ctx,
		cancel:     cancel,
		cancels:    make(map[uint64]context.CancelFunc),
	}
	served.routines.Go(func() {
		if err := served.writer.run(ctx.Done()); err != nil {
			served.writer.fail(err)
			_ = connection.Close()
		}
	})
	return served
}

// finish cancels the handlers of the connection and waits for them.
func (c *servedConnection) finish() {
	c.writer.fail(&ClosedError{})
	_ = c.connection.Close()
	c.cancel()
	c.routines.Wait()
}

func (c *servedConnection) read(reader *bufio.Reader) {
	frames := frameReader{reader: reader, counters: c.writer.counters}
	var deadlineSetAt time.Time
	for {
		if now := time.Now(); now.Sub(deadlineSetAt) > deadlineRefresh {
			deadlineSetAt = now
			if err := c.connection.SetReadDeadline(now.Add(serverIdleTimeout)); err != nil {
				return
			}
		}
		if !c.serveNext(&frames) {
			return
		}
	}
}

// serveNext reads one frame and dispatches it; it reports false when the connection has to end.
func (c *servedConnection) serveNext(frames *frameReader) bool {
	size, err := frames.readSize(MaxFrameBytes)
	if err != nil {
		return false
	}
	var account *memorybudget.Account
	if size >= accountedFrameBytes {
		account = c.server.options.Memory.Open()
		if !account.TryGrow(frameCopies * int64(size)) {
			return c.refuseFrame(frames.reader, size)
		}
	}
	frame := &protocol.Frame{}
	if frames.readBody(size, frame) != nil || validateFrame(frame) != nil {
		account.Release()
		return false
	}
	if !account.TryGrow(headerFieldBytes * int64(headerFields(frame.GetRequest()))) {
		account.Release()
		return c.rejectWithoutMemory(frame.GetId())
	}
	return c.dispatch(frame, account)
}

// headerFields returns how many header fields a forwarded request has. Short ones take many times their encoded size.
func headerFields(request *protocol.Request) int {
	switch body := request.GetBody().(type) {
	case *protocol.Request_Turn:
		return len(body.Turn.GetHttp().GetHeaders())
	case *protocol.Request_ToolCall:
		return len(body.ToolCall.GetHttp().GetHeaders())
	default:
		return 0
	}
}

// refuseFrame discards a frame for which there is no memory, and rejects the request in it as not run. It does not
// wait: that would hold up the pings and the small requests on the connection.
func (c *servedConnection) refuseFrame(reader *bufio.Reader, size uint32) bool {
	id, isRequest := frameID(reader)
	if _, err := reader.Discard(int(size)); err != nil {
		return false
	}
	if !isRequest {
		return true
	}
	return c.rejectWithoutMemory(id)
}

// rejectWithoutMemory rejects a request that finds no memory as not run.
func (c *servedConnection) rejectWithoutMemory(id uint64) bool {
	c.server.counters.RefusedFrames.Add(1)
	return c.end(id, failure.New(failure.NotReady, protocol.Outcome_NOT_RUN, "no memory for a request of this size",
		failure.WithRetryAfter(memoryRetryAfter))) == nil
}

// dispatch handles a frame. The account holds its memory; nil if it is not accounted for.
func (c *servedConnection) dispatch(frame *protocol.Frame, account *memorybudget.Account) bool {
	if frame.GetKind() == protocol.FrameKind_FRAME_REQUEST {
		return c.begin(frame, account)
	}
	defer account.Release()
	switch frame.GetKind() {
	case protocol.FrameKind_FRAME_PING:
		return c.writer.write(frame) == nil
	case protocol.FrameKind_FRAME_CANCEL:
		c.mutex.Lock()
		cancel := c.cancels[frame.GetId()]
		c.mutex.Unlock()
		if cancel != nil {
			cancel()
		}
		return true
	default:
		return false
	}
}

func (c *servedConnection) begin(frame *protocol.Frame, account *memorybudget.Account) bool {
	id := frame.GetId()
	c.mutex.Lock()
	_, repeated := c.cancels[id]
	full := len(c.cancels) >= maxConcurrentPerConnection
	c.mutex.Unlock()
	if repeated || full {
		account.Release()
	}
	if repeated {
		return false
	}
	if full {
		rejection := failure.New(failure.Overloaded, protocol.Outcome_NOT_RUN, "too many requests on one connection",
			failure.WithRetryAfter(time.Second))
		return c.end(id, rejection) == nil
	}
	ctx, cancel := c.requestContext(frame)
	c.mutex.Lock()
	c.cancels[id] = cancel
	c.mutex.Unlock()
	c.routines.Add(1)
	go c.serve(servedRequest{ctx: ctx, cancel: cancel, id: id, request: frame.GetRequest(), account: account})
	return true
}

func (c *servedConnection) requestContext(frame *protocol.Frame) (context.Context, context.CancelFunc) {
	if timeLeft := frame.GetTimeLeftMillis(); timeLeft > 0 {
		return context.WithTimeout(c.ctx, time.Duration(timeLeft)*time.Millisecond)
	}
	return context.WithCancel(c.ctx)
}

// servedRequest is a request that is being served.
type servedRequest struct {
	ctx     context.Context
	cancel  context.CancelFunc
	id      uint64
	request *protocol.Request
	// account holds its memory; nil if it is not accounted for.
	account *memorybudget.Account
}

func (c *servedConnection) serve(served servedRequest) {
	defer c.routines.Done()
	defer served.account.Release()
	defer served.cancel()
	err := c.handle(served.ctx, served.id, served.request)
	c.mutex.Lock()
	delete(c.cancels, served.id)
	c.mutex.Unlock()
	_ = c.end(served.id, err)
}

// handle runs the handler. A panic ends only this exchange, with an internal
// error whose outcome is unknown.
func (c *servedConnection) handle(ctx context.Context, id uint64, request *protocol.Request) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			c.server.counters.Panics.Add(1)
			err = failure.New(failure.InternalError, protocol.Outcome_UNKNOWN, fmt.Sprint("handler panicked: ", recovered))
			if c.server.options.OnPanic != nil {
				c.server.options.OnPanic(recovered, debug.Stack())
			}
		}
	}()
	return c.server.handler.Serve(ctx, request, func(response *protocol.Response) error {
		if err := ctx.Err(); err != nil {
			return err
		}
		return c.respond(ctx, &protocol.Frame{Kind: protocol.FrameKind_FRAME_RESPONSE, Id: id, Response: response})
	})
}

// respond queues the frame of a response. It returns only once a large one was written, so that its handler holds the
// memory until then.
func (c *servedConnection) respond(ctx context.Context, frame *protocol.Frame) error {
	size, err := c.writer.writeSized(frame)
	if err == nil && size >= awaitedFrameBytes {
		c.writer.awaitWritten(ctx.Done())
	}
	return err
}

func (c *servedConnection) end(id uint64, err error) error {
	frame := &protocol.Frame{Kind: protocol.FrameKind_FRAME_END, Id: id}
	if err != nil {
		frame.Failure = failure.From(err)
	}
	return c.writer.write(frame)
}
