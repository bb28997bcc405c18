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

// stallFactor is how much longer than its time-out a call may have lasted for
// its silence to count; a process that itself stood still saw nothing.
const stallFactor = 1.5

// evidenceOf says what the error of a call shows about the peer. A call that
// ran out of its own time counts as silence when silenceCounts.
func evidenceOf(err error, silenceCounts bool) directory.CallFailure {
	var silent *wire.UnresponsivePeerError
	var broken *wire.BrokenError
	var notSent *wire.NotSentError
	switch {
	case failure.Is(err, failure.NoAuthority), failure.Is(err, failure.NotReady):
		return directory.CallNoAuthority
	case isOwnDoing(err):
		return directory.CallInconclusive
	case errors.Is(err, syscall.ECONNREFUSED):
		return directory.CallConnectionRefused
	case errors.As(err, &silent):
		// Pings were unanswered for longer than a probe would be waited for.
		return directory.CallConnectionRefused
	case isTimeout(err):
		if silenceCounts {
			return directory.CallTimedOut
		}
		return directory.CallInconclusive
	case errors.As(err, &broken), errors.As(err, &notSent):
		return directory.CallBroken
	default:
		return directory.CallInconclusive
	}
}

// isOwnDoing reports whether a call ended by this process's doing.
func isOwnDoing(err error) bool {
	var closed *wire.ClosedError
	var idle *wire.IdleError
	return errors.Is(err, context.Canceled) || errors.As(err, &closed) || errors.As(err, &idle)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// stalled reports whether a call lasted so much longer than it was given that this process must have stood still.
func stalled(took, timeout time.Duration) bool {
	return took > time.Duration(stallFactor*float64(timeout))
}
