package callerapi

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/rosestand/rosestand/internal/dataplane/front/issue"
	"github.com/rosestand/rosestand/internal/dataplane/front/rollout"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

const (
	// MaxIdentifierBytes bounds the identifiers that callers choose.
	MaxIdentifierBytes = 128
	// MaxTimeoutMillis bounds the time-outs that callers request.
	MaxTimeoutMillis = 600_000

	generatedIDBytes = 16
	headerTenant     = "Rosestand-Tenant"
)

// responsesBody is the body of POST /v1/responses.
type responsesBody struct {
	Model              string          `json:"model"`
	Input              json.RawMessage `json:"input"`
	PreviousResponseID string          `json:"previous_response_id"`
	Conversation       string          `json:"conversation"`
	Program            string          `json:"program"`
	ProgramBudget      uint64          `json:"program_budget"`
	Stream             bool            `json:"stream"`
	Background         bool            `json:"background"`
	MaxOutputTokens    uint32          `json:"max_output_tokens"`
	Priority           string          `json:"priority"`
	TimeoutMillis      uint32          `json:"timeout_millis"`
}

// inputItem is one element of a list of input.
type inputItem struct {
	Role       string `json:"role"`
	Content    string `json:"content"`
	ToolCallID string `json:"tool_call_id"`
	Name       string `json:"name"`
}

// toolCallBody is the body of POST /v1/tools/{tool}/calls.
type toolCallBody struct {
	Program       string          `json:"program"`
	ProgramBudget uint64          `json:"program_budget"`
	Conversation  string          `json:"conversation"`
	Arguments     json.RawMessage `json:"arguments"`
	Priority      string          `json:"priority"`
	TimeoutMillis uint32          `json:"timeout_millis"`
}

var priorities = map[string]protocol.Priority{
	"": protocol.Priority_INTERACTIVE, "urgent": protocol.Priority_URGENT,
	"interactive": protocol.Priority_INTERACTIVE, "probe": protocol.Priority_PROBE,
}

var roles = map[string]bool{"system": true, "developer": true, "user": true, "assistant": true, "tool": true}

// ParseTurn reads and checks the body of a turn; the second result says whether it is to be streamed.
func ParseTurn(text []byte, header http.Header) (*protocol.TurnRequest, bool, error) {
	var body responsesBody
	if err := DecodeStrict(text, "", &body); err != nil {
		return nil, false, err
	}
	if body.Model == "" {
		return nil, false, MissingField("model")
	}
	if err := checkCommon(body.Program, body.Conversation, body.Priority, body.TimeoutMillis); err != nil {
		return nil, false, err
	}
	if len(body.PreviousResponseID) > MaxIdentifierBytes {
		return nil, false, TooLong("previous_response_id")
	}
	input, err := parseInput(body.Input)
	if err != nil {
		return nil, false, err
	}
	id, firstSend, err := requestID(header)
	if err != nil {
		return nil, false, err
	}
	request := &protocol.TurnRequest{
		RequestId: id, Program: body.Program, Session: body.Conversation, PreviousTurn: body.PreviousResponseID,
		Input: input, Model: body.Model, MaxOutputTokens: body.MaxOutputTokens, Priority: priorities[body.Priority],
		TimeLeftMillis: body.TimeoutMillis, ProgramBudget: body.ProgramBudget, FirstSend: firstSend,
		Background: body.Background,
	}
	if request.Session == "" && request.PreviousTurn == "" {
		// The same request must come to the same conversation when it is sent again.
		request.Session = "conv_" + derivedID(body.Program, id)
	}
	request.Nonce, err = nonceOf(header, id)
	return request, body.Stream, err
}

func checkCommon(program, conversation, priority string, timeoutMillis uint32) error {
	switch {
	case program == "":
		return MissingField("program")
	case len(program) > MaxIdentifierBytes:
		return TooLong("program")
	case ledger.IsReservedProgram(program):
		return ReservedProgram()
	case len(conversation) > MaxIdentifierBytes:
		return TooLong("conversation")
	case timeoutMillis > MaxTimeoutMillis:
		return InvalidField("timeout_millis", fmt.Sprintf("must be at most %d", MaxTimeoutMillis))
	}
	if _, known := priorities[priority]; !known {
		return InvalidField("priority", "must be urgent, interactive or probe")
	}
	return nil
}

// ReservedProgram rejects a name that the ledger reserves for training steps.
func ReservedProgram() error {
	return InvalidField("program", "is a name that the ledger keeps for itself")
}

// TooLong is the failure for an identifier of more than MaxIdentifierBytes.
func TooLong(path string) error {
	return InvalidField(path, fmt.Sprintf("must be at most %d bytes long", MaxIdentifierBytes))
}

