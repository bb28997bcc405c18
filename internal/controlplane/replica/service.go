package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/controlplane/coremembership"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// retryAfter is the wait told to those whose request may succeed soon.
const retryAfter = 200 * time.Millisecond

// ServeWire answers consensus, join_core, core_status and locate_core requests. Errors are of
// type *failure.Error.
func (r *Replica) ServeWire(ctx context.Context, request *protocol.Request) (*protocol.Response, error) {
	switch body := request.GetBody().(type) {
	case *protocol.Request_Consensus:
		if err := r.receive(body.Consensus); err != nil {
			return nil, Failure(err)
		}
		return &protocol.Response{Body: &protocol.Response_Consensus{Consensus: &protocol.ConsensusAck{}}}, nil
	case *protocol.Request_JoinCore:
		return r.serveJoin(ctx, body.JoinCore)
	case *protocol.Request_CoreStatus:
		return &protocol.Response{Body: &protocol.Response_CoreStatus{CoreStatus: r.Status()}}, nil
	case *protocol.Request_LocateCore:
		wait := time.Duration(body.LocateCore.GetWaitMillis()) * time.Millisecond
		return &protocol.Response{Body: &protocol.Response_LocateCore{LocateCore: r.locateCoreWithin(ctx, wait)}}, nil
	default:
		return nil, failure.New(failure.UnknownRequest, protocol.Outcome_NOT_RUN, "not a request to the core's consensus group")
	}
}

// receive queues a message for the owner goroutine; a full queue loses it.
func (r *Replica) receive(message *protocol.ConsensusMessage) error {
	own := r.view.Load().clusterID
	if own != "" && message.GetClusterId() != own {
		return &ClusterMismatchError{Own: own, Other: message.GetClusterId()}
	}
	select {
	case <-r.stopped:
		return &StoppedError{}
	default:
	}
	select {
	case r.inbound <- inboundMessage{message: message, receivedAt: r.options.Clock.Now()}:
		return nil
	default:
		r.metrics.overloads.Inc()
		return &OverloadedError{Queue: "messages"}
	}
}

func (r *Replica) serveJoin(ctx context.Context, join *protocol.JoinCoreRequest) (*protocol.Response, error) {
	view := r.view.Load()
	if view.status.Role != consensus.Leader {
		return r.forwardJoin(ctx, join)
	}
	if err := r.admit(ctx, join.GetMember(), false); err != nil {
		return nil, Failure(err)
	}
	return &protocol.Response{Body: &protocol.Response_JoinCore{JoinCore: &protocol.JoinCoreResponse{
		ClusterId: view.clusterID, Configuration: r.view.Load().status.Configuration,
	}}}, nil
}

// forwardJoin passes a request on to the leader, once.
func (r *Replica) forwardJoin(ctx context.Context, join *protocol.JoinCoreRequest) (*protocol.Response, error) {
	leader := r.view.Load().leader()
	if leader == nil || join.GetForwarded() || leader.GetId() == r.self.GetId() {
		return nil, Failure(r.notLeader())
	}
	return r.options.Caller.Call(ctx, leader.GetAddress(), &protocol.Request{Body: &protocol.Request_JoinCore{
		JoinCore: &protocol.JoinCoreRequest{Member: join.GetMember(), Forwarded: true},
	}})
}

// Failure turns an error of this package into one that may be sent to a peer or a caller. Errors
// of other packages are returned as failure.From sees them.
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
		// The cause may be a failure of its own; that one does not say what became of the order.
		return failure.New(failure.Unavailable, protocol.Outcome_NOT_RUN, err.Error(), failure.WithPath("address"), failure.WithRetryAfter(time.Second))
	case errors.As(err, &pending):
		return failure.New(failure.ChangeInProgress, protocol.Outcome_NOT_RUN, err.Error(), wait)
	case errors.As(err, &mismatch):
		return failure.New(failure.WrongCluster, protocol.Outcome_NOT_RUN, err.Error())
	case errors.As(err, &unsafe), errors.As(err, &inUse):
		return failure.New(failure.ChangeInProgress, protocol.Outcome_NOT_RUN, err.Error(), failure.WithRetryAfter(time.Second))
	case errors.As(err, &retired):
		return failure.New(failure.Forbidden, protocol.Outcome_NOT_RUN, err.Error())
	case errors.As(err, &unknown):
		return failure.New(failure.NotFound, protocol.Outcome_NOT_RUN, err.Error())
	case errors.As(err, &invalid):
		return failure.New(failure.MissingField, protocol.Outcome_NOT_RUN, err.Error(), failure.WithPath("member."+invalid.Field))
	default:
		return nil
	}
}
