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
	// RepairRetryAfter is what a caller is told to wait while the ledger is out of reach: about the time
	// in which a lost replica is replaced.
	RepairRetryAfter = time.Second

	operationTimeout = 3 * time.Second
	// conversationTimeout bounds one read of a conversation: its caller is told early when to come back.
	conversationTimeout = time.Second
	// pageTurns is how many turns one read of a conversation returns at most.
	pageTurns = 128
)

// Ledger is the client of the program ledger.
type Ledger interface {
	// Do carries out one operation; the result is LEDGER_UNAVAILABLE when no majority answered in time.
	Do(ctx context.Context, operation *protocol.LedgerOperation) (*protocol.LedgerResult, error)
	// DoDirectly carries one operation out for another front node that the stores do not answer.
	DoDirectly(ctx context.Context, operation *protocol.LedgerOperation) (*protocol.LedgerResult, error)
	// Unreachable reports whether operations on a program have gone unanswered for a while.
	Unreachable(program string) bool
	// Isolated reports whether the ledger is out of reach for this front node, but not for most others.
	Isolated() bool
}

// Client carries out the operations of one front node. It holds no state of its own; its methods may be
// called from any goroutine.
type Client struct {
	node    string
	ledger  Ledger
	members func() *protocol.MembershipView
}

// NewClient makes the client of the front node of a name; members returns the membership in force.
func NewClient(node string, ledger Ledger, members func() *protocol.MembershipView) *Client {
	return &Client{node: node, ledger: ledger, members: members}
}

// Do carries out an operation within operationTimeout. It does not end with the caller's context: once
// sent, a change must be awaited, or its outcome would be unknown. The status is LEDGER_UNAVAILABLE when
// there was no result.
func (c *Client) Do(ctx context.Context, operation *protocol.LedgerOperation) *protocol.LedgerResult {
	return c.within(ctx, operationTimeout, operation)
}

func (c *Client) within(
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

// CheckReachable rejects what needs the ledger while a program's shard is out of reach: nothing has been
// sent anywhere, and the caller learns at once when to come back. It is nil while the shard answers.
func (c *Client) CheckReachable(program string) *protocol.Failure {
	if !c.ledger.Unreachable(program) {
		return nil
	}
	return UnreachableFailure()
}

// CheckIsolation rejects a turn that needs the ledger while this front node is isolated from it and from
// the other front nodes: it could not look up the turn's owner either. It is nil otherwise.
func (c *Client) CheckIsolation(request *protocol.TurnRequest) *protocol.Failure {
	if !c.ledger.Isolated() || !turn.UsesLedger(request) {
		return nil
	}
	return UnreachableFailure()
}

// UnreachableFailure is the rejection of what needs the ledger while that is out of reach.
func UnreachableFailure() *protocol.Failure {
	return failure.New(failure.LedgerUnavailable, protocol.Outcome_NOT_RUN, "the ledger is out of reach",
		failure.WithRetryAfter(RepairRetryAfter)).Failure
}

// Serve carries an operation out for another front node.
func (c *Client) Serve(
	ctx context.Context, operation *protocol.LedgerOperation, send func(*protocol.Response) error,
) error {
	result, err := c.ledger.DoDirectly(ctx, operation)
	if err != nil {
		return err
	}
	return send(&protocol.Response{Body: &protocol.Response_Ledger{Ledger: result}})
}

// ReadTurns reads a conversation of one program up to its last turn, oldest turn first.
func (c *Client) ReadTurns(
	ctx context.Context, program, lastTurn string,
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

// readTurns reads at most limit turns of a program, from one back to those before it.
func readTurns(program, last string, limit uint32) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{Program: program, Body: &protocol.LedgerOperation_ReadTurns{
		ReadTurns: &protocol.ReadTurns{LastTurn: last, Limit: limit},
	}}
}

// Reject puts the tombstone of a request, which never runs then.
func (c *Client) Reject(
	ctx context.Context, program string, operation *protocol.RefuseRequest,
) *protocol.LedgerResult {
	return c.Do(ctx, &protocol.LedgerOperation{
		Program: program, Body: &protocol.LedgerOperation_RefuseRequest{RefuseRequest: operation},
	})
}
