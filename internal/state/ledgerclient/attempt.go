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

// attemptOutcome is what is known of an attempt's effect; the package comment has a table.
type attemptOutcome int

const (
	// attemptAnswered has a final answer, or an error that says that no store applies the operation.
	attemptAnswered attemptOutcome = iota
	// attemptNotSent certainly has not taken effect.
	attemptNotSent
	// attemptUnanswered may have taken effect, or may do so later; this replica did not answer.
	attemptUnanswered
	// attemptUndecided may have taken effect, or may do so later; the replica could not decide now.
	attemptUndecided
	// attemptDeadlineExceeded may have taken effect, or may do so later, and the caller's deadline is over.
	attemptDeadlineExceeded
)

// attempt sends an operation to one target. It goes on when its caller has the answer of another one meanwhile, so that
// a replica that does not answer in time is suspected.
func (c *Client) attempt(ctx context.Context, to target, operation *protocol.LedgerOperation) attemptResult {
	began := time.Now()
	timeouts := c.timeoutsFor(operation)
	deadline := began.Add(timeouts.attempt)
	callerDeadline, bounded := ctx.Deadline()
	endsWithCaller := bounded && callerDeadline.Before(deadline)
	if endsWithCaller {
		deadline = callerDeadline
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	suspicion := time.AfterFunc(timeouts.suspectAfter(), func() {
		if timeouts.marksSuspect && !c.hedgeBudget.changedSince(to.address, began) {
			c.suspects.add(to.address)
		}
	})
	result, err := c.send(ctx, to, operation)
	suspicion.Stop()
	c.recordRelayAnswer(to, err)
	if err != nil && endsWithCaller && errors.Is(err, context.DeadlineExceeded) {
		return attemptResult{outcome: attemptDeadlineExceeded, err: err}
	}
	if err != nil {
		return c.handleAttemptError(to, err)
	}
	return c.handleAttemptAnswer(to, operation, result)
}

// send calls the target with a copy of the operation under the target's placement epoch.
func (c *Client) send(
	ctx context.Context, to target, operation *protocol.LedgerOperation,
) (*protocol.LedgerResult, error) {
	placed := proto.CloneOf(operation)
	placed.PlacementEpoch = to.epoch
	response, err := c.caller.Call(ctx, to.address, &protocol.Request{Body: &protocol.Request_Ledger{Ledger: placed}})
	return response.GetLedger(), err
}

// handleAttemptError suspects a target that failed without an answer of its own.
func (c *Client) handleAttemptError(to target, err error) attemptResult {
	if !isAnswer(err) {
		c.suspects.add(to.address)
	}
	return attemptResult{outcome: outcomeOf(err), err: err}
}

func (c *Client) handleAttemptAnswer(
	to target, operation *protocol.LedgerOperation, result *protocol.LedgerResult,
) attemptResult {
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

// isAnswer reports whether an error is a failure that the target answered with.
func isAnswer(err error) bool {
	var answered *failure.Error
	return errors.As(err, &answered)
}

// recordRelayAnswer records that another front node answered, with a result or a failure.
func (c *Client) recordRelayAnswer(to target, err error) {
	if to.relay && (err == nil || isAnswer(err)) {
		c.relayAnswers.record(to.address, time.Now())
	}
}

// recordAnswer records that the shard of an operation answered.
func (c *Client) recordAnswer(to target, operation *protocol.LedgerOperation) {
	shard, now := c.shardOf(operation), time.Now()
	c.shardOutages.observeAnswer(shard, now)
	if !to.relay {
		c.replicaOutages.observeAnswer(shard, now)
	}
}

// outcomeOf returns what is known of an attempt that failed. A failure that says that the operation itself is invalid
// is final.
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
