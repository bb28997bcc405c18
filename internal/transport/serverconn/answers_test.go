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

// newOneAnswerServer answers the first request of each connection with these bytes and closes it.
func newOneAnswerServer(t *testing.T, answer string) *server {
	return newServer(t, func(connection net.Conn, reader *bufio.Reader) {
		if request, _ := readRequest(t, reader); request != nil {
			_, _ = io.WriteString(connection, answer)
		}
	})
}

func TestMalformedAnswerMeansTheRequestMayHaveRun(t *testing.T) {
	for name, answer := range map[string]string{
		"nothing":               "",
		"no protocol":           "hello\r\n\r\n",
		"another protocol":      "\x16\x03\x01\x02\x00\x01",
		"a head cut short":      "HTTP/1.1 200 OK\r\nContent-Le",
		"a status of no number": "HTTP/1.1 two OK\r\n\r\n",
		"two lengths":           "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"only provisional ones": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			pool := newPool(t, serverconn.Options{})
			_, err := pool.Do(context.Background(), newOneAnswerServer(t, answer).address(), post("a"))
			if _, ok := errors.AsType[*serverconn.BrokenError](err); !ok {
				t.Fatalf("gave %v", err)
			}
		})
	}
}

// headOfSize gives the head of an answer of so many bytes, with a body of two.
func headOfSize(size int) string {
	const begin, end = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", "\r\n"
	const name, lineEnd, most = "X: ", "\r\n", 1 << 10
	var head strings.Builder
	head.WriteString(begin)
	for left := size - len(begin) - len(end); left > 0; {
		line := min(left, most)
		if rest := left - line; rest > 0 && rest <= len(name)+len(lineEnd) {
			line -= most / 2
		}
		head.WriteString(name + strings.Repeat("x", line-len(name)-len(lineEnd)) + lineEnd)
		left -= line
	}
	head.WriteString(end)
	return head.String()
}

func TestHeadsOfAnswersAreBounded(t *testing.T) {
	provisional := "HTTP/1.1 103 Early\r\n\r\n"
	for name, test := range map[string]struct {
		answer  string
		isTaken bool
	}{
		"as large as is allowed": {answer: headOfSize(serverconn.MaxHeadBytes) + "ab", isTaken: true},
		"a byte larger":          {answer: headOfSize(serverconn.MaxHeadBytes+1) + "ab"},
		"one header without an end": {answer: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x",
			4*serverconn.MaxHeadBytes)},
		"a status line without an end": {answer: "HTTP/1.1 200 " + strings.Repeat("x", 4*serverconn.MaxHeadBytes)},
		"provisional answers without an end": {answer: strings.Repeat(provisional,
			4*serverconn.MaxHeadBytes/len(provisional))},
		"a large one after a provisional one": {answer: provisional + headOfSize(serverconn.MaxHeadBytes) + "ab"},
		"a small one, and a body that is long": {answer: "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x",
			4*serverconn.MaxHeadBytes), isTaken: true},
	} {
		t.Run(name, func(t *testing.T) {
			served := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
				if request, _ := readRequest(t, reader); request != nil {
					_, _ = io.WriteString(connection, test.answer)
				}
			})
			pool := newPool(t, serverconn.Options{})
			response, err := pool.Do(context.Background(), served.address(), post("a"))
			if test.isTaken {
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
				t.Fatalf("gave %v", err)
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
			t.Fatal("the head was taken")
		}
	}
	if pool.Opened() != 2 {
		t.Fatalf("%d connections were opened", pool.Opened())
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
			t.Fatalf("got %q", got)
		}
	}
	if pool.Opened() != 1 {
		t.Fatalf("%d connections were opened", pool.Opened())
	}
}

func TestAnswerWithoutALengthEndsWithItsConnection(t *testing.T) {
	ending := newOneAnswerServer(t, "HTTP/1.1 200 OK\r\n\r\nuntil the end")
	pool := newPool(t, serverconn.Options{})
	for range 2 {
		if got := readAll(t, pool, ending.address(), "a"); got != "until the end" {
			t.Fatalf("got %q", got)
		}
	}
	if pool.Opened() != 2 {
		t.Fatalf("%d connections were opened", pool.Opened())
	}
}

func TestResetAnswerWithoutALengthIsNotComplete(t *testing.T) {
	resetting := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
		// The body stays unread, so that closing resets the connection.
		if _, err := reader.ReadString('\n'); err != nil {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = connection.(*net.TCPConn).SetLinger(0)
	})
	pool := newPool(t, serverconn.Options{})
	// Whether the writer or the reader gets the reset is the kernel's choice; both must occur.
	for range 40 {
		response, err := pool.Do(context.Background(), resetting.address(), post(strings.Repeat("x", 1<<20)))
		if err != nil {
			if _, ok := errors.AsType[*serverconn.BrokenError](err); !ok {
				t.Fatalf("gave %v", err)
			}
			continue
		}
		body, err := response.ReadAll(100)
		response.Discard()
		if err == nil {
			t.Fatalf("%q looks complete", body)
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
		t.Fatalf("gave %v", err)
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
		t.Fatalf("gave %v, dialed %t", err, dialed)
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
		t.Fatalf("%d connections were opened", pool.Opened())
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
		t.Fatalf("%d connections were opened", pool.Opened())
	}
}

func TestAnswerWithoutALengthToALargeRequestIsComplete(t *testing.T) {
	ending := newOneAnswerServer(t, "HTTP/1.1 200 OK\r\n\r\nuntil the end")
	pool := newPool(t, serverconn.Options{})
	// Whether the writer or the reader is done first is the scheduler's choice; both must occur.
	for range 200 {
		if got := readAll(t, pool, ending.address(), strings.Repeat("x", 16<<10)); got != "until the end" {
			t.Fatalf("got %q", got)
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
		t.Fatalf("%d connections were opened", pool.Opened())
	}
}
