package shardtable

import (
	"bytes"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
)

// The first byte of an encoded cursor distinguishes registers and turns.
const (
	registerCursor = 'r'
	turnCursor     = 't'
)

// Cursor is a position in a shard: first come registers, ordered by the hashes of their keys,
// then turns, ordered likewise. The zero cursor precedes all entries.
type Cursor struct {
	InTurns  bool
	Register Key
	Turn     turnindex.Key
}

// Encode returns the wire format of a cursor.
func (c Cursor) Encode() []byte {
	if c.InTurns {
		return c.Turn.AppendTo([]byte{turnCursor})
	}
	encoded := append([]byte{registerCursor}, c.Register.Program...)
	encoded = append(encoded, 0)
	return append(encoded, c.Register.Call...)
}

// DecodeCursor decodes a cursor; no bytes decode to the zero cursor. The error is a
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
