package serverconn_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/transport/serverconn"
)

// newOneAnswerServer starts a server that answers the first request of each connection with the given bytes and closes
// the connection.
func newOneAnswerServer(t *testing.T, answer string) *server {
	return newServer(t, func(connection net.Conn, reader *bufio.Reader) {
		if request, _ := readRequest(t, reader); request != nil {
			_, _ = io.WriteString(connection, answer)
		}
	})
}

func TestMalformedAnswerMeansTheRequestMayHaveRun(t *testing.T) {
	for name, answer := range map[string]string{
		"nothing":                    "",
		"no protocol":                "hello\r\n\r\n",
		"another protocol":           "\x16\x03\x01\x02\x00\x01",
		"a truncated head":           "HTTP/1.1 200 OK\r\nContent-Le",
		"a status without a number":  "HTTP/1.1 two OK\r\n\r\n",
		"two lengths":                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"only informational answers": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			pool := newPool(t, serverconn.Options{})
			_, err := pool.Do(context.Background(), newOneAnswerServer(t, answer).address(), post("a"))
			if _, ok := errors.AsType[*serverconn.BrokenError](err); !ok {
				t.Fatalf("got error %v, want a *BrokenError", err)
			}
		})
	}
}

// headOfSize returns a head of exactly size bytes for an answer with a body of two bytes.
func headOfSize(size int) string {
	const begin, end = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", "\r\n"
	const name, lineEnd, maxLine = "X: ", "\r\n", 1 << 10
	var head strings.Builder
	head.WriteString(begin)
	for remaining := size - len(begin) - len(end); remaining > 0; {
		line := min(remaining, maxLine)
		if rest := remaining - line; rest > 0 && rest <= len(name)+len(lineEnd) {
			line -= maxLine / 2
		}
		head.WriteString(name + strings.Repeat("x", line-len(name)-len(lineEnd)) + lineEnd)
		remaining -= line
	}
	head.WriteString(end)
	return head.String()
}

func TestHeadsOfAnswersAreBounded(t *testing.T) {
	informational := "HTTP/1.1 103 Early\r\n\r\n"
	for name, test := range map[string]struct {
		answer   string
		accepted bool
	}{
		"as large as allowed": {answer: headOfSize(serverconn.MaxHeadBytes) + "ab", accepted: true},
		"a byte larger":       {answer: headOfSize(serverconn.MaxHeadBytes+1) + "ab"},
		"one header without an end": {answer: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x",
			4*serverconn.MaxHeadBytes)},
		"a status line without an end": {answer: "HTTP/1.1 200 " + strings.Repeat("x", 4*serverconn.MaxHeadBytes)},
		"informational answers without an end": {answer: strings.Repeat(informational,
			4*serverconn.MaxHeadBytes/len(informational))},
		"a large head after an informational answer": {answer: informational + headOfSize(serverconn.MaxHeadBytes) + "ab"},
		"a small head and a long body": {answer: "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x",
			4*serverconn.MaxHeadBytes), accepted: true},
	} {
		t.Run(name, func(t *testing.T) {
			served := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
				if request, _ := readRequest(t, reader); request != nil {
					_, _ = io.WriteString(connection, test.answer)
				}
			})
			pool := newPool(t, serverconn.Options{})
			response, err := pool.Do(context.Background(), served.address(), post("a"))
			if test.accepted {
				if err != nil {
					t.Fatal(err)
				}
				if _, err := response.ReadAll(int64(len(test.answer))); err != nil {
					t.Error(err)
				}
				response.Close()
				return
			}
			var broken *serverconn.BrokenError
			var tooLarge *serverconn.HeadTooLargeError
			if !errors.As(err, &broken) || !errors.As(err, &tooLarge) || tooLarge.Limit != serverconn.MaxHeadBytes {
				t.Fatalf("got error %v, want a *BrokenError by a *HeadTooLargeError", err)
			}
		})
	}
}

func TestConnectionWithATooLargeHeadIsNotReused(t *testing.T) {
	served := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			request, _ := readRequest(t, reader)
			if request == nil {
				return
			}
			_, _ = io.WriteString(connection, headOfSize(serverconn.MaxHeadBytes+1)+"ab")
		}
	})
	pool := newPool(t, serverconn.Options{})
	for range 2 {
		if _, err := pool.Do(context.Background(), served.address(), post("a")); err == nil {
			t.Fatalf("a head of %d bytes was accepted, want an error", serverconn.MaxHeadBytes+1)
		}
	}
	if pool.Opened() != 2 {
		t.Fatalf("%d connections were opened, want 2", pool.Opened())
	}
}

