package operators

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/strictjson"
)

// order proposes an operator's command under its order id and responds with the CommandResult. kind labels the metrics.
func (h *Handler) order(
	ctx context.Context, kind string, request *operatorRequest, command *protocol.Command,
) (*response, error) {
	command.OrderId = request.orderID
	result, err := h.proposer.Propose(ctx, command)
	if err := h.recordResult(kind, request, result, err); err != nil {
		return nil, err
	}
	return protoResponse(result)
}

// recordResult counts the result of an order, and logs the order if it was accepted. It returns the error of the
// proposal, or a *rejectedError if the order was rejected.
func (h *Handler) recordResult(kind string, request *operatorRequest, result *protocol.CommandResult, err error) error {
	if err != nil {
		h.metrics.orders.WithLabelValues(kind, failure.From(err).GetCode()).Inc()
		return err
	}
	if !result.GetAccepted() {
		h.metrics.orders.WithLabelValues(kind, result.GetRefusal().GetCode()).Inc()
		return &rejectedError{rejection: result.GetRefusal()}
	}
	h.metrics.orders.WithLabelValues(kind, "accepted").Inc()
	h.logger.Info("order accepted", "kind", kind, "operator", request.operator,
		"order", request.orderID, "index", result.GetIndex())
	return nil
}

// readBody parses the JSON body into message; an empty body leaves message unchanged.
func readBody(request *operatorRequest, message proto.Message) error {
	content, err := io.ReadAll(request.http.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return failure.New(failure.BodyTooLarge, protocol.Outcome_NOT_RUN,
			fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit))
	case errors.HasType(err, (*failure.Error)(nil)):
		return err
	case err != nil:
		return failure.New(failure.InvalidBody, protocol.Outcome_NOT_RUN, "the body cannot be read: "+err.Error())
	case len(bytes.TrimSpace(content)) == 0:
		return nil
	}
	return strictjson.Unmarshal(content, message)
}

// checkMatchesPath rejects a body that names another object than the path; the body may omit the name.
func checkMatchesPath(inBody, inPath, kind, field string) error {
	if inBody == "" || inBody == inPath {
		return nil
	}
	return invalidField(field, "the body names another "+kind+" than the path")
}

func parseVersion(text string) (uint64, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return 0, invalidField("version", "a version is a number from 1")
	}
	return version, nil
}

// queryNumber returns a number from the query, or fallback if the query does not have it.
func queryNumber(request *operatorRequest, name string, fallback uint64) (uint64, error) {
	text := request.http.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, invalidField(name, "must be a number")
	}
	return number, nil
}

func missingField(path string) error {
	return failure.New(failure.MissingField, protocol.Outcome_NOT_RUN, "must be set", failure.WithPath(path))
}

func invalidField(path, message string) error {
	return failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, message, failure.WithPath(path))
}

// notFound returns the failure of a request in which the field at path names an object that does not exist.
func notFound(path, message string) error {
	return failure.New(failure.NotFound, protocol.Outcome_NOT_RUN, message, failure.WithPath(path))
}
