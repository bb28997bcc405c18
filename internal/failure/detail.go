package failure

import "github.com/rosestand/rosestand/internal/protocol"

// Detail is a failure as JSON bodies and events show it.
type Detail struct {
	Code             string `json:"code"`
	Message          string `json:"message"`
	Path             string `json:"path,omitempty"`
	Outcome          string `json:"outcome"`
	RetryAfterMillis uint32 `json:"retry_after_millis,omitempty"`
}

// DetailOf describes a failure.
func DetailOf(problem *protocol.Failure) Detail {
	return Detail{
		Code: problem.GetCode(), Message: problem.GetMessage(), Path: problem.GetPath(),
		Outcome: OutcomeName(problem.GetOutcome()), RetryAfterMillis: problem.GetRetryAfterMillis(),
	}
}

// OutcomeName is an outcome's name in JSON. One that was not said counts as unknown.
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
