package ledger

import (
	"fmt"

	"github.com/rosestand/rosestand/internal/protocol"
)

// DamagedRecordError reports that a program's record cannot be read.
type DamagedRecordError struct {
	Program string
}

// Error names the program.
func (e *DamagedRecordError) Error() string {
	return fmt.Sprintf("record of program %q: its finished requests are damaged", e.Program)
}

// CheckRecord returns a *DamagedRecordError when the finished requests cannot be read. Records that come from outside
// the package must pass it before any other function reads them.
func CheckRecord(record *protocol.ProgramRecord) error {
	sessions := uint64(len(record.GetSessions()))
	for rest := record.GetFinishedPacked(); len(rest) > 0; {
		entry, size := unpack(rest)
		if size == 0 || entry.flags&namedSession == 0 && entry.session >= sessions {
			return &DamagedRecordError{Program: record.GetProgram()}
		}
		rest = rest[size:]
	}
	return nil
}

// FindFinished returns how a request of the program ended, or nil when the record does not know it.
func FindFinished(record *protocol.ProgramRecord, requestID string) *protocol.FinishedRequest {
	for _, finished := range record.GetFinished() {
		if finished.GetRequestId() == requestID {
			return finished
		}
	}
	if len(record.GetFinishedPacked()) == 0 {
		return nil
	}
	key := newRequestKey(record.GetProgram(), requestID)
	for entry := range packedRequests(record.GetFinishedPacked()) {
		if entry.key == key {
			return entry.toProto(requestID, record.GetSessions())
		}
	}
	return nil
}

// hasRunRequest reports whether the record knows a finished request that was run.
func hasRunRequest(record *protocol.ProgramRecord) bool {
	for _, finished := range record.GetFinished() {
		if finished.GetOutcome() != protocol.RequestOutcome_OUTCOME_NOT_RUN {
			return true
		}
	}
	for entry := range packedRequests(record.GetFinishedPacked()) {
		if protocol.RequestOutcome(entry.flags&outcomeBits) != protocol.RequestOutcome_OUTCOME_NOT_RUN {
			return true
		}
	}
	return false
}

// retainsFinishedTurn reports whether a finished request of the record has the turn.
func retainsFinishedTurn(record *protocol.ProgramRecord, turn string) bool {
	for _, finished := range record.GetFinished() {
		if finished.GetTurnId() == turn {
			return true
		}
	}
	key, derived := parseTurnID(turn)
	for entry := range packedRequests(record.GetFinishedPacked()) {
		if entry.flags&derivedTurn != 0 && derived && entry.key == key ||
			entry.flags&namedTurn != 0 && string(entry.turnName) == turn {
			return true
		}
	}
	return false
}

// retainedPacked copies the finished requests whose retention has not ended, with capacity for one more. Records of
// older stores have them unpacked.
func retainedPacked(record *protocol.ProgramRecord, nowMillis int64) []byte {
	packed := record.GetFinishedPacked()
	retained := make([]byte, 0, len(packed)+typicalPackedBytes*(1+len(record.GetFinished())))
	for _, finished := range record.GetFinished() {
		if finished.GetKeepUntilMillis() >= nowMillis {
			retained = appendPacked(retained, record.GetProgram(), record.GetSessions(), finished)
		}
	}
	for entry := range packedRequests(packed) {
		if entry.retainUntilMillis >= nowMillis {
			retained = append(retained, entry.encoded...)
		}
	}
	return retained
}
