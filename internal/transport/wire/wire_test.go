package wire_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type handlerFunc func(ctx context.Context, request *protocol.Request, send func(*protocol.Response) error) error

func (f handlerFunc) Serve(ctx context.Context, request *protocol.Request, send func(*protocol.Response) error) error {
	return f(ctx, request, send)
}

var testKey = []byte("a key of the test cluster")

func startServer(t *testing.T, handler wire.Handler) (address string, server *wire.Server) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server = wire.NewServer(listener, handler, wire.ServerOptions{Key: testKey})
	server.Start()
	t.Cleanup(server.Close)
	return listener.Addr().String(), server
}

func startPool(t *testing.T, key []byte) *wire.Pool {
	t.Helper()
	pool := wire.NewPool(wire.PoolOptions{Key: key, Node: "test"})
	t.Cleanup(pool.Close)
	return pool
}

func explainRequest(id string) *protocol.Request {
	return &protocol.Request{Body: &protocol.Request_Explain{Explain: &protocol.ExplainRequest{RequestId: id}}}
}

func explainResponse(id string) *protocol.Response {
	return &protocol.Response{Body: &protocol.Response_Explain{Explain: &protocol.ExplainResponse{
		Explanations: []*protocol.Explanation{{RequestId: id}},
	}}}
}

func echo(_ context.Context, request *protocol.Request, send func(*protocol.Response) error) error {
	return send(explainResponse(request.GetExplain().GetRequestId()))
}

func TestConcurrentCallsGetTheirOwnAnswers(t *testing.T) {
	address, _ := startServer(t, handlerFunc(echo))
	pool := startPool(t, testKey)
	failures := make(chan error, 200)
	for i := range 200 {
		go func() {
			id := string(rune('a'+i%26)) + time.Duration(i).String()
			answer, err := pool.Call(context.Background(), address, explainRequest(id))
			if err == nil && answer.GetExplain().GetExplanations()[0].GetRequestId() != id {
				err = errors.Newf("request %s got the answer of another request", id)
			}
			failures <- err
		}()
	}
	for range 200 {
		if err := <-failures; err != nil {
			t.Fatal(err)
		}
	}
}

func TestStreamsKeepTheirOrderAndEnd(t *testing.T) {
	address, _ := startServer(t,
		handlerFunc(func(_ context.Context, _ *protocol.Request, send func(*protocol.Response) error) error {
			for i := range 1000 {
				if err := send(explainResponse(time.Duration(i).String())); err != nil {
					return err
				}
			}
			return nil
		}))
	stream, err := startPool(t, testKey).Open(context.Background(), address, explainRequest("x"))
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	for i := range 1000 {
		answer, err := stream.Receive()
		if err != nil || answer.GetExplain().GetExplanations()[0].GetRequestId() != time.Duration(i).String() {
			t.Fatalf("answer %d: got %v, error %v, want the answer %v", i, answer, err, time.Duration(i))
		}
	}
	if _, err := stream.Receive(); !errors.Is(err, io.EOF) {
		t.Fatalf("got error %v after the last answer, want io.EOF", err)
	}
}

func TestFailuresKeepTheirType(t *testing.T) {
	address, _ := startServer(t,
		handlerFunc(func(context.Context, *protocol.Request, func(*protocol.Response) error) error {
			return failure.New(failure.NotLeader, protocol.Outcome_NOT_RUN, "another process is the leader")
		}))
	_, err := startPool(t, testKey).Call(context.Background(), address, explainRequest("x"))
	if !failure.Is(err, failure.NotLeader) {
		t.Fatalf("got error %v, want the handler's failure %s", err, failure.NotLeader)
	}
}

func TestClosingAStreamCancelsTheHandler(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	address, _ := startServer(t,
		handlerFunc(func(ctx context.Context, _ *protocol.Request, _ func(*protocol.Response) error) error {
			close(began)
			<-ctx.Done()
			close(ended)
			return ctx.Err()
		}))
	stream, err := startPool(t, testKey).Open(context.Background(), address, explainRequest("x"))
	if err != nil {
		t.Fatal(err)
	}
	<-began
	stream.Close()
	<-ended
}

func TestBrokenConnectionIsNotMistakenForARejection(t *testing.T) {
	began := make(chan struct{})
	address, server := startServer(t,
		handlerFunc(func(ctx context.Context, _ *protocol.Request, _ func(*protocol.Response) error) error {
			close(began)
			<-ctx.Done()
			return ctx.Err()
		}))
	pool := startPool(t, testKey)
	notified := make(chan string, 1)
	pool.OnBroken(func(broken string) { notified <- broken })
	stream, err := pool.Open(context.Background(), address, explainRequest("x"))
	if err != nil {
		t.Fatal(err)
	}
	<-began
	server.Close()
	var broken *wire.BrokenError
	if _, err := stream.Receive(); !errors.As(err, &broken) {
		t.Fatalf("got error %v after the server closed, want a *BrokenError", err)
	}
	if got := <-notified; got != address {
		t.Fatalf("OnBroken was called with address %s, want %s", got, address)
	}
	var notSent *wire.NotSentError
	if _, err := pool.Call(context.Background(), address, explainRequest("y")); !errors.As(err, &notSent) {
		t.Fatalf("got error %v from a closed server, want a *NotSentError", err)
	}
}

