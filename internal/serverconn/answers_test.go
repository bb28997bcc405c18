package serverconn_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/serverconn"
)

// once answers the first request of each connection with these bytes and closes it.
func once(t *testing.T, answer string) *server {
	return newServer(t, func(connection net.Conn, reader *bufio.Reader) {
		if request, _ := readRequest(t, reader); request != nil {
			_, _ = io.WriteString(connection, answer)
		}
	})
}

func TestBytesThatAreNoAnswerMayStandForARunRequest(t *testing.T) {
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
			_, err := pool.Do(context.Background(), once(t, answer).address(), post("a"))
			var broken *serverconn.BrokenError
			if !errors.As(err, &broken) {
				t.Fatalf("gave %v", err)
			}
		})
	}
}

func TestAnAnswerWithoutALengthEndsWithItsConnectionAndIsNotReused(t *testing.T) {
	ending := once(t, "HTTP/1.1 200 OK\r\n\r\nuntil the end")
	pool := newPool(t, serverconn.Options{})
	for range 2 {
		if got := whole(t, pool, ending.address(), "a"); got != "until the end" {
			t.Fatalf("got %q", got)
		}
	}
	if pool.Opened() != 2 {
		t.Fatalf("%d connections were opened", pool.Opened())
	}
}

func TestAnAnswerWithoutALengthThatIsResetIsNotWhole(t *testing.T) {
	resetting := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
		// The body stays unread, so that closing resets the connection.
		if _, err := reader.ReadString('\n'); err != nil {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = connection.(*net.TCPConn).SetLinger(0)
	})
	pool := newPool(t, serverconn.Options{})
	// Whether the writer or the reader is told of the reset is the kernel's choice; both must come up.
	for range 40 {
		response, err := pool.Do(context.Background(), resetting.address(), post(strings.Repeat("x", 1<<20)))
		if err != nil {
			var broken *serverconn.BrokenError
			if !errors.As(err, &broken) {
				t.Fatalf("gave %v", err)
			}
			continue
		}
		body, err := response.ReadAll(100)
		response.Discard()
		if err == nil {
			t.Fatalf("%q looks whole", body)
		}
	}
}

func TestAnAnswerLargerThanTheBoundIsNotTaken(t *testing.T) {
	large := once(t, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nlarger body")
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

func TestARequestWhoseTimeIsOverIsNotSent(t *testing.T) {
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

func TestAConnectionWhoseAnswerWasNotReadWholeIsNotReused(t *testing.T) {
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
	whole(t, pool, keeping.address(), "b")
	if pool.Opened() != 2 {
		t.Fatalf("%d connections were opened", pool.Opened())
	}
}

func TestForgottenConnectionsAreNotUsedForTheNextServerAtTheirAddress(t *testing.T) {
	keeping := newServer(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			if request, _ := readRequest(t, reader); request == nil {
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := newPool(t, serverconn.Options{})
	whole(t, pool, keeping.address(), "a")
	pool.Forget(keeping.address())
	whole(t, pool, keeping.address(), "b")
	if pool.Opened() != 2 {
		t.Fatalf("%d connections were opened", pool.Opened())
	}
}
