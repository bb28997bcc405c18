package owner

import (
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/state/store/records"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
	"github.com/rosestand/rosestand/internal/storage"
)

// LoadTurn adds an entry to the index of a shard, before Run. Expired turns are added too,
// since a retained turn that is loaded later may continue them.
func (g *Group) LoadTurn(shard uint32, key turnindex.Key, entry turnindex.Entry) {
	g.Table(shard).Turns.Put(key, entry)
	g.options.Segments.Record(entry)
}

// ClearTurns clears the index of all shards. It is called before Run.
func (g *Group) ClearTurns() {
	for _, table := range g.tables {
		table.ClearTurns()
	}
}

// EncodeTurns returns the stored form of a shard's index.
func (g *Group) EncodeTurns(shard uint32) []byte {
	table := g.Table(shard)
	return table.Turns.Encode(table.View.Shard)
}

// ExtendChain retains a turn and its predecessors at least until a time in Unix seconds.
func (g *Group) ExtendChain(shard uint32, key turnindex.Key, until uint32) {
	g.Table(shard).Turns.Extend(key, until, g.options.Segments)
}

// ExtendChains retains every chain of a shard for as long as its last turn.
func (g *Group) ExtendChains(shard uint32) { g.Table(shard).Turns.ExtendChains(g.options.Segments) }

// IsWriting reports whether a turn is being written.
func (g *Group) IsWriting(key turnindex.Key) bool {
	_, writing := g.unsyncedTurns[key]
	return writing
}

// RetainTurn writes a turn and calls done on the group's goroutine once it is durable on this
// replica. A turn that is already retained for at least as long is not written again.
func (g *Group) RetainTurn(shard uint32, turn *protocol.Turn, done func()) {
	table := g.Table(shard)
	key := turnindex.KeyOf(turn)
	until := turnindex.RetainUntil(turn)
	if table.Turns.Retains(key, until) {
		done()
		return
	}
	if g.IsWriting(key) {
		// The write in progress may retain the turn for a shorter time.
		g.unsyncedTurns[key] = append(g.unsyncedTurns[key], func() { g.RetainTurn(shard, turn, done) })
		return
	}
	encoded, err := records.Encode(&protocol.StoreRecord{Shard: shard, Body: &protocol.StoreRecord_Turn{Turn: turn}})
	if err != nil {
		g.options.Fail(err)
		return
	}
	g.options.Written(datafolder.TurnLog, len(encoded))
	g.unsyncedTurns[key] = []func(){done}
	// The chain must not expire while the write is in flight.
	table.Turns.Extend(turnindex.PreviousKey(turn), until, g.options.Segments)
	g.logs.Turns.AppendAsync([][]byte{encoded}, func(positions []storage.Position, err error) {
		if err != nil {
			g.options.Fail(&datafolder.LogError{Log: datafolder.TurnLog, Cause: err})
			return
		}
		g.Post(func() { g.turnSynced(table, key, turnindex.NewEntry(positions[0], turn)) })
	})
}

// turnSynced adds a durable turn to the index and calls the callbacks that waited for it.
func (g *Group) turnSynced(table *shardtable.Table, key turnindex.Key, entry turnindex.Entry) {
	if existing, found := table.Turns.Get(key); found {
		entry.RetainUntil = max(entry.RetainUntil, existing.RetainUntil)
	}
	table.Turns.Put(key, entry)
	g.options.Segments.Record(entry)
	table.Turns.Extend(entry.Previous, entry.RetainUntil, g.options.Segments)
	waiting := g.unsyncedTurns[key]
	delete(g.unsyncedTurns, key)
	for _, done := range waiting {
		done()
	}
}
