package serverconn_test

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/memnet"
	"github.com/rosestand/rosestand/internal/transport/serverconn"
)

// answerOnce answers one request and closes the connection without announcing it in the answer.
func answerOnce(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func TestEndedConnectionInMemoryIsNotReused(t *testing.T) {
	const address = "10.0.0.2:80"
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(
			rand.New(rand.NewPCG(1, 1)), memnet.Latency{Min: time.Millisecond, Max: 2 * time.Millisecond},
		)
		listener, err := network.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for connection, err := listener.Accept(); err == nil; connection, err = listener.Accept() {
				go answerOnce(connection)
			}
		}()
		pool := serverconn.New(serverconn.Options{Dial: network.Dialer("10.0.0.1")})
		for range 3 {
			response, err := pool.Do(t.Context(), address, &serverconn.Request{Method: http.MethodGet, Target: "/", Host: "h"})
			if err != nil {
				t.Fatal(err)
			}
			if body, err := response.ReadAll(10); err != nil || string(body) != "ok" {
				t.Errorf("got body %q, error %v, want %q", body, err, "ok")
			}
			response.Close()
			<-time.After(time.Second)
		}
		if pool.Opened() != 3 {
			t.Errorf("%d connections were opened, want 3", pool.Opened())
		}
		pool.Close()
		network.Close()
	})
}
