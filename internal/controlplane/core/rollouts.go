package core

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/protocol"
)

// reportVariants adds the samples of a front node to the sums of the variants and withdraws the candidate if it crossed
// a limit of its guard.
func (s *Service) reportVariants(ctx context.Context, request *protocol.ReportArmsRequest) error {
	if err := s.requireLeader(); err != nil {
		return err
	}
	var crossed string
	var rollout *protocol.Rollout
	executed := s.owner.execute(ctx, func(time.Time) {
		configuration := s.machine.View().Configuration
		s.owner.variants.Add(configuration, request.GetSamples())
		rollout = configuration.GetRollout()
		crossed = s.owner.variants.CrossedLimit(rollout)
	})
	if !executed {
		return controllog.Interrupted(ctx)
	}
	if crossed == "" {
		return nil
	}
	return s.withdrawByGuard(ctx, rollout, crossed)
}

func (s *Service) withdrawByGuard(ctx context.Context, rollout *protocol.Rollout, reason string) error {
	result, err := s.proposer.Propose(ctx, &protocol.Command{Body: &protocol.Command_SetRollout{
		SetRollout: &protocol.SetRolloutCommand{
			Action:  protocol.RolloutAction_ROLLOUT_WITHDRAW,
			Rollout: &protocol.Rollout{CandidateVersion: rollout.GetCandidateVersion()},
			Reason:  reason,
		},
	}})
	if err != nil {
		return errors.Wrap(err, "withdraw by guard")
	}
	if result.GetAccepted() {
		s.metrics.guardWithdrawals.Inc()
		s.logger.Warn("candidate withdrawn", "version", rollout.GetCandidateVersion(), "reason", reason)
	}
	return nil
}
