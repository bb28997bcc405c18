package serverconn_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/lab/closedport"
	"github.com/rosestand/rosestand/internal/transport/serverconn"
)

// server serves each connection with a function of the test.
type server struct {
	listener net.Listener
	group    sync.WaitGroup
}

func newServer(t *testing.T, serve func(connection net.Conn, reader *bufio.Reader)) *server {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: listener}
	s.group.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			s.group.Go(func() {
				defer func() { _ = connection.Close() }()
				serve(connection, bufio.NewReader(connection))
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		s.group.Wait()
	})
	return s
}

func (s *server) address() string { return s.listener.Addr().String() }

func readRequest(t *testing.T, reader *bufio.Reader) (*http.Request, string) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, ""
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		t.Errorf("read the body of a request: %v", err)
	}
	return request, string(body)
}

// dialBound is far longer than a dial on loopback takes, even on a busy machine.
const dialBound = 30 * time.Second

func newPool(t *testing.T, options serverconn.Options) *serverconn.Pool {
	options.DialTimeout = dialBound
	pool := serverconn.New(options)
	t.Cleanup(pool.Close)
	return pool
}

func post(body string) *serverconn.Request {
	return &serverconn.Request{
		Method: "POST", Target: "/a%2Fb/?x=1&y", Host: "example.test",
		Headers: []*protocol.HttpHeader{{Name: "X-One", Value: "1"}}, Body: []byte(body),
	}
}

func readAll(t *testing.T, pool *serverconn.Pool, address, body string) string {
	t.Helper()
	response, err := pool.Do(context.Background(), address, post(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	text, err := response.ReadAll(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestRequestArrivesUnchangedAndItsConnectionIsReused(t *testing.T) {
	echo := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			request, body := readRequest(t, reader)
			if request == nil {
				return
			}
			text := strings.Join([]string{
				request.Method, request.RequestURI, request.Host, request.Header.Get("X-One"), body,
			}, " ")
			_, _ = fmt.Fprintf(
				connection, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text,
			)
		}
	})
	pool := newPool(t, serverconn.Options{})
	for _, body := range []string{"hello", "", strings.Repeat("long ", 20_000)} {
		if got, want := readAll(t, pool, echo.address(), body), "POST /a%2Fb/?x=1&y example.test 1 "+body; got != want {
			t.Fatalf("the server received %.80q, want %.80q", got, want)
		}
	}
	if pool.Opened() != 1 {
		t.Fatalf("%d connections were opened, want 1", pool.Opened())
	}
}

func TestConnectionWithSurplusBytesIsNotReused(t *testing.T) {
	for name, together := range map[string]bool{"in one piece with the answer": true, "after the answer": false} {
		t.Run(name, func(t *testing.T) {
			surplus := make(chan struct{})
			surplusServer := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
				if request, _ := readRequest(t, reader); request == nil {
					return
				}
				answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
				other := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
				if together {
					answer += other
				}
				_, _ = io.WriteString(connection, answer)
				<-surplus
				_, _ = io.WriteString(connection, other)
				_, _ = reader.ReadByte()
			})
			var dialed []net.Conn
			pool := newPool(t, serverconn.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
				connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				dialed = append(dialed, connection)
				return connection, err
			}})
			if got := readAll(t, pool, surplusServer.address(), "a"); got != "ok" {
				t.Fatalf("first answer: got %q, want %q", got, "ok")
			}
			close(surplus)
			if !together {
				awaitBytes(t, dialed[0])
			}
			if got := readAll(t, pool, surplusServer.address(), "b"); got != "ok" || pool.Opened() != 2 {
				t.Fatalf("second answer: got %q with %d connections opened, want %q with 2", got, pool.Opened(), "ok")
			}
		})
	}
}

// awaitBytes waits until bytes have arrived on a connection, without consuming them.
func awaitBytes(t *testing.T, connection net.Conn) {
	t.Helper()
	raw, err := connection.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		count, _, _ := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return count > 0
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestClosedIdleConnectionIsReplacedBeforeARequestIsSent(t *testing.T) {
	closing := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
		if request, _ := readRequest(t, reader); request == nil {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
	})
	pool := newPool(t, serverconn.Options{})
	for range 5 {
		if got := readAll(t, pool, closing.address(), "a"); got != "ok" {
			t.Fatalf("got body %q, want %q", got, "ok")
		}
	}
	if pool.Opened() != 5 {
		t.Fatalf("%d connections were opened, want 5", pool.Opened())
	}
}

