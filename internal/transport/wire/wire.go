// Package wire implements the internal protocol between processes: protobuf messages
// in length-prefixed frames over TCP. The Pool of the calling process opens a connection
// on demand. Both sides prove the cluster key in a handshake; the connection then carries
// any number of concurrent exchanges and is closed when idle. A Server serves it at the other end.
//
// Pool and Server are safe for concurrent use. Each connection has a reading and a
// writing goroutine at either end, and each request is served by a goroutine of its own; Close
// ends them all and waits for them. One goroutine of the pool checks all connections: it pings peers that
// owe answers, and breaks connections whose peers are unresponsive.
package wire

import (
	"context"
	"fmt"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// ProtocolVersion is the version that this process uses; the handshake fails if the peer's differs.
	ProtocolVersion = 1
	// MaxFrameBytes is the maximum length of a frame; receiving a larger one ends the connection.
	MaxFrameBytes = 16 << 20

	handshakeTimeout   = 3 * time.Second
	writeTimeout       = 10 * time.Second
	defaultIdleTimeout = 15 * time.Second
	// defaultConnectTimeout bounds connecting, because a powered-off machine does not answer.
	defaultConnectTimeout = 300 * time.Millisecond
	// defaultDialTimeout bounds connecting and the handshake, because the kernel accepts connections for a frozen
	// process, which does not answer the handshake.
	defaultDialTimeout  = time.Second
	defaultCallDeadline = 30 * time.Second
	// deadlineRefresh is the interval at which the deadlines of a connection are extended while it is used.
	deadlineRefresh = time.Second
	// maxQueuedAnswers is the maximum number of answers of one exchange that wait for its receiver.
	maxQueuedAnswers = 8192
	// maxReusedBufferBytes is the maximum size of a buffer that a connection keeps for its next frames.
	maxReusedBufferBytes = 32 << 10
	// maxPendingBytes is the maximum number of bytes that wait to be written on one connection.
	maxPendingBytes = 32 << 20
	// maxConcurrentPerConnection is the maximum number of requests in flight of one peer on a connection.
	maxConcurrentPerConnection = 4096
)

// Handler serves requests of peers.
type Handler interface {
	// Serve answers one request by calling send once, or any number of times
	// for a stream. A returned error ends the exchange with a failure. The
	// context ends when the peer cancels, its deadline passes or the
	// connection breaks.
	Serve(ctx context.Context, request *protocol.Request, send func(*protocol.Response) error) error
}

// Caller sends requests to peers at their internal addresses (ip:port). It is safe for concurrent use.
type Caller interface {
	// Call sends a request and returns its only answer. The error is a *failure.Error of the peer, a *NotSentError, a
	// *BrokenError, an *EmptyAnswerError or the context's.
	Call(ctx context.Context, address string, request *protocol.Request) (*protocol.Response, error)
	// Open begins an exchange with any number of answers. Its error is a *NotSentError.
	Open(ctx context.Context, address string, request *protocol.Request) (Stream, error)
}

// Stream is the receiving end of an exchange.
type Stream interface {
	// Receive returns the next answer, io.EOF after the last one, or the error that ended the exchange.
	Receive() (*protocol.Response, error)
	// Close ends the exchange, and cancels it at the peer unless it has ended.
	Close()
}

// NotSentError is the error of a request that provably never reached the peer's handler.
type NotSentError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("request not sent to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// BrokenError is the error of a request in flight whose connection broke: the request may or may not have been served.
type BrokenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("connection to %s broke: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// HandshakeError is the error of a handshake in which the peer did not prove the cluster key or has another protocol
// version.
type HandshakeError struct {
	Reason string
}

// Error implements error.
func (e *HandshakeError) Error() string { return "handshake failed: " + e.Reason }

// FrameError is a violation of the protocol by a frame.
type FrameError struct {
	Reason string
}

// Error implements error.
func (e *FrameError) Error() string { return "bad frame: " + e.Reason }

// EmptyAnswerError is the error of a call that ended without an answer.
type EmptyAnswerError struct {
	Address string
}

// Error implements error.
func (e *EmptyAnswerError) Error() string { return "no answer from " + e.Address }

// ClosedError is the error of requests after the pool or server was closed.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "closed" }

// UnresponsivePeerError is the cause of breaking a connection whose peer sent nothing, not even answers to pings, for
// the duration For.
type UnresponsivePeerError struct {
	For time.Duration
}

// Error implements error.
func (e *UnresponsivePeerError) Error() string { return "peer unresponsive for " + e.For.String() }

// IdleError is the cause of closing a connection that was not used for the idle timeout.
type IdleError struct{}

// Error implements error.
func (e *IdleError) Error() string { return "connection was idle" }
