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

// stallFactor is the ratio of a call's duration to its timeout above which the timeout does not count against the peer,
// since this process itself must have been stalled.
const stallFactor = 1.5

// classifyFailure returns what the error of a call shows about the peer. A timeout counts against the peer only if
// timeoutCounts is true.
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
		// The pings of the connection were unanswered for longer than the directory waits for the answer to its own ping.
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

// stalled reports whether a call exceeded its timeout by so much that this process must have been stalled.
func stalled(took, timeout time.Duration) bool {
	return took > time.Duration(stallFactor*float64(timeout))
}
