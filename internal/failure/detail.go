package failure

import "github.com/rosestand/rosestand/internal/protocol"

// Detail is a failure in the form of JSON bodies and events.
type Detail struct {
	Code             string `json:"code"`
	Message          string `json:"message"`
	Path             string `json:"path,omitempty"`
	Outcome          string `json:"outcome"`
	RetryAfterMillis uint32 `json:"retry_after_millis,omitempty"`
}

// NewDetail returns the detail of a failure.
func NewDetail(problem *protocol.Failure) Detail {
	return Detail{
		Code: problem.GetCode(), Message: problem.GetMessage(), Path: problem.GetPath(),
		Outcome: OutcomeName(problem.GetOutcome()), RetryAfterMillis: problem.GetRetryAfterMillis(),
	}
}

// OutcomeName returns an outcome's name in JSON; an unspecified one counts as unknown.
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
