package ledgerclient

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// traceTimeout bounds one try of a trace, which reads many programs from all stores.
	traceTimeout = 8 * time.Second
	// traceHedgeAfter is how long a store may take over a trace before another one is asked too. Silence while it
	// works does not make the store a suspect, which would move the programs it proposes for elsewhere.
	traceHedgeAfter = 2 * time.Second
)

// patience says how long one replica is waited for.
type attemptTimeouts struct {
	attempt    time.Duration
	hedgeAfter time.Duration
	// suspect makes a replica a suspect that is silent for longer than until the next one is asked.
	marksSuspect bool
}

func (c *Client) timeoutsFor(operation *protocol.LedgerOperation) attemptTimeouts {
	if operation.GetTraceTrainingStep() != nil {
		return attemptTimeouts{attempt: traceTimeout, hedgeAfter: traceHedgeAfter}
	}
	return attemptTimeouts{attempt: c.options.AttemptTimeout, hedgeAfter: c.options.HedgeAfter, marksSuspect: true}
}