func TestIdleConnectionExpiresBeforeItsServerClosesIt(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	keeping := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			if request, _ := readRequest(t, reader); request == nil {
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := newPool(t, serverconn.Options{Now: func() time.Time { return now }})
	readAll(t, pool, keeping.address(), "a")
	now = now.Add(time.Second)
	readAll(t, pool, keeping.address(), "a")
	if pool.Opened() != 1 {
		t.Fatalf("%d connections were opened, want 1: one that was idle for 1s of 2s was not reused", pool.Opened())
	}
	now = now.Add(1900 * time.Millisecond)
	readAll(t, pool, keeping.address(), "a")
	if pool.Opened() != 2 {
		t.Fatalf("%d connections were opened, want 2: one that was idle for 1.9s of 2s was reused", pool.Opened())
	}
}

func TestErrorsDistinguishRequestsThatMayHaveRun(t *testing.T) {
	closed, err := closedport.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := closed.Release(); err != nil {
			t.Error(err)
		}
	})
	pool := newPool(t, serverconn.Options{})
	var notSent *serverconn.NotSentError
	if _, err := pool.Do(context.Background(), closed.Address(), post("a")); !errors.As(err, &notSent) {
		t.Fatalf("request to a closed port: got error %v, want a *NotSentError", err)
	}
	closing := newServer(t, func(_ net.Conn, reader *bufio.Reader) { readRequest(t, reader) })
	var broken *serverconn.BrokenError
	if _, err := pool.Do(context.Background(), closing.address(), post("a")); !errors.As(err, &broken) {
		t.Fatalf("request whose connection closed without an answer: got error %v, want a *BrokenError", err)
	}
}

func TestCancelledExchangeEndsItsConnection(t *testing.T) {
	ended := make(chan error, 1)
	waiting := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
		readRequest(t, reader)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
		_, err := reader.ReadByte()
		ended <- err
	})
	pool := newPool(t, serverconn.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	response, err := pool.Do(ctx, waiting.address(), post("a"))
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := response.ReadAll(100); err == nil {
		t.Fatal("the body of a cancelled exchange was read without an error")
	}
	response.Close()
	if err := <-ended; err == nil {
		t.Fatal("the connection of a cancelled exchange was not closed at the server")
	}
}

func TestTruncatedAnswerIsNotComplete(t *testing.T) {
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			cut := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
				readRequest(t, reader)
				_, _ = io.WriteString(connection, answer)
			})
			pool := newPool(t, serverconn.Options{})
			response, err := pool.Do(context.Background(), cut.address(), post("a"))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Close()
			if _, err := response.ReadAll(100); err == nil {
				t.Fatalf("the truncated answer %q was read without an error", answer)
			}
		})
	}
}

func TestConnectionOfAServerThatAnswersEarlyIsNotReused(t *testing.T) {
	release := make(chan struct{})
	early := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, err := reader.ReadString('\n'); err != nil {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		<-release
	})
	pool := newPool(t, serverconn.Options{})
	// The body exceeds the socket buffers, so that the write is still in progress when the answer arrives.
	response, err := pool.Do(context.Background(), early.address(), post(strings.Repeat("x", 64<<20)))
	if err != nil {
		t.Fatal(err)
	}
	if response.Status != http.StatusRequestEntityTooLarge {
		t.Fatalf("got status %d, want %d", response.Status, http.StatusRequestEntityTooLarge)
	}
	if _, err := response.ReadAll(10); err != nil {
		t.Fatal(err)
	}
	response.Close()
	close(release)
	if next, err := pool.Do(context.Background(), early.address(), post("b")); err == nil {
		next.Discard()
	}
	if pool.Opened() != 2 {
		t.Fatalf("%d connections were opened, want 2", pool.Opened())
	}
}
