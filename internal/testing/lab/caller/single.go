package caller

import "context"

// SingleTurn is one turn outside of any script.
type SingleTurn struct {
	// ID is the request id and the nonce; Session is the program as well.
	ID        string
	Session   string
	Tenant    string
	Model     string
	Input     string
	Previous  string
	MaxOutput int
}

// SingleTurn makes one streamed turn and returns its record.
func (c *Client) SingleTurn(ctx context.Context, front string, turn SingleTurn) *Record {
	record := &Record{
		Operation: OperationTurn, Site: turn.Tenant, RequestID: turn.ID, Nonce: turn.Session,
		Program: turn.Session, Session: turn.Session, MaxTokens: turn.MaxOutput, PreviousTurn: turn.Previous,
	}
	c.Turn(ctx, front, record, turnBody{
		Model: turn.Model, Input: turn.Input, PreviousResponseID: turn.Previous, Conversation: turn.Session,
		Program: turn.Session, ProgramBudget: ampleBudget, Stream: true, MaxOutputTokens: turn.MaxOutput,
		Priority: PriorityInteractive, TimeoutMillis: probeTimeout,
	})
	return record
}
