package ledger

import (
	"fmt"

	"github.com/rosestand/rosestand/internal/protocol"
)

// DamagedRecordError reports that the packed finished requests of a program's record cannot be decoded.
type DamagedRecordError struct {
	Program string
}

// Error names the program.
func (e *DamagedRecordError) Error() string {
	return fmt.Sprintf("record of program %q: its finished requests are damaged", e.Program)
}

// CheckRecord returns a *DamagedRecordError when the finished requests cannot be decoded. Records from outside the
// package must pass it before they are passed to any other function.
func CheckRecord(record *protocol.ProgramRecord) error {
	sessions := uint64(len(record.GetSessions()))
	for rest := record.GetFinishedPacked(); len(rest) > 0; {
		entry, size := unpack(rest)
		if size == 0 || entry.flags&inlineSession == 0 && entry.sessionIndex >= sessions {
			return &DamagedRecordError{Program: record.GetProgram()}
		}
		rest = rest[size:]
	}
	return nil
}

// FindFinished returns the finished request with the id, or nil when the record has none.
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

// hasRunRequest reports whether the record has a finished request that ran.
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

// retainsFinishedTurn reports whether a retained finished request of the record committed the turn.
func retainsFinishedTurn(record *protocol.ProgramRecord, turn string) bool {
	for _, finished := range record.GetFinished() {
		if finished.GetTurnId() == turn {
			return true
		}
	}
	key, derived := parseTurnID(turn)
	for entry := range packedRequests(record.GetFinishedPacked()) {
		if entry.flags&derivedTurnID != 0 && derived && entry.key == key ||
			entry.flags&inlineTurnID != 0 && string(entry.turnID) == turn {
			return true
		}
	}
	return false
}

// retainedPacked returns a packed copy of the finished requests whose retention has not ended, with capacity for one
// more. Records written by older stores have unpacked finished requests, which are packed here.
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
