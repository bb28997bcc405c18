package shardtable

import (
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/hashtree"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
)

// notRejected is the rejection of a response that accepts the request.
const notRejected = protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED

// Table contains this replica's data of one shard.
type Table struct {
	// View is the placement of the shard that the owner has applied.
	View      register.ShardView
	Registers hashtree.Tree[Key, *Register]
	Turns     turnindex.Index
	// CaughtUp is true once a joining or rebuilding replica is complete and waits for the core to acknowledge it.
	CaughtUp bool
	// Generation increases whenever the table is cleared, so that a catch-up in progress is abandoned.
	Generation uint64
}

// New returns an empty table of a shard, to which no placement is applied yet.
func New(shard uint32) *Table {
	return &Table{View: register.ShardView{Shard: shard}}
}

// IsEmpty reports whether the table has neither registers nor turns.
func (t *Table) IsEmpty() bool { return t.Registers.Len() == 0 && t.Turns.Len() == 0 }

// Register returns the register of a key and adds an empty one if there is none.
func (t *Table) Register(key Key) *Register {
	entry, found := t.Registers.Get(key)
	if !found {
		entry = &Register{}
		t.Registers.Put(key, entry)
	}
	return entry
}

// ClearRegisters removes all registers.
func (t *Table) ClearRegisters() { t.Registers = hashtree.Tree[Key, *Register]{} }

// ClearTurns removes all turns.
func (t *Table) ClearTurns() { t.Turns = turnindex.Index{} }

// Clear empties the table and begins a new generation.
func (t *Table) Clear() {
	t.ClearRegisters()
	t.ClearTurns()
	t.CaughtUp = false
	t.Generation++
}

// RegisterBytes returns the total size of the registers' keys and values.
func (t *Table) RegisterBytes() int64 {
	var size int64
	for key, entry := range t.Registers.All() {
		size += int64(len(entry.State.Value) + len(key.Program) + len(key.Call))
	}
	return size
}
