// Package dialect names the HTTP headers in which callers and back ends of
// HTTP routes say what rosestand needs to know of a request. The product has
// names of its own (Default); a platform that uses other names supplies its own Dialect.
// Forms are the same under every dialect; docs/API-ROUTES.md tells them.
package dialect

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
)

// Dialect is a set of header names. All names are in canonical form. An empty
// name means that the dialect has no such header.
type Dialect struct {
	// Headers of callers.

	// RequestID identifies one send of a request; a caller never sends two requests under the same id.
	RequestID string
	// Program and Session name what a request belongs to.
	Program string
	Session string
	// TimeLeft is how long the caller waits, in milliseconds.
	TimeLeft string
	// ProgramTimeLeft is the time until the whole program should be over, in milliseconds.
	ProgramTimeLeft string
	// TokenBudget is the number of tokens that all turns of the program may generate.
	TokenBudget string
	// TokenUsage is "PROMPT,MOST": the tokens of the prompt and the most that the turn generates.
	TokenUsage string
	// PromptParts is "ID:TOKENS,..." for the parts of the prompt in order.
	PromptParts string
	// PreviousTurn is the request id of the turn that this one continues.
	PreviousTurn string
	// TrainingStep names the training step that a turn generates for.
	TrainingStep string
	// TrainingModel names the model of that step, where the servers of a route have several.
	TrainingModel string
	// Affinity is the same for all requests that concern the same object.
	Affinity string
	// LastEventID is the id of the last event that a caller of a resumable stream has seen.
	LastEventID string

	// Headers towards servers.

	// TargetServer names the server meant; another one refuses the request.
	TargetServer string
	// ServerRank is 0 to 9, 0 first: which requests a model server lets in first.
	ServerRank string
	// ExpectedWeights is the version of the weights that the server must have.
	ExpectedWeights string

	// Headers of servers.

	// Signature is on every answer that a server gave itself.
	Signature string
	// NotExecuted is on answers by which a server says that it did not run the request.
	NotExecuted string
	// WeightVersions is the version of the weights that an answer was generated with.
	WeightVersions string

	// ServerLoad is on answers of servers that tell their load with each; DecodeLoad reads it.
	ServerLoad string

	// ReportPath is the path of a server's report of its load; empty when it has none.
	ReportPath string
	// DecodeReport reads the body of a report; nil means that no report is asked for.
	DecodeReport func(body []byte) (Report, error)
	// ToolsReport is true when tool servers give reports, not model servers alone.
	ToolsReport bool
}

// Load is a server's own word on the requests that it has.
type Load struct {
	Running uint32
	Queued  uint32
	// Capacity is the number of requests that the server runs at once; zero leaves it as announced.
	Capacity uint32
}

// Report is a server's load with the state of its memory.
type Report struct {
	Load
	// CacheUsed and CacheTotal are tokens of the KV cache: what can't give way, and all there is.
	CacheUsed  uint64
	CacheTotal uint64
}

// reportBody is the body of a report in the product's own form.
type reportBody struct {
	Running    uint32 `json:"running"`
	Queued     uint32 `json:"queued"`
	Capacity   uint32 `json:"capacity"`
	CacheUsed  uint64 `json:"cache_used"`
	CacheTotal uint64 `json:"cache_total"`
}

func decodeReport(body []byte) (Report, error) {
	var report reportBody
	if err := json.Unmarshal(body, &report); err != nil {
		return Report{}, err
	}
	return Report{
		Load:      Load{Running: report.Running, Queued: report.Queued, Capacity: report.Capacity},
		CacheUsed: report.CacheUsed, CacheTotal: report.CacheTotal,
	}, nil
}

// DecodeLoad reads the value of ServerLoad: "running=1,queued=0,capacity=16", of which any may be absent, or the three
// numbers alone in that order. It is false when the value tells nothing.
func DecodeLoad(value string) (Load, bool) {
	var load Load
	known := false
	fields := []*uint32{&load.Running, &load.Queued, &load.Capacity}
	for place, part := range strings.Split(value, ",") {
		name, text, isNamed := strings.Cut(strings.TrimSpace(part), "=")
		if !isNamed {
			text = name
		} else {
			place = slices.Index(loadNames, name)
		}
		number, err := strconv.ParseUint(text, 10, 32)
		if err != nil || place < 0 || place >= len(fields) {
			continue
		}
		*fields[place], known = uint32(number), true
	}
	return load, known
}

// loadNames are the words of a load, in the order of its numbers.
var loadNames = []string{"running", "queued", "capacity"}

// Default gives the product's own names.
func Default() Dialect {
	return Dialect{
		RequestID:       "Rosestand-Request-Id",
		Program:         "Rosestand-Program",
		Session:         "Rosestand-Session",
		TimeLeft:        "Rosestand-Time-Left",
		ProgramTimeLeft: "Rosestand-Task-Time-Left",
		TokenBudget:     "Rosestand-Budget",
		TokenUsage:      "Rosestand-Tokens",
		PromptParts:     "Rosestand-Prompt-Parts",
		PreviousTurn:    "Rosestand-Continues",
		TrainingStep:    "Rosestand-Training-Step",
		TrainingModel:   "Rosestand-Training-Model",
		Affinity:        "Rosestand-Affinity",
		LastEventID:     "Last-Event-Id",
		TargetServer:    "Rosestand-Server",
		ServerRank:      "Rosestand-Rank",
		ExpectedWeights: "Rosestand-Weights-Wanted",
		Signature:       "Rosestand-Proof",
		NotExecuted:     "Rosestand-Not-Run",
		WeightVersions:  "Rosestand-Weights",
		ServerLoad:      "Rosestand-Load",
		ReportPath:      "/load",
		DecodeReport:    decodeReport,
		ToolsReport:     true,
	}
}
