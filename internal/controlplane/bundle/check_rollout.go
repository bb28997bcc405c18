package bundle

import "github.com/rosestand/rosestand/internal/protocol"

// CheckRollout returns the faults of the fields of a roll-out. It does not check that the candidate exists.
func CheckRollout(rollout *protocol.Rollout) []*protocol.Fault {
	c := &checker{}
	if rollout.GetCandidateVersion() == 0 {
		c.addFault("candidate_version", "must be set")
	}
	c.checkMax("share_basis_points", uint64(rollout.GetShareBasisPoints()), 10_000)
	if ratio := rollout.GetGuard().GetMaxErrorRatio(); !(ratio >= 0 && ratio <= 1) {
		c.addFault("guard.max_error_ratio", "must be between 0 and 1")
	}
	c.checkMax("guard.max_first_token_p95_millis", uint64(rollout.GetGuard().GetMaxFirstTokenP95Millis()), 600_000)
	return c.faults
}
