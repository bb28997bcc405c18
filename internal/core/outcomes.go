package core

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/serverhealth"
)

// maxOutcomes bounds one report; a front node uses a part of the servers only.
const maxOutcomes = 4096

// shareOutcomes takes in what a front node saw of back ends and answers with those to be avoided. Nothing of it is
// written to the log: it is worth a few seconds, and after a change of leader the front nodes tell it again.
func (s *Service) shareOutcomes(ctx context.Context, request *protocol.ShareOutcomesRequest) (*protocol.ShareOutcomesResponse, error) {
	if err := s.requireLeader(); err != nil {
		return nil, err
	}
	if len(request.GetOutcomes()) > maxOutcomes {
		return nil, failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "too many outcomes at once", failure.WithPath("outcomes"))
	}
	report := serverhealth.Report{Node: request.GetNode(), Zone: request.GetZone()}
	for _, seen := range request.GetOutcomes() {
		report.Outcomes = append(report.Outcomes, serverhealth.Outcomes{
			Server: seen.GetId(), Incarnation: seen.GetIncarnation(),
			Answered: seen.GetAnswered(), Faults: seen.GetFaults(), Overdue: seen.GetOverdue(),
		})
	}
	var suspects []serverhealth.Suspect
	asked := s.owner.ask(ctx, func(now time.Time) {
		s.owner.serverHealth.Take(report, now)
		suspects = s.owner.serverHealth.Suspects(request.GetZone(), now)
	})
	if !asked {
		return nil, contextFailure(ctx)
	}
	answer := &protocol.ShareOutcomesResponse{}
	for _, suspect := range suspects {
		answer.Suspects = append(answer.Suspects, &protocol.SuspectBackEnd{
			Id: suspect.Server, Incarnation: suspect.Incarnation, LeftMillis: uint32(suspect.Left / time.Millisecond),
		})
	}
	return answer, nil
}
