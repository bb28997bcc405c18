package shardtable

import (
	"bytes"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
)

// First bytes of encoded cursors.
const (
	registerCursor = 'r'
	turnCursor     = 't'
)

// Cursor is a position in a shard: registers in the order of their keys' hashes, then turns
// in the order of theirs. The zero cursor is before all of them.
type Cursor struct {
	InTurns  bool
	Register Key
	Turn     turnindex.Key
}

// Encode returns the form in which a cursor goes over the wire.
func (c Cursor) Encode() []byte {
	if c.InTurns {
		return c.Turn.AppendTo([]byte{turnCursor})
	}
	encoded := append([]byte{registerCursor}, c.Register.Program...)
	encoded = append(encoded, 0)
	return append(encoded, c.Register.Call...)
}

// DecodeCursor reads an encoded cursor; an empty one is the zero cursor. The error is a
// *failure.Error that names the field of a FetchShardRequest.
func DecodeCursor(encoded []byte) (Cursor, error) {
	switch {
	case len(encoded) == 0:
		return Cursor{}, nil
	case encoded[0] == turnCursor && len(encoded) == 1+turnindex.KeyBytes:
		return Cursor{InTurns: true, Turn: turnindex.DecodeKey(encoded[1:])}, nil
	case encoded[0] == registerCursor:
		if program, call, found := bytes.Cut(encoded[1:], []byte{0}); found {
			return Cursor{Register: Key{Program: string(program), Call: string(call)}}, nil
		}
	}
	return Cursor{}, failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "no cursor of a shard",
		failure.WithPath("fetch_shard.after"))
}