func TestHeadBoundAppliesToEachExchange(t *testing.T) {
	served := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			request, _ := readRequest(t, reader)
			if request == nil {
				return
			}
			_, _ = io.WriteString(connection, headOfSize(serverconn.MaxHeadBytes)+"ab")
		}
	})
	pool := newPool(t, serverconn.Options{})
	for range 3 {
		if got := readAll(t, pool, served.address(), "a"); got != "ab" {
			t.Fatalf("got body %q, want %q", got, "ab")
		}
	}
	if pool.Opened() != 1 {
		t.Fatalf("%d connections were opened, want 1", pool.Opened())
	}
}

func TestAnswerWithoutALengthEndsWithItsConnection(t *testing.T) {
	ending := newOneAnswerServer(t, "HTTP/1.1 200 OK\r\n\r\nuntil the end")
	pool := newPool(t, serverconn.Options{})
	for range 2 {
		if got := readAll(t, pool, ending.address(), "a"); got != "until the end" {
			t.Fatalf("got body %q, want %q", got, "until the end")
		}
	}
	if pool.Opened() != 2 {
		t.Fatalf("%d connections were opened, want 2", pool.Opened())
	}
}

func TestResetAnswerWithoutALengthIsNotComplete(t *testing.T) {
	resetting := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
		// The request's body is not read, so closing resets the connection.
		if _, err := reader.ReadString('\n'); err != nil {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = connection.(*net.TCPConn).SetLinger(0)
	})
	pool := newPool(t, serverconn.Options{})
	// The kernel reports the reset to the writer or to the reader; with 40 attempts, both cases should occur.
	for range 40 {
		response, err := pool.Do(context.Background(), resetting.address(), post(strings.Repeat("x", 1<<20)))
		if err != nil {
			if _, ok := errors.AsType[*serverconn.BrokenError](err); !ok {
				t.Fatalf("got error %v, want a *BrokenError", err)
			}
			continue
		}
		body, err := response.ReadAll(100)
		response.Discard()
		if err == nil {
			t.Fatalf("the truncated body %q was returned as complete, want an error", body)
		}
	}
}

func TestAnswerLargerThanTheLimitIsRejected(t *testing.T) {
	large := newOneAnswerServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nlarger body")
	pool := newPool(t, serverconn.Options{})
	response, err := pool.Do(context.Background(), large.address(), post("a"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Discard()
	var tooLarge *serverconn.TooLargeError
	if _, err := response.ReadAll(10); !errors.As(err, &tooLarge) {
		t.Fatalf("got error %v for a body of 11 bytes, want a *TooLargeError", err)
	}
}

func TestRequestAfterItsDeadlineIsNotSent(t *testing.T) {
	dialed := false
	pool := newPool(t, serverconn.Options{Dial: func(context.Context, string) (net.Conn, error) {
		dialed = true
		return nil, io.ErrClosedPipe
	}})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var notSent *serverconn.NotSentError
	if _, err := pool.Do(ctx, "server", post("a")); !errors.As(err, &notSent) || dialed {
		t.Fatalf("got error %v, dialed %t, want a *NotSentError and no dial", err, dialed)
	}
}

func TestConnectionWithAnUnreadAnswerIsNotReused(t *testing.T) {
	keeping := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			if request, _ := readRequest(t, reader); request == nil {
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := newPool(t, serverconn.Options{})
	response, err := pool.Do(context.Background(), keeping.address(), post("a"))
	if err != nil {
		t.Fatal(err)
	}
	response.Close()
	readAll(t, pool, keeping.address(), "b")
	if pool.Opened() != 2 {
		t.Fatalf("%d connections were opened, want 2", pool.Opened())
	}
}

func TestClosedIdleConnectionsAreNotUsedForTheNextServerAtTheirAddress(t *testing.T) {
	keeping := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			if request, _ := readRequest(t, reader); request == nil {
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := newPool(t, serverconn.Options{})
	readAll(t, pool, keeping.address(), "a")
	pool.CloseIdle(keeping.address())
	readAll(t, pool, keeping.address(), "b")
	if pool.Opened() != 2 {
		t.Fatalf("%d connections were opened, want 2", pool.Opened())
	}
}

func TestAnswerWithoutALengthToALargeRequestIsComplete(t *testing.T) {
	ending := newOneAnswerServer(t, "HTTP/1.1 200 OK\r\n\r\nuntil the end")
	pool := newPool(t, serverconn.Options{})
	// The scheduler decides whether the writer or the reader finishes first; with 200 attempts, both cases should occur.
	for range 200 {
		if got := readAll(t, pool, ending.address(), strings.Repeat("x", 16<<10)); got != "until the end" {
			t.Fatalf("got body %q, want %q", got, "until the end")
		}
	}
}

func TestConnectionIsReusedAfterALargeRequest(t *testing.T) {
	keeping := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			if request, _ := readRequest(t, reader); request == nil {
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := newPool(t, serverconn.Options{})
	for range 200 {
		readAll(t, pool, keeping.address(), strings.Repeat("x", 16<<10))
	}
	if pool.Opened() != 1 {
		t.Fatalf("%d connections were opened, want 1", pool.Opened())
	}
}
