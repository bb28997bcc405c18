// Package records encodes and decodes what a store writes to its logs and snapshots: store
// records, and the program and call records that are the values of registers.
package records

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// UnreadableError reports that stored bytes are no record of this program's format.
type UnreadableError struct {
	Cause error
}

// Error implements error.
func (e *UnreadableError) Error() string { return "unreadable store record: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// Encode returns the stored form of a record. Encoding a message that the store made
// itself cannot fail except for text that is not UTF-8, which is rejected before.
func Encode(record *protocol.StoreRecord) ([]byte, error) {
	encoded, err := proto.Marshal(record)
	return encoded, errors.Wrap(err, "encode store record")
}

// Decode reads a record from its stored form. The error is an *UnreadableError.
func Decode(encoded []byte) (*protocol.StoreRecord, error) {
	record := &protocol.StoreRecord{}
	if err := decode(encoded, record); err != nil {
		return nil, err
	}
	return record, nil
}

// DecodeProgram reads a program's record from the value of its register; an empty value is
// no record, nil. The error is an *UnreadableError.
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

// DecodeCall reads a call's record from the value of its register; an empty value is no
// record, nil. The error is an *UnreadableError.
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
