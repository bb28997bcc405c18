// Package ledgerclient sends ledger operations to the stores. It picks the
// shard of the program and a live replica of it, asks another one as well when that one is
// silent, and tries again, with growing random waits, until an answer is final or the context ends. Every operation is
// idempotent under its identifiers, so trying again is safe whatever became of the try before.
//
// While no replica of a shard answers this front node, operations go by way of other front nodes. A shard that answers
// by no way is unreachable: what would begin something fails at once until probes find that it answers again.
//
// Source: design page, program ledger.
package ledgerclient

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// Defaults of Options.
const (
	DefaultAttemptTimeout = time.Second
	DefaultHedgeAfter     = 80 * time.Millisecond
	DefaultDeadline       = 10 * time.Second
	firstWait             = 2 * time.Millisecond
	longestWait           = 250 * time.Millisecond
	// releaseTime is what the marking of a refused reservation may take beyond the caller's deadline.
	releaseTime = 2 * time.Second
	// relayedTimeout bounds what is done for another front node, which asks elsewhere then.
	relayedTimeout = 300 * time.Millisecond
)

// Options configure a Client; zero values stand for the defaults.
type Options struct {
	// AttemptTimeout bounds one try on one replica.
	AttemptTimeout time.Duration
	// HedgeAfter is how long one replica may carry no change out before the next one is asked too, so that
	// a frozen store does not use up the caller's time.
	HedgeAfter time.Duration
	// Deadline bounds an operation whose context has none.
	Deadline time.Duration
	// Self is the front node that asks. While the replicas of a shard do not answer it, operations go by way of
	// other front nodes; without a Self they do not.
	Self *protocol.Node
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
	hedges   *hedges
	// replicas knows which shards do not answer to this front node, shards which do not answer by any way.
	replicas *outages
	shards   *outages
	relays   *relays
	// watched is true while Run probes shards.
	watched atomic.Bool
	// firstProbed is the first shard of the next round of probes; it belongs to Run.
	firstProbed uint32
}

