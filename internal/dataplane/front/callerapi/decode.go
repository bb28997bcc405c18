package callerapi

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// DefaultMaxBodyBytes is the maximum size of HTTP bodies if the settings specify none.
const DefaultMaxBodyBytes = 8 << 20

// ReadBody reads a request body of at most maxBytes. The error is a *failure.Error.
func ReadBody(request *http.Request, maxBytes int64) ([]byte, error) {
	if request.ContentLength > maxBytes {
		return nil, bodyTooLarge(maxBytes)
	}
	body, err := readAll(request, maxBytes)
	var tooLarge *http.MaxBytesError
	var refused *failure.Error
	switch {
	case errors.As(err, &refused):
		return nil, refused
	case errors.As(err, &tooLarge), int64(len(body)) > maxBytes:
		return nil, bodyTooLarge(maxBytes)
	case err != nil:
		return nil, failure.New(failure.InvalidBody, protocol.Outcome_NOT_RUN, "the body cannot be read")
	}
	return body, nil
}

// readAll reads a body whose length is known into memory of that size, and another one up to a byte over the maximum.
func readAll(request *http.Request, maxBytes int64) ([]byte, error) {
	if request.ContentLength < 0 {
		return io.ReadAll(io.LimitReader(request.Body, maxBytes+1))
	}
	// The first read waits for the memory of the whole body.
	first := make([]byte, min(request.ContentLength, firstReadBytes))
	count, err := io.ReadFull(request.Body, first)
	if err != nil {
		return nil, err
	}
	if int64(count) == request.ContentLength {
		return first, readEnd(request.Body)
	}
	body := make([]byte, request.ContentLength)
	copy(body, first)
	if _, err := io.ReadFull(request.Body, body[count:]); err != nil {
		return nil, err
	}
	return body, readEnd(request.Body)
}

// firstReadBytes is the size of the first read of a body.
const firstReadBytes = 16 << 10

// readEnd reads the end of a body.
func readEnd(body io.Reader) error {
	var beyond [1]byte
	if _, err := body.Read(beyond[:]); !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

func bodyTooLarge(maxBytes int64) error {
	return failure.New(failure.BodyTooLarge, protocol.Outcome_NOT_RUN,
		"the body is larger than "+strconv.FormatInt(maxBytes, 10)+" bytes")
}

// DecodeStrict decodes a single JSON value and rejects unknown fields. In failures, path is prepended to the names of
// invalid fields.
func DecodeStrict(text []byte, path string, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeFailure(err, path)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return failure.New(failure.InvalidBody, protocol.Outcome_NOT_RUN, "more follows the JSON value",
			failure.WithPath(path))
	}
	return nil
}

const unknownFieldPrefix = "json: unknown field "

func decodeFailure(err error, path string) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return InvalidField(joinPath(path, wrongType.Field), "must not be a "+wrongType.Value)
	}
	if quoted, found := strings.CutPrefix(err.Error(), unknownFieldPrefix); found {
		name, unquoteError := strconv.Unquote(quoted)
		if unquoteError != nil {
			name = quoted
		}
		return failure.New(failure.UnknownField, protocol.Outcome_NOT_RUN, "no such field",
			failure.WithPath(joinPath(path, name)))
	}
	return failure.New(failure.InvalidBody, protocol.Outcome_NOT_RUN, "the body is not valid JSON: "+err.Error(),
		failure.WithPath(path))
}

func joinPath(path, name string) string {
	if path == "" || name == "" {
		return path + name
	}
	return path + "." + name
}

// InvalidField returns the failure for a field with an invalid value.
func InvalidField(path, message string) error {
	return failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, message, failure.WithPath(path))
}

// MissingField returns the failure for a required field that is missing.
func MissingField(path string) error {
	return failure.New(failure.MissingField, protocol.Outcome_NOT_RUN, "is required", failure.WithPath(path))
}
