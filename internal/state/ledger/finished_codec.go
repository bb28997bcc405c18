package ledger

import (
	"encoding/binary"
	"iter"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Finished requests are stored in a packed encoding, since a program has many of them. Each one consists of, in order:
//
//   - the request key;
//   - one byte with the outcome and the flags below;
//   - the session: its index among the record's sessions, which are never removed or reordered, or its
//     length-prefixed name when the record does not have the session;
//   - the length-prefixed turn id, unless it is empty or derived from the key;
//   - the tokens;
//   - the time at which the request ended, in Unix milliseconds;
//   - the end of its retention, as the difference from the default retention.
//
// Numbers are varints.
const (
	outcomeBits   = 0b0011
	inlineSession = 0b0100
	derivedTurnID = 0b1000
	inlineTurnID  = 0b1_0000
	knownFlags    = outcomeBits | inlineSession | derivedTurnID | inlineTurnID
	// typicalPackedBytes is the size of one request with a derived turn id and an indexed session.
	typicalPackedBytes = 32
)

// packedRequest is one decoded finished request. Its byte slices alias the record's memory.
type packedRequest struct {
	key               requestKey
	flags             byte
	sessionIndex      uint64
	sessionName       []byte
	turnID            []byte
	tokens            uint64
	finishedAtMillis  int64
	retainUntilMillis int64
	encoded           []byte
}

// packReader decodes consecutive fields. Once a field is damaged or incomplete, failed stays set.
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

// unpack decodes the first request and returns its encoded size, or zero when the request is damaged.
func unpack(packed []byte) (entry packedRequest, size int) {
	if len(packed) <= requestKeyBytes {
		return entry, 0
	}
	entry.key = requestKey(packed[:requestKeyBytes])
	entry.flags = packed[requestKeyBytes]
	reader := packReader{rest: packed[requestKeyBytes+1:], failed: entry.flags&^knownFlags != 0}
	if entry.flags&inlineSession != 0 {
		entry.sessionName = reader.text()
	} else {
		entry.sessionIndex = reader.uvarint()
	}
	if entry.flags&inlineTurnID != 0 {
		entry.turnID = reader.text()
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

// packedRequests iterates over the finished requests in the order in which they ended and stops at a damaged one.
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

// appendPacked appends the encoding of a finished request of the program.
func appendPacked(
	packed []byte, program string, sessions []*protocol.SessionRecord, finished *protocol.FinishedRequest,
) []byte {
	key := newRequestKey(program, finished.GetRequestId())
	flags := byte(finished.GetOutcome()) & outcomeBits
	index := sessionIndex(sessions, finished.GetSession())
	if index < 0 {
		flags |= inlineSession
	}
	turnKey, derived := parseTurnID(finished.GetTurnId())
	switch {
	case finished.GetTurnId() == "":
	case derived && turnKey == key:
		flags |= derivedTurnID
	default:
		flags |= inlineTurnID
	}
	packed = append(append(packed, key[:]...), flags)
	if index < 0 {
		packed = appendText(packed, finished.GetSession())
	} else {
		packed = binary.AppendUvarint(packed, uint64(index))
	}
	if flags&inlineTurnID != 0 {
		packed = appendText(packed, finished.GetTurnId())
	}
	packed = binary.AppendUvarint(packed, finished.GetTokens())
	packed = binary.AppendUvarint(packed, uint64(finished.GetFinishedAtMillis()))
	defaultUntil := finished.GetFinishedAtMillis() + DefaultRetention.Milliseconds()
	return binary.AppendVarint(packed, finished.GetKeepUntilMillis()-defaultUntil)
}

func appendText(packed []byte, text string) []byte {
	return append(binary.AppendUvarint(packed, uint64(len(text))), text...)
}

// sessionIndex returns the index of a session, or -1.
func sessionIndex(sessions []*protocol.SessionRecord, session string) int {
	for index, candidate := range sessions {
		if candidate.GetSession() == session {
			return index
		}
	}
	return -1
}

// toProto returns the request as a message. The packed encoding does not contain the request id, so the caller passes
// it.
func (e *packedRequest) toProto(requestID string, sessions []*protocol.SessionRecord) *protocol.FinishedRequest {
	finished := &protocol.FinishedRequest{
		RequestId:        requestID,
		Outcome:          protocol.RequestOutcome(e.flags & outcomeBits),
		Session:          string(e.sessionName),
		TurnId:           string(e.turnID),
		Tokens:           e.tokens,
		FinishedAtMillis: e.finishedAtMillis,
		KeepUntilMillis:  e.retainUntilMillis,
	}
	if e.flags&inlineSession == 0 {
		finished.Session = sessions[e.sessionIndex].GetSession()
	}
	if e.flags&derivedTurnID != 0 {
		finished.TurnId = e.key.turnID()
	}
	return finished
}
