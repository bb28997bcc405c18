// Package records encodes and decodes the contents of a store's logs and snapshots: store
// records, and the program and call records that are the values of registers.
package records

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// UnreadableError reports that stored bytes are not a valid record in the format of this version.
type UnreadableError struct {
	Cause error
}

// Error implements error.
func (e *UnreadableError) Error() string { return "unreadable store record: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// Encode returns a record in the stored format. Encoding a message that the store created cannot
// fail, except for text that is not UTF-8, which is rejected earlier.
func Encode(record *protocol.StoreRecord) ([]byte, error) {
	encoded, err := proto.Marshal(record)
	return encoded, errors.Wrap(err, "encode store record")
}

// Decode decodes a record from the stored format. The error is an *UnreadableError.
func Decode(encoded []byte) (*protocol.StoreRecord, error) {
	record := &protocol.StoreRecord{}
	if err := decode(encoded, record); err != nil {
		return nil, err
	}
	return record, nil
}

// DecodeProgram decodes a program's record from the value of its register. It returns nil for an
// empty value. The error is an *UnreadableError.
func DecodeProgram(value []byte) (*protocol.ProgramRecord, error) {
	if len(value) == 0 {
		return nil, nil
	}
	record := &protocol.ProgramRecord{}
	if err := decode(value, record); err != nil {
		return nil, err
	}
	if err := ledger.CheckRecord(record); err != nil {
		return nil, &UnreadableError{Cause: err}
	}
	return record, nil
}

// DecodeCall decodes a call's record from the value of its register. It returns nil for an empty
// value. The error is an *UnreadableError.
func DecodeCall(value []byte) (*protocol.CallRecord, error) {
	if len(value) == 0 {
		return nil, nil
	}
	record := &protocol.CallRecord{}
	if err := decode(value, record); err != nil {
		return nil, err
	}
	return record, nil
}

func decode(encoded []byte, into proto.Message) error {
	if err := proto.Unmarshal(encoded, into); err != nil {
		return &UnreadableError{Cause: err}
	}
	return nil
}
