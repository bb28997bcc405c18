package corelink

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// CallCore sends a request to the leader of the core. If the called process is not
// the leader or is unreachable, it searches for the leader again and retries, with
// jittered backoff, until ctx ends. If the connection broke while the request was
// in flight, only idempotent requests are retried. The error then combines that of
// the last attempt with that of ctx. Any other failure returned by the leader is
// returned unchanged.
func (l *Link) CallCore(ctx context.Context, request *protocol.Request) (*protocol.Response, error) {
	var backoff time.Duration
	for {
		response, retryable, err := l.attemptCall(ctx, request)
		if err == nil || !retryable {
			return response, err
		}
		backoff = nextBackoff(backoff, l.locator.maxBackoff())
		select {
		case <-ctx.Done():
			return nil, errors.CombineErrors(err, ctx.Err())
		case <-time.After(jitter(backoff)):
		}
	}
}

func (l *Link) attemptCall(
	ctx context.Context, request *protocol.Request,
) (response *protocol.Response, retryable bool, err error) {
	address, err := l.locator.leader(ctx)
	if err != nil {
		return nil, ctx.Err() == nil, err
	}
	response, err = l.options.Caller.Call(ctx, address, request)
	if err == nil {
		return response, false, nil
	}
	var closed *wire.ClosedError
	if errors.As(err, &closed) {
		return nil, false, err
	}
	if ctx.Err() != nil {
		// A leader that did not answer before the deadline may be partitioned; the next call searches again.
		l.locator.invalidateLeader(address)
		return nil, false, err
	}
	retryable = isRetryable(err, request)
	if retryable || isConnectionError(err) {
		l.locator.invalidateLeader(address)
	}
	return nil, retryable, err
}

func isRetryable(err error, request *protocol.Request) bool {
	var notSent *wire.NotSentError
	if errors.As(err, &notSent) || failure.Is(err, failure.NotLeader) || failure.Is(err, failure.NoLeader) {
		return true
	}
	return isConnectionError(err) && isIdempotent(request)
}

func isConnectionError(err error) bool {
	var notSent *wire.NotSentError
	var broken *wire.BrokenError
	return errors.As(err, &notSent) || errors.As(err, &broken)
}

// isIdempotent reports whether applying the request twice has the same effect as
// applying it once. Only ReportArms is not idempotent: the counts of roll-out
// variants would be added twice.
func isIdempotent(request *protocol.Request) bool {
	_, counts := request.GetBody().(*protocol.Request_ReportArms)
	return !counts
}
