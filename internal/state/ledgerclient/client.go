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
	// DefaultAttemptTimeout is much longer than a change takes, so that few attempts end with an unknown outcome, and much
	// shorter than DefaultDeadline, so that several attempts fit into it.
	DefaultAttemptTimeout = time.Second
	// DefaultHedgeAfter is much longer than a change takes, so that hedges are rare while stores are healthy.
	DefaultHedgeAfter = 80 * time.Millisecond
	// DefaultDeadline bounds operations whose caller sets no deadline, so that none waits forever.
	DefaultDeadline = 10 * time.Second
)

const (
	// initialBackoff and maxBackoff bound the wait after an undecided attempt. They are about as long as one change and as
	// a change of placement take.
	initialBackoff = 2 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
	// releaseTimeout bounds the release or tombstone of a rejected reservation, which may outlast the caller's deadline.
	releaseTimeout = 2 * time.Second
	// relayedOperationTimeout bounds an operation for another front node, which afterwards tries another relay.
	relayedOperationTimeout = 300 * time.Millisecond
)

// Options configure a Client; zero values mean the defaults.
type Options struct {
	// AttemptTimeout bounds one attempt on one replica.
	AttemptTimeout time.Duration
	// HedgeAfter is how long a replica may go without carrying out a change before a hedge is sent to the next one, so
	// that an unresponsive store does not use up the caller's time.
	HedgeAfter time.Duration
	// Deadline bounds an operation whose context has none.
	Deadline time.Duration
	// Self is this front node. While the replicas of a shard do not answer it, other front nodes relay its operations;
	// without Self, operations are not relayed.
	Self *protocol.Node
	// Wait returns after the given time or when the context ends; tests replace it.
	Wait func(ctx context.Context, wait time.Duration)
}

func (o Options) withDefaults() Options {
	if o.AttemptTimeout <= 0 {
		o.AttemptTimeout = DefaultAttemptTimeout
	}
	if o.HedgeAfter <= 0 {
		o.HedgeAfter = DefaultHedgeAfter
	}
	if o.Deadline <= 0 {
		o.Deadline = DefaultDeadline
	}
	if o.Wait == nil {
		o.Wait = waitFor
	}
	return o
}

// Client sends ledger operations. It is safe for concurrent use; each mutable part has a mutex of its own.
type Client struct {
	caller  wire.Caller
	view    func() *corelink.View
	options Options

	suspects    suspects
	hedgeBudget *hedgeBudget
	// replicaOutages detects shards whose replicas do not answer this front node, shardOutages those that do not answer
	// through relays either.
	replicaOutages *outageDetector
	shardOutages   *outageDetector
	relayAnswers   *relayAnswers

	// checking is true while Run is running.
	checking atomic.Bool
	// nextChecked is the first shard of the next round of health checks; only the goroutine of Run accesses it.
	nextChecked uint32
}

// New returns a client that reads the placement and the addresses of nodes from view.
func New(caller wire.Caller, view func() *corelink.View, options Options) *Client {
	now := time.Now()
	return &Client{
		caller:         caller,
		view:           view,
		options:        options.withDefaults(),
		hedgeBudget:    newHedgeBudget(now),
		replicaOutages: newOutageDetector(replicaOutageAfter, now),
		shardOutages:   newOutageDetector(shardOutageAfter, now),
		relayAnswers:   newRelayAnswers(),
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

// Do sends an operation and returns the ledger's answer. The status is LEDGER_UNAVAILABLE when no majority answered
// before the context ended; a change may then have taken effect or not, or may do so later. An error is a
// *failure.Error with which every store would reject the operation.
//
// A reservation that is rejected after an attempt with an unknown outcome is marked as not run before Do returns, so
// that no late copy of it takes effect. Before a turn is committed that continues a turn of another program, the
// retention of the latter is prolonged to that of the former.
func (c *Client) Do(ctx context.Context, operation *protocol.LedgerOperation) (*protocol.LedgerResult, error) {
	return c.do(ctx, operation, callOptions{persistent: concludesWork(operation)})
}

// DoDirectly sends an operation on behalf of another front node, as Do does, but to replicas only. The status is
// LEDGER_UNAVAILABLE immediately while the replicas do not answer this front node either.
func (c *Client) DoDirectly(ctx context.Context, operation *protocol.LedgerOperation) (*protocol.LedgerResult, error) {
	ctx, cancel := context.WithTimeout(ctx, relayedOperationTimeout)
	defer cancel()
	return c.do(ctx, operation, callOptions{replicasOnly: true})
}

// concludesWork reports whether an operation concludes work that has begun. Such an operation waits for an answer until
// its context ends, even while the shard is unreachable.
func concludesWork(operation *protocol.LedgerOperation) bool {
	switch operation.GetBody().(type) {
	case *protocol.LedgerOperation_SettleTurn, *protocol.LedgerOperation_ReleaseTurn, *protocol.LedgerOperation_FinishCall:
		return true
	default:
		return false
	}
}

func (c *Client) do(
	ctx context.Context, operation *protocol.LedgerOperation, options callOptions,
) (*protocol.LedgerResult, error) {
	if _, bounded := ctx.Deadline(); !bounded {
		limited, cancel := context.WithTimeout(ctx, c.options.Deadline)
		defer cancel()
		ctx = limited
	}
	if status, err := c.prolongForeignChain(ctx, operation, options); status != protocol.LedgerStatus_LEDGER_OK {
		return ledger.ResultWithStatus(status), err
	}
	result, outcomeUnknown, err := c.run(ctx, operation, options)
	if err != nil || !outcomeUnknown || !isRejectedReservation(operation.GetReserveTurn(), result) {
		return result, err
	}
	if result.GetStatus() == protocol.LedgerStatus_LEDGER_STEP_MISMATCH {
		return c.confirmMismatch(ctx, operation, result, options)
	}
	return c.confirmRejection(ctx, operation, result, options)
}
