package ledgerclient

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

type attemptOutcome int

const (
	// attemptFinal has the answer.
	attemptAnswered attemptOutcome = iota
	// attemptNotSent surely has not taken effect.
	attemptNotSent
	// attemptBroken may have taken effect, or may do so later; this replica did not say.
	attemptUnanswered
	// attemptUndecided may have taken effect, or may do so later; the replica that answers could not decide now.
	attemptUndecided
	// attemptOutOfTime may have taken effect, or may do so later, and the caller's time is over.
	attemptDeadlineExceeded
)

// attempt asks one replica, also when its caller has the answer of another one meanwhile. One that is silent for too long is tried last for a while.
func (c *Client) attempt(ctx context.Context, to target, operation *protocol.LedgerOperation) attemptResult {
	began := time.Now()
	timeouts := c.timeoutsFor(operation)
	ends := began.Add(timeouts.attempt)
	callerEnds, bounded := ctx.Deadline()
	endsWithCaller := bounded && callerEnds.Before(ends)
	if endsWithCaller {
		ends = callerEnds
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), ends)
	defer cancel()
	suspicion := time.AfterFunc(suspectAfter(timeouts.hedgeAfter), func() {
		if timeouts.marksSuspect && !c.hedgeBudget.changedSince(to.address, began) {
			c.suspects.add(to.address)
		}
	})
	planned := proto.CloneOf(operation)
	planned.PlacementEpoch = to.epoch
	response, err := c.caller.Call(ctx, to.address, &protocol.Request{Body: &protocol.Request_Ledger{Ledger: planned}})
	suspicion.Stop()
	c.recordRelayAnswer(to, err)
	if err != nil {
		if endsWithCaller && errors.Is(err, context.DeadlineExceeded) {
			return attemptResult{outcome: attemptDeadlineExceeded, err: err}
		}
		var answered *failure.Error
		if !errors.As(err, &answered) {
			c.suspects.add(to.address)
		}
		return attemptResult{outcome: outcomeOf(err), err: err}
	}
	result := response.GetLedger()
	switch result.GetStatus() {
	case protocol.LedgerStatus_LEDGER_UNAVAILABLE:
		c.suspects.add(to.address)
		return attemptResult{outcome: attemptUndecided}
	case protocol.LedgerStatus_LEDGER_STATUS_UNSPECIFIED, protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT:
		return attemptResult{outcome: attemptUndecided}
	default:
		c.suspects.clear(to.address)
		c.recordAnswer(to, operation)
		if !ledger.IsRead(operation) {
			c.hedgeBudget.recordChange(to.address, time.Now())
		}
		return attemptResult{result: result, outcome: attemptAnswered}
	}
}

// noteRelay remembers that another front node answered, be it with a failure.
func (c *Client) recordRelayAnswer(to target, err error) {
	var answered *failure.Error
	if to.relay && (err == nil || errors.As(err, &answered)) {
		c.relayAnswers.record(to.address, time.Now())
	}
}

// noteAnswer remembers that the shard of an operation answered.
func (c *Client) recordAnswer(to target, operation *protocol.LedgerOperation) {
	shard, now := c.shardOf(operation), time.Now()
	c.shardOutages.observeAnswer(shard, now)
	if !to.relay {
		c.replicaOutages.observeAnswer(shard, now)
	}
}

// silenceOf is how long a replica may be silent before it is suspected: longer than until the
// next one is asked, so that a store that is only slow keeps its programs.
func suspectAfter(hedgeAfter time.Duration) time.Duration { return 2 * hedgeAfter }

// outcomeOf tells what became of a try that has no answer. A failure that says
// the operation itself is wrong is final.
func outcomeOf(err error) attemptOutcome {
	var notSent *wire.NotSentError
	var failed *failure.Error
	switch {
	case errors.As(err, &notSent):
		return attemptNotSent
	case !errors.As(err, &failed):
		return attemptUnanswered
	case failed.Code() == failure.InvalidField || failed.Code() == failure.MissingField:
		return attemptAnswered
	case failed.Failure.GetOutcome() == protocol.Outcome_NOT_RUN:
		return attemptNotSent
	default:
		return attemptUndecided
	}
}
