package store

import (
	"io"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/state/store/records"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
	"github.com/rosestand/rosestand/internal/storage"
)

// The turn index is written beside the log anew when a start would have to read so many segments
// of turns, and so many times the bytes that the index itself takes.
const (
	turnIndexSegments = 2
	turnIndexGrowth   = 4
)

// loadedTurn is a turn of the log whose chain must be retained as long as it is.
type loadedTurn struct {
	shard uint32
	entry turnindex.Entry
}

// loadTurns rebuilds the index of turns from its copy on disk and the log after it.
func (s *Store) loadTurns() error {
	segment, err := s.loadTurnIndex()
	if err != nil {
		return err
	}
	loaded, err := s.loadTurnsFrom(segment)
	if err != nil {
		return err
	}
	for _, turn := range loaded {
		s.group(turn.shard).table(turn.shard).Turns.Extend(turn.entry.Previous, turn.entry.RetainUntil, &s.turnSegments)
	}
	now := s.options.Clock.Now()
	for _, group := range s.groups {
		group.collectTurns(0, now)
	}
	return nil
}

// loadTurnIndex reads the newest index and returns the first segment that it does not cover.
func (s *Store) loadTurnIndex() (segment uint64, err error) {
	segment, found, err := s.folder.LoadTurnIndex(s.loadTurn)
	if err != nil {
		return 0, err
	}
	if !found {
		s.clearTurns()
		return 0, nil
	}
	s.indexedSegment = segment
	return segment, nil
}

// loadTurnsFrom reads the log from a segment on and returns the turns that continue others.
func (s *Store) loadTurnsFrom(segment uint64) ([]loadedTurn, error) {
	var continuing []loadedTurn
	err := s.folder.Turns.Replay(storage.Position{Segment: segment}, func(position storage.Position, encoded []byte) error {
		record, err := records.Decode(encoded)
		if err != nil {
			return err
		}
		turn := record.GetTurn()
		entry := turnindex.NewEntry(position, turn)
		s.loadTurn(record.GetShard(), turnindex.KeyOf(turn), entry)
		if !entry.Previous.IsZero() {
			continuing = append(continuing, loadedTurn{shard: record.GetShard(), entry: entry})
		}
		return nil
	})
	return continuing, err
}

// loadTurn fills the index at the start, while no goroutine runs. An expired turn stays
// until it is known that no retained turn continues it.
func (s *Store) loadTurn(shard uint32, key turnindex.Key, entry turnindex.Entry) {
	s.group(shard).table(shard).Turns.Put(key, entry)
	s.turnSegments.Record(entry)
}

func (s *Store) clearTurns() {
	for _, group := range s.groups {
		for _, table := range group.shards {
			table.ClearTurns()
		}
	}
}

// turnIndexIsDue judges by what the index does not cover and by the number of turns.
func (s *Store) turnIndexIsDue(turns uint64) bool {
	uncovered := int64(s.folder.Turns.End().Segment-s.indexedSegment) * s.options.segmentBytes()
	return uncovered >= max(turnIndexSegments*s.options.segmentBytes(), turnIndexGrowth*turnindex.RecordBytes*int64(turns))
}

// saveTurnIndex writes the positions of all turns, so that a start need not read the turns themselves.
func (s *Store) saveTurnIndex() error {
	segment, err := s.folder.SaveTurnIndex(s.writeTurnIndex)
	if err != nil {
		return err
	}
	if s.turnsDamaged.Load() {
		return s.folder.RemoveTurnIndex()
	}
	s.indexedSegment = segment
	return s.folder.RemoveTurnIndexesBefore(segment)
}

// writeTurnIndex queries one shard at a time, so that no owner is blocked for long.
func (s *Store) writeTurnIndex(writer io.Writer) error {
	if err := turnindex.WriteHeader(writer); err != nil {
		return err
	}
	for _, group := range s.groups {
		shards, err := ask(group, group.shardNumbers)
		if err != nil {
			return err
		}
		for _, shard := range shards {
			encoded, err := ask(group, func() []byte { return group.encodeTurns(shard) })
			if err != nil {
				return err
			}
			if _, err := writer.Write(encoded); err != nil {
				return err
			}
		}
	}
	return nil
}

func (g *group) shardNumbers() []uint32 {
	var shards []uint32
	for shard := range g.shards {
		shards = append(shards, shard)
	}
	return shards
}

func (g *group) encodeTurns(shard uint32) []byte {
	table := g.table(shard)
	return table.Turns.Encode(table.View.Shard)
}

// collectTurns drops the entries of segments before first, and expired ones.
func (g *group) collectTurns(first uint64, now time.Time) {
	for _, table := range g.shards {
		table.Turns.RemoveExpired(first, now)
	}
}

// keepTurn writes a turn and calls done on the group's goroutine once it is durable here. A
// turn that is retained already, and for as long, is not written again.
func (g *group) keepTurn(shard uint32, turn *protocol.Turn, done func()) {
	table := g.table(shard)
	key := turnindex.KeyOf(turn)
	if table.Turns.Retains(key, turnindex.RetainUntil(turn)) {
		done()
		return
	}
	if _, inFlight := g.keeping[key]; inFlight {
		// What is in flight may be retained for a shorter time.
		g.keeping[key] = append(g.keeping[key], func() { g.keepTurn(shard, turn, done) })
		return
	}
	encoded, err := records.Encode(&protocol.StoreRecord{Shard: shard, Body: &protocol.StoreRecord_Turn{Turn: turn}})
	if err != nil {
		g.store.fail(err)
		return
	}
	g.store.metrics.written.WithLabelValues(datafolder.TurnLog).Add(float64(len(encoded)))
	g.keeping[key] = []func(){done}
	// The chain must not be collected while the write is in flight.
	table.Turns.Extend(turnindex.PreviousKey(turn), turnindex.RetainUntil(turn), &g.store.turnSegments)
	g.store.turnCommits.AppendAsync([][]byte{encoded}, func(positions []storage.Position, err error) {
		if err != nil {
			g.store.fail(&datafolder.LogError{Log: datafolder.TurnLog, Cause: err})
			return
		}
		g.mailbox.Post(func() { g.turnKept(table, key, turnindex.NewEntry(positions[0], turn)) })
	})
}

func (g *group) turnKept(table *shardtable.Table, key turnindex.Key, entry turnindex.Entry) {
	if known, found := table.Turns.Get(key); found {
		entry.RetainUntil = max(entry.RetainUntil, known.RetainUntil)
	}
	table.Turns.Put(key, entry)
	g.store.turnSegments.Record(entry)
	table.Turns.Extend(entry.Previous, entry.RetainUntil, &g.store.turnSegments)
	waiting := g.keeping[key]
	delete(g.keeping, key)
	for _, done := range waiting {
		done()
	}
}
