package core

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/controlplane/core/delivery"
	"github.com/rosestand/rosestand/internal/controlplane/serverhealth"
	"github.com/rosestand/rosestand/internal/protocol"
)

// maxOutcomes bounds the servers in one report; a front node uses only some of all servers.
const maxOutcomes = 4096

// shareOutcomes merges the outcomes that a front node observed at back ends and returns the back ends to avoid. Nothing
// is written to the log: outcomes count for a few seconds only, and front nodes report again after a change of leader.
func (s *Service) shareOutcomes(
	ctx context.Context, request *protocol.ShareOutcomesRequest,
) (*protocol.ShareOutcomesResponse, error) {
	if err := s.requireLeader(); err != nil {
		return nil, err
	}
	if len(request.GetOutcomes()) > maxOutcomes {
		return nil, invalidField("outcomes", "too many outcomes at once")
	}
	report := decodeReport(request)
	var ejected []serverhealth.EjectedServer
	executed := s.owner.execute(ctx, func(now time.Time) {
		s.owner.mergeOutcomes(report, now)
		ejected = s.owner.serverHealth.Ejected(request.GetZone(), now)
	})
	if !executed {
		return nil, controllog.Interrupted(ctx)
	}
	return &protocol.ShareOutcomesResponse{Suspects: encodeEjected(ejected)}, nil
}

func decodeReport(request *protocol.ShareOutcomesRequest) serverhealth.Report {
	report := serverhealth.Report{Node: request.GetNode(), Zone: request.GetZone()}
	for _, outcome := range request.GetOutcomes() {
		report.Outcomes = append(report.Outcomes, serverhealth.Outcomes{
			Server: outcome.GetId(), Incarnation: outcome.GetIncarnation(),
			Answered: outcome.GetAnswered(), Faults: outcome.GetFaults(), Overdue: outcome.GetOverdue(),
			Responded: outcome.SignAgeMillis != nil, ResponseAge: time.Duration(outcome.GetSignAgeMillis()) * time.Millisecond,
		})
	}
	return report
}

// mergeOutcomes adds a report and notifies the watchers if the set of ejected servers changed.
func (o *ownerLoop) mergeOutcomes(report serverhealth.Report, now time.Time) {
	previous := o.serverHealth.Version()
	o.serverHealth.Merge(report, now)
	if o.serverHealth.Version() == previous {
		return
	}
	close(o.ejectedChanged)
	o.ejectedChanged = make(chan struct{})
}

// watchEjected is a long poll: it returns the ejected servers as soon as their version differs from the one known to
// the caller, or an empty response after the wait time that the caller requested.
func (s *Service) watchEjected(
	ctx context.Context, request *protocol.WatchSuspectsRequest,
) (*protocol.WatchSuspectsResponse, error) {
	leadershipLost, isLeader := s.owner.currentLeadership()
	if !isLeader {
		return nil, controllog.NotLeader()
	}
	timer := s.clock.NewTimer(min(time.Duration(request.GetWaitMillis())*time.Millisecond, delivery.MaxPollWait))
	defer timer.Stop()
	for {
		answer, changed, err := s.newlyEjected(ctx, request)
		if answer != nil || err != nil {
			return answer, err
		}
		select {
		case <-changed:
		case <-timer.C():
			return &protocol.WatchSuspectsResponse{Version: request.GetKnown()}, nil
		case <-leadershipLost:
			return nil, controllog.NotLeader()
		case <-ctx.Done():
			return nil, controllog.Interrupted(ctx)
		}
	}
}

// newlyEjected returns the ejected servers if their version differs from the one known to the caller, and the channel
// that is closed at their next change.
func (s *Service) newlyEjected(
	ctx context.Context, request *protocol.WatchSuspectsRequest,
) (answer *protocol.WatchSuspectsResponse, changed <-chan struct{}, err error) {
	executed := s.owner.execute(ctx, func(now time.Time) {
		changed = s.owner.ejectedChanged
		if version := s.owner.serverHealth.Version(); version != request.GetKnown() {
			ejected := s.owner.serverHealth.Ejected(request.GetZone(), now)
			answer = &protocol.WatchSuspectsResponse{Version: version, Suspects: encodeEjected(ejected)}
		}
	})
	if !executed {
		return nil, nil, controllog.Interrupted(ctx)
	}
	return answer, changed, nil
}

func encodeEjected(ejected []serverhealth.EjectedServer) []*protocol.SuspectBackEnd {
	described := make([]*protocol.SuspectBackEnd, 0, len(ejected))
	for _, server := range ejected {
		described = append(described, &protocol.SuspectBackEnd{
			Id: server.Server, Incarnation: server.Incarnation, LeftMillis: uint32(server.Remaining / time.Millisecond),
		})
	}
	return described
}
