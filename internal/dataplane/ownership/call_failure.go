package ownership

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// stallFactor is how many times its timeout a call may have lasted for the timeout
// to count as one of the peer's: after more, this process itself was stalled.
const stallFactor = 1.5

// classifyFailure is what the error of a call shows about the peer. A timeout
// counts against the peer only when timeoutCounts.
func classifyFailure(err error, timeoutCounts bool) directory.CallFailure {
	var unresponsive *wire.UnresponsivePeerError
	var broken *wire.BrokenError
	var notSent *wire.NotSentError
	switch {
	case failure.Is(err, failure.NoAuthority), failure.Is(err, failure.NotReady):
		return directory.CallNoAuthority
	case isLocalCause(err):
		return directory.CallInconclusive
	case errors.Is(err, syscall.ECONNREFUSED):
		return directory.CallConnectionRefused
	case errors.As(err, &unresponsive):
		// The connection's pings were unanswered for longer than the directory waits for one of its own.
		return directory.CallConnectionRefused
	case isTimeout(err):
		if timeoutCounts {
			return directory.CallTimedOut
		}
		return directory.CallInconclusive
	case errors.As(err, &broken), errors.As(err, &notSent):
		return directory.CallBroken
	default:
		return directory.CallInconclusive
	}
}

// isLocalCause reports whether this process itself ended the call.
func isLocalCause(err error) bool {
	var closed *wire.ClosedError
	var idle *wire.IdleError
	return errors.Is(err, context.Canceled) || errors.As(err, &closed) || errors.As(err, &idle)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// stalled reports whether a call lasted so much longer than its timeout that this process must have been stalled.
func stalled(took, timeout time.Duration) bool {
	return took > time.Duration(stallFactor*float64(timeout))
}
