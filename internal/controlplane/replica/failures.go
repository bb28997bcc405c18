package replica

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/controlplane/coremembership"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// retryAfter is the delay after which a caller may retry a rejected request that may soon succeed.
	retryAfter = 200 * time.Millisecond
	// membershipRetryAfter is that delay when the membership must change, or a member must become reachable, first.
	membershipRetryAfter = time.Second
)

// Failure converts an error of this package, consensus or coremembership to one that can be sent to a
// peer or a caller. Errors of other packages are converted by failure.From.
func Failure(err error) *failure.Error {
	for _, convert := range []func(error) *failure.Error{leadershipFailure, membershipFailure} {
		if converted := convert(err); converted != nil {
			return converted
		}
	}
	return &failure.Error{Failure: failure.From(err)}
}

func leadershipFailure(err error) *failure.Error {
	var notLeader *NotLeaderError
	var unknown *UnknownOutcomeError
	var overloaded *OverloadedError
	var stopped *StoppedError
	var disk *DiskUnavailableError
	var size *consensus.CommandSizeError
	wait := failure.WithRetryAfter(retryAfter)
	switch {
	case errors.As(err, &unknown):
		return failure.New(failure.OutcomeUnknown, protocol.Outcome_UNKNOWN, err.Error(), wait)
	case errors.As(err, &notLeader) && notLeader.LeaderAddress == "":
		return failure.New(failure.NoLeader, protocol.Outcome_NOT_RUN, err.Error(), wait)
	case errors.As(err, &notLeader):
		return failure.New(failure.NotLeader, protocol.Outcome_NOT_RUN, err.Error())
	case errors.As(err, &overloaded):
		return failure.New(failure.Overloaded, protocol.Outcome_NOT_RUN, err.Error(), wait)
	case errors.As(err, &size):
		return failure.New(failure.BodyTooLarge, protocol.Outcome_NOT_RUN, err.Error())
	case errors.As(err, &stopped), errors.As(err, &disk):
		return failure.New(failure.Unavailable, protocol.Outcome_NOT_RUN, err.Error(), wait)
	default:
		return nil
	}
}

func membershipFailure(err error) *failure.Error {
	var pending *consensus.ChangePendingError
	var mismatch *ClusterMismatchError
	var unsafe *coremembership.UnsafeChangeError
	var inUse *coremembership.MemberInUseError
	var retired *coremembership.MemberRetiredError
	var unknown *coremembership.MemberUnknownError
	var invalid *coremembership.InvalidMemberError
	var unreachable *MemberUnreachableError
	wait := failure.WithRetryAfter(retryAfter)
	switch {
	case errors.As(err, &unreachable):
		// The cause may be a failure with an outcome of its own, which is not the outcome of the command.
		return failure.New(failure.Unavailable, protocol.Outcome_NOT_RUN, err.Error(),
			failure.WithPath("address"), failure.WithRetryAfter(membershipRetryAfter))
	case errors.As(err, &pending):
		return failure.New(failure.ChangeInProgress, protocol.Outcome_NOT_RUN, err.Error(), wait)
	case errors.As(err, &mismatch):
		return failure.New(failure.WrongCluster, protocol.Outcome_NOT_RUN, err.Error())
	case errors.As(err, &unsafe), errors.As(err, &inUse):
		return failure.New(failure.ChangeInProgress, protocol.Outcome_NOT_RUN, err.Error(),
			failure.WithRetryAfter(membershipRetryAfter))
	case errors.As(err, &retired):
		return failure.New(failure.Forbidden, protocol.Outcome_NOT_RUN, err.Error())
	case errors.As(err, &unknown):
		return failure.New(failure.NotFound, protocol.Outcome_NOT_RUN, err.Error())
	case errors.As(err, &invalid):
		return failure.New(failure.MissingField, protocol.Outcome_NOT_RUN, err.Error(),
			failure.WithPath("member."+invalid.Field))
	default:
		return nil
	}
}
