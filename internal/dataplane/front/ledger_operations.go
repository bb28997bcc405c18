package front

import (
	"context"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	ledgerTimeout = 3 * time.Second
	// chainTimeout bounds one read of a conversation: its caller hears soon when to come back.
	chainTimeout = time.Second
	historyPage  = 128
)

// ledgerDo carries out an operation. It is detached from the caller's context:
// once sent, a change must be heard out, or its outcome would be unknown.
func (s *Service) ledgerDo(ctx context.Context, operation *protocol.LedgerOperation) *protocol.LedgerResult {
	return s.ledgerWithin(ctx, ledgerTimeout, operation)
}

func (s *Service) ledgerWithin(ctx context.Context, timeout time.Duration, operation *protocol.LedgerOperation) *protocol.LedgerResult {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	result, err := s.ledger.Do(ctx, operation)
	if err != nil || result == nil {
		return &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_UNAVAILABLE}
	}
	return result
}

// rejectUnreachable refuses what needs the ledger while that is out of reach: nothing has been sent anywhere, and
// the caller hears at once when to come back. It is nil while the ledger answers.
func (s *Service) rejectUnreachable(program string) *protocol.Failure {
	if !s.ledger.Unreachable(program) {
		return nil
	}
	return unreachableFailure()
}

// rejectIsolated refuses a turn that needs the ledger while this front node is cut off from it and from the others: a
// look-up of the turn's owner would find nobody either.
func (s *Service) rejectIsolated(request *protocol.TurnRequest) *protocol.Failure {
	if !s.ledger.Isolated() || !turn.IsLedgered(request) {
		return nil
	}
	return unreachableFailure()
}

func unreachableFailure() *protocol.Failure {
	return failure.New(failure.LedgerUnavailable, protocol.Outcome_NOT_RUN, "the ledger is out of reach",
		failure.WithRetryAfter(ledgerRepairRetryAfter)).Failure
}

// serveLedger carries an operation out for another front node.
func (s *Service) serveLedger(ctx context.Context, operation *protocol.LedgerOperation, send func(*protocol.Response) error) error {
	result, err := s.ledger.DoDirectly(ctx, operation)
	if err != nil {
		return err
	}
	return send(&protocol.Response{Body: &protocol.Response_Ledger{Ledger: result}})
}

// readTurns follows a conversation back from its last turn, oldest turn first.
func (s *Service) readTurns(ctx context.Context, program, lastTurn string) ([]*protocol.Turn, protocol.LedgerStatus) {
	var newestFirst []*protocol.Turn
	for next := lastTurn; next != ""; {
		result := s.ledgerDo(ctx, &protocol.LedgerOperation{Program: program, Body: &protocol.LedgerOperation_ReadTurns{
			ReadTurns: &protocol.ReadTurns{LastTurn: next, Limit: historyPage},
		}})
		if result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
			return nil, result.GetStatus()
		}
		page := result.GetTurns()
		if len(page) == 0 {
			return nil, protocol.LedgerStatus_LEDGER_TURN_MISSING
		}
		newestFirst = append(newestFirst, page...)
		next = page[len(page)-1].GetPreviousTurn()
	}
	oldestFirst := make([]*protocol.Turn, 0, len(newestFirst))
	for _, n := range slices.Backward(newestFirst) {
		oldestFirst = append(oldestFirst, n)
	}
	return oldestFirst, protocol.LedgerStatus_LEDGER_OK
}

// readTurn reads one kept turn.
func (s *Service) readTurn(ctx context.Context, program, id string) (*protocol.Turn, protocol.LedgerStatus) {
	result := s.ledgerDo(ctx, &protocol.LedgerOperation{Program: program, Body: &protocol.LedgerOperation_ReadTurns{
		ReadTurns: &protocol.ReadTurns{LastTurn: id, Limit: 1},
	}})
	if result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
		return nil, result.GetStatus()
	}
	if len(result.GetTurns()) == 0 {
		return nil, protocol.LedgerStatus_LEDGER_TURN_MISSING
	}
	return result.GetTurns()[0], protocol.LedgerStatus_LEDGER_OK
}

// rejectRequest puts the tombstone of a request.
func (s *Service) rejectRequest(ctx context.Context, program string, operation *protocol.RefuseRequest) *protocol.LedgerResult {
	return s.ledgerDo(ctx, &protocol.LedgerOperation{Program: program, Body: &protocol.LedgerOperation_RefuseRequest{RefuseRequest: operation}})
}

// historyItems joins the items of a conversation, oldest first.
func historyItems(turns []*protocol.Turn) []*protocol.Item {
	var items []*protocol.Item
	for _, conversationTurn := range turns {
		items = append(append(items, conversationTurn.GetInput()...), conversationTurn.GetOutput()...)
	}
	return items
}
