package ledgerops

import (
	"context"
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Conversation is a conversation read from the ledger.
type Conversation struct {
	// Turns are in the order in which they ran, oldest first.
	Turns []*protocol.Turn
	// Program is the program of the last turn.
	Program string
	// Status is LEDGER_OK when the conversation is complete; Turns is empty otherwise.
	Status protocol.LedgerStatus
}

// ReadConversation reads a conversation backwards from its last turn, across programs where a turn continues one of
// another program. A turn that is missing in its program is looked up in all programs. hold is given each page; the
// status is LEDGER_UNAVAILABLE once it reports that there is no memory for one.
func (c *Client) ReadConversation(
	ctx context.Context, program, lastTurn string, hold func([]*protocol.Turn) bool,
) Conversation {
	conversation := Conversation{Program: program, Status: protocol.LedgerStatus_LEDGER_OK}
	for next := lastTurn; next != ""; {
		page, status := c.readPage(ctx, program, next)
		if status == protocol.LedgerStatus_LEDGER_TURN_MISSING ||
			status == protocol.LedgerStatus_LEDGER_UNKNOWN_PROGRAM {
			page, status = c.findInAllPrograms(ctx, next)
		}
		if status != protocol.LedgerStatus_LEDGER_OK {
			return Conversation{Status: status}
		}
		if !hold(page) {
			return Conversation{Status: protocol.LedgerStatus_LEDGER_UNAVAILABLE}
		}
		if len(conversation.Turns) == 0 {
			conversation.Program = page[0].GetProgram()
		}
		conversation.Turns = append(conversation.Turns, page...)
		oldest := page[len(page)-1]
		next, program = oldest.GetPreviousTurn(), oldest.GetProgram()
		if oldest.GetPreviousProgram() != "" {
			program = oldest.GetPreviousProgram()
		}
	}
	slices.Reverse(conversation.Turns)
	return conversation
}

// readPage reads turns of one program, newest first.
func (c *Client) readPage(ctx context.Context, program, last string) ([]*protocol.Turn, protocol.LedgerStatus) {
	return turnsOf(c.doWithTimeout(ctx, conversationTimeout, readTurns(program, last, pageTurns)))
}

// findInAllPrograms looks up a turn in all programs.
func (c *Client) findInAllPrograms(ctx context.Context, id string) ([]*protocol.Turn, protocol.LedgerStatus) {
	return turnsOf(c.doWithTimeout(ctx, conversationTimeout, &protocol.LedgerOperation{
		Program: id, Body: &protocol.LedgerOperation_FindTurn{FindTurn: &protocol.FindTurn{TurnId: id}},
	}))
}

// turnsOf returns the turns and the status of a result. A successful result without turns means that the turn is
// missing.
func turnsOf(result *protocol.LedgerResult) ([]*protocol.Turn, protocol.LedgerStatus) {
	if result.GetStatus() == protocol.LedgerStatus_LEDGER_OK && len(result.GetTurns()) == 0 {
		return nil, protocol.LedgerStatus_LEDGER_TURN_MISSING
	}
	return result.GetTurns(), result.GetStatus()
}

// Items concatenates the inputs and outputs of turns, in the order of the turns.
func Items(turns []*protocol.Turn) []*protocol.Item {
	var items []*protocol.Item
	for _, turn := range turns {
		items = append(append(items, turn.GetInput()...), turn.GetOutput()...)
	}
	return items
}
