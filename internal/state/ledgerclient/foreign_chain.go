package ledgerclient

import (
	"context"

	"github.com/rosestand/rosestand/internal/protocol"
)

// prolongForeignChain prolongs the retention of the turns of other programs that a committed turn continues to that of
// the turn itself. It returns LEDGER_OK also when some of them have expired, since a turn that has run is committed
// regardless.
func (c *Client) prolongForeignChain(
	ctx context.Context, operation *protocol.LedgerOperation, options callOptions,
) (protocol.LedgerStatus, error) {
	turn := operation.GetSettleTurn().GetTurn()
	until := turn.GetKeepUntilMillis()
	for continuesForeignTurn(turn) {
		result, _, err := c.run(ctx, newProlongation(turn, until), options)
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

func continuesForeignTurn(turn *protocol.Turn) bool {
	return turn.GetPreviousProgram() != "" && turn.GetPreviousProgram() != turn.GetProgram()
}

// newProlongation returns an operation that prolongs the chain that ends with the predecessor of a turn.
func newProlongation(turn *protocol.Turn, untilMillis int64) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: turn.GetPreviousProgram(),
		Body: &protocol.LedgerOperation_ProlongTurns{ProlongTurns: &protocol.ProlongTurns{
			LastTurn: turn.GetPreviousTurn(), KeepUntilMillis: untilMillis,
		}},
	}
}
