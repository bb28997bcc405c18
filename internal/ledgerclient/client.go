// Package ledgerclient sends ledger operations to the stores. It picks the
// shard of the program and a live replica of it, and tries again, with growing
// random waits, until an answer is final or the context ends. Every operation is
// idempotent under its identifiers, so trying again is safe whatever became of the try before.
//
// Source: design page, program ledger.
package ledgerclient

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/corelink"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/ledger"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/wire"
)

// Defaults of Options.
const (
	DefaultAttemptTimeout = time.Second
	DefaultDeadline       = 10 * time.Second
	firstWait             = 2 * time.Millisecond
	longestWait           = 250 * time.Millisecond
	// releaseTime is what the marking of a refused reservation may take beyond the caller's deadline.
	releaseTime = 2 * time.Second
)

// Options configure a Client; zero values stand for the defaults.
type Options struct {
	// AttemptTimeout bounds one try on one replica, so that a frozen store does not use up the caller's time.
	AttemptTimeout time.Duration
	// Deadline bounds an operation whose context has none.
	Deadline time.Duration
	// Wait returns after the time or when the context ends; tests replace it.
	Wait func(ctx context.Context, wait time.Duration)
}

// Client sends ledger operations. It may be used from any goroutine.
type Client struct {
	caller  wire.Caller
	view    func() *corelink.View
	options Options
	// suspects are tried last for a while.
	suspects suspects
}

// New makes a client that reads placement and addresses from view.
func New(caller wire.Caller, view func() *corelink.View, options Options) *Client {
	if options.AttemptTimeout <= 0 {
		options.AttemptTimeout = DefaultAttemptTimeout
	}
	if options.Deadline <= 0 {
		options.Deadline = DefaultDeadline
	}
	if options.Wait == nil {
		options.Wait = waitFor
	}
	return &Client{caller: caller, view: view, options: options}
}

func waitFor(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Do returns the ledger's answer. It is LEDGER_UNAVAILABLE when no majority
// answered before the context ended; a change may then have taken effect or not,
// or take effect later. An error is a *failure.Error for an operation that no store applies.
//
// A reservation that is refused after a try with an unknown end is marked as not
// run before Do returns, so that no late copy of it takes effect.
func (c *Client) Do(ctx context.Context, operation *protocol.LedgerOperation) (*protocol.LedgerResult, error) {
	if _, bounded := ctx.Deadline(); !bounded {
		limited, cancel := context.WithTimeout(ctx, c.options.Deadline)
		defer cancel()
		ctx = limited
	}
	result, doubtful, err := c.try(ctx, operation)
	if err != nil || !doubtful || !isRefusedReservation(operation.GetReserveTurn(), result) {
		return result, err
	}
	return c.confirmRefusal(ctx, operation, result)
}

// isRefusedReservation reports whether a reservation has not taken effect
// according to the answer, but a late copy of it might.
func isRefusedReservation(reserve *protocol.ReserveTurn, result *protocol.LedgerResult) bool {
	switch result.GetStatus() {
	case protocol.LedgerStatus_LEDGER_BUDGET_SPENT, protocol.LedgerStatus_LEDGER_BUDGET_HELD,
		protocol.LedgerStatus_LEDGER_WRONG_CONTINUATION:
		return reserve != nil
	case protocol.LedgerStatus_LEDGER_ALREADY_RESERVED:
		return reserve != nil && !holdsReservation(result.GetProgram(), reserve.GetRequestId())
	default:
		return false
	}
}

func holdsReservation(program *protocol.ProgramRecord, requestID string) bool {
	for _, open := range program.GetReservations() {
		if open.GetRequestId() == requestID {
			return true
		}
	}
	return false
}

// confirmRefusal releases the request, which marks it as not run. When that
// cannot be done the answer is LEDGER_UNAVAILABLE: nothing may be claimed.
func (c *Client) confirmRefusal(ctx context.Context, operation *protocol.LedgerOperation, refusal *protocol.LedgerResult) (*protocol.LedgerResult, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTime)
	defer cancel()
	reserve := operation.GetReserveTurn()
	released, _, err := c.try(ctx, releaseOf(operation.GetProgram(), reserve, refusal.GetEpoch()))
	if err == nil && released.GetStatus() == protocol.LedgerStatus_LEDGER_FENCED && reserve.GetClaim() != nil {
		// A late copy would claim the session once more, so the epoch does not keep it out.
		released, _, err = c.try(ctx, &protocol.LedgerOperation{
			Program: operation.GetProgram(),
			Body: &protocol.LedgerOperation_RefuseRequest{RefuseRequest: &protocol.RefuseRequest{
				RequestId: reserve.GetRequestId(), Session: reserve.GetSession(),
			}},
		})
	}
	if err != nil {
		return nil, err
	}
	switch released.GetStatus() {
	case protocol.LedgerStatus_LEDGER_OK, protocol.LedgerStatus_LEDGER_FENCED:
		return refusal, nil
	default:
		return released, nil
	}
}

