package ledgerops

import (
	"context"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// RepairRetryAfter is the retry delay sent to callers while the ledger is unreachable: about the time that it takes
	// to replace a lost replica.
	RepairRetryAfter = time.Second

	operationTimeout = 3 * time.Second
	// conversationTimeout limits one read of a conversation. It is shorter than operationTimeout, so that the caller is
	// told early to retry.
	conversationTimeout = time.Second
	// pageTurns is the maximum number of turns that one read of a conversation returns.
	pageTurns = 128
)

// Ledger is the client of the program ledger.
type Ledger interface {
	// Do executes one operation; the status is LEDGER_UNAVAILABLE when no majority answered in time.
	Do(ctx context.Context, operation *protocol.LedgerOperation) (*protocol.LedgerResult, error)
	// DoDirectly executes one operation for another front node, which cannot reach the stores itself.
	DoDirectly(ctx context.Context, operation *protocol.LedgerOperation) (*protocol.LedgerResult, error)
	// Unreachable reports whether operations on a program have gone unanswered for a while.
	Unreachable(program string) bool
	// Isolated reports whether the ledger is unreachable from this front node, but not from most others.
	Isolated() bool
}

// Client executes the ledger operations of one front node. It keeps no state and is safe for concurrent use.
type Client struct {
	node    string
	ledger  Ledger
	members func() *protocol.MembershipView
}

// NewClient returns the client of the front node with a name; members returns the current membership.
func NewClient(node string, ledger Ledger, members func() *protocol.MembershipView) *Client {
	return &Client{node: node, ledger: ledger, members: members}
}

// Do executes an operation within operationTimeout. It is not cancelled with the caller's context: once a change has
// been sent, its result must be awaited, or its outcome would be unknown. The status is LEDGER_UNAVAILABLE when there
// was no result.
func (c *Client) Do(ctx context.Context, operation *protocol.LedgerOperation) *protocol.LedgerResult {
	return c.doWithTimeout(ctx, operationTimeout, operation)
}

func (c *Client) doWithTimeout(
	ctx context.Context, timeout time.Duration, operation *protocol.LedgerOperation,
) *protocol.LedgerResult {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	result, err := c.ledger.Do(ctx, operation)
	if err != nil || result == nil {
		return &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_UNAVAILABLE}
	}
	return result
}

// CheckReachable returns a failure while a program's shard is unreachable, and nil otherwise. It lets requests that
// need the ledger be rejected at once with a retry delay, before anything has been sent.
func (c *Client) CheckReachable(program string) *protocol.Failure {
	if !c.ledger.Unreachable(program) {
		return nil
	}
	return UnreachableFailure()
}

// CheckIsolation returns a failure for a turn that needs the ledger while this front node is isolated, and nil
// otherwise. An isolated front node reaches neither the ledger nor the other front nodes, so it could not look up the
// turn's owner either.
func (c *Client) CheckIsolation(request *protocol.TurnRequest) *protocol.Failure {
	if !c.ledger.Isolated() || !turn.UsesLedger(request) {
		return nil
	}
	return UnreachableFailure()
}

// UnreachableFailure returns the failure for requests that need the ledger while it is unreachable.
func UnreachableFailure() *protocol.Failure {
	return failure.New(failure.LedgerUnavailable, protocol.Outcome_NOT_RUN, "the ledger is out of reach",
		failure.WithRetryAfter(RepairRetryAfter)).Failure
}

// Serve executes an operation for another front node and sends it the result.
func (c *Client) Serve(
	ctx context.Context, operation *protocol.LedgerOperation, send func(*protocol.Response) error,
) error {
	result, err := c.ledger.DoDirectly(ctx, operation)
	if err != nil {
		return err
	}
	return send(&protocol.Response{Body: &protocol.Response_Ledger{Ledger: result}})
}

// ReadTurns reads the turns of a conversation within one program up to lastTurn, oldest first. hold is used as by
// ReadConversation.
func (c *Client) ReadTurns(
	ctx context.Context, program, lastTurn string, hold func([]*protocol.Turn) bool,
) ([]*protocol.Turn, protocol.LedgerStatus) {
	var turns []*protocol.Turn
	for next := lastTurn; next != ""; {
		result := c.Do(ctx, readTurns(program, next, pageTurns))
		if result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
			return nil, result.GetStatus()
		}
		page := result.GetTurns()
		if len(page) == 0 {
			return nil, protocol.LedgerStatus_LEDGER_TURN_MISSING
		}
		if !hold(page) {
			return nil, protocol.LedgerStatus_LEDGER_UNAVAILABLE
		}
		turns = append(turns, page...)
		next = page[len(page)-1].GetPreviousTurn()
	}
	slices.Reverse(turns)
	return turns, protocol.LedgerStatus_LEDGER_OK
}

// ReadTurn reads one retained turn.
func (c *Client) ReadTurn(ctx context.Context, program, id string) (*protocol.Turn, protocol.LedgerStatus) {
	result := c.Do(ctx, readTurns(program, id, 1))
	if result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
		return nil, result.GetStatus()
	}
	if len(result.GetTurns()) == 0 {
		return nil, protocol.LedgerStatus_LEDGER_TURN_MISSING
	}
	return result.GetTurns()[0], protocol.LedgerStatus_LEDGER_OK
}

// readTurns returns the operation that reads at most limit turns of a program, from last backwards.
func readTurns(program, last string, limit uint32) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{Program: program, Body: &protocol.LedgerOperation_ReadTurns{
		ReadTurns: &protocol.ReadTurns{LastTurn: last, Limit: limit},
	}}
}

// Reject writes the tombstone of a request, which prevents it from ever running.
func (c *Client) Reject(
	ctx context.Context, program string, operation *protocol.RefuseRequest,
) *protocol.LedgerResult {
	return c.Do(ctx, &protocol.LedgerOperation{
		Program: program, Body: &protocol.LedgerOperation_RefuseRequest{RefuseRequest: operation},
	})
}
