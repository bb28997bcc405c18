package apiclient

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/process/settings"
	"github.com/rosestand/rosestand/internal/protocol"
)

// ErrorDetail is the description of a failure in a response.
type ErrorDetail struct {
	Code             string          `json:"code"`
	Message          string          `json:"message"`
	Path             string          `json:"path"`
	Outcome          string          `json:"outcome"`
	RetryAfterMillis uint32          `json:"retry_after_millis"`
	Faults           []FaultDetail   `json:"faults"`
	Winner           json.RawMessage `json:"winner"`
}

// FaultDetail is one fault in the request's content.
type FaultDetail struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// RejectedError reports that a process responded to a request with a failure.
type RejectedError struct {
	// Status is the HTTP status.
	Status int
	Detail ErrorDetail
}

// Error returns the code, the message, every fault with its path, and what already holds the requested version.
func (e *RejectedError) Error() string {
	text := strings.Builder{}
	fmt.Fprintf(&text, "%s: %s", e.Detail.Code, e.Detail.Message)
	if e.Detail.Path != "" && len(e.Detail.Faults) == 0 {
		fmt.Fprintf(&text, " (%s)", e.Detail.Path)
	}
	for _, fault := range e.Detail.Faults {
		text.WriteString("\n  " + settings.FormatFault(&protocol.Fault{Path: fault.Path, Message: fault.Message}))
	}
	if len(e.Detail.Winner) > 0 {
		text.WriteString("\n  the version is held by " + string(e.Detail.Winner))
	}
	return text.String()
}

// parseRejection parses the body of a failure response. A body not in the API's format leaves the outcome unknown.
func parseRejection(status int, body []byte) *RejectedError {
	var document struct {
		Error ErrorDetail `json:"error"`
	}
	if err := json.Unmarshal(body, &document); err != nil || document.Error.Code == "" {
		document.Error = ErrorDetail{Code: http.StatusText(status), Message: "the answer is not of the core's API"}
	}
	return &RejectedError{Status: status, Detail: document.Error}
}

// UnreachableError reports that no process accepted the request in time; it was not run.
type UnreachableError struct {
	Addresses []string
	Last      error
}

// Error names the addresses and the last failure.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", strings.Join(e.Addresses, ", "), e.Last)
}

// Unwrap returns the last failure.
func (e *UnreachableError) Unwrap() error { return e.Last }

// UnknownOutcomeError reports that an order was sent but no response to it arrived in time.
type UnknownOutcomeError struct {
	OrderID string
	Last    error
}

// Error names the last failure, and the id under which the order can be resent.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf(
		"the outcome of the order is unknown (%v); run the same command with --order %s to learn it", e.Last, e.OrderID,
	)
}

// Unwrap returns the last failure.
func (e *UnknownOutcomeError) Unwrap() error { return e.Last }

// RedirectError reports that a process redirected the client to an address outside the cluster.
type RedirectError struct {
	From string
	To   string
}

// Error names both addresses.
func (e *RedirectError) Error() string {
	return fmt.Sprintf(
		"%s sent the request on to %s, which is no core process of the cluster; nothing was sent there", e.From, e.To,
	)
}

// attemptError reports that an attempt failed without a valid response; it may be retried.
type attemptError struct {
	cause error
}

// Error returns the text of the cause.
func (e *attemptError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.cause }

// isDialError reports whether a request was never sent because the connection could not be established.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
