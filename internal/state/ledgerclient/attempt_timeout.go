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
type patience struct {
	attempt time.Duration
	hedge   time.Duration
	// suspect makes a replica a suspect that is silent for longer than until the next one is asked.
	suspect bool
}

func (c *Client) patienceFor(operation *protocol.LedgerOperation) patience {
	if operation.GetTraceTrainingStep() != nil {
		return patience{attempt: traceTimeout, hedge: traceHedgeAfter}
	}
	return patience{attempt: c.options.AttemptTimeout, hedge: c.options.HedgeAfter, suspect: true}
}
