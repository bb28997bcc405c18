package store

import (
	"io"

	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/state/store/owner"
	"github.com/rosestand/rosestand/internal/state/store/records"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
	"github.com/rosestand/rosestand/internal/storage"
)

// The turn index is written anew when a start would otherwise have to read at least
// turnIndexSegments segments of turns, and turnIndexGrowth times the size of the index.
const (
	turnIndexSegments = 2
	turnIndexGrowth   = 4
)

// loadedTurn is a turn from the log; the chain before it must be retained as long as the turn.
type loadedTurn struct {
	shard uint32
	entry turnindex.Entry
}

// loadTurns rebuilds the index of turns from its copy on disk and the part of the log that the copy does not cover.
func (s *Store) loadTurns() error {
	segment, err := s.loadTurnIndex()
	if err != nil {
		return err
	}
	continuing, err := s.loadTurnsFrom(segment)
	if err != nil {
		return err
	}
	for _, turn := range continuing {
		s.groups.Of(turn.shard).ExtendChain(turn.shard, turn.entry.Previous, turn.entry.RetainUntil)
	}
	now := s.options.Clock.Now()
	for _, group := range s.groups {
		group.RemoveExpiredTurns(0, now)
	}
	return nil
}

// loadTurnIndex reads the latest index and returns the first segment that it does not cover.
func (s *Store) loadTurnIndex() (segment uint64, err error) {
	segment, found, err := s.folder.LoadTurnIndex(s.loadTurn)
	if err != nil {
		return 0, err
	}
	if !found {
		for _, group := range s.groups {
			group.ClearTurns()
		}
		return 0, nil
	}
	s.indexedSegment = segment
	return segment, nil
}

// loadTurnsFrom reads the log from a segment on and returns the turns that continue others.
func (s *Store) loadTurnsFrom(segment uint64) ([]loadedTurn, error) {
	var continuing []loadedTurn
	err := s.folder.Turns.Replay(storage.Position{Segment: segment},
		func(position storage.Position, encoded []byte) error {
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

func (s *Store) loadTurn(shard uint32, key turnindex.Key, entry turnindex.Entry) {
	s.groups.Of(shard).LoadTurn(shard, key, entry)
}

// turnIndexIsDue compares the bytes of the segments that the index does not cover with the size that the index would
// have for the number of turns.
func (s *Store) turnIndexIsDue(turns uint64) bool {
	uncovered := int64(s.folder.Turns.End().Segment-s.indexedSegment) * s.options.segmentBytes()
	return uncovered >= max(turnIndexSegments*s.options.segmentBytes(), turnIndexGrowth*turnindex.RecordBytes*int64(turns))
}

// saveTurnIndex writes the positions of all turns, so that a start need not read the turns themselves.
func (s *Store) saveTurnIndex() error {
	segment, err := s.folder.SaveTurnIndex(s.turnCommits, s.writeTurnIndex)
	if err != nil {
		return err
	}
	if s.turns.IsDamaged() {
		return s.folder.RemoveTurnIndex()
	}
	s.indexedSegment = segment
	return s.folder.RemoveTurnIndexesBefore(segment)
}

// writeTurnIndex requests the turns of one shard at a time from its owner, so that no owner is blocked for long.
func (s *Store) writeTurnIndex(writer io.Writer) error {
	if err := turnindex.WriteHeader(writer); err != nil {
		return err
	}
	for _, group := range s.groups {
		shards, err := owner.Call(group, group.Shards)
		if err != nil {
			return err
		}
		for _, shard := range shards {
			encoded, err := owner.Call(group, func() []byte { return group.EncodeTurns(shard) })
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

// saveRegisters writes a snapshot of all registers. Every change logged before it is in memory by then.
func (s *Store) saveRegisters() error { return s.folder.SaveRegisters(s.writeRegisters) }

// writeRegisters requests and writes the registers of one group after the other. Meanwhile it
// keeps the registers' states in memory, but no copies of their values.
func (s *Store) writeRegisters(writer io.Writer) error {
	for _, group := range s.groups {
		stored, err := owner.Call(group, group.RegisterRecords)
		if err != nil {
			return err
		}
		for _, record := range stored {
			if err := datafolder.WriteRecord(writer, record); err != nil {
				return err
			}
		}
	}
	return nil
}
