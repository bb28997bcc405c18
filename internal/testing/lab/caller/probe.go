package caller

import (
	"context"
	"encoding/json"
)

const (
	probeBudget  = 100
	probeTokens  = 2
	probeTimeout = 3000
)

// Probe makes one short turn and one tool call in a program of their own and
// returns the record of the one that failed, else that of the call.
func (c *Client) Probe(ctx context.Context, front, id, tenant, model, tool string) *Record {
	turn := &Record{Operation: OperationTurn, Site: tenant, RequestID: id + "-turn", Nonce: id, Program: id, Session: id}
	c.Turn(ctx, front, turn, turnBody{
		Model: model, Input: "are you there reply:2", Conversation: id, Program: id, ProgramBudget: probeBudget,
		Stream: true, MaxOutputTokens: probeTokens, Priority: PriorityUrgent, TimeoutMillis: probeTimeout,
	})
	if turn.Outcome != OutcomeAnswered {
		return turn
	}
	call := &Record{
		Operation: OperationTool, Site: tenant, RequestID: id + "-tool", Nonce: id, Program: id, Session: id,
		Tool: tool, Object: id,
	}
	c.Tool(ctx, front, call, toolBody{
		Program: id, Conversation: id, Arguments: json.RawMessage(`{"object":"` + id + `"}`),
		TimeoutMillis: probeTimeout, Priority: PriorityUrgent,
	})
	return call
}
