package directory

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Policy is how the directory recovers, by the bundle in force.
type Policy struct {
	// EndSessions ends the sessions whose holder was lost, in place of salvaging them.
	EndSessions bool
	// HigherViewVersion lets the registration under the higher view version replace an earlier one of another owner.
	HigherViewVersion bool
	// BatchSize is the maximum number of registrations in one request.
	BatchSize int
	// RetryDelay is the backoff after the first failure of a call to a peer.
	RetryDelay time.Duration
}

// Defaults of a policy.
const (
	DefaultBatchSize  = 256
	DefaultRetryDelay = 25 * time.Millisecond
)

// NewPolicy reads the policy of a bundle; nil, and fields that are 0, give the defaults.
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
