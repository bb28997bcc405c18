package ledgerclient

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// traceTimeout bounds one attempt of a trace, which reads many programs from all stores.
	traceTimeout = 8 * time.Second
	// traceHedgeAfter is how long a store may take for a trace before a hedge is sent. A store that works on one is not
	// suspected, which would move the programs that it proposes for to other stores.
	traceHedgeAfter = 2 * time.Second
)

// attemptTimeouts say how long one replica may take.
type attemptTimeouts struct {
	attempt    time.Duration
	hedgeAfter time.Duration
	// marksSuspect says that a replica is suspected when it does not answer within suspectAfter.
	marksSuspect bool
}

// suspectAfter is longer than the time until a hedge is sent, so that a store that is only slow keeps its programs.
func (t attemptTimeouts) suspectAfter() time.Duration { return 2 * t.hedgeAfter }

func (c *Client) timeoutsFor(operation *protocol.LedgerOperation) attemptTimeouts {
	if operation.GetTraceTrainingStep() != nil {
		return attemptTimeouts{attempt: traceTimeout, hedgeAfter: traceHedgeAfter}
	}
	return attemptTimeouts{attempt: c.options.AttemptTimeout, hedgeAfter: c.options.HedgeAfter, marksSuspect: true}
}
