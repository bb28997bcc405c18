package proposer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
	"github.com/rosestand/rosestand/internal/state/store/records"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
)

// maxBatch is the maximum number of operations in one change.
const maxBatch = 128

// batch contains the operations that are applied by one change of a register.
type batch struct {
	key        shardtable.Key
	clock      lifecycle.Clock
	operations []*Operation
	// results are the results of the last apply, by operation.
	results []*protocol.LedgerResult
}

// isRead reports whether no operation of the batch changes the register.
func (b *batch) isRead() bool {
	for _, operation := range b.operations {
		if !ledger.IsRead(operation.Message) {
			return false
		}
	}
	return true
}

// isExpired reports whether the deadlines of all operations have passed.
func (b *batch) isExpired() bool {
	now := b.clock.Now()
	for _, operation := range b.operations {
		if now.Before(operation.Deadline) {
			return false
		}
	}
	return true
}

// apply applies each operation of the batch to the record that the previous one produced. It may
// be called again with another value. The error is a *records.UnreadableError or an encoding error.
func (b *batch) apply(current []byte) (next []byte, changed bool, err error) {
	if b.key.Call != "" {
		return applyTo(b, current, records.DecodeCall, ledger.ApplyCall)
	}
	return applyTo(b, current, records.DecodeProgram, ledger.Apply)
}

// applyTo collects the results of the batch and encodes the resulting record. decide returns
// a nil record when the operation changes nothing.
func applyTo[T any, R interface {
	*T
	proto.Message
}](
	b *batch, current []byte, decode func([]byte) (R, error),
	decide func(R, *protocol.LedgerOperation, time.Time) (R, *protocol.LedgerResult),
) (next []byte, changed bool, err error) {
	now := b.clock.Now()
	b.results = b.results[:0]
	record, err := decode(current)
	if err != nil {
		return nil, false, err
	}
	for _, operation := range b.operations {
		after, result := decide(record, operation.Message, now)
		if after != nil {
			record, changed = after, true
		}
		b.results = append(b.results, result)
	}
	if !changed {
		return nil, false, nil
	}
	next, err = proto.Marshal(record)
	return next, true, err
}

// result returns the result of an operation: that of the last apply, or for a read one from
// the chosen value. The error is a *records.UnreadableError.
func (b *batch) result(i int, operation *Operation, value []byte) (*protocol.LedgerResult, error) {
	if !ledger.IsRead(operation.Message) {
		return b.results[i], nil
	}
	record, err := records.DecodeProgram(value)
	if err != nil {
		return nil, err
	}
	_, result := ledger.Apply(record, operation.Message, b.clock.Now())
	return result, nil
}
