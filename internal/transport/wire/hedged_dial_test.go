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

// unansweredDial answers as a machine without power does.
func unansweredDial(ctx context.Context) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestMachineThatWasPoweredOnIsReachedByTheNextAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		begun := time.Now()
		ours, theirs := net.Pipe()
		defer func() { _ = theirs.Close() }()
		connection, err := dialHedged(t.Context(), func(ctx context.Context) (net.Conn, error) {
			if attempts.Add(1) == 1 {
				return unansweredDial(ctx)
			}
			return ours, nil
		})
		if err != nil || connection != ours || time.Since(begun) != hedgeDelay {
			t.Errorf("connected to %v after %v: %v", connection, time.Since(begun), err)
		}
		_ = ours.Close()
		synctest.Wait()
	})
}

func TestRefusedConnectionEndsAllAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		_, err := dialHedged(t.Context(), func(context.Context) (net.Conn, error) { return nil, syscall.ECONNREFUSED })
		if !errors.Is(err, syscall.ECONNREFUSED) || time.Since(begun) != 0 {
			t.Errorf("refused after %v: %v", time.Since(begun), err)
		}
	})
}

func TestPoweredOffMachineTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		begun := time.Now()
		_, err := dialHedged(t.Context(), func(ctx context.Context) (net.Conn, error) {
			attempts.Add(1)
			return unansweredDial(ctx)
		})
		if err == nil || time.Since(begun) != defaultConnectTimeout || int(attempts.Load()) != maxConcurrentDials {
			t.Errorf("%d attempts in %v: %v", attempts.Load(), time.Since(begun), err)
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
			t.Fatalf("connected to %v: %v", connection, err)
		}
		<-time.After(time.Second)
		if _, err := far.Read(make([]byte, 1)); err == nil {
			t.Error("the later connection is open")
		}
	})
}
