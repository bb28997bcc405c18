package memnet_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/testing/lab/memnet"
)

const (
	callerHost = "10.0.0.1"
	serverHost = "10.0.0.2"
	address    = serverHost + ":80"
	latency    = 5 * time.Millisecond
)

// linked runs a test with a connection between two hosts.
func linked(t *testing.T, story func(t *testing.T, network *memnet.Network, near, far net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(rand.New(rand.NewPCG(1, 1)), memnet.Latency{Min: latency, Max: latency})
		listener, err := network.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		near, err := network.Dialer(callerHost)(t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		far, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _, _, _ = near.Close(), far.Close(), listener.Close() }()
		story(t, network, near, far)
	})
}

func send(t *testing.T, connection net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(connection, text); err != nil {
		t.Fatal(err)
	}
}

func expect(t *testing.T, connection net.Conn, text string) {
	t.Helper()
	buffer := make([]byte, len(text))
	if _, err := io.ReadFull(connection, buffer); err != nil || string(buffer) != text {
		t.Errorf("read %q, %v; must be %q", buffer, err, text)
	}
}

func expectEnd(t *testing.T, connection net.Conn, causes ...error) {
	t.Helper()
	_, err := connection.Read(make([]byte, 1))
	for _, cause := range causes {
		if errors.Is(err, cause) {
			return
		}
	}
	t.Errorf("ended with %v, must be one of %v", err, causes)
}

// expectSilence fails when anything arrives within a second.
func expectSilence(t *testing.T, connection net.Conn) {
	t.Helper()
	_ = connection.SetReadDeadline(time.Now().Add(time.Second))
	expectEnd(t, connection, os.ErrDeadlineExceeded)
	_ = connection.SetReadDeadline(time.Time{})
}

func TestBytesAreDelayedAndOrdered(t *testing.T) {
	linked(t, func(t *testing.T, _ *memnet.Network, near, far net.Conn) {
		began := time.Now()
		send(t, near, "one ")
		send(t, near, "two")
		expect(t, far, "one two")
		if took := time.Since(began); took != latency {
			t.Errorf("took %s", took)
		}
	})
}

func TestPartitionDelaysBytesInItsDirection(t *testing.T) {
	linked(t, func(t *testing.T, network *memnet.Network, near, far net.Conn) {
		network.SetPartition(callerHost, serverHost, true)
		send(t, near, "held")
		send(t, far, "passes")
		expect(t, near, "passes")
		expectSilence(t, far)
		network.HealAll()
		expect(t, far, "held")
	})
}

func TestBytesOfAnIsolatedHostArriveAfterHealing(t *testing.T) {
	linked(t, func(t *testing.T, network *memnet.Network, near, far net.Conn) {
		network.Isolate(serverHost, true, true)
		send(t, near, "in")
		send(t, far, "out")
		expectSilence(t, near)
		expectSilence(t, far)
		network.Isolate(serverHost, false, false)
		expect(t, near, "out")
		expect(t, far, "in")
	})
}

func TestBytesOfACrashedProcessArriveBeforeItsEnd(t *testing.T) {
	linked(t, func(t *testing.T, network *memnet.Network, near, far net.Conn) {
		send(t, far, "last words")
		network.Crash(serverHost)
		expectEnd(t, far, net.ErrClosed)
		expect(t, near, "last words")
		expectEnd(t, near, io.EOF, syscall.ECONNRESET)
		_, err := network.Dialer(callerHost)(t.Context(), address)
		var dialing *net.OpError
		if !errors.As(err, &dialing) || dialing.Op != "dial" || !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("connecting ended with %v", err)
		}
	})
}

func TestEndOfAProcessDoesNotCrossAPartition(t *testing.T) {
	linked(t, func(t *testing.T, network *memnet.Network, near, _ net.Conn) {
		network.SetPartition(serverHost, callerHost, true)
		network.Crash(serverHost)
		expectSilence(t, near)
		network.HealAll()
		expectEnd(t, near, io.EOF, syscall.ECONNRESET)
	})
}

func TestPowerLossIsNoticedOnlyAfterPowerOn(t *testing.T) {
	linked(t, func(t *testing.T, network *memnet.Network, near, _ net.Conn) {
		network.LosePower(serverHost)
		send(t, near, "lost")
		expectSilence(t, near)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := network.Dialer(callerHost)(ctx, address); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("connecting ended with %v", err)
		}
		network.PowerOn(serverHost)
		expectEnd(t, near, syscall.ECONNRESET)
	})
}

func TestResetEndsBothSides(t *testing.T) {
	linked(t, func(t *testing.T, network *memnet.Network, near, far net.Conn) {
		network.Reset(serverHost)
		expectEnd(t, near, syscall.ECONNRESET)
		expectEnd(t, far, syscall.ECONNRESET)
	})
}

func TestUnreadBytesAreReported(t *testing.T) {
	type unreadTeller interface{ HasUnread() bool }
	linked(t, func(t *testing.T, network *memnet.Network, near, far net.Conn) {
		tells := func(wanted bool) {
			t.Helper()
			if near.(unreadTeller).HasUnread() != wanted {
				t.Errorf("has unread: %t", !wanted)
			}
		}
		send(t, far, "x")
		tells(false)
		<-time.After(latency)
		tells(true)
		expect(t, near, "x")
		tells(false)
		network.Isolate(callerHost, true, true)
		_ = far.Close()
		<-time.After(latency)
		tells(false)
		network.HealAll()
		tells(true)
	})
}

func TestClosedNetworkEndsAllConnections(t *testing.T) {
	linked(t, func(t *testing.T, network *memnet.Network, near, _ net.Conn) {
		network.LosePower(serverHost)
		network.Close()
		expectEnd(t, near, syscall.ECONNRESET)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := network.Dialer(callerHost)(ctx, address); err == nil {
			t.Error("a closed network connects")
		}
	})
}

func TestHTTPRunsOverTheNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(rand.New(rand.NewPCG(1, 1)), memnet.Latency{Min: latency, Max: 2 * latency})
		listener, err := network.Listen(serverHost + ":0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			body, _ := io.ReadAll(request.Body)
			_, _ = writer.Write(body)
		})}
		go func() { _ = server.Serve(listener) }()
		dial := network.Dialer(callerHost)
		client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, to string) (net.Conn,
			error,
		) {
			return dial(ctx, to)
		}}}
		for range 3 {
			body := io.LimitReader(zeros{}, 1<<20)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listener.Addr().String(), body)
			if err != nil {
				t.Fatal(err)
			}
			answer, err := client.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			received, err := io.ReadAll(answer.Body)
			if err != nil || len(received) != 1<<20 {
				t.Errorf("read %d bytes, %v", len(received), err)
			}
			_ = answer.Body.Close()
		}
		client.CloseIdleConnections()
		_ = server.Close()
		// A server looks for a second whether its connections are still in use.
		<-time.After(time.Second)
	})
}

// zeros is an endless source.
type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) { clear(buffer); return len(buffer), nil }