func TestWrongKeyIsRejectedInBothDirections(t *testing.T) {
	served := false
	address, _ := startServer(t,
		handlerFunc(func(context.Context, *protocol.Request, func(*protocol.Response) error) error {
			served = true
			return nil
		}))
	var notSent *wire.NotSentError
	_, err := startPool(t, []byte("another")).Call(context.Background(), address, explainRequest("x"))
	if !errors.As(err, &notSent) {
		t.Fatalf("got error %v with the wrong key, want a *NotSentError", err)
	}
	if served {
		t.Fatal("a request with the wrong key was served")
	}
}

// recordingConnection records what a client sends, so that it can be replayed.
type recordingConnection struct {
	net.Conn
	sent []byte
}

func (r *recordingConnection) Write(data []byte) (int, error) {
	r.sent = append(r.sent, data...)
	return r.Conn.Write(data)
}

func TestReplayedTruncatedAndOversizedBytesAreNotServed(t *testing.T) {
	count := 0
	address, server := startServer(t,
		handlerFunc(func(_ context.Context, _ *protocol.Request, send func(*protocol.Response) error) error {
			count++
			return send(explainResponse("x"))
		}))
	var recorded *recordingConnection
	pool := wire.NewPool(wire.PoolOptions{Key: testKey, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		recorded = &recordingConnection{Conn: connection}
		return recorded, err
	}})
	if _, err := pool.Call(context.Background(), address, explainRequest("x")); err != nil {
		t.Fatal(err)
	}
	pool.Close()
	oversized := binary.BigEndian.AppendUint32(nil, 1<<31)
	for name, bytes := range map[string][]byte{
		"replayed": recorded.sent, "truncated": recorded.sent[:20], "oversized": oversized, "empty": nil,
	} {
		connection, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := connection.Write(bytes); err != nil {
			t.Fatal(err)
		}
		if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, connection)
		_ = connection.Close()
		if count != 1 {
			t.Fatalf("%d requests served after %s bytes, want 1", count, name)
		}
	}
	server.Close()
}

func TestDeadlineIsPropagatedWithTheRequest(t *testing.T) {
	timeLeft := make(chan time.Duration, 1)
	address, _ := startServer(t,
		handlerFunc(func(ctx context.Context, _ *protocol.Request, send func(*protocol.Response) error) error {
			deadline, has := ctx.Deadline()
			if !has {
				return errors.New("no deadline")
			}
			timeLeft <- time.Until(deadline)
			return send(explainResponse("x"))
		}))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := startPool(t, testKey).Call(ctx, address, explainRequest("x")); err != nil {
		t.Fatal(err)
	}
	if got := <-timeLeft; got > time.Minute+time.Second || got <= 0 {
		t.Fatalf("the handler's deadline is in %v, want at most a minute", got)
	}
}

func TestPanickingHandlerEndsOnlyItsOwnExchange(t *testing.T) {
	address, server := startServer(t,
		handlerFunc(func(ctx context.Context, request *protocol.Request, send func(*protocol.Response) error) error {
			if request.GetExplain().GetRequestId() == "bad" {
				panic("a fault in the handler")
			}
			return echo(ctx, request, send)
		}))
	pool := startPool(t, testKey)
	_, err := pool.Call(context.Background(), address, explainRequest("bad"))
	if !failure.Is(err, failure.InternalError) || failure.From(err).GetOutcome() != protocol.Outcome_UNKNOWN {
		t.Fatalf("got error %v, want %s with the outcome unknown", err, failure.InternalError)
	}
	if _, err := pool.Call(context.Background(), address, explainRequest("good")); err != nil {
		t.Fatal(err)
	}
	if server.Counters().Panics.Load() != 1 {
		t.Fatalf("got %d panics counted, want 1", server.Counters().Panics.Load())
	}
}

// exhaustedListener always fails to accept, as when file descriptors have run out.
type exhaustedListener struct {
	net.Listener
	tries chan struct{}
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	select {
	case l.tries <- struct{}{}:
	default:
	}
	return nil, errors.New("too many open files")
}

func TestListenerThatAlwaysFailsStillCloses(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	exhausted := &exhaustedListener{Listener: listener, tries: make(chan struct{}, 1)}
	server := wire.NewServer(exhausted, handlerFunc(echo), wire.ServerOptions{Key: testKey})
	server.Start()
	<-exhausted.tries
	server.Close()
}
