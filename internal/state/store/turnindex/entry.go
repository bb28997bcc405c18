package turnindex

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/storage"
)

// expirySlack is the time from the end of a turn's retention until it counts as expired, so that
// replicas whose clocks differ do not disagree on turns whose retention has just ended.
const expirySlack = 10 * time.Second

// Key identifies a turn by hashes. Turns of one id are adjacent in the order of an Index, even
// if their programs differ. The zero Key refers to no turn.
type Key struct {
	// IDHash is a hash of the turn's id, TurnHash a hash of its program and id.
	IDHash, TurnHash uint64
}

// NewKey returns the key of a program's turn.
func NewKey(program, id string) Key {
	joined := make([]byte, 0, len(program)+len(id)+1)
	joined = append(joined, program...)
	joined = append(joined, 0)
	joined = append(joined, id...)
	return Key{IDHash: xxhash.Sum64String(id), TurnHash: xxhash.Sum64(joined)}
}

// KeyOf returns the key of a turn.
func KeyOf(turn *protocol.Turn) Key { return NewKey(turn.GetProgram(), turn.GetId()) }

// PreviousKey returns the key of the turn that this one continues. It is zero when the turn begins
// a conversation or continues a turn of another program, which may be in another shard.
func PreviousKey(turn *protocol.Turn) Key {
	previous := PreviousInProgram(turn)
	if previous == "" {
		return Key{}
	}
	return NewKey(turn.GetProgram(), previous)
}

// PreviousInProgram returns the id of the turn that this one continues. It is empty when there is
// none or when it belongs to another program, of which its chain must be read.
func PreviousInProgram(turn *protocol.Turn) string {
	if turn.GetPreviousProgram() != "" && turn.GetPreviousProgram() != turn.GetProgram() {
		return ""
	}
	return turn.GetPreviousTurn()
}

// IsZero reports whether the key refers to no turn.
func (k Key) IsZero() bool { return k == Key{} }

// Hash implements hashtree.Key.
func (k Key) Hash() uint64 { return k.IDHash }

// Less implements hashtree.Key.
func (k Key) Less(other Key) bool {
	if k.IDHash != other.IDHash {
		return k.IDHash < other.IDHash
	}
	return k.TurnHash < other.TurnHash
}

// Entry contains a turn's position in the log and the end of its retention.
type Entry struct {
	Segment uint32
	Offset  uint32
	// RetainUntil is in Unix seconds, rounded up. It is no earlier than that of any turn that continues this one.
	RetainUntil uint32
	Previous    Key
}

// NewEntry returns the entry of a turn that was written at a position.
func NewEntry(position storage.Position, turn *protocol.Turn) Entry {
	return Entry{
		Segment:     uint32(position.Segment),
		Offset:      uint32(position.Offset),
		RetainUntil: RetainUntil(turn),
		Previous:    PreviousKey(turn),
	}
}

// Position returns the position of the turn's record in the log of turns.
func (e Entry) Position() storage.Position {
	return storage.Position{Segment: uint64(e.Segment), Offset: int64(e.Offset)}
}

func (e Entry) isExpired(now time.Time) bool { return IsExpired(e.RetainUntil, now) }

// IsExpired reports whether a turn with this end of retention, in Unix seconds, has expired.
func IsExpired(retainUntil uint32, now time.Time) bool {
	return int64(retainUntil) < now.Add(-expirySlack).Unix()
}

// RetainUntil returns the end of a turn's retention in Unix seconds, rounded up.
func RetainUntil(turn *protocol.Turn) uint32 {
	millis := turn.GetKeepUntilMillis()
	if millis == 0 {
		millis = turn.GetKeptAtMillis() + ledger.DefaultRetention.Milliseconds()
	}
	return CeilSeconds(millis)
}

// CeilSeconds converts a time in Unix milliseconds to seconds, rounded up and limited to the range of uint32.
func CeilSeconds(millis int64) uint32 {
	return uint32(min(max(millis+999, 0)/1000, int64(^uint32(0))))
}
