package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const (
	// requestKeyBytes is the size of a request key: 128 bits make collisions negligible and keep records small.
	requestKeyBytes = 16
	turnIDPrefix    = "turn_"
)

// requestKey is a truncated hash of program and request id. It identifies a request in the program's record, and its
// turn.
type requestKey [requestKeyBytes]byte

func newRequestKey(program, requestID string) requestKey {
	sum := sha256.Sum256([]byte(program + "\x00" + requestID))
	return requestKey(sum[:requestKeyBytes])
}

func (k requestKey) turnID() string { return turnIDPrefix + hex.EncodeToString(k[:]) }

// TurnID returns the id of the turn that answers a request. It is derived from the program and the request id, so every
// attempt of one request has the same turn.
func TurnID(program, requestID string) string {
	return newRequestKey(program, requestID).turnID()
}

// parseTurnID returns the request key in a turn id; derived is false when the id was not created by TurnID.
func parseTurnID(turnID string) (key requestKey, derived bool) {
	digits, found := strings.CutPrefix(turnID, turnIDPrefix)
	if !found || len(digits) != 2*requestKeyBytes {
		return key, false
	}
	if _, err := hex.Decode(key[:], []byte(digits)); err != nil {
		return key, false
	}
	return key, key.turnID() == turnID
}
