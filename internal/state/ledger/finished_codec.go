package ledger

import (
	"encoding/binary"
	"iter"

	"github.com/rosestand/rosestand/internal/protocol"
)

// A finished request is packed, since a program has many, as: the request's key; a byte of flags with the outcome; its
// session; the turn id, unless it is derived from the key; the tokens; the time at which it ended; the end of its
// retention as the difference from the default one. Numbers are varints. The session is its index among the record's
// sessions, which are never removed or reordered, or its name when the record does not have it.
const (
	outcomeBits  = 0b0011
	namedSession = 0b0100
	derivedTurn  = 0b1000
	namedTurn    = 0b1_0000
	knownFlags   = outcomeBits | namedSession | derivedTurn | namedTurn
	// typicalPackedBytes is the size of one request with a derived turn id and an indexed session.
	typicalPackedBytes = 32
)

// packedRequest is one finished request, read from its packed form; its texts share the record's memory.
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

// packReader reads fields in sequence; failed stays set once a field is damaged or incomplete.
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

// packedRequests iterates over the finished requests in the order in which they ended, up to a damaged one.
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

// appendPacked appends a finished request of the program.
func appendPacked(
	packed []byte, program string, sessions []*protocol.SessionRecord, finished *protocol.FinishedRequest,
) []byte {
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

// toProto returns the request as a message. Its id is not packed, so the caller names it.
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
