package wire_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/memorybudget"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// turnOfBytes is a request whose frame has a little more than so many bytes.
func turnOfBytes(count int) *protocol.Request {
	return &protocol.Request{Body: &protocol.Request_Turn{Turn: &protocol.TurnRequest{
		Session: "s", Input: []*protocol.Item{{Data: make([]byte, count)}},
	}}}
}

// startWithMemory starts a server whose requests may hold so many bytes.
func startWithMemory(t *testing.T, handler wire.Handler, bytes int64) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	memory := memorybudget.New(bytes)
	server := wire.NewServer(listener, handler, wire.ServerOptions{Key: testKey, Memory: memory})
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(func() {
		server.Close()
		if used := memory.Usage().UsedBytes; used != 0 {
			t.Errorf("%d bytes are used after the end of the server", used)
		}
	})
	return listener.Addr().String()
}

func answerEmpty(_ context.Context, _ *protocol.Request, send func(*protocol.Response) error) error {
	return send(&protocol.Response{Body: &protocol.Response_LocateCore{LocateCore: &protocol.LocateCoreResponse{}}})
}

func TestRequestWithoutMemoryIsRejectedAsNotRun(t *testing.T) {
	var served atomic.Int32
	address := startWithMemory(t, handlerFunc(
		func(ctx context.Context, request *protocol.Request, send func(*protocol.Response) error) error {
			served.Add(1)
			return answerEmpty(ctx, request, send)
		}), 8<<20)
	pool := startPool(t, testKey)
	_, err := pool.Call(t.Context(), address, turnOfBytes(4<<20))
	var rejected *failure.Error
	if !errors.As(err, &rejected) || rejected.Code() != failure.NotReady ||
		rejected.Failure.GetOutcome() != protocol.Outcome_NOT_RUN {
		t.Errorf("got %v", err)
	}
	for _, bytes := range []int{10, 64 << 10, 1 << 20} {
		if _, err := pool.Call(t.Context(), address, turnOfBytes(bytes)); err != nil {
			t.Errorf("%d bytes on the same connection: %v", bytes, err)
		}
	}
	if served.Load() != 3 {
		t.Errorf("%d requests were served", served.Load())
	}
}

func TestRequestHoldsMemoryUntilItIsServed(t *testing.T) {
	release := make(chan struct{})
	address := startWithMemory(t, handlerFunc(
		func(ctx context.Context, request *protocol.Request, send func(*protocol.Response) error) error {
			<-release
			return answerEmpty(ctx, request, send)
		}), 8<<20)
	pool := startPool(t, testKey)
	const requests = 4
	results := make(chan error, requests)
	for range requests {
		go func() {
			_, err := pool.Call(t.Context(), address, turnOfBytes(1<<20))
			results <- err
		}()
	}
	// One finds room; the others are rejected while it is served.
	for range requests - 1 {
		if err := <-results; !failure.Is(err, failure.NotReady) {
			t.Errorf("got %v", err)
		}
	}
	close(release)
	if err := <-results; err != nil {
		t.Error(err)
	}
}

// stoppedProxy passes a connection on to a server and stops reading from the server in the middle of a large answer.
type stoppedProxy struct {
	address string
	stopped chan struct{}
	resumed chan struct{}
}

func newStoppedProxy(t *testing.T, server string) *stoppedProxy {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := &stoppedProxy{
		address: listener.Addr().String(), stopped: make(chan struct{}), resumed: make(chan struct{}),
	}
	go func() {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		callee, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server)
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(callee, caller)
			_ = callee.Close()
		}()
		// The handshake and the beginning of the answer.
		_, _ = io.CopyN(caller, callee, 16<<10)
		close(p.stopped)
		<-p.resumed
		_, _ = io.Copy(caller, callee)
		_ = caller.Close()
	}()
	return p
}

func (p *stoppedProxy) resume() { close(p.resumed) }

func TestLargeAnswerHoldsItsHandlerUntilItWasWritten(t *testing.T) {
	sent := make(chan struct{})
	address := startWithMemory(t, handlerFunc(
		func(_ context.Context, _ *protocol.Request, send func(*protocol.Response) error) error {
			defer close(sent)
			return send(&protocol.Response{Body: &protocol.Response_ToolCall{
				ToolCall: &protocol.ToolCallResponse{Body: make([]byte, 15<<20)},
			}})
		}), 8<<20)
	// A peer that proves the key and does not read.
	proxy := newStoppedProxy(t, address)
	pool := startPool(t, testKey)
	calls := make(chan error, 1)
	go func() {
		_, err := pool.Call(t.Context(), proxy.address, turnOfBytes(10))
		calls <- err
	}()
	<-proxy.stopped
	select {
	case <-sent:
		t.Error("the handler returned before its answer was written")
	default:
	}
	proxy.resume()
	<-sent
	if err := <-calls; err != nil {
		t.Error(err)
	}
}

func TestManyHeaderFieldsNeedMoreMemoryThanTheirFrame(t *testing.T) {
	address := startWithMemory(t, handlerFunc(answerEmpty), 1<<20)
	pool := startPool(t, testKey)
	call := func(fields int) error {
		routed := &protocol.HttpRequest{Route: "r"}
		for range fields {
			routed.Headers = append(routed.Headers, &protocol.HttpHeader{Name: "a"})
		}
		_, err := pool.Call(t.Context(), address, &protocol.Request{Body: &protocol.Request_ToolCall{
			ToolCall: &protocol.ToolCallRequest{Http: routed},
		}})
		return err
	}
	if err := call(4000); !failure.Is(err, failure.NotReady) {
		t.Errorf("got %v", err)
	}
	if err := call(2000); err != nil {
		t.Error(err)
	}
}
