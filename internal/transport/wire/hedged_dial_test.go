package wire

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// unansweredDial fails at the deadline, as a dial to a powered-off machine does.
func unansweredDial(ctx context.Context) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestMachineThatWasPoweredOnIsReachedByTheNextAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		start := time.Now()
		clientEnd, serverEnd := net.Pipe()
		defer func() { _ = serverEnd.Close() }()
		connection, err := dialHedged(t.Context(), func(ctx context.Context) (net.Conn, error) {
			if attempts.Add(1) == 1 {
				return unansweredDial(ctx)
			}
			return clientEnd, nil
		})
		if err != nil || connection != clientEnd || time.Since(start) != hedgeDelay {
			t.Errorf(
				"got connection %v, error %v after %v, want that of the second attempt after %v",
				connection, err, time.Since(start), hedgeDelay,
			)
		}
		_ = clientEnd.Close()
		synctest.Wait()
	})
}

func TestRefusedConnectionEndsAllAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		_, err := dialHedged(t.Context(), func(context.Context) (net.Conn, error) { return nil, syscall.ECONNREFUSED })
		if !errors.Is(err, syscall.ECONNREFUSED) || time.Since(start) != 0 {
			t.Errorf("got error %v after %v, want %v immediately", err, time.Since(start), syscall.ECONNREFUSED)
		}
	})
}

func TestPoweredOffMachineTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		start := time.Now()
		_, err := dialHedged(t.Context(), func(ctx context.Context) (net.Conn, error) {
			attempts.Add(1)
			return unansweredDial(ctx)
		})
		if err == nil || time.Since(start) != defaultConnectTimeout || int(attempts.Load()) != maxConcurrentDials {
			t.Errorf(
				"got error %v after %d attempts in %v, want an error after %d attempts in %v",
				err, attempts.Load(), time.Since(start), maxConcurrentDials, defaultConnectTimeout,
			)
		}
	})
}

func TestLaterConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow, far := net.Pipe()
		fast, other := net.Pipe()
		defer func() { _, _ = fast.Close(), other.Close() }()
		var attempts atomic.Int32
		connection, err := dialHedged(t.Context(), func(context.Context) (net.Conn, error) {
			if attempts.Add(1) == 1 {
				<-time.After(hedgeDelay + time.Millisecond)
				return slow, nil
			}
			return fast, nil
		})
		if err != nil || connection != fast {
			t.Fatalf("got connection %v, error %v, want that of the second attempt", connection, err)
		}
		<-time.After(time.Second)
		if _, err := far.Read(make([]byte, 1)); err == nil {
			t.Error("the later connection is still open, want it closed")
		}
	})
}
