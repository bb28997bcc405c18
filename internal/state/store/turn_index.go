package store

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/storage"
)

// turnKey is a hash of the turn id and one of program and turn id; the record on disk has both in
// full. Turns of one id lie side by side, whatever their programs.
type turnKey struct {
	high, low uint64
}

func turnKeyOf(program, id string) turnKey {
	joined := make([]byte, 0, len(program)+len(id)+1)
	joined = append(joined, program...)
	joined = append(joined, 0)
	joined = append(joined, id...)
	return turnKey{high: xxhash.Sum64String(id), low: xxhash.Sum64(joined)}
}

// previousKeyOf gives the key of the turn that this one continues; zero when it begins a
// conversation or continues one of another program, whose shard is another.
func previousKeyOf(turn *protocol.Turn) turnKey {
	if turn.GetPreviousTurn() == "" || continuesOtherProgram(turn) {
		return turnKey{}
	}
	return turnKeyOf(turn.GetProgram(), turn.GetPreviousTurn())
}

func continuesOtherProgram(turn *protocol.Turn) bool {
	return turn.GetPreviousProgram() != "" && turn.GetPreviousProgram() != turn.GetProgram()
}

// place implements treeKey.
func (k turnKey) Hash() uint64 { return k.high }

func (k turnKey) Less(other turnKey) bool {
	if k.high != other.high {
		return k.high < other.high
	}
	return k.low < other.low
}

// turnEntry says where a turn lies in the log, in few bytes since there are millions.
type turnEntry struct {
	segment uint32
	offset  uint32
	// keepUntil is in Unix seconds, rounded up. It is no earlier than that of any turn that continues this one.
	keepUntil uint32
	previous  turnKey
}

func (e turnEntry) position() storage.Position {
	return storage.Position{Segment: uint64(e.segment), Offset: int64(e.offset)}
}

func (e turnEntry) expired(now time.Time) bool {
	return int64(e.keepUntil) < now.Add(-expirySlack).Unix()
}

// keepUntil gives the end of a turn's keeping time in Unix seconds.
func keepUntil(turn *protocol.Turn) uint32 {
	millis := turn.GetKeepUntilMillis()
	if millis == 0 {
		millis = turn.GetKeptAtMillis() + ledger.DefaultRetention.Milliseconds()
	}
	return secondsOf(millis)
}

// segmentExpiry remembers for each segment of the turn log when its last turn ends.
type segmentExpiry struct {
	mutex sync.Mutex
	ends  map[uint64]uint32
}

func (s *segmentExpiry) note(entry turnEntry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ends == nil {
		s.ends = map[uint64]uint32{}
	}
	s.ends[uint64(entry.segment)] = max(s.ends[uint64(entry.segment)], entry.keepUntil)
}

// firstNeeded gives the oldest segment from first on, below newest, that holds a turn still kept.
func (s *segmentExpiry) firstNeeded(first, newest uint64, now time.Time) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for ; first < newest; first++ {
		if ends := s.ends[first]; ends != 0 && !(turnEntry{keepUntil: ends}).expired(now) {
			break
		}
		delete(s.ends, first)
	}
	return first
}

// loadTurns rebuilds the index from its copy on disk and the log after it.
func (s *Store) loadTurns() error {
	segment, err := s.loadTurnIndex()
	if err != nil {
		return err
	}
	var prolonging []restoredTurn
	err = s.folder.turns.Replay(storage.Position{Segment: segment}, func(position storage.Position, encoded []byte) error {
		record, err := decodeRecord(encoded)
		if err == nil {
			turn := record.GetTurn()
			entry := turnEntryAt(position, turn)
			s.restoreTurn(record.GetShard(), turnKeyOf(turn.GetProgram(), turn.GetId()), entry)
			if entry.previous != (turnKey{}) {
				prolonging = append(prolonging, restoredTurn{shard: record.GetShard(), entry: entry})
			}
		}
		return err
	})
	if err != nil {
		return err
	}
	for _, turn := range prolonging {
		s.group(turn.shard).prolong(s.group(turn.shard).table(turn.shard), turn.entry.previous, turn.entry.keepUntil)
	}
	now := s.options.Clock.Now()
	for _, group := range s.groups {
		group.collectTurns(0, now)
	}
	return nil
}

// restoredTurn is a turn whose chain has to be kept as long as it is.
type restoredTurn struct {
	shard uint32
	entry turnEntry
}

func turnEntryAt(position storage.Position, turn *protocol.Turn) turnEntry {
	return turnEntry{
		segment:   uint32(position.Segment),
		offset:    uint32(position.Offset),
		keepUntil: keepUntil(turn),
		previous:  previousKeyOf(turn),
	}
}

// keepTurn writes a turn and calls done on the group's goroutine once it is
// durable here. A turn that is kept already, and for as long, is not written again.
func (g *group) keepTurn(shard uint32, turn *protocol.Turn, done func()) {
	table := g.table(shard)
	key := turnKeyOf(turn.GetProgram(), turn.GetId())
	if held, kept := table.turns.Get(key); kept && held.keepUntil >= keepUntil(turn) {
		done()
		return
	}
	if _, underWay := g.keeping[key]; underWay {
		// What is under way may be kept for a shorter time.
		g.keeping[key] = append(g.keeping[key], func() { g.keepTurn(shard, turn, done) })
		return
	}
	encoded, err := encodeRecord(&protocol.StoreRecord{Shard: shard, Body: &protocol.StoreRecord_Turn{Turn: turn}})
	if err != nil {
		g.store.fail(err)
		return
	}
	g.store.metrics.written.WithLabelValues(turnFolder).Add(float64(len(encoded)))
	g.keeping[key] = []func(){done}
	// The chain must not be collected while the write is under way.
	g.prolong(table, previousKeyOf(turn), keepUntil(turn))
	g.store.turnCommits.AppendAsync([][]byte{encoded}, func(positions []storage.Position, err error) {
		if err != nil {
			g.store.fail(&LogError{Log: turnFolder, Cause: err})
			return
		}
		g.mailbox.Post(func() { g.turnKept(table, key, turnEntryAt(positions[0], turn)) })
	})
}

func (g *group) turnKept(table *shardTable, key turnKey, entry turnEntry) {
	if held, kept := table.turns.Get(key); kept {
		entry.keepUntil = max(entry.keepUntil, held.keepUntil)
	}
	table.turns.Put(key, entry)
	g.store.turnSegments.note(entry)
	g.prolong(table, entry.previous, entry.keepUntil)
	waiting := g.keeping[key]
	delete(g.keeping, key)
	for _, done := range waiting {
		done()
	}
}

// prolong keeps a turn, and those that lead up to it, as long as one that continues it.
func (g *group) prolong(table *shardTable, key turnKey, until uint32) {
	for key != (turnKey{}) {
		entry, found := table.turns.Get(key)
		if !found {
			return
		}
		if entry.keepUntil < until {
			entry.keepUntil = until
			table.turns.Put(key, entry)
			g.store.turnSegments.note(entry)
		}
		key = entry.previous
	}
}

// collectTurns drops the entries of segments before first, and expired ones.
func (g *group) collectTurns(first uint64, now time.Time) {
	for _, table := range g.shards {
		for key, entry := range table.turns.All() {
			if uint64(entry.segment) < first || entry.expired(now) {
				table.turns.Delete(key)
			}
		}
	}
}
