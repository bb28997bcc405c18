package ownership

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

func TestClassifyFailure(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	reset := &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	dialTimeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	notRun := func(code failure.Code) error { return failure.New(code, protocol.Outcome_NOT_RUN, "no") }
	unresponsive := &wire.BrokenError{Cause: &wire.UnresponsivePeerError{For: time.Second}}
	for name, example := range map[string]struct {
		err           error
		timeoutCounts bool
		want          directory.CallFailure
	}{
		"refused":                        {&wire.NotSentError{Cause: refused}, true, directory.CallConnectionRefused},
		"reset in flight":                {&wire.BrokenError{Cause: reset}, true, directory.CallBroken},
		"closed in flight":               {&wire.BrokenError{Cause: io.EOF}, true, directory.CallBroken},
		"reset in the handshake":         {&wire.NotSentError{Cause: reset}, true, directory.CallBroken},
		"pings unanswered":               {unresponsive, false, directory.CallConnectionRefused},
		"no answer in time":              {context.DeadlineExceeded, true, directory.CallTimedOut},
		"no connection in time":          {&wire.NotSentError{Cause: dialTimeout}, true, directory.CallTimedOut},
		"deadline of the caller":         {context.DeadlineExceeded, false, directory.CallInconclusive},
		"no lease":                       {notRun(failure.NoAuthority), true, directory.CallNoAuthority},
		"not ready":                      {notRun(failure.NotReady), true, directory.CallNoAuthority},
		"another rejection":              {notRun(failure.Overloaded), true, directory.CallInconclusive},
		"cancelled":                      {&wire.NotSentError{Cause: context.Canceled}, true, directory.CallInconclusive},
		"closed by this process":         {&wire.BrokenError{Cause: &wire.ClosedError{}}, true, directory.CallInconclusive},
		"closed by this process, unused": {&wire.BrokenError{Cause: &wire.IdleError{}}, true, directory.CallInconclusive},
	} {
		t.Run(name, func(t *testing.T) {
			if got := classifyFailure(example.err, example.timeoutCounts); got != example.want {
				t.Fatalf("classifyFailure(%v, %v) = %d, want %d", example.err, example.timeoutCounts, got, example.want)
			}
		})
	}
	if !stalled(4*time.Second, time.Second) || stalled(time.Second+time.Millisecond, time.Second) {
		t.Fatal("stalled: want true for a call of 4s and false for one of 1.001s with a timeout of 1s")
	}
}