// New makes a client that reads placement and addresses from view.
func New(caller wire.Caller, view func() *corelink.View, options Options) *Client {
	if options.AttemptTimeout <= 0 {
		options.AttemptTimeout = DefaultAttemptTimeout
	}
	if options.HedgeAfter <= 0 {
		options.HedgeAfter = DefaultHedgeAfter
	}
	if options.Deadline <= 0 {
		options.Deadline = DefaultDeadline
	}
	if options.Wait == nil {
		options.Wait = waitFor
	}
	now := time.Now()
	return &Client{
		caller: caller, view: view, options: options, hedges: newHedges(now),
		replicas: newOutages(replicaOutageAfter, now), shards: newOutages(shardOutageAfter, now), relays: newRelays(),
	}
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
// run before Do returns, so that no late copy of it takes effect. Before a turn
// is settled that continues one of another program, that one is kept as long.
func (c *Client) Do(ctx context.Context, operation *protocol.LedgerOperation) (*protocol.LedgerResult, error) {
	return c.do(ctx, operation, raceOptions{patient: endsSomething(operation)})
}

// DoDirectly carries an operation out for another front node: as Do does, but by asking replicas only. The answer
// is LEDGER_UNAVAILABLE at once when they do not answer this front node either.
func (c *Client) DoDirectly(ctx context.Context, operation *protocol.LedgerOperation) (*protocol.LedgerResult, error) {
	ctx, cancel := context.WithTimeout(ctx, relayedTimeout)
	defer cancel()
	return c.do(ctx, operation, raceOptions{directly: true})
}

// endsSomething reports whether an operation ends what has begun, so that it is worth waiting for the ledger.
func endsSomething(operation *protocol.LedgerOperation) bool {
	switch operation.GetBody().(type) {
	case *protocol.LedgerOperation_SettleTurn, *protocol.LedgerOperation_ReleaseTurn, *protocol.LedgerOperation_FinishCall:
		return true
	default:
		return false
	}
}

func (c *Client) do(ctx context.Context, operation *protocol.LedgerOperation, options raceOptions) (*protocol.LedgerResult, error) {
	if _, bounded := ctx.Deadline(); !bounded {
		limited, cancel := context.WithTimeout(ctx, c.options.Deadline)
		defer cancel()
		ctx = limited
	}
	if status, err := c.prolongForeignChain(ctx, operation, options); status != protocol.LedgerStatus_LEDGER_OK {
		return ledger.ResultWithStatus(status), err
	}
	result, doubtful, err := c.run(ctx, operation, options)
	if err != nil || !doubtful || !isRefusedReservation(operation.GetReserveTurn(), result) {
		return result, err
	}
	if result.GetStatus() == protocol.LedgerStatus_LEDGER_STEP_MISMATCH {
		return c.confirmMismatch(ctx, operation, result, options)
	}
	return c.confirmRefusal(ctx, operation, result, options)
}

// isRefusedReservation reports whether a reservation has not taken effect
// according to the answer, but a late copy of it might.
func isRefusedReservation(reserve *protocol.ReserveTurn, result *protocol.LedgerResult) bool {
	switch result.GetStatus() {
	case protocol.LedgerStatus_LEDGER_BUDGET_SPENT, protocol.LedgerStatus_LEDGER_BUDGET_HELD,
		protocol.LedgerStatus_LEDGER_WRONG_CONTINUATION, protocol.LedgerStatus_LEDGER_STEP_MISMATCH:
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
func (c *Client) confirmRefusal(ctx context.Context, operation *protocol.LedgerOperation, refusal *protocol.LedgerResult,
	options raceOptions,
) (*protocol.LedgerResult, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTime)
	defer cancel()
	reserve := operation.GetReserveTurn()
	released, _, err := c.run(ctx, releaseOf(operation.GetProgram(), reserve, refusal.GetEpoch()), options)
	if err == nil && released.GetStatus() == protocol.LedgerStatus_LEDGER_FENCED && reserve.GetClaim() != nil {
		// A late copy would claim the session once more, so the epoch does not keep it out.
		released, _, err = c.run(ctx, refusalOf(operation.GetProgram(), reserve), options)
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

// confirmMismatch marks a request as not run that was refused since its program does not belong to the step. The
// refusal claimed no session, so that no epoch is known. A request that ended before stays refused.
func (c *Client) confirmMismatch(ctx context.Context, operation *protocol.LedgerOperation, refusal *protocol.LedgerResult,
	options raceOptions,
) (*protocol.LedgerResult, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTime)
	defer cancel()
	refused, _, err := c.run(ctx, refusalOf(operation.GetProgram(), operation.GetReserveTurn()), options)
	switch {
	case err != nil:
		return nil, err
	case refused.GetStatus() == protocol.LedgerStatus_LEDGER_OK, refused.GetStatus() == protocol.LedgerStatus_LEDGER_ALREADY_FINISHED:
		return refusal, nil
	default:
		return refused, nil
	}
}

// refusalOf marks the request of a reservation as not run, whatever the epoch of its session.
func refusalOf(program string, reserve *protocol.ReserveTurn) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: program,
		Body: &protocol.LedgerOperation_RefuseRequest{RefuseRequest: &protocol.RefuseRequest{
			RequestId: reserve.GetRequestId(), Session: reserve.GetSession(),
		}},
	}
}

// prolongForeignChain keeps the turns of other programs that a turn continues as long as the
// turn itself. That some are gone is no reason not to settle a turn that has run.
func (c *Client) prolongForeignChain(ctx context.Context, operation *protocol.LedgerOperation, options raceOptions) (protocol.LedgerStatus, error) {
	turn := operation.GetSettleTurn().GetTurn()
	until := turn.GetKeepUntilMillis()
	for turn.GetPreviousProgram() != "" && turn.GetPreviousProgram() != turn.GetProgram() {
		result, _, err := c.run(ctx, &protocol.LedgerOperation{
			Program: turn.GetPreviousProgram(),
			Body: &protocol.LedgerOperation_ProlongTurns{ProlongTurns: &protocol.ProlongTurns{
				LastTurn: turn.GetPreviousTurn(), KeepUntilMillis: until,
			}},
		}, options)
		switch {
		case err != nil:
			return protocol.LedgerStatus_LEDGER_UNAVAILABLE, err
		case result.GetStatus() == protocol.LedgerStatus_LEDGER_TURN_MISSING:
			return protocol.LedgerStatus_LEDGER_OK, nil
		case result.GetStatus() != protocol.LedgerStatus_LEDGER_OK:
			return result.GetStatus(), nil
		case len(result.GetTurns()) == 0:
			return protocol.LedgerStatus_LEDGER_OK, nil
		}
		turn = result.GetTurns()[0]
	}
	return protocol.LedgerStatus_LEDGER_OK, nil
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
