package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
	"github.com/rosestand/rosestand/internal/testing/lab/wait"
)

const (
	// maxRequests bounds the requests made for one step, each under a new id.
	maxRequests = 6
	// maxExchanges bounds the exchanges made under one id.
	maxExchanges  = 5
	minBackoff    = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	turnTimeout   = 30 * time.Second
)

// visit carries out one conversation.
type visit struct {
	client       *Client
	platform     *platform
	recorder     *recorder
	random       *rand.Rand
	conversation *Conversation
	session      string
	previous     string
	subAgents    int
}

// run runs the steps one after another; it ends early when a step fails for good.
func (v *visit) run(ctx context.Context, steps []Step) {
	for _, step := range steps {
		if !wait.For(ctx, step.ThinkBefore) || !v.runStep(ctx, step) {
			return
		}
	}
}

func (v *visit) runStep(ctx context.Context, step Step) bool {
	switch {
	case len(step.SubAgent) > 0:
		v.runSubAgent(ctx, step.SubAgent)
		return ctx.Err() == nil
	case step.Tool != "":
		v.tool(ctx, step)
		return ctx.Err() == nil
	default:
		return v.turn(ctx, step)
	}
}

// runSubAgent opens another session of the same program, as a probe's sub-agent does.
func (v *visit) runSubAgent(ctx context.Context, steps []Step) {
	v.subAgents++
	child := *v
	child.session = fmt.Sprintf("%s-helper-%d", v.session, v.subAgents)
	child.previous = ""
	child.run(ctx, steps)
}

// turn requests a turn until it is answered, rejected for good or maxRequests is reached.
func (v *visit) turn(ctx context.Context, step Step) bool {
	for range maxRequests {
		record := v.record(OperationTurn, step)
		record.MaxTokens = step.MaxOutput
		record.PreviousTurn = v.previous
		v.follow(ctx, record, v.body(step))
		v.recorder.entries <- record
		if record.Outcome == OutcomeAnswered {
			v.previous = record.TurnID
			if step.ReadAfter {
				v.read(ctx, record)
			}
			return true
		}
		if !retryable(record) || !wait.For(ctx, v.backoff(record, 0)) {
			return false
		}
	}
	return false
}

func (v *visit) body(step Step) turnBody {
	return turnBody{
		Model: v.conversation.Model, Input: step.Input, PreviousResponseID: v.previous,
		Conversation: v.session, Program: v.conversation.Program, ProgramBudget: v.conversation.Budget,
		Stream: true, MaxOutputTokens: step.MaxOutput, Priority: step.Priority,
		TimeoutMillis: int(turnTimeout / time.Millisecond),
	}
}

// follow makes exchanges under one request id until its outcome is known: a broken
// stream is resumed, a request without an answer is sent again.
func (v *visit) follow(ctx context.Context, record *Record, body turnBody) {
	for attempt := range maxExchanges {
		front := v.platform.pick(v.conversation.Zone)
		if record.TurnID != "" {
			v.client.Resume(ctx, front, record)
		} else {
			v.client.Turn(ctx, front, record, body)
		}
		if hasOutcome(record) || !wait.For(ctx, v.backoff(record, attempt)) {
			return
		}
	}
}

// tool makes a call; one that was not run is requested again under a new id,
// one whose outcome is unknown only under the same id.
func (v *visit) tool(ctx context.Context, step Step) {
	for range maxRequests {
		record := v.record(OperationTool, step)
		record.Tool = step.Tool
		record.Object = step.Object
		v.callTool(ctx, record, step)
		v.recorder.entries <- record
		if record.Outcome != OutcomeNotRun || !retryable(record) || !wait.For(ctx, v.backoff(record, 0)) {
			return
		}
	}
}

func (v *visit) callTool(ctx context.Context, record *Record, step Step) {
	arguments, err := json.Marshal(struct {
		Object string `json:"object"`
	}{step.Object})
	if err != nil {
		return
	}
	body := toolBody{
		Program: v.conversation.Program, Conversation: v.session, Arguments: arguments,
		TimeoutMillis: int(turnTimeout / time.Millisecond), Priority: step.Priority,
	}
	for attempt := range maxExchanges {
		v.client.Tool(ctx, v.platform.pick(v.conversation.Zone), record, body)
		if hasOutcome(record) || !wait.For(ctx, v.backoff(record, attempt)) {
			return
		}
	}
}

// read reads a retained turn from the next front node.
func (v *visit) read(ctx context.Context, of *Record) {
	record := readRecord(of)
	v.client.Read(ctx, v.platform.pick(v.conversation.Zone), record)
	v.recorder.entries <- record
}

func readRecord(of *Record) *Record {
	return &Record{
		Operation: OperationRead, Site: of.Site, RequestID: "read-" + of.RequestID, Program: of.Program,
		Session: of.Session, TurnID: of.TurnID, Priority: of.Priority,
	}
}

func (v *visit) record(operation Operation, step Step) *Record {
	return &Record{
		Operation: operation, Site: string(v.conversation.Site),
		RequestID: fmt.Sprintf("req-%016x%08x", v.random.Uint64(), v.random.Uint32()),
		Nonce:     fmt.Sprintf("%012x", v.random.Uint64()>>16),
		Program:   v.conversation.Program, Session: v.session, Priority: step.Priority,
	}
}

// settled reports whether the end of a request is known.
func hasOutcome(record *Record) bool {
	switch record.Outcome {
	case OutcomeAnswered, OutcomeRan, OutcomeNotRun:
		return true
	default:
		lost := record.Code == resumeRejected+string(failure.TurnMissing)
		return lost || (site.NonRepeatable(record.Tool) && record.Code == string(failure.OutcomeUnknown))
	}
}

// retryable reports whether a request under another id may succeed.
func retryable(record *Record) bool {
	switch failure.Code(record.Code) {
	case failure.BudgetSpent, failure.UnknownModel, failure.UnknownTool, failure.WrongContinuation,
		failure.TurnMissing, failure.InvalidField, failure.InvalidBody, failure.MissingField,
		failure.UnknownField, failure.UnknownRoute, failure.Unauthorized, failure.Forbidden:
		return false
	default:
		return true
	}
}

// backoff returns the retry-after of the answer, else one that doubles with each attempt.
func (v *visit) backoff(record *Record, attempt int) time.Duration {
	retryAfter := time.Duration(record.Exchanges[len(record.Exchanges)-1].RetryAfterMillis) * time.Millisecond
	if retryAfter > 0 {
		return min(retryAfter, maxRetryAfter)
	}
	jitter := time.Duration(v.random.Int64N(int64(minBackoff)))
	return minBackoff<<attempt + jitter
}
