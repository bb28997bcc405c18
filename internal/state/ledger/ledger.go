package ledger

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/protocol"
)

// maxIdentifierBytes bounds every identifier of an operation. Identifiers occur repeatedly in a record, and stores
// replicate the entire record on each change.
const maxIdentifierBytes = 512

// InvalidOperationError reports an operation that failed validation and must not be applied.
type InvalidOperationError struct {
	// Path is the invalid field: names of protocol fields joined by dots.
	Path   string
	Reason string
}

// Error names the field and the reason.
func (e *InvalidOperationError) Error() string {
	return fmt.Sprintf("invalid ledger operation: %s: %s", e.Path, e.Reason)
}

// ShardOf returns the shard of a program among count shards. Registers of calls and retained turns are in the shard of
// their program.
func ShardOf(program string, count int) uint32 {
	if count <= 0 {
		return 0
	}
	return uint32(xxhash.Sum64String(program) % uint64(count))
}

// ResultWithStatus returns a result without details.
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

// CallRequestID returns the request id of the call that the operation concerns, or an empty string when it concerns the
// program.
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

// saturatingAdd returns a+b, or the largest value on overflow, so that no sum of tokens wraps around to a small one.
func saturatingAdd(a, b uint64) uint64 {
	sum := a + b
	if sum < a {
		return math.MaxUint64
	}
	return sum
}