// releaseOf releases a reservation under the epoch that it named or claimed.
func releaseOf(program string, reserve *protocol.ReserveTurn, claimed uint64) *protocol.LedgerOperation {
	epoch := reserve.GetEpoch()
	if reserve.GetClaim() != nil {
		epoch = claimed
	}
	return &protocol.LedgerOperation{
		Program: program,
		Body: &protocol.LedgerOperation_ReleaseTurn{ReleaseTurn: &protocol.ReleaseTurn{
			RequestId: reserve.GetRequestId(), Session: reserve.GetSession(), Epoch: epoch,
		}},
	}
}

// try sends the operation until an answer is final. doubtful says that an
// earlier try may have taken effect, or may still do so.
func (c *Client) try(ctx context.Context, operation *protocol.LedgerOperation) (result *protocol.LedgerResult, doubtful bool, err error) {
	wait := firstWait
	var tried []string
	for ctx.Err() == nil {
		target, known := c.target(operation.GetProgram(), tried)
		if known {
			tried = append(tried, target.address)
			result, outcome, err := c.attempt(ctx, target, operation)
			if outcome == attemptFinal {
				return result, doubtful, err
			}
			doubtful = doubtful || outcome == attemptUnknown
			if outcome == attemptNotSent && !target.last {
				continue
			}
			if target.last {
				tried = tried[:0]
			}
		}
		c.options.Wait(ctx, wait/2+rand.N(wait/2+1))
		wait = min(2*wait, longestWait)
	}
	return ledger.Answer(protocol.LedgerStatus_LEDGER_UNAVAILABLE), doubtful, nil
}

// target is one replica to try.
type target struct {
	address string
	epoch   uint64
	// last says that all live replicas were tried once with this one.
	last bool
}

// target gives the replica for an attempt: the first live one of the shard that
// was not tried yet, so that all fronts agree on one proposer.
func (c *Client) target(program string, tried []string) (target, bool) {
	view := c.view()
	shards := view.Placement.GetShards()
	if len(shards) == 0 {
		return target{}, false
	}
	shard := findShard(view.Placement, ledger.ShardOf(program, len(shards)))
	epoch := shard.GetEpoch()
	if epoch == 0 {
		epoch = view.Placement.GetEpoch()
	}
	live := c.suspects.last(c.liveReplicas(view, shard))
	if len(live) == 0 {
		return target{}, false
	}
	untried := slices.DeleteFunc(slices.Clone(live), func(address string) bool { return slices.Contains(tried, address) })
	if len(untried) == 0 {
		untried = live
	}
	return target{address: untried[0], epoch: epoch, last: len(untried) == 1}, true
}

func findShard(placement *protocol.Placement, shard uint32) *protocol.ShardPlacement {
	for _, placed := range placement.GetShards() {
		if placed.GetShard() == shard {
			return placed
		}
	}
	return nil
}

// liveReplicas gives the addresses of the current replicas that have a lease,
// those that are rebuilt last.
func (c *Client) liveReplicas(view *corelink.View, shard *protocol.ShardPlacement) []string {
	addresses := map[string]string{}
	for _, node := range view.Membership.GetNodes() {
		if node.GetKind() == protocol.NodeKind_STORE {
			addresses[node.GetName()] = node.GetAddress()
		}
	}
	var live, rebuilding []string
	for _, replica := range shard.GetCurrent() {
		address, known := addresses[replica.GetStore()]
		switch {
		case !known:
		case replica.GetState() == protocol.ReplicaState_REPLICA_REBUILDING:
			rebuilding = append(rebuilding, address)
		default:
			live = append(live, address)
		}
	}
	return append(live, rebuilding...)
}

type attemptOutcome int

const (
	// attemptFinal has the answer.
	attemptFinal attemptOutcome = iota
	// attemptNotSent surely has not taken effect.
	attemptNotSent
	// attemptUnknown may have taken effect, or may do so later.
	attemptUnknown
)

func (c *Client) attempt(ctx context.Context, to target, operation *protocol.LedgerOperation) (*protocol.LedgerResult, attemptOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.AttemptTimeout)
	defer cancel()
	planned := proto.CloneOf(operation)
	planned.PlacementEpoch = to.epoch
	response, err := c.caller.Call(ctx, to.address, &protocol.Request{Body: &protocol.Request_Ledger{Ledger: planned}})
	if err != nil {
		var answered *failure.Error
		if !errors.As(err, &answered) {
			c.suspects.add(to.address)
		}
		return nil, outcomeOf(err), err
	}
	c.suspects.clear(to.address)
	result := response.GetLedger()
	switch result.GetStatus() {
	case protocol.LedgerStatus_LEDGER_STATUS_UNSPECIFIED, protocol.LedgerStatus_LEDGER_UNAVAILABLE,
		protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT:
		return nil, attemptUnknown, nil
	default:
		return result, attemptFinal, nil
	}
}

// outcomeOf tells what became of a try that has no answer. A failure that says
// the operation itself is wrong is final.
func outcomeOf(err error) attemptOutcome {
	var notSent *wire.NotSentError
	var failed *failure.Error
	switch {
	case errors.As(err, &notSent):
		return attemptNotSent
	case !errors.As(err, &failed):
		return attemptUnknown
	case failed.Code() == failure.InvalidField || failed.Code() == failure.MissingField:
		return attemptFinal
	case failed.Failure.GetOutcome() == protocol.Outcome_NOT_RUN:
		return attemptNotSent
	default:
		return attemptUnknown
	}
}
