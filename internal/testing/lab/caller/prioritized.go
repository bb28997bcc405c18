package caller

import "context"

// PrioritizedTurn is a turn outside of any script with its class and deadline.
type PrioritizedTurn struct {
	SingleTurn
	Priority string
	// TimeoutMillis is the deadline of the turn.
	TimeoutMillis int
}

// PrioritizedTurn makes one streamed turn of a class and returns its record.
func (c *Client) PrioritizedTurn(ctx context.Context, front string, turn PrioritizedTurn) *Record {
	record := &Record{
		Operation: OperationTurn, Site: turn.Tenant, RequestID: turn.ID, Nonce: turn.Session, Priority: turn.Priority,
		Program: turn.Session, Session: turn.Session, MaxTokens: turn.MaxOutput, PreviousTurn: turn.Previous,
	}
	c.Turn(ctx, front, record, turnBody{
		Model: turn.Model, Input: turn.Input, PreviousResponseID: turn.Previous, Conversation: turn.Session,
		Program: turn.Session, ProgramBudget: ampleBudget, Stream: true, MaxOutputTokens: turn.MaxOutput,
		Priority: turn.Priority, TimeoutMillis: turn.TimeoutMillis,
	})
	return record
}
