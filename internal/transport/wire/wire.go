// Package wire is the internal protocol between processes: protobuf messages in
// length-prefixed frames over TCP. A connection is opened on demand by the pool
// of the calling process, proves the cluster key in both directions, carries
// any number of concurrent exchanges and is closed when idle.
package wire

import (
	"context"
	"fmt"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// ProtocolVersion is refused by a peer that speaks another one.
	ProtocolVersion = 1
	// MaxFrameBytes bounds one frame; larger ones end the connection.
	MaxFrameBytes = 16 << 20

	handshakeTimeout   = 3 * time.Second
	writeTimeout       = 10 * time.Second
	defaultIdleTimeout = 15 * time.Second
	// defaultConnectTimeout bounds the opening of a connection; a machine without power answers nothing.
	defaultConnectTimeout = 300 * time.Millisecond
	// defaultDialTimeout bounds connecting and the handshake; a frozen process accepts and says nothing.
	defaultDialTimeout  = time.Second
	defaultCallDeadline = 30 * time.Second
	// deadlineRefresh is how old a deadline of a connection may be before it is set anew.
	deadlineRefresh = time.Second
	// answerQueue bounds the answers of one exchange that wait for a slow receiver.
	answerQueue = 8192
	// maxSpareBytes is the largest write buffer that a connection keeps for its next frames.
	maxSpareBytes = 32 << 10
	// maxPendingBytes bounds what waits to be written on one connection.
	maxPendingBytes = 32 << 20
	// maxConcurrentPerConnection bounds the requests one peer may have under way on a connection.
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

// Caller makes requests to peers by their internal address (ip:port).
type Caller interface {
	// Call returns the one answer of a request.
	Call(ctx context.Context, address string, request *protocol.Request) (*protocol.Response, error)
	// Open begins an exchange that has any number of answers.
	Open(ctx context.Context, address string, request *protocol.Request) (Stream, error)
}

// Stream is the receiving end of an exchange.
type Stream interface {
	// Receive returns the next answer, io.EOF after the last one, or the error that ended the exchange.
	Receive() (*protocol.Response, error)
	// Close gives the exchange up; the peer is told unless it had ended.
	Close()
}

// NotSentError says that a request surely never reached the peer's handler.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("request not sent to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// BrokenError says that the connection broke while a request was under way: it may or may not have been served.
type BrokenError struct {
	Address string
	Cause   error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("connection to %s broke: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// HandshakeError says that the peer did not prove the cluster key or speaks another protocol version.
type HandshakeError struct {
	Reason string
}

func (e *HandshakeError) Error() string { return "handshake failed: " + e.Reason }

// FrameError says that a frame broke the rules of the protocol.
type FrameError struct {
	Reason string
}

func (e *FrameError) Error() string { return "bad frame: " + e.Reason }

// EmptyAnswerError says that an exchange ended without the one answer expected.
type EmptyAnswerError struct {
	Address string
}

func (e *EmptyAnswerError) Error() string { return "no answer from " + e.Address }

// ClosedError says that the pool or server was closed.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "closed" }

// SilentPeerError says that a peer answered neither requests nor pings for the limit.
type UnresponsivePeerError struct {
	Limit time.Duration
}

func (e *UnresponsivePeerError) Error() string { return "peer was silent for " + e.Limit.String() }

// IdleError says that a connection was closed because nobody used it.
type IdleError struct{}

func (e *IdleError) Error() string { return "connection was idle" }
