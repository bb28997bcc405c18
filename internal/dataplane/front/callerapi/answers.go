package callerapi

import (
	"encoding/json"
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

// ResponseObject is the JSON form of a turn.
type ResponseObject struct {
	ID                 string          `json:"id"`
	Object             string          `json:"object"`
	Status             string          `json:"status"`
	Model              string          `json:"model"`
	Conversation       string          `json:"conversation"`
	Program            string          `json:"program"`
	PreviousResponseID string          `json:"previous_response_id,omitempty"`
	Output             []outputMessage `json:"output"`
	Usage              *usage          `json:"usage,omitempty"`
	Rosestand          provenance      `json:"rosestand"`
}

type outputMessage struct {
	Type    string       `json:"type"`
	Role    string       `json:"role"`
	Content []outputText `json:"content"`
}

type outputText struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

type usage struct {
	InputTokens        uint64       `json:"input_tokens"`
	InputTokensDetails inputDetails `json:"input_tokens_details"`
	OutputTokens       uint64       `json:"output_tokens"`
	TotalTokens        uint64       `json:"total_tokens"`
}

type inputDetails struct {
	CachedTokens uint64 `json:"cached_tokens"`
}

// provenance identifies the request and the back end, owner, bundle and attempt that produced an answer.
type provenance struct {
	RequestID     string `json:"request_id"`
	Nonce         string `json:"nonce,omitempty"`
	BackEnd       string `json:"back_end,omitempty"`
	Owner         string `json:"owner,omitempty"`
	Epoch         uint64 `json:"epoch,omitempty"`
	BundleVersion uint64 `json:"bundle_version,omitempty"`
	Attempt       uint32 `json:"attempt,omitempty"`
}

// CallObject is the JSON form of the answer to a tool call.
type CallObject struct {
	RequestID string          `json:"request_id"`
	Status    uint32          `json:"status"`
	Result    json.RawMessage `json:"result"`
	Rosestand provenance      `json:"rosestand"`
}

const (
	statusInProgress = "in_progress"
	statusCompleted  = "completed"
	responseKind     = "response"
)

// TurnView builds the answer to a turn from its events. It is not safe for concurrent use.
type TurnView struct {
	request *protocol.TurnRequest
	created *protocol.TurnCreated
	attempt uint32
}

// Observe updates the view with an event.
func (v *TurnView) Observe(event *protocol.TurnEvent) {
	v.attempt = event.GetAttempt()
	if created := event.GetCreated(); created != nil {
		v.created = created
	}
}

// NewTurnView returns the view of a turn that has no events yet.
func NewTurnView(request *protocol.TurnRequest) *TurnView { return &TurnView{request: request} }

// InProgressObject returns the object of a turn that has no answer yet.
func InProgressObject(id, requestID, conversation, program string) ResponseObject {
	return ResponseObject{
		ID: id, Object: responseKind, Status: statusInProgress, Conversation: conversation, Program: program,
		Output: []outputMessage{}, Rosestand: provenance{RequestID: requestID},
	}
}

// NewCallObject returns the answer to a tool call that did not fail.
func NewCallObject(request *protocol.ToolCallRequest, response *protocol.ToolCallResponse) CallObject {
	return CallObject{
		RequestID: request.GetRequestId(), Status: response.GetStatus(), Result: resultJSON(response),
		Rosestand: provenance{
			RequestID: request.GetRequestId(), Nonce: request.GetNonce(), BackEnd: response.GetBackEnd(),
			Owner: response.GetOwner(), Epoch: response.GetEpoch(), BundleVersion: response.GetBundleVersion(),
		},
	}
}

func (v *TurnView) object(status string) ResponseObject {
	return ResponseObject{
		ID: v.created.GetTurnId(), Object: responseKind, Status: status, Model: v.request.GetModel(),
		Conversation: v.request.GetSession(), Program: v.request.GetProgram(),
		PreviousResponseID: v.request.GetPreviousTurn(),
		Output:             []outputMessage{},
		Rosestand: provenance{
			RequestID: v.request.GetRequestId(), BackEnd: v.created.GetBackEnd(), Owner: v.created.GetOwner(),
			Epoch: v.created.GetEpoch(), BundleVersion: v.created.GetBundleVersion(), Attempt: v.attempt,
		},
	}
}

// Completed returns the answer to a completed turn.
func (v *TurnView) Completed(done *protocol.TurnCompleted) ResponseObject {
	answer := v.object(statusCompleted)
	answer.ID = done.GetTurnId()
	answer.Output = message(done.GetText())
	answer.Usage = usageOf(done.GetInputTokens(), done.GetCachedTokens(), done.GetOutputTokens())
	answer.Rosestand.Nonce = done.GetNonce()
	return answer
}

func message(text string) []outputMessage {
	return []outputMessage{{Type: "message", Role: "assistant", Content: []outputText{{Type: "output_text", Text: text}}}}
}

func usageOf(input, cached, output uint64) *usage {
	return &usage{
		InputTokens: input, InputTokensDetails: inputDetails{CachedTokens: cached}, OutputTokens: output,
		TotalTokens: input + output,
	}
}

// RetainedObject returns the object of a turn that the ledger retains.
func RetainedObject(retained *protocol.Turn) ResponseObject {
	var text strings.Builder
	for _, item := range retained.GetOutput() {
		text.WriteString(item.GetText())
	}
	return ResponseObject{
		ID: retained.GetId(), Object: responseKind, Status: statusCompleted, Model: retained.GetModel(),
		Conversation: retained.GetSession(),
		Program:      retained.GetProgram(), PreviousResponseID: retained.GetPreviousTurn(), Output: message(text.String()),
		Usage:     usageOf(retained.GetInputTokens(), 0, retained.GetOutputTokens()),
		Rosestand: provenance{RequestID: retained.GetRequestId(), BackEnd: retained.GetBackEnd(), Epoch: retained.GetEpoch()},
	}
}

// resultJSON returns a tool's JSON unchanged and anything else as a JSON string.
func resultJSON(response *protocol.ToolCallResponse) json.RawMessage {
	if strings.HasPrefix(response.GetContentType(), "application/json") && json.Valid(response.GetBody()) {
		return response.GetBody()
	}
	text, err := json.Marshal(string(response.GetBody()))
	if err != nil {
		return json.RawMessage("null")
	}
	return text
}
