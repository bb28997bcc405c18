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
		"reset under way":                {&wire.BrokenError{Cause: reset}, true, directory.CallBroken},
		"closed under way":               {&wire.BrokenError{Cause: io.EOF}, true, directory.CallBroken},
		"reset in the handshake":         {&wire.NotSentError{Cause: reset}, true, directory.CallBroken},
		"pings unanswered":               {unresponsive, false, directory.CallConnectionRefused},
		"no answer in time":              {context.DeadlineExceeded, true, directory.CallTimedOut},
		"no connection in time":          {&wire.NotSentError{Cause: dialTimeout}, true, directory.CallTimedOut},
		"a deadline of another's":        {context.DeadlineExceeded, false, directory.CallInconclusive},
		"no lease":                       {notRun(failure.NoAuthority), true, directory.CallNoAuthority},
		"not ready":                      {notRun(failure.NotReady), true, directory.CallNoAuthority},
		"another refusal":                {notRun(failure.Overloaded), true, directory.CallInconclusive},
		"cancelled":                      {&wire.NotSentError{Cause: context.Canceled}, true, directory.CallInconclusive},
		"closed by this process":         {&wire.BrokenError{Cause: &wire.ClosedError{}}, true, directory.CallInconclusive},
		"closed by this process, unused": {&wire.BrokenError{Cause: &wire.IdleError{}}, true, directory.CallInconclusive},
	} {
		t.Run(name, func(t *testing.T) {
			if got := classifyFailure(example.err, example.timeoutCounts); got != example.want {
				t.Fatalf("%d, want %d", got, example.want)
			}
		})
	}
	if !stalled(4*time.Second, time.Second) || stalled(time.Second+time.Millisecond, time.Second) {
		t.Fatal("a stalled process is not distinguished from one that waited")
	}
}
