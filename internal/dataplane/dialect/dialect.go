// Package dialect defines the names of the HTTP headers in which callers and
// back ends of HTTP routes pass metadata of a request to rosestand. Default has
// the product's own names; a platform that uses other names supplies its own Dialect.
// The forms of the values are the same in every dialect; docs/API-ROUTES.md specifies them.
// A Dialect is a value without state.
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
	// Program and Session name the program and session that a request belongs to.
	Program string
	Session string
	// TimeLeft is the time for which the caller still waits, in milliseconds.
	TimeLeft string
	// ProgramTimeLeft is the time until the program should be complete, in milliseconds.
	ProgramTimeLeft string
	// TokenBudget is the number of tokens that all turns of the program may generate.
	TokenBudget string
	// TokenUsage is "PROMPT,MOST": the tokens of the prompt and the maximum that the turn generates.
	TokenUsage string
	// PromptParts is "ID:TOKENS,..." for the segments of the prompt, in order.
	PromptParts string
	// PreviousTurn is the request id of the turn that this one continues.
	PreviousTurn string
	// TrainingStep names the training step that a turn generates for.
	TrainingStep string
	// TrainingModel names the model of that step, where the servers of a route have several.
	TrainingModel string
	// Affinity is the same for all requests that concern the same object.
	Affinity string
	// LastEventID is the id of the last event that a caller of a resumable stream received.
	LastEventID string

	// Headers of requests to servers.

	// TargetServer names the server that the request is for; any other one rejects it.
	TargetServer string
	// ServerRank is the priority at a model server, from 0 to 9; 0 is the highest.
	ServerRank string
	// ExpectedWeights is the version of the weights that the server must have.
	ExpectedWeights string

	// Headers of servers.

	// Signature is on every answer that comes from the server itself and not from a proxy in front of it.
	Signature string
	// NotExecuted is on answers of a server that did not run the request.
	NotExecuted string
	// WeightVersions is the version of the weights that an answer was generated with.
	WeightVersions string

	// ServerLoad is on answers of servers that report their load with each answer; DecodeLoad decodes it.
	ServerLoad string

	// ReportPath is the path of a server's load report; empty when it has none.
	ReportPath string
	// DecodeReport decodes the body of a load report; nil means that no load reports are requested.
	DecodeReport func(body []byte) (Report, error)
	// ToolsReport is true when tool servers have load reports, too.
	ToolsReport bool
}

// Load is the load that a server reported, in requests.
type Load struct {
	Running uint32
	Queued  uint32
	// Capacity is the maximum number of concurrent requests of the server; 0 means the announced number.
	Capacity uint32
}

// Report is a load report: the load of a server and the use of its KV cache.
type Report struct {
	Load
	// CacheUsed is the number of tokens in the KV cache that cannot be evicted, CacheTotal its size in tokens.
	CacheUsed  uint64
	CacheTotal uint64
}

// reportBody is the body of a load report in the product's own form.
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

// DecodeLoad decodes the value of ServerLoad: "running=1,queued=0,capacity=16", of which any may be absent, or the
// three numbers alone in that order. Fields that cannot be parsed are ignored; it reports false when none can.
func DecodeLoad(value string) (Load, bool) {
	var load Load
	known := false
	fields := []*uint32{&load.Running, &load.Queued, &load.Capacity}
	for position, element := range strings.Split(value, ",") {
		name, text, isNamed := strings.Cut(strings.TrimSpace(element), "=")
		if isNamed {
			position = slices.Index(loadNames, name)
		} else {
			text = name
		}
		number, err := strconv.ParseUint(text, 10, 32)
		if err != nil || position < 0 || position >= len(fields) {
			continue
		}
		*fields[position], known = uint32(number), true
	}
	return load, known
}

// loadNames are the names of a load's fields, in the order of the form without names.
var loadNames = []string{"running", "queued", "capacity"}

// Default is the dialect with the product's own names.
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
