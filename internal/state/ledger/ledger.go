// Package ledger decides every change of a program's record and of a call's
// record. It does no I/O: a record and an operation go in, the changed record
// and the answer come out. Stores replicate the records as compare-and-set
// registers; since an operation may be applied again after a lost answer, every
// change is idempotent under its identifiers.
//
// Source: design page, program ledger.
package ledger

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/protocol"
)

// maxIdentifierBytes bounds every identifier of an operation.
const maxIdentifierBytes = 512

// InvalidOperationError names the field of an operation that no store may apply.
type InvalidOperationError struct {
	Path   string
	Reason string
}

func (e *InvalidOperationError) Error() string {
	return fmt.Sprintf("invalid ledger operation: %s: %s", e.Path, e.Reason)
}

// ShardOf gives the shard of a program among count shards. Registers of calls
// and kept turns lie in the shard of their program.
func ShardOf(program string, count int) uint32 {
	if count <= 0 {
		return 0
	}
	return uint32(xxhash.Sum64String(program) % uint64(count))
}

// Answer is a result without details.
func ResultWithStatus(status protocol.LedgerStatus) *protocol.LedgerResult {
	return &protocol.LedgerResult{Status: status}
}

// IsRead reports whether the operation changes nothing.
func IsRead(operation *protocol.LedgerOperation) bool {
	switch body := operation.GetBody().(type) {
	case *protocol.LedgerOperation_ReadProgram, *protocol.LedgerOperation_ReadTurns, *protocol.LedgerOperation_FindTurn,
		*protocol.LedgerOperation_TraceTrainingStep:
		return true
	case *protocol.LedgerOperation_PinTrainingStep:
		return isPinRead(body.PinTrainingStep)
	default:
		return false
	}
}

// CallOf gives the request id of the call that the operation is about, or an
// empty text when it is about the program.
func CallRequestID(operation *protocol.LedgerOperation) string {
	switch body := operation.GetBody().(type) {
	case *protocol.LedgerOperation_BeginCall:
		return body.BeginCall.GetRequestId()
	case *protocol.LedgerOperation_FinishCall:
		return body.FinishCall.GetRequestId()
	case *protocol.LedgerOperation_RefuseCall:
		return body.RefuseCall.GetRequestId()
	default:
		return ""
	}
}

func addWithoutOverflow(a, b uint64) uint64 {
	sum := a + b
	if sum < a {
		return ^uint64(0)
	}
	return sum
}
