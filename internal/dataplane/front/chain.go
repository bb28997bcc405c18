package front

import (
	"context"
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// chain is a conversation as the ledger keeps it, oldest turn first, with the program of its last turn.
type chain struct {
	turns   []*protocol.Turn
	program string
	status  protocol.LedgerStatus
}

// readChain follows a conversation back from its last turn, over programs
// where a turn continues one of another program. A turn that the program at
// hand does not have is looked for in all others.
func (s *Service) readChain(ctx context.Context, program, lastTurn string) chain {
	conversation := chain{program: program, status: protocol.LedgerStatus_LEDGER_OK}
	for next := lastTurn; next != ""; {
		page, status := s.readPage(ctx, program, next)
		if status == protocol.LedgerStatus_LEDGER_TURN_MISSING || status == protocol.LedgerStatus_LEDGER_UNKNOWN_PROGRAM {
			page, status = s.findForeign(ctx, next)
		}
		if status != protocol.LedgerStatus_LEDGER_OK {
			return chain{status: status}
		}
		if len(conversation.turns) == 0 {
			conversation.program = page[0].GetProgram()
		}
		conversation.turns = append(conversation.turns, page...)
		oldest := page[len(page)-1]
		next, program = oldest.GetPreviousTurn(), oldest.GetProgram()
		if oldest.GetPreviousProgram() != "" {
			program = oldest.GetPreviousProgram()
		}
	}
	slices.Reverse(conversation.turns)
	return conversation
}

// readPage reads turns newest first; an empty answer is a missing turn.
func (s *Service) readPage(ctx context.Context, program, last string) ([]*protocol.Turn, protocol.LedgerStatus) {
	result := s.ledgerWithin(ctx, chainTimeout, &protocol.LedgerOperation{Program: program, Body: &protocol.LedgerOperation_ReadTurns{
		ReadTurns: &protocol.ReadTurns{LastTurn: last, Limit: historyPage},
	}})
	if result.GetStatus() == protocol.LedgerStatus_LEDGER_OK && len(result.GetTurns()) == 0 {
		return nil, protocol.LedgerStatus_LEDGER_TURN_MISSING
	}
	return result.GetTurns(), result.GetStatus()
}

// findForeign looks a turn up in all programs.
func (s *Service) findForeign(ctx context.Context, id string) ([]*protocol.Turn, protocol.LedgerStatus) {
	result := s.ledgerWithin(ctx, chainTimeout, &protocol.LedgerOperation{
		Program: id, Body: &protocol.LedgerOperation_FindTurn{FindTurn: &protocol.FindTurn{TurnId: id}},
	})
	if result.GetStatus() == protocol.LedgerStatus_LEDGER_OK && len(result.GetTurns()) == 0 {
		return nil, protocol.LedgerStatus_LEDGER_TURN_MISSING
	}
	return result.GetTurns(), result.GetStatus()
}
