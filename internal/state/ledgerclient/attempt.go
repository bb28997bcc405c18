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

// attemptOutcome classifies whether an attempt took effect; see the table in the package comment.
type attemptOutcome int

const (
	// attemptAnswered: the attempt has a final answer, or an error with which every store would reject the operation.
	attemptAnswered attemptOutcome = iota
	// attemptNotSent: the attempt certainly did not take effect.
	attemptNotSent
	// attemptUnanswered: the replica did not answer; the attempt may have taken effect, or may do so later.
	attemptUnanswered
	// attemptUndecided: the replica could not decide; the attempt may have taken effect, or may do so later.
	attemptUndecided
	// attemptDeadlineExceeded: the caller's deadline passed; the attempt may have taken effect, or may do so later.
	attemptDeadlineExceeded
)

// attempt sends an operation to one target. It continues after the operation has returned the answer of another target,
// so that a replica that does not answer in time is suspected.
func (c *Client) attempt(ctx context.Context, to target, operation *protocol.LedgerOperation) attemptResult {
	startedAt := time.Now()
	timeouts := c.timeoutsFor(operation)
	deadline := startedAt.Add(timeouts.attempt)
	callerDeadline, bounded := ctx.Deadline()
	endsWithCaller := bounded && callerDeadline.Before(deadline)
	if endsWithCaller {
		deadline = callerDeadline
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	suspicion := time.AfterFunc(timeouts.suspectAfter(), func() {
		if timeouts.marksSuspect && !c.hedgeBudget.changedSince(to.address, startedAt) {
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

// send calls the target with a copy of the operation that has the target's placement epoch.
func (c *Client) send(
	ctx context.Context, to target, operation *protocol.LedgerOperation,
) (*protocol.LedgerResult, error) {
	clone := proto.CloneOf(operation)
	clone.PlacementEpoch = to.epoch
	response, err := c.caller.Call(ctx, to.address, &protocol.Request{Body: &protocol.Request_Ledger{Ledger: clone}})
	return response.GetLedger(), err
}

// handleAttemptError classifies the error of an attempt and suspects the target unless it returned the error itself.
func (c *Client) handleAttemptError(to target, err error) attemptResult {
	if !isRemoteFailure(err) {
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

// isRemoteFailure reports whether an error is a failure that the target returned.
func isRemoteFailure(err error) bool {
	var remote *failure.Error
	return errors.As(err, &remote)
}

// recordRelayAnswer records the answer of a relay: a result or a failure that it returned.
func (c *Client) recordRelayAnswer(to target, err error) {
	if to.isRelay && (err == nil || isRemoteFailure(err)) {
		c.relayAnswers.record(to.address, time.Now())
	}
}

// recordAnswer records that the shard of an operation answered.
func (c *Client) recordAnswer(to target, operation *protocol.LedgerOperation) {
	shard, now := c.shardOf(operation), time.Now()
	c.shardOutages.observeAnswer(shard, now)
	if !to.isRelay {
		c.replicaOutages.observeAnswer(shard, now)
	}
}

// outcomeOf returns the outcome of an attempt that failed. A failure due to an invalid operation is final.
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
