package failure

import "github.com/rosestand/rosestand/internal/protocol"

// Detail is the JSON form of a failure, used in response bodies and events.
type Detail struct {
	Code             string `json:"code"`
	Message          string `json:"message"`
	Path             string `json:"path,omitempty"`
	Outcome          string `json:"outcome"`
	RetryAfterMillis uint32 `json:"retry_after_millis,omitempty"`
}

// NewDetail converts a failure to its JSON form.
func NewDetail(problem *protocol.Failure) Detail {
	return Detail{
		Code: problem.GetCode(), Message: problem.GetMessage(), Path: problem.GetPath(),
		Outcome: OutcomeName(problem.GetOutcome()), RetryAfterMillis: problem.GetRetryAfterMillis(),
	}
}

// OutcomeName returns the JSON name of an outcome. An unspecified outcome is reported as unknown.
func OutcomeName(outcome protocol.Outcome) string {
	switch outcome {
	case protocol.Outcome_NOT_RUN:
		return "not_run"
	case protocol.Outcome_RAN:
		return "ran"
	default:
		return "unknown"
	}
}
