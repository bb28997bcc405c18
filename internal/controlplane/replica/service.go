package replica

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

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
		return nil, failure.New(failure.UnknownRequest, protocol.Outcome_NOT_RUN,
			"not a request to the core's consensus group")
	}
}

// receive queues a message for the owner goroutine. Errors: *ClusterMismatchError, *StoppedError,
// *OverloadedError.
func (r *Replica) receive(message *protocol.ConsensusMessage) error {
	own := r.view.Load().clusterID
	if own != "" && message.GetClusterId() != own {
		return &ClusterMismatchError{Own: own, Other: message.GetClusterId()}
	}
	received := inboundMessage{message: message, receivedAt: r.options.Clock.Now()}
	return enqueue(r, r.inbound, received, messageQueueName)
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

// forwardJoin forwards a request to the leader, unless it was forwarded before.
func (r *Replica) forwardJoin(ctx context.Context, join *protocol.JoinCoreRequest) (*protocol.Response, error) {
	leader := r.view.Load().leader()
	if leader == nil || join.GetForwarded() || leader.GetId() == r.self.GetId() {
		return nil, Failure(r.notLeader())
	}
	return r.options.Caller.Call(ctx, leader.GetAddress(), &protocol.Request{Body: &protocol.Request_JoinCore{
		JoinCore: &protocol.JoinCoreRequest{Member: join.GetMember(), Forwarded: true},
	}})
}
