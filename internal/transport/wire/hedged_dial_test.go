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

// silentDial answers as a machine without power does.
func silentDial(ctx context.Context) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestAMachineThatGotPowerMeanwhileIsReachedByTheNextAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		begun := time.Now()
		ours, theirs := net.Pipe()
		defer func() { _ = theirs.Close() }()
		connection, err := connectTo(t.Context(), func(ctx context.Context) (net.Conn, error) {
			if attempts.Add(1) == 1 {
				return silentDial(ctx)
			}
			return ours, nil
		})
		if err != nil || connection != ours || time.Since(begun) != redialAfter {
			t.Errorf("connected to %v after %v: %v", connection, time.Since(begun), err)
		}
		_ = ours.Close()
		synctest.Wait()
	})
}

func TestARefusalEndsAllAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		_, err := connectTo(t.Context(), func(context.Context) (net.Conn, error) { return nil, syscall.ECONNREFUSED })
		if !errors.Is(err, syscall.ECONNREFUSED) || time.Since(begun) != 0 {
			t.Errorf("refused after %v: %v", time.Since(begun), err)
		}
	})
}

func TestAMachineWithoutPowerIsGivenUpAtTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		begun := time.Now()
		_, err := connectTo(t.Context(), func(ctx context.Context) (net.Conn, error) {
			attempts.Add(1)
			return silentDial(ctx)
		})
		if err == nil || time.Since(begun) != defaultConnectTimeout || int(attempts.Load()) != maxDials {
			t.Errorf("%d attempts in %v: %v", attempts.Load(), time.Since(begun), err)
		}
	})
}

func TestAConnectionThatComesSecondIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow, far := net.Pipe()
		fast, other := net.Pipe()
		defer func() { _, _ = fast.Close(), other.Close() }()
		var attempts atomic.Int32
		connection, err := connectTo(t.Context(), func(context.Context) (net.Conn, error) {
			if attempts.Add(1) == 1 {
				<-time.After(redialAfter + time.Millisecond)
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
