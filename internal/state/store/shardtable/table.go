package shardtable

import (
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/hashtree"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
)

// notRejected is the absence of a rejection.
const notRejected = protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED

// Table is what this replica has of one shard.
type Table struct {
	// View is the placement of the shard that the owner acts under.
	View      register.ShardView
	Registers hashtree.Tree[Key, *Register]
	Turns     turnindex.Index
	// CaughtUp is true once a joining or rebuilding replica is complete and waits for the core to acknowledge it.
	CaughtUp bool
	// Generation rises whenever the table is cleared, so that a catch-up in progress is given up.
	Generation uint64
}

// New returns an empty table that no placement names yet.
func New(shard uint32) *Table {
	return &Table{View: register.ShardView{Shard: shard}}
}

// IsEmpty reports whether the table has neither registers nor turns.
func (t *Table) IsEmpty() bool { return t.Registers.Len() == 0 && t.Turns.Len() == 0 }

// Register returns a register; a new one is added when there is none.
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

// RegisterBytes returns the size of all registers' keys and values.
func (t *Table) RegisterBytes() int64 {
	var size int64
	for key, entry := range t.Registers.All() {
		size += int64(len(entry.State.Value) + len(key.Program) + len(key.Call))
	}
	return size
}
