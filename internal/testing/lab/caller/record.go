// Package caller emulates the client programs of both sites: it opens
// conversations at seeded times, sends turns and tool calls over HTTP to front
// nodes of its zone, follows their streams and records everything it receives.
package caller

import (
	"time"
)

// Operation is the kind of a request.
type Operation string

// Operations of a caller.
const (
	OperationTurn Operation = "turn"
	OperationTool Operation = "tool"
	// OperationRead reads a retained turn.
	OperationRead Operation = "read"
)

// Outcomes of requests for their callers.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
	OutcomeRan      = "ran"
	// OutcomeNone: no answer, as when a connection broke.
	OutcomeNone = "no_answer"
)

// Event is one server-sent event of a turn as it arrived.
type Event struct {
	Type      string    `json:"type"`
	Attempt   uint32    `json:"attempt"`
	Sequence  uint64    `json:"sequence"`
	Text      string    `json:"text,omitempty"`
	Tokens    int       `json:"tokens,omitempty"`
	ArrivedAt time.Time `json:"arrived_at"`
}

// Exchange is one HTTP exchange about a request: the first one, a repeat under
// the same request id, or the resumption of a stream.
type Exchange struct {
	Front      string    `json:"front"`
	SentAt     time.Time `json:"sent_at"`
	AnsweredAt time.Time `json:"answered_at"`
	// Resumed is true when the exchange requested the rest of a stream;
	// AfterAttempt and AfterSequence are the last event that had arrived.
	Resumed       bool   `json:"resumed,omitempty"`
	AfterAttempt  uint32 `json:"after_attempt,omitempty"`
	AfterSequence uint64 `json:"after_sequence,omitempty"`
	// Repeated is true when the request id had been sent before.
	Repeated         bool    `json:"repeated,omitempty"`
	Status           int     `json:"status,omitempty"`
	Outcome          string  `json:"outcome"`
	Code             string  `json:"code,omitempty"`
	Message          string  `json:"message,omitempty"`
	RetryAfterMillis int     `json:"retry_after_millis,omitempty"`
	Events           []Event `json:"events,omitempty"`
}

// Record is everything that a caller received about one request.
type Record struct {
	Operation  Operation  `json:"operation"`
	Site       string     `json:"site"`
	RequestID  string     `json:"request_id"`
	Nonce      string     `json:"nonce"`
	Program    string     `json:"program"`
	Session    string     `json:"session"`
	Priority   string     `json:"priority"`
	Tool       string     `json:"tool,omitempty"`
	Object     string     `json:"object,omitempty"`
	MaxTokens  int        `json:"ceiling,omitempty"`
	Exchanges  []Exchange `json:"exchanges"`
	Outcome    string     `json:"outcome"`
	Code       string     `json:"code,omitempty"`
	AnsweredAt time.Time  `json:"answered_at"`

	TurnID        string `json:"turn_id,omitempty"`
	PreviousTurn  string `json:"previous_turn,omitempty"`
	Text          string `json:"text,omitempty"`
	AnswerNonce   string `json:"answer_nonce,omitempty"`
	InputTokens   uint64 `json:"input_tokens,omitempty"`
	OutputTokens  uint64 `json:"output_tokens,omitempty"`
	CachedTokens  uint64 `json:"cached_tokens,omitempty"`
	BackEnd       string `json:"back_end,omitempty"`
	Owner         string `json:"owner,omitempty"`
	Epoch         uint64 `json:"epoch,omitempty"`
	BundleVersion uint64 `json:"bundle_version,omitempty"`
}

// SentAt is when the request was first sent.
func (r *Record) SentAt() time.Time {
	if len(r.Exchanges) == 0 {
		return time.Time{}
	}
	return r.Exchanges[0].SentAt
}

// FirstToken is the time from sending to the first token; false without one.
func (r *Record) FirstToken() (time.Duration, bool) {
	for _, exchange := range r.Exchanges {
		for _, event := range exchange.Events {
			if event.Type == EventDelta {
				return event.ArrivedAt.Sub(r.SentAt()), true
			}
		}
	}
	return 0, false
}

// Types of events in a stream.
const (
	EventCreated   = "response.created"
	EventDelta     = "response.output_text.delta"
	EventCompleted = "response.completed"
	EventFailed    = "response.failed"
)

// Program is a program that a caller opened.
type Program struct {
	ID     string `json:"id"`
	Tenant string `json:"tenant"`
	Budget uint64 `json:"budget"`
	// LargestTurn is the largest number of output tokens requested in one turn.
	LargestTurn int `json:"largest_turn"`
}

// RequestLog is everything that callers sent and received in a run.
type RequestLog struct {
	Programs map[string]*Program `json:"programs"`
	Records  []*Record           `json:"records"`
	// Unserved counts conversations that were not begun because too many were in progress.
	Unserved int `json:"unserved"`
}
