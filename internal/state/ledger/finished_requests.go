package ledger

import (
	"encoding/binary"
	"fmt"
	"iter"

	"github.com/rosestand/rosestand/internal/protocol"
)

// A finished request is packed as the request's key, a byte of flags with the
// outcome, its session, the turn id unless it follows from the key, the tokens,
// the time it ended and the end of keeping as a difference to the usual one.
// Numbers are varints. The session is its place among the record's sessions,
// which are never removed or reordered, or its name when the record has none of it.
const (
	outcomeBits  = 0b0011
	namedSession = 0b0100
	derivedTurn  = 0b1000
	namedTurn    = 0b1_0000
	knownFlags   = outcomeBits | namedSession | derivedTurn | namedTurn
	// usualPackedBytes is room for one request that follows the usual forms.
	typicalPackedBytes = 32
)

// DamagedRecordError says that a program's record cannot be read.
type DamagedRecordError struct {
	Program string
}

func (e *DamagedRecordError) Error() string {
	return fmt.Sprintf("record of program %q: its finished requests are damaged", e.Program)
}

// CheckRecord returns a *DamagedRecordError when the finished requests cannot be
// read. Records that come from outside the package pass it before anything else is done with them.
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

// packedRequest is one finished request; its texts share the record's memory.
type packedRequest struct {
	key               requestKey
	flags             byte
	session           uint64
	sessionName       []byte
	turnName          []byte
	tokens            uint64
	finishedAtMillis  int64
	retainUntilMillis int64
	encoded           []byte
}

// packReader reads fields one after the other; failed stays set once one did not fit.
type packReader struct {
	rest   []byte
	failed bool
}

func (r *packReader) uvarint() uint64 {
	value, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

func (r *packReader) varint() int64 {
	value, size := binary.Varint(r.rest)
	if size <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

func (r *packReader) text() []byte {
	size := r.uvarint()
	if r.failed || size > uint64(len(r.rest)) {
		r.failed = true
		return nil
	}
	text := r.rest[:size]
	r.rest = r.rest[size:]
	return text
}

// unpack reads the first request and its size; the size is zero when it is damaged.
func unpack(packed []byte) (entry packedRequest, size int) {
	if len(packed) <= requestKeyBytes {
		return entry, 0
	}
	entry.key = requestKey(packed[:requestKeyBytes])
	entry.flags = packed[requestKeyBytes]
	reader := packReader{rest: packed[requestKeyBytes+1:], failed: entry.flags&^knownFlags != 0}
	if entry.flags&namedSession != 0 {
		entry.sessionName = reader.text()
	} else {
		entry.session = reader.uvarint()
	}
	if entry.flags&namedTurn != 0 {
		entry.turnName = reader.text()
	}
	entry.tokens = reader.uvarint()
	entry.finishedAtMillis = int64(reader.uvarint())
	entry.retainUntilMillis = entry.finishedAtMillis + DefaultRetention.Milliseconds() + reader.varint()
	if reader.failed {
		return entry, 0
	}
	size = len(packed) - len(reader.rest)
	entry.encoded = packed[:size]
	return entry, size
}

// packedRequests gives the finished requests in the order in which they ended.
func packedRequests(packed []byte) iter.Seq[packedRequest] {
	return func(yield func(packedRequest) bool) {
		for len(packed) > 0 {
			entry, size := unpack(packed)
			if size == 0 || !yield(entry) {
				return
			}
			packed = packed[size:]
		}
	}
}

// appendPacked adds a finished request of the program.
func appendPacked(packed []byte, program string, sessions []*protocol.SessionRecord, finished *protocol.FinishedRequest) []byte {
	key := newRequestKey(program, finished.GetRequestId())
	flags := byte(finished.GetOutcome()) & outcomeBits
	index := sessionIndex(sessions, finished.GetSession())
	if index < 0 {
		flags |= namedSession
	}
	turnKey, derived := parseTurnID(finished.GetTurnId())
	switch {
	case finished.GetTurnId() == "":
	case derived && turnKey == key:
		flags |= derivedTurn
	default:
		flags |= namedTurn
	}
	packed = append(append(packed, key[:]...), flags)
	if index < 0 {
		packed = appendText(packed, finished.GetSession())
	} else {
		packed = binary.AppendUvarint(packed, uint64(index))
	}
	if flags&namedTurn != 0 {
		packed = appendText(packed, finished.GetTurnId())
	}
	packed = binary.AppendUvarint(packed, finished.GetTokens())
	packed = binary.AppendUvarint(packed, uint64(finished.GetFinishedAtMillis()))
	return binary.AppendVarint(packed, finished.GetKeepUntilMillis()-finished.GetFinishedAtMillis()-DefaultRetention.Milliseconds())
}

func appendText(packed []byte, text string) []byte {
	return append(binary.AppendUvarint(packed, uint64(len(text))), text...)
}

func sessionIndex(sessions []*protocol.SessionRecord, session string) int {
	for index, candidate := range sessions {
		if candidate.GetSession() == session {
			return index
		}
	}
	return -1
}

// message gives the request in full; its id is not packed, so the caller names it.
func (e *packedRequest) toProto(requestID string, sessions []*protocol.SessionRecord) *protocol.FinishedRequest {
	finished := &protocol.FinishedRequest{
		RequestId:        requestID,
		Outcome:          protocol.RequestOutcome(e.flags & outcomeBits),
		Session:          string(e.sessionName),
		TurnId:           string(e.turnName),
		Tokens:           e.tokens,
		FinishedAtMillis: e.finishedAtMillis,
		KeepUntilMillis:  e.retainUntilMillis,
	}
	if e.flags&namedSession == 0 {
		finished.Session = sessions[e.session].GetSession()
	}
	if e.flags&derivedTurn != 0 {
		finished.TurnId = e.key.turnID()
	}
	return finished
}

// Finished gives how a request of the program ended, or nil when the record does not know it.
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

// hasRunRequest reports whether the record knows a request that was run.
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

// keepsFinishedTurn reports whether a finished request of the record has the turn.
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

// keptPacked copies the finished requests whose keeping time has not ended, with room for one more.
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
