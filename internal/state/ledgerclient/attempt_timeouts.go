package ledgerclient

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// traceTimeout bounds one attempt of a trace, which reads many programs from all stores.
	traceTimeout = 8 * time.Second
	// traceHedgeAfter is how long a store may take for a trace before a hedge is sent. A store that takes long for a trace
	// is not suspected, since that would move the programs for which it proposes to other stores.
	traceHedgeAfter = 2 * time.Second
)

// attemptTimeouts are the limits of one attempt on one replica.
type attemptTimeouts struct {
	attempt    time.Duration
	hedgeAfter time.Duration
	// marksSuspect is true if a replica that does not answer within suspectAfter is suspected.
	marksSuspect bool
}

// suspectAfter returns how long a replica may take before it is suspected. It is longer than hedgeAfter, so that a
// store that is merely slow remains the proposer for its programs.
func (t attemptTimeouts) suspectAfter() time.Duration { return 2 * t.hedgeAfter }

func (c *Client) timeoutsFor(operation *protocol.LedgerOperation) attemptTimeouts {
	if operation.GetTraceTrainingStep() != nil {
		return attemptTimeouts{attempt: traceTimeout, hedgeAfter: traceHedgeAfter}
	}
	return attemptTimeouts{attempt: c.options.AttemptTimeout, hedgeAfter: c.options.HedgeAfter, marksSuspect: true}
}
