package store

import (
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/hashtree"
)

// registerKey names one register; call is empty for the program's own.
type registerKey struct {
	program string
	call    string
}

func keyOf(message *protocol.RegisterKey) registerKey {
	return registerKey{program: message.GetProgram(), call: message.GetCall()}
}

func (k registerKey) message() *protocol.RegisterKey {
	return &protocol.RegisterKey{Program: k.program, Call: k.call}
}

// place implements treeKey; the zero key is before all others.
func (k registerKey) Hash() uint64 {
	if k == (registerKey{}) {
		return 0
	}
	return k.bucketHash()
}

func (k registerKey) Less(other registerKey) bool {
	if k.program != other.program {
		return k.program < other.program
	}
	return k.call < other.call
}

// entry is one register held by this replica.
type entry struct {
	state register.State
	// headEpoch is the placement epoch under which this store's own change of
	// the value was chosen last; zero when another store may have changed it since.
	headEpoch uint64
	// keptUntil is the end of the value's keeping time in Unix seconds, rounded up; zero when it is not known.
	keptUntil uint32
}

// unsynced holds back the answers that show a state of a register which is not durable yet.
type unsynced struct {
	writes int
	// waiting are called in order; released counts those that were called before them.
	waiting  []func()
	released int
}

// shardTable holds what this replica has of one shard.
type shardTable struct {
	view      register.ShardView
	registers hashtree.Tree[registerKey, *entry]
	turns     hashtree.Tree[turnKey, turnEntry]
	// copied says that a joining or rebuilding replica holds everything and waits for the core to say so.
	copied bool
	// generation rises whenever the table is emptied, so that a copy under way is given up.
	generation uint64
}

func newShardTable(shard uint32) *shardTable {
	return &shardTable{view: register.ShardView{Shard: shard}}
}

func (t *shardTable) isEmpty() bool { return t.registers.Len() == 0 && t.turns.Len() == 0 }

func (t *shardTable) entry(key registerKey) *entry {
	known, found := t.registers.Get(key)
	if !found {
		known = &entry{}
		t.registers.Put(key, known)
	}
	return known
}
