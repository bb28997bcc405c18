package directory

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Policy is the recovery policy of the active bundle.
type Policy struct {
	// EndSessions ends the sessions whose holder was lost instead of salvaging them.
	EndSessions bool
	// HigherViewVersion lets a registration under a higher view version replace an earlier one of another owner.
	HigherViewVersion bool
	// BatchSize is the maximum number of registrations in one request.
	BatchSize int
	// RetryDelay is the backoff after the first failure of a call to a peer.
	RetryDelay time.Duration
}

// Defaults of Policy.
const (
	DefaultBatchSize  = 256
	DefaultRetryDelay = 25 * time.Millisecond
)

// NewPolicy converts the recovery policy of a bundle. A nil policy and fields that are 0 are replaced by the defaults.
func NewPolicy(recovery *protocol.RecoveryPolicy) Policy {
	policy := Policy{
		EndSessions:       recovery.GetSalvageMode() == protocol.SalvageMode_END_SESSIONS,
		HigherViewVersion: recovery.GetDuplicateResolution() == protocol.DuplicateResolution_HIGHER_VIEW_VERSION,
		BatchSize:         int(recovery.GetSalvageBatchSize()),
		RetryDelay:        time.Duration(recovery.GetSalvageRetryMillis()) * time.Millisecond,
	}
	if policy.BatchSize == 0 {
		policy.BatchSize = DefaultBatchSize
	}
	if policy.RetryDelay == 0 {
		policy.RetryDelay = DefaultRetryDelay
	}
	return policy
}
