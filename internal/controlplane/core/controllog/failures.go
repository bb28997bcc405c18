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
	// RetryAfter is the wait that a failure asks its caller for while the log is not available.
	RetryAfter = time.Second
	// notLeaderRetryAfter is the wait that a caller is asked for at a member that does not lead.
	notLeaderRetryAfter = 100 * time.Millisecond
)

// Failure gives an error of the replica its code, and says whether the request was run; it is nil for nil.
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

// NotLeader is the failure of a request that only the leader serves.
func NotLeader() error {
	return failure.New(failure.NotLeader, protocol.Outcome_NOT_RUN, "this core process does not lead",
		failure.WithRetryAfter(notLeaderRetryAfter))
}

// NoLeader is the failure of a request while the core has no leader that this process knows.
func NoLeader() error {
	return failure.New(failure.NoLeader, protocol.Outcome_NOT_RUN, "the core has no leader at present",
		failure.WithRetryAfter(RetryAfter))
}

// Interrupted is the failure of a request that ended early: the context's error, else NotLeader since the process
// stops.
func Interrupted(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return &failure.Error{Failure: failure.From(err)}
	}
	return NotLeader()
}

// Rejection turns a rejected command into a failure; its request was surely not run.
func Rejection(rejection *protocol.Refusal) error {
	code := failure.Code(rejection.GetCode())
	var options []failure.Option
	if len(rejection.GetFaults()) > 0 {
		options = append(options, failure.WithPath(rejection.GetFaults()[0].GetPath()))
	}
	return failure.New(code, protocol.Outcome_NOT_RUN, rejection.GetMessage(), options...)
}
