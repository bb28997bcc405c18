package store

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// encodeRecord makes a log record. Encoding a message that the store made
// itself cannot fail but for a text that is not UTF-8, which is refused before.
func encodeRecord(record *protocol.StoreRecord) ([]byte, error) {
	encoded, err := proto.Marshal(record)
	return encoded, errors.Wrap(err, "encode store record")
}

func decodeRecord(encoded []byte) (*protocol.StoreRecord, error) {
	record := &protocol.StoreRecord{}
	if err := proto.Unmarshal(encoded, record); err != nil {
		return nil, &RecordError{Cause: err}
	}
	return record, nil
}

// decodeProgram reads a program's record from a register's value; an empty value is no record.
func decodeProgram(value []byte) (*protocol.ProgramRecord, error) {
	if len(value) == 0 {
		return nil, nil
	}
	record := &protocol.ProgramRecord{}
	if err := proto.Unmarshal(value, record); err != nil {
		return nil, &RecordError{Cause: err}
	}
	if err := ledger.CheckRecord(record); err != nil {
		return nil, &RecordError{Cause: err}
	}
	return record, nil
}

func decodeCall(value []byte) (*protocol.CallRecord, error) {
	if len(value) == 0 {
		return nil, nil
	}
	record := &protocol.CallRecord{}
	if err := proto.Unmarshal(value, record); err != nil {
		return nil, &RecordError{Cause: err}
	}
	return record, nil
}
