package core

import (
	"context"

	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// heartbeatIntervalSeconds is the interval at which back ends are requested to send heartbeats.
const heartbeatIntervalSeconds = 1

// Serve handles one request of a node or of another core process.
func (s *Service) Serve(ctx context.Context, request *protocol.Request, send func(*protocol.Response) error) error {
	response, err := s.dispatch(ctx, request)
	if err != nil {
		return err
	}
	return send(response)
}

func (s *Service) dispatch(ctx context.Context, request *protocol.Request) (*protocol.Response, error) {
	switch body := request.GetBody().(type) {
	case *protocol.Request_Consensus, *protocol.Request_JoinCore,
		*protocol.Request_CoreStatus, *protocol.Request_LocateCore:
		response, err := s.consensus.ServeWire(ctx, request)
		if err != nil {
			return nil, controllog.Failure(err)
		}
		return response, nil
	case *protocol.Request_RenewLease:
		renewed, err := s.renewLease(ctx, body.RenewLease)
		return &protocol.Response{Body: &protocol.Response_RenewLease{RenewLease: renewed}}, err
	case *protocol.Request_PollControl:
		polled, err := s.poller.Poll(ctx, body.PollControl)
		return &protocol.Response{Body: &protocol.Response_PollControl{PollControl: polled}}, err
	case *protocol.Request_RelayHeartbeats:
		err := s.mergeRelayedHeartbeats(ctx, body.RelayHeartbeats.GetHeartbeats())
		relayed := &protocol.RelayHeartbeatsResponse{IntervalSeconds: heartbeatIntervalSeconds}
		return &protocol.Response{Body: &protocol.Response_RelayHeartbeats{RelayHeartbeats: relayed}}, err
	case *protocol.Request_AnnounceBackEnd:
		err := s.announceAtLeader(ctx, body.AnnounceBackEnd.GetBackEnd(), body.AnnounceBackEnd.GetSequence())
		announced := &protocol.AnnounceBackEndResponse{}
		return &protocol.Response{Body: &protocol.Response_AnnounceBackEnd{AnnounceBackEnd: announced}}, err
	case *protocol.Request_RenewBackEnds:
		renewed, err := s.renewBackEnds(ctx, body.RenewBackEnds)
		return &protocol.Response{Body: &protocol.Response_RenewBackEnds{RenewBackEnds: renewed}}, err
	case *protocol.Request_DrainBackEnd:
		drained, err := s.serveDrain(ctx, body.DrainBackEnd)
		return &protocol.Response{Body: &protocol.Response_DrainBackEnd{DrainBackEnd: drained}}, err
	case *protocol.Request_ShardCopied:
		err := s.reportShardCopied(ctx, body.ShardCopied)
		return &protocol.Response{Body: &protocol.Response_ShardCopied{ShardCopied: &protocol.ShardCopiedResponse{}}}, err
	case *protocol.Request_ReportArms:
		err := s.reportVariants(ctx, body.ReportArms)
		return &protocol.Response{Body: &protocol.Response_ReportArms{ReportArms: &protocol.ReportArmsResponse{}}}, err
	case *protocol.Request_ShareOutcomes:
		shared, err := s.shareOutcomes(ctx, body.ShareOutcomes)
		return &protocol.Response{Body: &protocol.Response_ShareOutcomes{ShareOutcomes: shared}}, err
	case *protocol.Request_WatchSuspects:
		watched, err := s.watchEjected(ctx, body.WatchSuspects)
		return &protocol.Response{Body: &protocol.Response_WatchSuspects{WatchSuspects: watched}}, err
	case *protocol.Request_Propose:
		result, _, err := s.consensus.Propose(ctx, body.Propose.GetCommand())
		if err != nil {
			return nil, controllog.Failure(err)
		}
		return &protocol.Response{Body: &protocol.Response_Propose{Propose: &protocol.ProposeResponse{Result: result}}}, nil
	default:
		return nil, failure.New(failure.UnknownRequest, protocol.Outcome_NOT_RUN,
			"a core process does not serve this request")
	}
}

func (s *Service) serveDrain(
	ctx context.Context, request *protocol.DrainBackEndRequest,
) (*protocol.DrainBackEndResponse, error) {
	if request.GetId() == "" {
		return nil, missingField("id")
	}
	result, err := s.drainBackEnd(ctx, "", &protocol.DrainBackEndCommand{
		Id: request.GetId(), Incarnation: request.GetIncarnation(),
	})
	if err != nil {
		return nil, err
	}
	return &protocol.DrainBackEndResponse{ViewVersion: result.GetIndex()}, nil
}

func (s *Service) reportShardCopied(ctx context.Context, request *protocol.ShardCopiedRequest) error {
	_, err := s.proposer.ProposeAccepted(ctx, &protocol.Command{Body: &protocol.Command_ShardCopied{
		ShardCopied: &protocol.ShardCopiedCommand{
			Store: request.GetStore(), StorageId: request.GetStorageId(), Shard: request.GetShard(), Epoch: request.GetEpoch(),
		},
	}})
	return err
}

func missingField(path string) error {
	return failure.New(failure.MissingField, protocol.Outcome_NOT_RUN, "must be set", failure.WithPath(path))
}

func invalidField(path, message string) error {
	return failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, message, failure.WithPath(path))
}