// parseInput reads a text or a list of items.
func parseInput(raw json.RawMessage) ([]*protocol.Item, error) {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return nil, MissingField("input")
	}
	if raw[0] == '"' {
		var text string
		if err := DecodeStrict(raw, "input", &text); err != nil {
			return nil, err
		}
		if text == "" {
			return nil, MissingField("input")
		}
		return []*protocol.Item{{Role: "user", Text: text}}, nil
	}
	var entries []json.RawMessage
	if err := DecodeStrict(raw, "input", &entries); err != nil {
		return nil, err
	}
	if len(entries) == 0 {
		return nil, MissingField("input")
	}
	items := make([]*protocol.Item, 0, len(entries))
	for i, entry := range entries {
		item, err := parseItem(entry, fmt.Sprintf("input[%d]", i))
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return items, nil
}

func parseItem(raw json.RawMessage, path string) (*protocol.Item, error) {
	var item inputItem
	if err := DecodeStrict(raw, path, &item); err != nil {
		return nil, err
	}
	if !roles[item.Role] {
		return nil, InvalidField(path+".role", "must be system, developer, user, assistant or tool")
	}
	return &protocol.Item{Role: item.Role, Text: item.Content, ToolCallId: item.ToolCallID, ToolName: item.Name}, nil
}

// ParseCall reads and checks the body of a tool call.
func ParseCall(text []byte, tool string, header http.Header) (*protocol.ToolCallRequest, error) {
	var body toolCallBody
	if err := DecodeStrict(text, "", &body); err != nil {
		return nil, err
	}
	if err := checkCommon(body.Program, body.Conversation, body.Priority, body.TimeoutMillis); err != nil {
		return nil, err
	}
	id, firstSend, err := requestID(header)
	if err != nil {
		return nil, err
	}
	request := &protocol.ToolCallRequest{
		RequestId: id, Program: body.Program, Session: body.Conversation, Tool: tool, Arguments: body.Arguments,
		Priority: priorities[body.Priority], TimeLeftMillis: body.TimeoutMillis, ProgramBudget: body.ProgramBudget,
		FirstSend: firstSend,
	}
	if request.Session == "" {
		request.Session = "conv_" + derivedID(body.Program, id)
	}
	if len(request.GetArguments()) == 0 {
		request.Arguments = []byte("{}")
	}
	request.Nonce, err = nonceOf(header, id)
	return request, err
}

// requestID is the caller's Idempotency-Key, or a new id; only of the latter no other copy exists (firstSend).
func requestID(header http.Header) (id string, firstSend bool, err error) {
	key := header.Get(issue.HeaderIdempotency)
	switch {
	case key == "":
		return "req_" + RandomID(), true, nil
	case len(key) > MaxIdentifierBytes:
		return "", false, TooLong(issue.HeaderIdempotency)
	case strings.ContainsFunc(key, isControl):
		return "", false, InvalidField(issue.HeaderIdempotency, "must not hold control characters")
	}
	return key, false, nil
}

func isControl(character rune) bool { return character < ' ' || character == 0x7f }

// nonceOf is what back ends echo, so that answers cannot be mixed up.
func nonceOf(header http.Header, requestID string) (string, error) {
	nonce := header.Get(issue.HeaderNonce)
	if len(nonce) > MaxIdentifierBytes {
		return "", TooLong(issue.HeaderNonce)
	}
	if nonce == "" {
		return derivedID("nonce", requestID), nil
	}
	return nonce, nil
}

// RandomID is a new id.
func RandomID() string {
	var random [generatedIDBytes]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

func derivedID(scope, id string) string {
	sum := sha256.Sum256([]byte(scope + "\x00" + id))
	return hex.EncodeToString(sum[:generatedIDBytes])
}

// TenantOf checks who the caller is: a tenant of the bundle, with its credential when it has one.
func TenantOf(header http.Header, variant rollout.Variant) (*protocol.TenantPolicy, error) {
	name := header.Get(headerTenant)
	if name == "" {
		return nil, MissingField(headerTenant)
	}
	policy := variant.Tenant(name)
	if policy == nil {
		return nil, failure.New(failure.Forbidden, protocol.Outcome_NOT_RUN, "the tenant is not known",
			failure.WithPath(headerTenant))
	}
	wantedSum := policy.GetCredentialSha256()
	if wantedSum == "" {
		return policy, nil
	}
	credential, hasBearer := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(credential))
	matches := subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(wantedSum)) == 1
	if !hasBearer || !matches {
		return nil, failure.New(failure.Unauthorized, protocol.Outcome_NOT_RUN, "the tenant's credential is missing or wrong",
			failure.WithPath("Authorization"))
	}
	return policy, nil
}
