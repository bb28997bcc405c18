package controllog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/controlplane/coremembership"
	"github.com/rosestand/rosestand/internal/controlplane/replica"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// RetryAfter is the retry delay in failures that are returned while the log is unavailable.
	RetryAfter = time.Second
	// notLeaderRetryAfter is the retry delay in failures that are returned by a member that is not the leader.
	notLeaderRetryAfter = 100 * time.Millisecond
)

// Failure converts an error of the replica to a failure with a code and the outcome of the request; it returns nil for
// nil.
func Failure(err error) error {
	var notLeader *replica.NotLeaderError
	var overloaded *replica.OverloadedError
	var stopped *replica.StoppedError
	var unknown *replica.UnknownOutcomeError
	var memberUnknown *coremembership.MemberUnknownError
	var memberInUse *coremembership.MemberInUseError
	var unreachable *replica.MemberUnreachableError
	var mismatch *replica.ClusterMismatchError
	var unsafe *coremembership.UnsafeChangeError
	retry := failure.WithRetryAfter(RetryAfter)
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unreachable):
		return replica.Failure(err)
	case errors.As(err, &unknown):
		return failure.New(failure.Unavailable, protocol.Outcome_UNKNOWN, err.Error()+"; send the same order again", retry)
	case errors.As(err, &notLeader):
		return NotLeader()
	case errors.As(err, &overloaded), errors.As(err, &stopped):
		return failure.New(failure.Unavailable, protocol.Outcome_NOT_RUN, err.Error(), retry)
	case errors.As(err, &memberUnknown):
		return failure.New(failure.NotFound, protocol.Outcome_NOT_RUN, err.Error(), failure.WithPath("name"))
	case errors.As(err, &memberInUse), errors.As(err, &unsafe):
		return failure.New(failure.ChangeInProgress, protocol.Outcome_NOT_RUN, err.Error(), retry)
	case errors.As(err, &mismatch):
		return failure.New(failure.WrongCluster, protocol.Outcome_NOT_RUN, err.Error())
	default:
		return replica.Failure(err)
	}
}

// NotLeader returns the failure of a request that only the leader serves.
func NotLeader() error {
	return failure.New(failure.NotLeader, protocol.Outcome_NOT_RUN, "this core process does not lead",
		failure.WithRetryAfter(notLeaderRetryAfter))
}

// NoLeader returns the failure of a request while this process has observed no leader of the core.
func NoLeader() error {
	return failure.New(failure.NoLeader, protocol.Outcome_NOT_RUN, "the core has no leader at present",
		failure.WithRetryAfter(RetryAfter))
}

// Interrupted returns the failure of a request that ended early: the error of the context, or NotLeader if the context
// is still valid, since then the process is stopping.
func Interrupted(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return &failure.Error{Failure: failure.From(err)}
	}
	return NotLeader()
}

// Rejection converts the rejection of a command to a failure whose outcome is that the request was not run.
func Rejection(rejection *protocol.Refusal) error {
	code := failure.Code(rejection.GetCode())
	var options []failure.Option
	if len(rejection.GetFaults()) > 0 {
		options = append(options, failure.WithPath(rejection.GetFaults()[0].GetPath()))
	}
	return failure.New(code, protocol.Outcome_NOT_RUN, rejection.GetMessage(), options...)
}
