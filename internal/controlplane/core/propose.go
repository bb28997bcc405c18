package core

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/replica"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	proposeTimeout = 5 * time.Second
	retryWait      = time.Second
	// wallClockStep is the unit of a command's time.
	wallClockStep = time.Millisecond
)

// proposer writes commands to the control log.
type proposer struct {
	consensus Consensus
	clock     replica.Clock
}

// propose returns the result of a command; errors are failures.
func (p *proposer) propose(ctx context.Context, command *protocol.Command) (*protocol.CommandResult, error) {
	command.ProposedAtMillis = p.clock.Now().UnixNano() / int64(wallClockStep)
	encoded, err := proto.Marshal(command)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	answer, _, err := p.consensus.Propose(ctx, encoded)
	if err != nil {
		return nil, consensusFailure(err)
	}
	result := &protocol.CommandResult{}
	if err := proto.Unmarshal(answer, result); err != nil {
		return nil, errors.Wrap(err, "decode result")
	}
	return result, nil
}

// consensusFailure types an error of the replica and says what became of the request.
func consensusFailure(err error) error {
	var notLeader *replica.NotLeaderError
	var overloaded *replica.OverloadedError
	var stopped *replica.StoppedError
	var unknown *replica.UnknownOutcomeError
	var memberUnknown *replica.MemberUnknownError
	var memberInUse *replica.MemberInUseError
	var unreachable *replica.MemberUnreachableError
	var mismatch *replica.ClusterMismatchError
	var unsafe *replica.UnsafeChangeError
	retry := failure.WithRetryAfter(retryWait)
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unreachable):
		return replica.Failure(err)
	case errors.As(err, &unknown):
		return failure.New(failure.Unavailable, protocol.Outcome_UNKNOWN, err.Error()+"; send the same order again", retry)
	case errors.As(err, &notLeader):
		return notLeaderFailure()
	case errors.As(err, &overloaded), errors.As(err, &stopped):
		return failure.New(failure.Unavailable, protocol.Outcome_NOT_RUN, err.Error(), retry)
	case errors.As(err, &memberUnknown):
		return failure.New(failure.NotFound, protocol.Outcome_NOT_RUN, err.Error(), failure.WithPath("name"))
	case errors.As(err, &memberInUse), errors.As(err, &unsafe):
		return failure.New(failure.ChangeUnderWay, protocol.Outcome_NOT_RUN, err.Error(), retry)
	case errors.As(err, &mismatch):
		return failure.New(failure.WrongCluster, protocol.Outcome_NOT_RUN, err.Error())
	default:
		return replica.Failure(err)
	}
}

func notLeaderFailure() error {
	return failure.New(failure.NotLeader, protocol.Outcome_NOT_RUN, "this core process does not lead", failure.WithRetryAfter(100*time.Millisecond))
}

// statusOf gives the HTTP status of a code, also of those that the control state adds.
func statusOf(code failure.Code) int {
	if code == controlstate.TooFewStores {
		return http.StatusConflict
	}
	return code.Status()
}

// refusalFailure turns a refused order into a failure; its request was surely not run.
func refusalFailure(refusal *protocol.Refusal) error {
	options := []failure.Option{func(made *protocol.Failure) { made.Status = uint32(statusOf(failure.Code(refusal.GetCode()))) }}
	if len(refusal.GetFaults()) > 0 {
		options = append(options, failure.WithPath(refusal.GetFaults()[0].GetPath()))
	}
	return failure.New(failure.Code(refusal.GetCode()), protocol.Outcome_NOT_RUN, refusal.GetMessage(), options...)
}
