package httpdrain_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rosestand/rosestand/internal/transport/httpdrain"
)

// newLoopbackServer serves echo on a loopback port.
func newLoopbackServer(t *testing.T) (server *httpdrain.Server, address string, served <-chan error) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server = httpdrain.New(&http.Server{Handler: http.HandlerFunc(echo)}, listener)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve() }()
	t.Cleanup(func() { _ = server.Close() })
	return server, listener.Addr().String(), ended
}

func TestACallerReceivesTheClosingResponseEvenIfItSendsMore(t *testing.T) {
	server, address, served := newLoopbackServer(t)
	connection, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	caller := &pipeCaller{Conn: connection, t: t, reader: bufio.NewReader(connection)}
	request, _ := post("before")
	caller.send(request)
	if status, body := caller.receive(); status != http.StatusOK || body != "before" {
		t.Fatalf("answer before the drain: got status %d, body %q, want %d, %q", status, body, http.StatusOK, "before")
	}
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(context.Background()) }()
	if _, err := caller.reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	// The server has closed its side. A request in transit must not reset the connection before its caller has read the
	// closing response.
	caller.send(request)
	if status, _ := caller.receive(); status != http.StatusRequestTimeout {
		t.Errorf("answer to the crossing request: got status %d, want %d", status, http.StatusRequestTimeout)
	}
	caller.expectClosed()
	_ = connection.Close()
	if err := errors.Join(<-drained, <-served); err != nil {
		t.Error(err)
	}
}

func TestAnHTTPClientHandlesTheClosingResponse(t *testing.T) {
	server, address, served := newLoopbackServer(t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	if err := errors.Join(server.Drain(context.Background()), <-served); err != nil {
		t.Error(err)
	}
	if answer, err := client.Do(request); err == nil {
		_ = answer.Body.Close()
		t.Errorf("got an answer with status %d from a stopped server, want an error", answer.StatusCode)
	}
}
