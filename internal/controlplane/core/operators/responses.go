package operators

import (
	"encoding/json"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/strictjson"
)

// rejectedError is the error of an order that the control state rejected.
type rejectedError struct {
	rejection *protocol.Refusal
}

// Error implements error.
func (e *rejectedError) Error() string {
	return e.rejection.GetCode() + ": " + e.rejection.GetMessage()
}

// errorBody is the JSON body of every failure.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	failure.Detail
	Faults []faultBody     `json:"faults,omitempty"`
	Winner json.RawMessage `json:"winner,omitempty"`
}

type faultBody struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// encode encodes a protobuf message as JSON with the field names of the .proto files.
func encode(message proto.Message) (json.RawMessage, error) {
	encoded, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
	return encoded, errors.Wrap(err, "encode response")
}

// protoResponse returns a response with one protobuf message.
func protoResponse(message proto.Message) (*response, error) {
	document, err := encode(message)
	if err != nil {
		return nil, err
	}
	return okResponse(document), nil
}

func encodeList[T proto.Message](messages []T) ([]json.RawMessage, error) {
	encoded := make([]json.RawMessage, len(messages))
	for i, message := range messages {
		document, err := encode(message)
		if err != nil {
			return nil, err
		}
		encoded[i] = document
	}
	return encoded, nil
}

func (h *Handler) writeResponse(writer http.ResponseWriter, result *response) {
	h.metrics.requests.WithLabelValues("ok").Inc()
	writeJSON(writer, result.status, result.document)
}

func writeJSON(writer http.ResponseWriter, status int, document any) {
	encoded, err := json.Marshal(document)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(append(encoded, '\n'))
}

// writeError responds with a typed failure; a follower redirects the operator to the leader.
func (h *Handler) writeError(writer http.ResponseWriter, request *http.Request, err error) {
	detail, status := describeError(err)
	if detail.Code == string(failure.NotLeader) {
		detail, status = h.redirectToLeader(writer, request)
	}
	h.metrics.requests.WithLabelValues(detail.Code).Inc()
	if detail.RetryAfterMillis > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(detail.RetryAfterMillis)/1000))))
	}
	writeJSON(writer, status, errorBody{Error: detail})
}

// redirectToLeader sets the Location header to the leader's address and returns the body and the status of the
// redirect. If no other member with an HTTP address is the leader, it returns those of the failure NoLeader.
func (h *Handler) redirectToLeader(writer http.ResponseWriter, request *http.Request) (errorDetail, int) {
	leader := h.consensus.Leader()
	own := h.consensus.Status().GetId()
	if leader.GetHttpAddress() == "" || leader.GetId() == own {
		return describeError(controllog.NoLeader())
	}
	writer.Header().Set("Location", "http://"+normalizeHost(leader.GetHttpAddress())+request.URL.RequestURI())
	detail, _ := describeError(failure.New(failure.NotLeader, protocol.Outcome_NOT_RUN, "the leader is "+leader.GetName()))
	return detail, http.StatusTemporaryRedirect
}

// normalizeHost puts an IPv6 host into exactly one pair of brackets.
func normalizeHost(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return net.JoinHostPort(strings.Trim(host, "[]"), port)
}

// describeError returns the body and the HTTP status for an error.
func describeError(err error) (errorDetail, int) {
	var rejected *rejectedError
	if errors.As(err, &rejected) {
		return describeRejection(rejected.rejection)
	}
	var malformed *strictjson.Error
	if errors.As(err, &malformed) {
		return describeMalformed(malformed)
	}
	problem := failure.From(err)
	return errorDetail{Detail: failure.NewDetail(problem)}, int(problem.GetStatus())
}

func describeRejection(rejection *protocol.Refusal) (errorDetail, int) {
	detail := errorDetail{
		Detail: failure.Detail{
			Code: rejection.GetCode(), Message: rejection.GetMessage(),
			Outcome: failure.OutcomeName(protocol.Outcome_NOT_RUN),
		},
		Faults: faultBodies(rejection.GetFaults()),
	}
	if len(detail.Faults) > 0 {
		detail.Path = detail.Faults[0].Path
	}
	if rejection.GetWinner() != nil {
		if winner, err := encode(rejection.GetWinner()); err == nil {
			detail.Winner = winner
		}
	}
	return detail, failure.Code(rejection.GetCode()).Status()
}

func describeMalformed(malformed *strictjson.Error) (errorDetail, int) {
	code := failure.InvalidBody
	if malformed.Unknown {
		code = failure.UnknownField
	}
	return errorDetail{
		Detail: failure.Detail{
			Code: string(code), Message: malformed.Error(), Path: malformed.Faults[0].GetPath(),
			Outcome: failure.OutcomeName(protocol.Outcome_NOT_RUN),
		},
		Faults: faultBodies(malformed.Faults),
	}, code.Status()
}

func faultBodies(faults []*protocol.Fault) []faultBody {
	bodies := make([]faultBody, len(faults))
	for i, fault := range faults {
		bodies[i] = faultBody{Path: fault.GetPath(), Message: fault.GetMessage()}
	}
	return bodies
}
