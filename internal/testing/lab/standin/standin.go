// Package standin holds what the emulated back ends of the laboratory share:
// faults chosen by request, the journal of what was run, the announcement to
// front nodes and the HTTP shell round one server.
package standin

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"
)

// Headers that front nodes send to back ends.
const (
	HeaderRequestID      = "Rosestand-Request-Id"
	HeaderSession        = "Rosestand-Session"
	HeaderEpoch          = "Rosestand-Epoch"
	HeaderNonce          = "Rosestand-Nonce"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLoad           = "Rosestand-Load"
)

// Call is what the headers of a request say about it.
type Call struct {
	RequestID string
	Session   string
	Epoch     uint64
	Nonce     string
}

// ReadCall reads the headers of a request; an absent epoch is zero.
func ReadCall(c *gin.Context) (Call, error) {
	call := Call{
		RequestID: c.GetHeader(HeaderRequestID),
		Session:   c.GetHeader(HeaderSession),
		Nonce:     c.GetHeader(HeaderNonce),
	}
	if call.RequestID == "" {
		call.RequestID = c.GetHeader(HeaderIdempotencyKey)
	}
	text := c.GetHeader(HeaderEpoch)
	if text == "" {
		return call, nil
	}
	epoch, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return call, &HeaderError{Header: HeaderEpoch, Value: text}
	}
	call.Epoch = epoch
	return call, nil
}

// HeaderError names a header whose value cannot be read.
type HeaderError struct {
	Header string
	Value  string
}

// Error implements error.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header %s: %q is not a number", e.Header, e.Value)
}

// Load is the load report of a server.
type Load struct {
	Running       int  `json:"running"`
	Queued        int  `json:"queued"`
	Capacity      int  `json:"capacity"`
	KVBlocksUsed  int  `json:"kv_blocks_used"`
	KVBlocksTotal int  `json:"kv_blocks_total"`
	Draining      bool `json:"draining"`
}

// Header renders the load as it rides on every answer.
func (l Load) Header() string {
	return fmt.Sprintf("running=%d,queued=%d,capacity=%d", l.Running, l.Queued, l.Capacity)
}

// ErrorBody is the JSON error of a back end.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail carries the code of a back end's error.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message,omitempty"`
}

// Abort answers with an error of the code.
func Abort(c *gin.Context, status int, code, message string) {
	c.AbortWithStatusJSON(status, ErrorBody{Error: ErrorDetail{Code: code, Message: message}})
}

// AbortConnection closes the connection of a request without ending the answer. It does not return.
func AbortConnection(c *gin.Context) {
	c.Abort()
	panic(http.ErrAbortHandler)
}
